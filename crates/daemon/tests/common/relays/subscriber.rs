//! A subscriber that reads a relay's watch itself, and checks its digests.

use super::lock;
use super::watch::{open_watch, watch_target, OpenWatch};
use crate::common::{wait_until, Message};
use liftrouter_catalog::{Digest, Instance, Lifecycle, Update};
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// A line of a watch.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: Instant,
    /// None for an empty line.
    pub update: Option<Update>,
}

impl Received {
    pub fn digest(&self) -> Option<Digest> {
        self.update.as_ref()?.digest
    }

    /// Names of the servers that it tells of.
    pub fn ids(&self) -> Vec<&str> {
        let instances = self.update.iter().flat_map(|update| &update.instances);
        instances.map(|instance| instance.instance_id.as_str()).collect()
    }
}

#[derive(Clone, Default)]
struct HeldList {
    received: Vec<Received>,
    instances: BTreeMap<String, Instance>,
    generation: u64,
    /// Digests that differed from what was held.
    digest_faults: Vec<u64>,
    ended: bool,
}

impl HeldList {
    fn take(&mut self, line: &str) {
        let update: Option<Update> =
            (!line.is_empty()).then(|| serde_json::from_str(line).expect("an update"));
        if let Some(update) = &update {
            if update.reset {
                self.instances.clear();
            }
            for instance in &update.instances {
                self.instances.insert(instance.instance_id.clone(), instance.clone());
            }
            self.instances.retain(|_, instance| instance.lifecycle != Lifecycle::Terminated);
            self.generation = update.revision;
            if update.digest.is_some_and(|digest| digest != Digest::of(self.instances.values())) {
                self.digest_faults.push(update.revision);
            }
        }
        self.received.push(Received { at: Instant::now(), update });
    }
}

/// A subscriber that reads a relay's watch itself.
pub struct RawSubscriber {
    pub head: Message,
    stream: TcpStream,
    list: Arc<Mutex<HeldList>>,
}

impl RawSubscriber {
    pub fn open(relay: SocketAddr, after: Option<u64>, services: &[&str]) -> RawSubscriber {
        RawSubscriber::open_with(relay, after, services, HeldList::default())
    }

    /// Goes on elsewhere from what this one holds.
    pub fn resume(&self, relay: SocketAddr, services: &[&str]) -> RawSubscriber {
        let held = lock(&self.list).clone();
        let list = HeldList { received: Vec::new(), ended: false, ..held.clone() };
        RawSubscriber::open_with(relay, Some(held.generation), services, list)
    }

    fn open_with(relay: SocketAddr, after: Option<u64>, services: &[&str], list: HeldList) -> RawSubscriber {
        let watch = open_watch(relay, &watch_target(after, services)).expect("an answer of the relay");
        let OpenWatch { head, stream, mut lines } = watch;
        let list = Arc::new(Mutex::new(list));
        let (taken, ok) = (list.clone(), head.status() == 200);
        thread::spawn(move || {
            while let Some(line) = ok.then(|| lines.next_line()).flatten() {
                lock(&taken).take(&line);
            }
            lock(&taken).ended = true;
        });
        RawSubscriber { head, stream, list }
    }

    /// Opens one and waits for its first message.
    pub fn follow(relay: SocketAddr, after: Option<u64>, services: &[&str]) -> RawSubscriber {
        let subscriber = RawSubscriber::open(relay, after, services);
        wait_until("the subscriber has its first message", || !subscriber.received().is_empty());
        subscriber
    }

    pub fn received(&self) -> Vec<Received> {
        lock(&self.list).received.clone()
    }

    /// Its first message.
    pub fn first(&self) -> Update {
        let first = self.received().into_iter().find_map(|received| received.update);
        first.expect("a first message")
    }

    pub fn ids(&self) -> Vec<String> {
        lock(&self.list).instances.keys().cloned().collect()
    }

    pub fn generation(&self) -> u64 {
        lock(&self.list).generation
    }

    pub fn digest_faults(&self) -> Vec<u64> {
        lock(&self.list).digest_faults.clone()
    }

    pub fn has_ended(&self) -> bool {
        lock(&self.list).ended
    }

    pub fn wait_for(&self, generation: u64) {
        wait_until("the subscriber holds the generation", || self.generation() >= generation);
    }
}

impl Drop for RawSubscriber {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
