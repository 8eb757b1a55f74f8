//! A proxy between a subscriber and a relay that can withhold messages.

use super::lock;
use super::service_discovery::request_target;
use super::watch::open_watch;
use crate::common::{chunk, raw, Message, WATCH_HEAD};
use liftrouter_catalog::Update;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// Whether a proxy forwards a message; `None` is an empty line.
type MessageFilter = dyn Fn(Option<&Update>) -> bool + Send + Sync;

#[derive(Default)]
struct ProxyLog {
    targets: Vec<String>,
    last_revision: Option<u64>,
}

/// A proxy of watches that records the calls and may withhold messages.
pub struct WatchProxy {
    pub address: SocketAddr,
    log: Arc<Mutex<ProxyLog>>,
}

impl WatchProxy {
    pub fn new(upstream: SocketAddr) -> WatchProxy {
        WatchProxy::with_filter(upstream, |_| true)
    }

    /// A proxy that forwards only the messages that `passes` accepts; an empty line is passed to it as
    /// `None`.
    pub fn with_filter(
        upstream: SocketAddr,
        passes: impl Fn(Option<&Update>) -> bool + Send + Sync + 'static,
    ) -> WatchProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let log: Arc<Mutex<ProxyLog>> = Arc::default();
        let (recorded, passes): (_, Arc<MessageFilter>) = (log.clone(), Arc::new(passes));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (recorded, passes) = (recorded.clone(), passes.clone());
                thread::spawn(move || {
                    forward(&stream, upstream, &recorded, &*passes);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        WatchProxy { address, log }
    }

    /// The request targets of the calls so far.
    pub fn targets(&self) -> Vec<String> {
        lock(&self.log).targets.clone()
    }

    /// The revision of the last update that it forwarded.
    pub fn last_revision(&self) -> Option<u64> {
        lock(&self.log).last_revision
    }
}

fn forward(
    mut subscriber: &TcpStream,
    upstream: SocketAddr,
    log: &Mutex<ProxyLog>,
    passes: &MessageFilter,
) -> Option<()> {
    subscriber.set_nodelay(true).ok()?;
    let request = Message::read(&mut BufReader::new(subscriber.try_clone().ok()?))?;
    let target = request_target(&request.start_line);
    lock(log).targets.push(target.clone());
    let mut watch = open_watch(upstream, &target)?;
    if watch.head.status() != 200 {
        return subscriber
            .write_all(raw("503 Service Unavailable", "Retry-After: 1\r\n", "").as_bytes())
            .ok();
    }
    subscriber.write_all(WATCH_HEAD.as_bytes()).ok()?;
    while let Some(line) = watch.lines.next_line() {
        let update: Option<Update> = serde_json::from_str(&line).ok();
        if !passes(update.as_ref()) {
            continue;
        }
        if let Some(update) = update {
            lock(log).last_revision = Some(update.revision);
        }
        subscriber.write_all(chunk(&line).as_bytes()).ok()?;
    }
    let _ = watch.stream.shutdown(Shutdown::Both);
    Some(())
}
