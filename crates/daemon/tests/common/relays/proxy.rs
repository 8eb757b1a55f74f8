//! A proxy between a relay and its upstream, which can withhold messages.

use super::lock;
use super::service_discovery::target_of;
use super::watch::open_watch;
use crate::common::{chunk, raw, Message, WATCH_HEAD};
use liftrouter_catalog::Update;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// What a proxy lets pass.
type Passes = dyn Fn(Option<&Update>) -> bool + Send + Sync;

#[derive(Default)]
struct ProxyLog {
    targets: Vec<String>,
    last_generation: Option<u64>,
}

/// A proxy of watches, which notes the calls and may withhold messages.
pub struct WatchProxy {
    pub address: SocketAddr,
    log: Arc<Mutex<ProxyLog>>,
}

impl WatchProxy {
    pub fn new(upstream: SocketAddr) -> WatchProxy {
        WatchProxy::filtered(upstream, |_| true)
    }

    /// One that only lets some messages pass; an empty line is none.
    pub fn filtered(
        upstream: SocketAddr,
        passes: impl Fn(Option<&Update>) -> bool + Send + Sync + 'static,
    ) -> WatchProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let log: Arc<Mutex<ProxyLog>> = Arc::default();
        let (noted, passes): (_, Arc<Passes>) = (log.clone(), Arc::new(passes));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (noted, passes) = (noted.clone(), passes.clone());
                thread::spawn(move || {
                    forward(&stream, upstream, &noted, &*passes);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        WatchProxy { address, log }
    }

    /// The calls that came.
    pub fn targets(&self) -> Vec<String> {
        lock(&self.log).targets.clone()
    }

    /// The generation of the last message that it passed on.
    pub fn last_generation(&self) -> Option<u64> {
        lock(&self.log).last_generation
    }
}

fn forward(
    mut subscriber: &TcpStream,
    upstream: SocketAddr,
    log: &Mutex<ProxyLog>,
    passes: &Passes,
) -> Option<()> {
    subscriber.set_nodelay(true).ok()?;
    let request = Message::read(&mut BufReader::new(subscriber.try_clone().ok()?))?;
    let target = target_of(&request.start_line);
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
            lock(log).last_generation = Some(update.revision);
        }
        subscriber.write_all(chunk(&line).as_bytes()).ok()?;
    }
    let _ = watch.stream.shutdown(Shutdown::Both);
    Some(())
}
