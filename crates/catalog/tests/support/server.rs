//! The serving side of the source and of relays: a change log and the watches of its subscribers.

use super::follower::WatchId;
use super::topology::Node;
use super::Micros;
use liftrouter_catalog::{ChangeLog, Subscribers, Subscription, Update};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// The time to send a message, without and per byte of its length. Messages of one server are sent one at a time.
const NANOSECONDS_PER_MESSAGE: u64 = 20_000;
const NANOSECONDS_PER_BYTE: u64 = 10;

/// The length of an empty line in HTTP chunked encoding.
const HEARTBEAT_BYTES: usize = 6;

/// A message of a watch.
#[derive(Clone, Debug)]
pub enum Payload {
    /// An empty line.
    Heartbeat,
    Update(Rc<Encoded>),
    /// The upstream has no list, or its list may be out of date or incorrect.
    Refused,
}

/// An update and the length of its JSON.
#[derive(Debug)]
pub struct Encoded {
    pub update: Update,
    pub bytes: usize,
}

impl Payload {
    pub fn update(update: Update) -> Self {
        let bytes = serde_json::to_vec(&update).expect("an update can be encoded").len();
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

/// The server's state of a watch.
pub struct WatchState {
    pub child: Node,
    /// The revision of the child once it has received every message sent so far.
    sent_revision: u64,
    last_arrival: Micros,
}

#[derive(Default)]
pub struct Server {
    pub log: ChangeLog,
    subscribers: Subscribers<WatchId>,
    watches: BTreeMap<WatchId, WatchState>,
    busy_until: Micros,
    /// Whether messages lack digests; see `Defect::NoDigests`.
    pub without_digests: bool,
}

impl Server {
    pub fn with_history(limit: usize) -> Self {
        Server { log: ChangeLog::with_history(limit), ..Server::default() }
    }

    pub fn children(&self) -> impl Iterator<Item = (WatchId, Node)> + '_ {
        self.watches.iter().map(|(id, watch_state)| (*id, watch_state.child))
    }

    pub fn child(&self, id: WatchId) -> Option<Node> {
        self.watches.get(&id).map(|watch_state| watch_state.child)
    }

    /// Opens a watch and returns its first message, which brings the child to the current revision; none before the
    /// first list.
    pub fn open(
        &mut self,
        id: WatchId,
        child: Node,
        subscription: Subscription,
        after: Option<u64>,
        confirmed_ago_ms: u64,
    ) -> Option<Payload> {
        let update = self.log.since(&subscription, after)?;
        let first = self.with_digest(update, &subscription, confirmed_ago_ms);
        self.watches.insert(id, WatchState { child, sent_revision: first.revision, last_arrival: 0 });
        self.subscribers.subscribe(id, subscription);
        Some(Payload::update(first))
    }

    pub fn close(&mut self, id: WatchId) {
        self.watches.remove(&id);
        self.subscribers.unsubscribe(&id);
    }

    fn with_digest(&self, update: Update, subscription: &Subscription, confirmed_ago_ms: u64) -> Update {
        let digest = Some(self.log.digest(subscription)).filter(|_| !self.without_digests);
        Update { digest, confirmed_ago_ms, ..update }
    }

    /// The messages to the subscribers of any of these services.
    pub fn deltas(&mut self, services: &BTreeSet<String>, confirmed_ago_ms: u64) -> Vec<(WatchId, Payload)> {
        let mut messages = Vec::new();
        let mut payloads: HashMap<(&Subscription, u64), Payload> = HashMap::new();
        for id in self.subscribers.interested_in_any(services.iter().map(String::as_str)) {
            let (Some(watch_state), Some(subscription)) =
                (self.watches.get(&id), self.subscribers.subscription(&id))
            else {
                continue;
            };
            let payload = payloads.entry((subscription, watch_state.sent_revision)).or_insert_with(|| {
                let delta =
                    self.log.since(subscription, Some(watch_state.sent_revision)).expect("there is a list");
                Payload::update(self.with_digest(delta, subscription, confirmed_ago_ms))
            });
            messages.push((id, payload.clone()));
        }
        self.record_sent(&messages);
        messages
    }

    /// The messages without changes by which all children verify their digests.
    pub fn digests(&mut self, confirmed_ago_ms: u64) -> Vec<(WatchId, Payload)> {
        let mut messages = Vec::new();
        for (id, subscription) in self.subscribers.iter() {
            let Some(message) = self.log.digest_message(subscription) else { continue };
            messages.push((*id, Payload::update(self.with_digest(message, subscription, confirmed_ago_ms))));
        }
        self.record_sent(&messages);
        messages
    }

    fn record_sent(&mut self, messages: &[(WatchId, Payload)]) {
        let revision = self.log.revision().unwrap_or(0);
        for (id, _) in messages {
            if let Some(watch_state) = self.watches.get_mut(id) {
                watch_state.sent_revision = revision;
            }
        }
    }

    pub fn heartbeats(&self) -> Vec<(WatchId, Payload)> {
        self.watches.keys().map(|id| (*id, Payload::Heartbeat)).collect()
    }

    /// The time at which a message has been sent, after all earlier messages of this server.
    pub fn departure_time(&mut self, now: Micros, bytes: usize) -> Micros {
        let nanoseconds = NANOSECONDS_PER_MESSAGE + NANOSECONDS_PER_BYTE * bytes as u64;
        self.busy_until = self.busy_until.max(now) + nanoseconds / 1_000;
        self.busy_until
    }

    /// The arrival time of a message, delayed where needed to keep the messages of its watch in order.
    pub fn arrival_time(&mut self, id: WatchId, at: Micros) -> Micros {
        match self.watches.get_mut(&id) {
            Some(watch_state) => {
                watch_state.last_arrival = watch_state.last_arrival.max(at);
                watch_state.last_arrival
            }
            None => at,
        }
    }
}
