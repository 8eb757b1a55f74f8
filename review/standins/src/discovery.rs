//! The discovery agent of a limiter's machine: answers a watch with the whole list, and says that it lives.

use crate::http::{accept_all, response, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// While nothing changes an empty line comes this often.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
    pub lifecycle: &'static str,
    /// The service that it belongs to; empty if none is named.
    pub service: &'static str,
}

/// The JSON object of a whole list.
pub fn whole_list(generation: u64, instances: &[Instance]) -> String {
    let entries: Vec<String> = instances.iter().map(entry).collect();
    format!("{{\"generation\":{generation},\"reset\":true,\"instances\":[{}]}}", entries.join(","))
}

fn entry(instance: &Instance) -> String {
    let Instance { id, address, lifecycle, service } = instance;
    let service = if service.is_empty() { String::new() } else { format!("\"service\":\"{service}\",") };
    format!(
        "{{\"instanceId\":\"{id}\",\"hostPort\":\"{address}\",{service}\"zone\":\"room-a\",\"machineType\":\"std-3\",\
         \"cell\":0,\"lifecycle\":\"{lifecycle}\",\"weight\":1.0,\"startedAtMs\":0}}"
    )
}

/// The list of an agent. It is changed by [`Agent::set`].
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    list: Arc<(Mutex<(u64, String)>, Condvar)>,
}

impl Agent {
    /// Starts an agent that has this list.
    pub fn start(instances: &[Instance]) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the address of a listener");
        let list = Arc::new((Mutex::new((1, whole_list(1, instances))), Condvar::new()));
        let agent = Agent { address, list };
        let serving = agent.clone();
        accept_all(listener, move |stream| serving.serve(stream));
        agent
    }

    /// Replaces the list, and tells it on all open watches.
    pub fn set(&self, instances: &[Instance]) {
        let mut list = self.list.0.lock().expect("the list");
        let generation = list.0 + 1;
        *list = (generation, whole_list(generation, instances));
        self.list.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = Message::read(&mut reader) {
            if request.second_word().contains("watch=1") {
                let _ = self.watch(&mut writer);
                return;
            }
            let text = self.list.0.lock().expect("the list").1.clone();
            if writer.write_all(response("200 OK", "", &text).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn watch(&self, writer: &mut TcpStream) -> std::io::Result<()> {
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = 0;
        loop {
            let line = {
                let list = self.list.0.lock().expect("the list");
                let waited = self.list.1.wait_timeout_while(list, HEARTBEAT, |list| list.0 == told);
                let (list, timeout) = waited.expect("the list");
                told = list.0;
                if timeout.timed_out() {
                    "\n".to_string()
                } else {
                    format!("{}\n", list.1)
                }
            };
            write!(writer, "{:x}\r\n{line}\r\n", line.len())?;
        }
    }
}
