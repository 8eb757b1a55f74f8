//! A stand-in for discovery's agent: a list of servers with a generation, and watches of it.

use crate::http;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub cell: i64,
    pub lifecycle: &'static str,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"std-3\",\"cell\":{},\
             \"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":0}}",
            self.id, self.address, self.zone, self.cell, self.lifecycle
        )
    }
}

/// A version of the list, with the generation that it got.
#[derive(Clone, Debug, Default)]
struct List {
    generation: u64,
    entries: Vec<(u64, Entry)>,
}

/// A running agent.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
}

/// The time between two empty lines.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// How soon a watch notices a change.
const POLL: Duration = Duration::from_millis(5);

impl Discovery {
    /// Starts an agent on a free port. All entries have the first generation.
    pub fn start(generation: u64, entries: Vec<Entry>) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let entries = entries.into_iter().map(|entry| (generation, entry)).collect();
        let discovery = Discovery { address, list: Arc::new(Mutex::new(List { generation, entries })) };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        Ok(discovery)
    }

    /// Sets the lifecycle of a server, with the next generation. Returns the generation.
    pub fn set_lifecycle(&self, id: &str, lifecycle: &'static str) -> u64 {
        let mut list = self.list.lock().expect("the list");
        list.generation += 1;
        let generation = list.generation;
        for (changed, entry) in list.entries.iter_mut().filter(|(_, entry)| entry.id == id) {
            entry.lifecycle = lifecycle;
            *changed = generation;
        }
        generation
    }

    /// The changes after a generation, or the whole list; `None` if nothing has changed.
    fn message(&self, after: Option<u64>) -> Option<(u64, String)> {
        let list = self.list.lock().ok()?;
        // A generation that this agent has not reached tells it nothing: it sends the whole list.
        let after = after.filter(|after| *after <= list.generation);
        if after == Some(list.generation) {
            return None;
        }
        let listed = list.entries.iter().filter(|(changed, entry)| match after {
            Some(after) => *changed > after,
            None => entry.lifecycle != "terminated",
        });
        let entries: Vec<String> = listed.map(|(_, entry)| entry.json()).collect();
        let reset = after.is_none();
        let entries = entries.join(",");
        Some((
            list.generation,
            format!("{{\"generation\":{},\"reset\":{reset},\"instances\":[{entries}]}}\n", list.generation),
        ))
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader) {
            let query = request.target().split_once('?').map_or("", |(_, query)| query).to_string();
            let value =
                |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
            if value("watch") == Some("1") {
                let after = value("after").and_then(|text| text.parse().ok());
                return drop(self.watch(&mut writer, after));
            }
            let text = self.message(None).map_or(String::new(), |(_, text)| text);
            if http::respond(&mut writer, "200 OK", &[], &text).is_err() {
                return;
            }
        }
    }

    fn watch(&self, writer: &mut TcpStream, mut after: Option<u64>) -> std::io::Result<()> {
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut last = Instant::now();
        loop {
            if let Some((generation, text)) = self.message(after) {
                chunk(writer, &text)?;
                (after, last) = (Some(generation), Instant::now());
            } else if last.elapsed() >= HEARTBEAT {
                chunk(writer, "\n")?;
                last = Instant::now();
            }
            thread::sleep(POLL);
        }
    }
}

fn chunk(writer: &mut TcpStream, text: &str) -> std::io::Result<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
