//! The serving end of the source and of a relay: the log, and the watches on it.

use super::follower::WatchId;
use super::topology::Node;
use super::Micros;
use liftrouter_catalog::{ChangeLog, Subscribers, Subscription, Update};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// The time that it takes to send a message, and each byte of it.
const NANOSECONDS_PER_MESSAGE: u64 = 20_000;
const NANOSECONDS_PER_BYTE: u64 = 10;

/// The bytes of an empty line as a chunk.
const HEARTBEAT_BYTES: usize = 6;

/// What goes down a watch.
#[derive(Clone, Debug)]
pub enum Payload {
    /// An empty line.
    Heartbeat,
    Update(Rc<Encoded>),
    /// The upstream has no list that it trusts.
    Refused,
}

/// An update and its length as text.
#[derive(Debug)]
pub struct Encoded {
    pub update: Update,
    pub bytes: usize,
}

impl Payload {
    pub fn update(update: Update) -> Self {
        let bytes = serde_json::to_vec(&update).expect("an update can be written").len();
        Payload::Update(Rc::new(Encoded { update, bytes }))
    }

    pub fn bytes(&self) -> usize {
        match self {
            Payload::Heartbeat => HEARTBEAT_BYTES,
            Payload::Update(encoded) => encoded.bytes,
            Payload::Refused => 0,
        }
    }
}

/// One watch.
pub struct Served {
    pub child: Node,
    /// The revision that the child holds once all that was sent has arrived.
    sent: u64,
    last_arrival: Micros,
}

#[derive(Default)]
pub struct Server {
    pub log: ChangeLog,
    subscribers: Subscribers<WatchId>,
    watches: BTreeMap<WatchId, Served>,
    busy_until: Micros,
    /// A broken variant: no message carries a digest.
    pub without_digests: bool,
}

impl Server {
    pub fn with_history(limit: usize) -> Self {
        Server { log: ChangeLog::with_history(limit), ..Server::default() }
    }

    pub fn children(&self) -> impl Iterator<Item = (WatchId, Node)> + '_ {
        self.watches.iter().map(|(id, served)| (*id, served.child))
    }

    pub fn child(&self, id: WatchId) -> Option<Node> {
        self.watches.get(&id).map(|served| served.child)
    }

    /// Opens a watch; its first message brings the child to the revision at hand.
    pub fn open(
        &mut self,
        id: WatchId,
        child: Node,
        subscription: Subscription,
        after: Option<u64>,
        confirmed_ago_ms: u64,
    ) -> Option<Payload> {
        let update = self.log.since(&subscription, after)?;
        let first = self.complete(update, &subscription, confirmed_ago_ms);
        self.watches.insert(id, Served { child, sent: first.revision, last_arrival: 0 });
        self.subscribers.subscribe(id, subscription);
        Some(Payload::update(first))
    }

    pub fn close(&mut self, id: WatchId) {
        self.watches.remove(&id);
        self.subscribers.unsubscribe(&id);
    }

    fn complete(&self, update: Update, subscription: &Subscription, confirmed_ago_ms: u64) -> Update {
        let digest = Some(self.log.digest(subscription)).filter(|_| !self.without_digests);
        Update { digest, confirmed_ago_ms, ..update }
    }

    /// The messages to the children that follow any of these services.
    pub fn deltas(&mut self, services: &BTreeSet<String>, confirmed_ago_ms: u64) -> Vec<(WatchId, Payload)> {
        let mut messages = Vec::new();
        let mut written: HashMap<(&Subscription, u64), Payload> = HashMap::new();
        for id in self.subscribers.interested_in_any(services.iter().map(String::as_str)) {
            let (Some(served), Some(subscription)) =
                (self.watches.get(&id), self.subscribers.subscription(&id))
            else {
                continue;
            };
            let payload = written.entry((subscription, served.sent)).or_insert_with(|| {
                let delta = self.log.since(subscription, Some(served.sent)).expect("there is a list");
                Payload::update(self.complete(delta, subscription, confirmed_ago_ms))
            });
            messages.push((id, payload.clone()));
        }
        self.note_sent(&messages);
        messages
    }

    /// The messages with a digest to all children.
    pub fn digests(&mut self, confirmed_ago_ms: u64) -> Vec<(WatchId, Payload)> {
        let mut messages = Vec::new();
        for (id, subscription) in self.subscribers.iter() {
            let Some(message) = self.log.digest_message(subscription) else { continue };
            messages.push((*id, Payload::update(self.complete(message, subscription, confirmed_ago_ms))));
        }
        self.note_sent(&messages);
        messages
    }

    fn note_sent(&mut self, messages: &[(WatchId, Payload)]) {
        let revision = self.log.revision().unwrap_or(0);
        for (id, _) in messages {
            if let Some(served) = self.watches.get_mut(id) {
                served.sent = revision;
            }
        }
    }

    pub fn heartbeats(&self) -> Vec<(WatchId, Payload)> {
        self.watches.keys().map(|id| (*id, Payload::Heartbeat)).collect()
    }

    /// When a message is on its way: one is sent after the other.
    pub fn departure(&mut self, now: Micros, bytes: usize) -> Micros {
        let nanoseconds = NANOSECONDS_PER_MESSAGE + NANOSECONDS_PER_BYTE * bytes as u64;
        self.busy_until = self.busy_until.max(now) + nanoseconds / 1_000;
        self.busy_until
    }

    /// When a message arrives; the messages of a watch stay in order.
    pub fn arrival(&mut self, id: WatchId, at: Micros) -> Micros {
        match self.watches.get_mut(&id) {
            Some(served) => {
                served.last_arrival = served.last_arrival.max(at);
                served.last_arrival
            }
            None => at,
        }
    }
}
