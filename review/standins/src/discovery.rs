//! The discovery agent of a limiter's machine: answers a watch with the whole list, and says that it lives.

use crate::http::{accept_all, response, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// While nothing changes an empty line comes this often.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
    pub lifecycle: &'static str,
    pub zone: &'static str,
}

/// The JSON object of a whole list.
pub fn whole_list(generation: u64, instances: &[Instance]) -> String {
    let entries: Vec<String> = instances.iter().map(entry).collect();
    format!("{{\"generation\":{generation},\"reset\":true,\"instances\":[{}]}}", entries.join(","))
}

fn entry(instance: &Instance) -> String {
    let Instance { id, address, lifecycle, zone } = instance;
    format!(
        "{{\"instanceId\":\"{id}\",\"hostPort\":\"{address}\",\"zone\":\"{zone}\",\"machineType\":\"std-3\",\
         \"cell\":0,\"lifecycle\":\"{lifecycle}\",\"weight\":1.0,\"startedAtMs\":0}}"
    )
}

/// An agent whose list does not change.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    list: Arc<str>,
}

impl Agent {
    /// Starts an agent that has this list.
    pub fn start(instances: &[Instance]) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the address of a listener");
        let agent = Agent { address, list: whole_list(1, instances).into() };
        let serving = agent.clone();
        accept_all(listener, move |stream| serving.serve(stream));
        agent
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = Message::read(&mut reader) {
            if request.second_word().contains("watch=1") {
                let _ = self.watch(&mut writer);
                return;
            }
            if writer.write_all(response("200 OK", "", &self.list).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Tells the whole list, and that nothing changes.
    fn watch(&self, writer: &mut TcpStream) -> std::io::Result<()> {
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut line = format!("{}\n", self.list);
        loop {
            write!(writer, "{:x}\r\n{line}\r\n", line.len())?;
            line = "\n".to_string();
            thread::sleep(HEARTBEAT);
        }
    }
}
