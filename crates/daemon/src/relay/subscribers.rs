//! The list as a relay holds it, and the subscribers that follow it.

use crate::discovery::sink::Heartbeat;
use crate::log;
use bytes::Bytes;
use liftrouter_catalog::{ApplyError, ChangeLog, Subscribers, Subscription, Update};
use liftrouter_discovery::HEARTBEAT_TIMEOUT;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::time::Instant;

/// Messages that may wait for a subscriber. One that reads more slowly is disconnected, and resumes by its revision.
const MAX_QUEUED_MESSAGES: usize = 64;
/// One heartbeat of this many carries the digest of what the subscriber holds: every 10 s.
const HEARTBEATS_PER_DIGEST: u32 = 5;
/// A message from upstream is forwarded as a heartbeat where the last one was forwarded this long ago: discovery
/// writes no empty line while it has changes to announce.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// The heartbeat of a list that has not changed.
const EMPTY_LINE: &[u8] = b"\n";

/// Number of a subscriber, unique in its relay.
pub type SubscriberId = u64;

struct Subscriber {
    messages: Sender<Bytes>,
    /// The revision that it holds once it has read all its messages.
    revision: u64,
    /// Something was sent since the last heartbeat.
    notified: bool,
}

/// The list, and its subscribers.
#[derive(Default)]
pub struct SubscriberTable {
    log: ChangeLog,
    subscriptions: Subscribers<SubscriberId>,
    connections: BTreeMap<SubscriberId, Subscriber>,
    last_id: SubscriberId,
    /// When the list was last confirmed, as upstream says.
    confirmed_at: Option<Instant>,
    /// When a heartbeat was last forwarded, and how many were.
    last_heartbeat: Option<Instant>,
    heartbeats: u32,
}

/// A relay accepts no subscribers while it does not know whether its list is current.
#[derive(Debug, Error)]
#[error("the list was not confirmed within {} s", HEARTBEAT_TIMEOUT.as_secs_f64())]
pub struct StaleList;

impl SubscriberTable {
    /// The revision of the list at hand; none before the first one.
    pub fn revision(&self) -> Option<u64> {
        self.log.revision()
    }

    /// Accepts the next complete list whatever its revision.
    pub fn forget_revision(&mut self) {
        self.log.forget_revision();
    }

    /// Adds a subscriber that holds a revision, or nothing. Its first message is what it lacks.
    ///
    /// # Errors
    /// The relay has no list that it knows to be current.
    pub fn subscribe(
        &mut self,
        subscription: Subscription,
        after: Option<u64>,
    ) -> Result<(SubscriberId, Receiver<Bytes>), StaleList> {
        let first = self.log.since(&subscription, after).filter(|_| self.is_fresh()).ok_or(StaleList)?;
        let (messages, receiver) = channel(MAX_QUEUED_MESSAGES);
        let digest = Some(self.log.digest(&subscription));
        let revision = first.revision;
        // The queue is empty: it has room for the first message.
        let _ = messages.try_send(self.encode(Update { digest, ..first }));
        self.last_id += 1;
        self.connections.insert(self.last_id, Subscriber { messages, revision, notified: false });
        self.subscriptions.subscribe(self.last_id, subscription);
        Ok((self.last_id, receiver))
    }

    /// Removes a subscriber.
    pub fn unsubscribe(&mut self, id: SubscriberId) {
        self.connections.remove(&id);
        self.subscriptions.unsubscribe(&id);
    }

    /// Whether upstream gave a heartbeat in time.
    pub fn is_fresh(&self) -> bool {
        self.confirmed_at.is_some_and(|at| at.elapsed() <= HEARTBEAT_TIMEOUT)
    }

    /// How many subscribers there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Applies an update of upstream, and sends each subscriber what changed for it.
    ///
    /// # Errors
    /// The update does not fit the list at hand, which stays as it is.
    pub fn apply(&mut self, update: Update) -> Result<(), ApplyError> {
        let applied = self.log.apply(update)?;
        let interested = self.subscriptions.interested_in_any(applied.services.iter().map(String::as_str));
        // Subscribers of one subscription and revision get the same bytes.
        let mut messages: HashMap<(Subscription, u64), Bytes> = HashMap::new();
        for id in interested {
            let (Some(subscriber), Some(subscription)) =
                (self.connections.get(&id), self.subscriptions.subscription(&id))
            else {
                continue;
            };
            let key = (subscription.clone(), subscriber.revision);
            let bytes = if let Some(bytes) = messages.get(&key) {
                bytes.clone()
            } else {
                let after = Some(subscriber.revision);
                let Some(update) = self.log.since(subscription, after) else { continue };
                messages.entry(key).or_insert(self.encode(update)).clone()
            };
            self.send(id, bytes, Some(applied.revision));
        }
        Ok(())
    }

    /// Queues a message for a subscriber; one whose queue is full is removed.
    fn send(&mut self, id: SubscriberId, bytes: Bytes, revision: Option<u64>) {
        let Some(subscriber) = self.connections.get_mut(&id) else { return };
        if subscriber.messages.try_send(bytes).is_err() {
            log("relay", format_args!("child {id} reads too slowly or has gone: it is cut off"));
            return self.unsubscribe(id);
        }
        subscriber.notified = true;
        subscriber.revision = revision.unwrap_or(subscriber.revision);
    }

    /// Records that the list was confirmed so long ago.
    pub fn confirm(&mut self, ago: Duration) {
        let now = Instant::now();
        self.confirmed_at = self.confirmed_at.max(Some(now.checked_sub(ago).unwrap_or(now)));
    }

    /// Whether a heartbeat of upstream is to be forwarded.
    pub fn forwards(&self, heartbeat: Heartbeat) -> bool {
        match heartbeat {
            Heartbeat::EmptyLine => true,
            Heartbeat::Message { confirmed_ago } => {
                let is_due = || self.last_heartbeat.is_none_or(|at| at.elapsed() >= HEARTBEAT_INTERVAL);
                confirmed_ago.is_zero() && is_due()
            }
        }
    }

    /// Sends a heartbeat to each subscriber that was notified of nothing since the last one.
    pub fn forward_heartbeat(&mut self) {
        self.last_heartbeat = Some(Instant::now());
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let with_digest = self.heartbeats.is_multiple_of(HEARTBEATS_PER_DIGEST);
        let ids: Vec<SubscriberId> = self.connections.keys().copied().collect();
        for id in ids {
            if with_digest {
                self.send_digest(id);
            } else if self.connections.get(&id).is_some_and(|subscriber| !subscriber.notified) {
                self.send(id, Bytes::from_static(EMPTY_LINE), None);
            }
            if let Some(subscriber) = self.connections.get_mut(&id) {
                subscriber.notified = false;
            }
        }
    }

    /// Sends the digest of what the subscriber should hold, and the present revision, so that the history need not
    /// reach back far.
    fn send_digest(&mut self, id: SubscriberId) {
        let Some(subscription) = self.subscriptions.subscription(&id) else { return };
        let Some(update) = self.log.digest_message(subscription) else { return };
        let revision = update.revision;
        self.send(id, self.encode(update), Some(revision));
    }

    /// Encodes a message with the age of this relay's list, which sending it does not make fresh.
    fn encode(&self, mut update: Update) -> Bytes {
        let age = self.confirmed_at.map_or(Duration::ZERO, |at| at.elapsed());
        update.confirmed_ago_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let mut text = serde_json::to_vec(&update).unwrap_or_default();
        text.push(b'\n');
        text.into()
    }
}
