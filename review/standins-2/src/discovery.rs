//! A stand-in for discovery's agent: a list of servers that does not change, and watches of it.

use crate::http;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// An entry of the list: a server that is in service and was started long ago.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"room-a\",\"machineType\":\"std-3\",\"cell\":0,\
             \"lifecycle\":\"in_service\",\"weight\":1.0,\"startedAtMs\":0}}",
            self.id, self.address
        )
    }
}

/// The generation of the list.
const GENERATION: u64 = 1;
/// The time between two empty lines of a watch.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// Starts an agent on a free port.
pub fn start(entries: &[Entry]) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    let list =
        format!("{{\"generation\":{GENERATION},\"reset\":true,\"instances\":[{}]}}\n", entries.join(","));
    let list: Arc<str> = list.into();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || serve(stream, &list));
        }
    });
    Ok(address)
}

fn serve(stream: TcpStream, list: &str) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read(&mut reader) {
        let query = request.target().split_once('?').map_or("", |(_, query)| query);
        let has = |pair: &str| query.split('&').any(|found| found == pair);
        if has("watch=1") {
            let knows_it = has(&format!("after={GENERATION}"));
            return drop(watch(&mut writer, list, knows_it));
        }
        if http::respond(&mut writer, "200 OK", &[], list).is_err() {
            return;
        }
    }
}

/// Serves a watch until its connection ends. One that does not know the list is sent it first.
fn watch(writer: &mut TcpStream, list: &str, knows_it: bool) -> std::io::Result<()> {
    writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    if !knows_it {
        chunk(writer, list)?;
    }
    loop {
        thread::sleep(HEARTBEAT);
        chunk(writer, "\n")?;
    }
}

fn chunk(writer: &mut TcpStream, text: &str) -> std::io::Result<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
