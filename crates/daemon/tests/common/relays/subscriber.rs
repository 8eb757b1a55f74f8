//! A subscriber that parses a relay's watch in the test and checks its digests.

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

    /// The ids of the instances in the update.
    pub fn ids(&self) -> Vec<&str> {
        let instances = self.update.iter().flat_map(|update| &update.instances);
        instances.map(|instance| instance.instance_id.as_str()).collect()
    }
}

#[derive(Clone, Default)]
struct HeldList {
    received: Vec<Received>,
    instances: BTreeMap<String, Instance>,
    revision: u64,
    /// The revisions whose digest differed from that of the instances held.
    digest_mismatches: Vec<u64>,
    ended: bool,
}

impl HeldList {
    fn apply(&mut self, line: &str) {
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
            self.revision = update.revision;
            if update.digest.is_some_and(|digest| digest != Digest::of(self.instances.values())) {
                self.digest_mismatches.push(update.revision);
            }
        }
        self.received.push(Received { at: Instant::now(), update });
    }
}

/// A subscriber that parses a relay's watch in the test.
pub struct RawSubscriber {
    pub head: Message,
    stream: TcpStream,
    list: Arc<Mutex<HeldList>>,
}

impl RawSubscriber {
    pub fn open(relay: SocketAddr, after: Option<u64>, services: &[&str]) -> RawSubscriber {
        RawSubscriber::open_with_list(relay, after, services, HeldList::default())
    }

    /// Opens a watch at another relay that continues from this subscriber's list and revision.
    pub fn resume(&self, relay: SocketAddr, services: &[&str]) -> RawSubscriber {
        let held = lock(&self.list).clone();
        let list = HeldList { received: Vec::new(), ended: false, ..held.clone() };
        RawSubscriber::open_with_list(relay, Some(held.revision), services, list)
    }

    fn open_with_list(
        relay: SocketAddr,
        after: Option<u64>,
        services: &[&str],
        list: HeldList,
    ) -> RawSubscriber {
        let watch = open_watch(relay, &watch_target(after, services)).expect("an answer of the relay");
        let OpenWatch { head, stream, mut lines } = watch;
        let list = Arc::new(Mutex::new(list));
        let (held, ok) = (list.clone(), head.status() == 200);
        thread::spawn(move || {
            while let Some(line) = ok.then(|| lines.next_line()).flatten() {
                lock(&held).apply(&line);
            }
            lock(&held).ended = true;
        });
        RawSubscriber { head, stream, list }
    }

    /// Opens a watch and waits for its first line.
    pub fn follow(relay: SocketAddr, after: Option<u64>, services: &[&str]) -> RawSubscriber {
        let subscriber = RawSubscriber::open(relay, after, services);
        wait_until("the subscriber has its first message", || !subscriber.received().is_empty());
        subscriber
    }

    pub fn received(&self) -> Vec<Received> {
        lock(&self.list).received.clone()
    }

    /// The first update received.
    pub fn first(&self) -> Update {
        let first = self.received().into_iter().find_map(|received| received.update);
        first.expect("a first message")
    }

    pub fn ids(&self) -> Vec<String> {
        lock(&self.list).instances.keys().cloned().collect()
    }

    pub fn revision(&self) -> u64 {
        lock(&self.list).revision
    }

    pub fn digest_mismatches(&self) -> Vec<u64> {
        lock(&self.list).digest_mismatches.clone()
    }

    pub fn has_ended(&self) -> bool {
        lock(&self.list).ended
    }

    pub fn wait_for_revision(&self, revision: u64) {
        wait_until("the subscriber holds the revision", || self.revision() >= revision);
    }
}

impl Drop for RawSubscriber {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
