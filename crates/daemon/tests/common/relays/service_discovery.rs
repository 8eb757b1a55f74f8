//! A stand-in of discovery that serves the whole list to the root of a tree of relays.

use super::{lock, FIRST_REVISION, HEARTBEAT, POLL_INTERVAL};
use crate::common::{chunk, Message, WATCH_HEAD};
use liftrouter_catalog::{Instance, Update};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A server in the list.
struct Listed {
    instance: Instance,
    /// The revision of its last change.
    last_changed: u64,
}

struct DiscoveryState {
    revision: u64,
    servers: BTreeMap<String, Listed>,
    heartbeat_period: Duration,
    heartbeats_enabled: bool,
    reachable: bool,
    last_heartbeat: Instant,
    targets: Vec<String>,
}

impl DiscoveryState {
    fn message(&self, after: Option<u64>) -> Update {
        let changed =
            self.servers.values().filter(|listed| after.is_none_or(|after| listed.last_changed > after));
        let instances = changed.map(|listed| listed.instance.clone()).collect();
        Update { revision: self.revision, reset: after.is_none(), instances, ..Update::default() }
    }
}

/// A stand-in of discovery: it sends the whole list, then changes and heartbeats, and does not filter by
/// service.
#[derive(Clone)]
pub struct ServiceDiscovery {
    pub address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
}

impl ServiceDiscovery {
    pub fn new(servers: &[Instance]) -> Self {
        Self::with_heartbeat(HEARTBEAT, servers)
    }

    /// A stand-in with another heartbeat period than [`HEARTBEAT`].
    pub fn with_heartbeat(heartbeat_period: Duration, servers: &[Instance]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let listed = |server: &Instance| {
            (server.instance_id.clone(), Listed { instance: server.clone(), last_changed: FIRST_REVISION })
        };
        let state = DiscoveryState {
            revision: FIRST_REVISION,
            servers: servers.iter().map(listed).collect(),
            heartbeat_period,
            heartbeats_enabled: true,
            reachable: true,
            last_heartbeat: Instant::now(),
            targets: Vec::new(),
        };
        let address = listener.local_addr().expect("address");
        let discovery = ServiceDiscovery { address, state: Arc::new(Mutex::new(state)) };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || {
                    let _ = serving.serve(&stream);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        discovery
    }

    /// Changes one server; returns the new revision.
    pub fn put(&self, instance: Instance) -> u64 {
        self.put_all([instance])
    }

    /// Changes several servers in one revision; returns the new revision.
    pub fn put_all(&self, instances: impl IntoIterator<Item = Instance>) -> u64 {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        for instance in instances {
            state.servers.insert(instance.instance_id.clone(), Listed { instance, last_changed: revision });
        }
        revision
    }

    pub fn revision(&self) -> u64 {
        lock(&self.state).revision
    }

    /// From now on sends changes but no heartbeats.
    pub fn stop_heartbeats(&self) {
        lock(&self.state).heartbeats_enabled = false;
    }

    /// From now on open watches are silent and calls are closed without an answer.
    pub fn cut_off(&self) {
        lock(&self.state).reachable = false;
    }

    pub fn restore(&self) {
        lock(&self.state).reachable = true;
    }

    /// When it last wrote a message or a heartbeat.
    pub fn last_heartbeat(&self) -> Instant {
        lock(&self.state).last_heartbeat
    }

    /// The request targets of the calls so far.
    pub fn targets(&self) -> Vec<String> {
        lock(&self.state).targets.clone()
    }

    fn serve(&self, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let Some(request) = Message::read(&mut BufReader::new(stream.try_clone()?)) else { return Ok(()) };
        let mut after = after_param(&request.start_line);
        {
            let mut state = lock(&self.state);
            state.targets.push(request_target(&request.start_line));
            if !state.reachable {
                return Ok(());
            }
            after = after.filter(|after| *after <= state.revision);
        }
        write_text(stream, WATCH_HEAD)?;
        loop {
            match self.next_line(after) {
                Some((revision, line)) => {
                    after = Some(revision);
                    write_text(stream, &chunk(&line))?;
                }
                None if self.heartbeat_is_due() => write_text(stream, "1\r\n\n\r\n")?,
                None => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    fn next_line(&self, after: Option<u64>) -> Option<(u64, String)> {
        let mut state = lock(&self.state);
        if !state.reachable || after == Some(state.revision) {
            return None;
        }
        state.last_heartbeat = Instant::now();
        Some((state.revision, serde_json::to_string(&state.message(after)).expect("JSON")))
    }

    /// Whether a heartbeat is due, which restarts the period. The period is shared by all watches, since
    /// only one relay follows this stand-in.
    fn heartbeat_is_due(&self) -> bool {
        let mut state = lock(&self.state);
        let due = state.reachable
            && state.heartbeats_enabled
            && state.last_heartbeat.elapsed() >= state.heartbeat_period;
        if due {
            state.last_heartbeat = Instant::now();
        }
        due
    }
}

fn write_text(mut stream: &TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(text.as_bytes())
}

/// The target in a request line.
pub(super) fn request_target(first_line: &str) -> String {
    first_line.split(' ').nth(1).unwrap_or("").to_string()
}

/// The revision in the `after` parameter of a request target.
pub fn after_param(target: &str) -> Option<u64> {
    let value = target.split("after=").nth(1)?;
    value.split(['&', ' ']).next()?.parse().ok()
}
