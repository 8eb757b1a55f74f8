//! The list as a relay holds it, and the children that follow it.

use crate::discovery::sink::{ListSink, SignOfLife};
use crate::log;
use bytes::Bytes;
use liftrouter_catalog::{ApplyError, ChangeLog, Subscribers, Subscription, Update};
use liftrouter_discovery::SILENCE;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::time::Instant;

/// Messages that may wait for a child. One that reads slower is cut off and comes again by its revision.
const CHILD_QUEUE: usize = 64;
/// Each so many signs of life one carries the digest of what the child holds: every 10 s.
const DIGEST_EVERY: u32 = 5;
/// A message from upstream is passed on as a sign of life where the last one was passed on so long ago: discovery
/// writes no empty line while it has changes to tell.
const SIGN_AFTER: Duration = Duration::from_millis(1_500);
/// What tells a child that nothing has changed.
const EMPTY_LINE: &[u8] = b"\n";

/// Number of a child, unique in its relay.
pub type ChildId = u64;

struct Child {
    messages: Sender<Bytes>,
    /// What it holds once it has read all its messages.
    revision: u64,
    /// Something was sent since the last sign of life.
    told: bool,
}

/// The list, and who follows it.
#[derive(Default)]
pub struct Children {
    log: ChangeLog,
    subscribers: Subscribers<ChildId>,
    children: BTreeMap<ChildId, Child>,
    last_child: ChildId,
    /// When the list was last confirmed, as upstream tells.
    confirmed: Option<Instant>,
    /// When a sign of life was last passed on, and how many were.
    last_sign: Option<Instant>,
    signs: u32,
}

/// A relay cannot take children while it does not know whether its list is current.
#[derive(Debug)]
pub struct NotFresh;

impl Children {
    /// Takes in a child that holds a revision, or nothing. Its first message is what it lacks.
    ///
    /// # Errors
    /// The relay has no list that it knows to be current.
    pub fn subscribe(
        &mut self,
        subscription: Subscription,
        after: Option<u64>,
    ) -> Result<(ChildId, Receiver<Bytes>), NotFresh> {
        let first = self.log.since(&subscription, after).filter(|_| self.is_fresh()).ok_or(NotFresh)?;
        let (messages, receiver) = channel(CHILD_QUEUE);
        let digest = Some(self.log.digest(&subscription));
        let revision = first.generation;
        // The queue is empty: it takes the first message.
        let _ = messages.try_send(self.line(Update { digest, ..first }));
        self.last_child += 1;
        self.children.insert(self.last_child, Child { messages, revision, told: false });
        self.subscribers.subscribe(self.last_child, subscription);
        Ok((self.last_child, receiver))
    }

    /// The child has gone.
    pub fn unsubscribe(&mut self, child: ChildId) {
        self.children.remove(&child);
        self.subscribers.unsubscribe(&child);
    }

    /// Whether upstream gave a sign of life in time.
    pub fn is_fresh(&self) -> bool {
        self.confirmed.is_some_and(|at| at.elapsed() <= SILENCE)
    }

    pub fn len(&self) -> usize {
        self.children.len()
    }

    fn apply(&mut self, update: Update) -> Result<(), ApplyError> {
        let applied = self.log.apply(update)?;
        let concerned = self.subscribers.interested_in_any(applied.services.iter().map(String::as_str));
        // Children of one subscription and revision get the same bytes.
        let mut lines: HashMap<(Subscription, u64), Bytes> = HashMap::new();
        for id in concerned {
            let (Some(child), Some(subscription)) =
                (self.children.get(&id), self.subscribers.subscription(&id))
            else {
                continue;
            };
            let key = (subscription.clone(), child.revision);
            let bytes = match lines.get(&key) {
                Some(bytes) => bytes.clone(),
                None => {
                    let Some(update) = self.log.since(subscription, Some(child.revision)) else { continue };
                    lines.entry(key).or_insert(self.line(update)).clone()
                }
            };
            self.send(id, bytes, Some(applied.generation));
        }
        Ok(())
    }

    fn send(&mut self, id: ChildId, bytes: Bytes, revision: Option<u64>) {
        let Some(child) = self.children.get_mut(&id) else { return };
        if child.messages.try_send(bytes).is_err() {
            log("relay", format_args!("child {id} reads too slowly or has gone: it is cut off"));
            return self.unsubscribe(id);
        }
        child.told = true;
        child.revision = revision.unwrap_or(child.revision);
    }

    fn confirm(&mut self, ago: Duration) {
        let now = Instant::now();
        self.confirmed = self.confirmed.max(Some(now.checked_sub(ago).unwrap_or(now)));
    }

    /// Whether a sign of life of upstream is to be passed on.
    fn passes_on(&self, sign: SignOfLife) -> bool {
        match sign {
            SignOfLife::EmptyLine => true,
            SignOfLife::Message { confirmed_ago } => {
                confirmed_ago.is_zero() && self.last_sign.is_none_or(|at| at.elapsed() >= SIGN_AFTER)
            }
        }
    }

    /// Each child that was told nothing since the last sign of life gets one.
    fn pass_on_sign(&mut self) {
        self.last_sign = Some(Instant::now());
        self.signs = self.signs.wrapping_add(1);
        let with_digest = self.signs.is_multiple_of(DIGEST_EVERY);
        let ids: Vec<ChildId> = self.children.keys().copied().collect();
        for id in ids {
            if with_digest {
                self.send_digest(id);
            } else if self.children.get(&id).is_some_and(|child| !child.told) {
                self.send(id, Bytes::from_static(EMPTY_LINE), None);
            }
            if let Some(child) = self.children.get_mut(&id) {
                child.told = false;
            }
        }
    }

    /// Tells the child what it should hold, and the present revision, so that the history need not reach back far.
    fn send_digest(&mut self, id: ChildId) {
        let Some(subscription) = self.subscribers.subscription(&id) else { return };
        let Some(update) = self.log.digest_message(subscription) else { return };
        let revision = update.generation;
        self.send(id, self.line(update), Some(revision));
    }

    /// A message as it goes out: with the age of this relay's list, which telling it does not make fresh.
    fn line(&self, mut update: Update) -> Bytes {
        let age = self.confirmed.map_or(Duration::ZERO, |at| at.elapsed());
        update.confirmed_ago_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let mut text = serde_json::to_vec(&update).unwrap_or_default();
        text.push(b'\n');
        text.into()
    }
}

/// What upstream tells, taken in for the children.
pub struct RelayList {
    children: Rc<RefCell<Children>>,
}

impl RelayList {
    pub fn new(children: Rc<RefCell<Children>>) -> Self {
        RelayList { children }
    }
}

impl ListSink for RelayList {
    fn revision(&self) -> Option<u64> {
        self.children.borrow().log.generation()
    }

    fn apply(&mut self, update: Update) -> Result<(), ApplyError> {
        let mut children = self.children.borrow_mut();
        children.confirm(Duration::from_millis(update.confirmed_ago_ms));
        children.apply(update)
    }

    fn forget_revision(&mut self) {
        self.children.borrow_mut().log.forget_generation();
    }

    fn heartbeat(&mut self, sign: SignOfLife) {
        let mut children = self.children.borrow_mut();
        children.confirm(sign.confirmed_ago());
        if children.passes_on(sign) {
            children.pass_on_sign();
        }
    }

    fn disconnected(&mut self) {}

    fn expired(&mut self, age: Duration) {
        log("relay", format_args!("stale: upstream gave no sign of life for {:.1} s", age.as_secs_f64()));
    }

    fn confirmed(&mut self) {
        log("relay", "upstream gives signs of life again");
    }
}
