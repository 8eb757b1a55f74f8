//! The endpoint list of a relay, and the subscribers that follow it.

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

/// Capacity of a subscriber's message queue. A subscriber whose queue is full is disconnected, and resumes after its
/// revision when it reconnects.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Every fifth heartbeat, so one in 10 s, carries the digest of the list that the subscriber should hold.
const HEARTBEATS_PER_DIGEST: u32 = 5;
/// A message from upstream is forwarded as a heartbeat if the last heartbeat was forwarded at least this long ago:
/// discovery sends no empty lines while it has changes to announce.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// The heartbeat of a list that has not changed.
const EMPTY_LINE: &[u8] = b"\n";

/// Identifies a subscriber within its relay.
pub type SubscriberId = u64;

struct Subscriber {
    messages: Sender<Bytes>,
    /// The revision that the subscriber holds once it has read all queued messages.
    revision: u64,
    /// A message was sent since the last heartbeat.
    sent_since_heartbeat: bool,
}

/// The endpoint list with its history, and the subscribers.
#[derive(Default)]
pub struct SubscriberTable {
    log: ChangeLog,
    subscriptions: Subscribers<SubscriberId>,
    connections: BTreeMap<SubscriberId, Subscriber>,
    last_id: SubscriberId,
    /// When the list was last confirmed, according to the upstream.
    confirmed_at: Option<Instant>,
    /// When a heartbeat was last forwarded.
    last_heartbeat_at: Option<Instant>,
    /// Number of heartbeats forwarded.
    forwarded_heartbeats: u32,
}

/// The relay has no list, or its list was not confirmed in time; it accepts no subscribers until that has changed.
#[derive(Debug, Error)]
#[error("the list was not confirmed within {} s", HEARTBEAT_TIMEOUT.as_secs_f64())]
pub struct StaleList;

impl SubscriberTable {
    /// The revision of the current list; none before the first one.
    pub fn revision(&self) -> Option<u64> {
        self.log.revision()
    }

    /// Accepts the next complete list, whatever its revision.
    pub fn forget_revision(&mut self) {
        self.log.forget_revision();
    }

    /// Adds a subscriber that holds the revision `after`, or no list. Its first message carries the changes since then,
    /// or the complete list.
    ///
    /// # Errors
    /// The relay has no list, or its list was not confirmed in time.
    pub fn subscribe(
        &mut self,
        subscription: Subscription,
        after: Option<u64>,
    ) -> Result<(SubscriberId, Receiver<Bytes>), StaleList> {
        let first = self.log.since(&subscription, after).filter(|_| self.is_fresh()).ok_or(StaleList)?;
        let (messages, receiver) = channel(MAX_QUEUED_MESSAGES);
        let digest = Some(self.log.digest(&subscription));
        let revision = first.revision;
        // Cannot fail: the queue is still empty.
        let _ = messages.try_send(self.encode(Update { digest, ..first }));
        self.last_id += 1;
        self.connections.insert(self.last_id, Subscriber { messages, revision, sent_since_heartbeat: false });
        self.subscriptions.subscribe(self.last_id, subscription);
        Ok((self.last_id, receiver))
    }

    /// Removes a subscriber.
    pub fn unsubscribe(&mut self, id: SubscriberId) {
        self.connections.remove(&id);
        self.subscriptions.unsubscribe(&id);
    }

    /// Whether the list was confirmed within the heartbeat timeout.
    pub fn is_fresh(&self) -> bool {
        self.confirmed_at.is_some_and(|at| at.elapsed() <= HEARTBEAT_TIMEOUT)
    }

    /// The number of subscribers.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Applies an update from upstream, and sends each subscriber the changes to the services that it follows.
    ///
    /// # Errors
    /// The update does not fit the current list, which stays unchanged.
    pub fn apply(&mut self, update: Update) -> Result<(), ApplyError> {
        let applied = self.log.apply(update)?;
        let interested = self.subscriptions.interested_in_any(applied.services.iter().map(String::as_str));
        // Subscribers with the same subscription and revision share one encoded message.
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

    /// Queues a message for a subscriber, and removes the subscriber if its queue is full or closed.
    fn send(&mut self, id: SubscriberId, bytes: Bytes, revision: Option<u64>) {
        let Some(subscriber) = self.connections.get_mut(&id) else { return };
        if subscriber.messages.try_send(bytes).is_err() {
            log("relay", format_args!("subscriber {id} reads too slowly or has disconnected: removed"));
            return self.unsubscribe(id);
        }
        subscriber.sent_since_heartbeat = true;
        subscriber.revision = revision.unwrap_or(subscriber.revision);
    }

    /// Records that the list was confirmed `age` ago. An earlier confirmation than the recorded one has no effect.
    pub fn record_confirmation(&mut self, age: Duration) {
        let now = Instant::now();
        self.confirmed_at = self.confirmed_at.max(Some(now.checked_sub(age).unwrap_or(now)));
    }

    /// Whether a heartbeat from upstream is forwarded to the subscribers.
    pub fn should_forward(&self, heartbeat: Heartbeat) -> bool {
        match heartbeat {
            Heartbeat::EmptyLine => true,
            Heartbeat::Message { confirmed_ago } => {
                let is_due = || self.last_heartbeat_at.is_none_or(|at| at.elapsed() >= HEARTBEAT_INTERVAL);
                confirmed_ago.is_zero() && is_due()
            }
        }
    }

    /// Sends a heartbeat to each subscriber that was sent no message since the last one, or, when one is due, a digest to
    /// all subscribers.
    pub fn forward_heartbeat(&mut self) {
        self.last_heartbeat_at = Some(Instant::now());
        self.forwarded_heartbeats = self.forwarded_heartbeats.wrapping_add(1);
        let with_digest = self.forwarded_heartbeats.is_multiple_of(HEARTBEATS_PER_DIGEST);
        let ids: Vec<SubscriberId> = self.connections.keys().copied().collect();
        for id in ids {
            if with_digest {
                self.send_digest(id);
            } else if self.connections.get(&id).is_some_and(|subscriber| !subscriber.sent_since_heartbeat) {
                self.send(id, Bytes::from_static(EMPTY_LINE), None);
            }
            if let Some(subscriber) = self.connections.get_mut(&id) {
                subscriber.sent_since_heartbeat = false;
            }
        }
    }

    /// Sends the digest of the list that the subscriber should hold, with the current revision: a subscriber whose
    /// services rarely change would otherwise resume after a revision that the history no longer reaches.
    fn send_digest(&mut self, id: SubscriberId) {
        let Some(subscription) = self.subscriptions.subscription(&id) else { return };
        let Some(update) = self.log.digest_message(subscription) else { return };
        let revision = update.revision;
        self.send(id, self.encode(update), Some(revision));
    }

    /// Encodes a message with the time since this relay's list was confirmed, so that forwarding does not make the list
    /// look fresher than it is.
    fn encode(&self, mut update: Update) -> Bytes {
        let age = self.confirmed_at.map_or(Duration::ZERO, |at| at.elapsed());
        update.confirmed_ago_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let mut text = serde_json::to_vec(&update).unwrap_or_default();
        text.push(b'\n');
        text.into()
    }
}
