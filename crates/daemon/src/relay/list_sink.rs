//! The sink of a relay's session, which forwards updates from upstream to the subscribers.

use super::subscribers::SubscriberTable;
use crate::discovery::sink::{Heartbeat, ListSink};
use crate::log;
use liftrouter_catalog::{ApplyError, Update};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Forwards the upstream's updates and heartbeats to the subscribers.
pub struct RelayList {
    subscribers: Rc<RefCell<SubscriberTable>>,
}

impl RelayList {
    /// Creates a sink that forwards to `subscribers`.
    pub fn new(subscribers: Rc<RefCell<SubscriberTable>>) -> Self {
        RelayList { subscribers }
    }
}

impl ListSink for RelayList {
    fn revision(&self) -> Option<u64> {
        self.subscribers.borrow().revision()
    }

    fn apply(&mut self, update: Update) -> Result<(), ApplyError> {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.record_confirmation(Duration::from_millis(update.confirmed_ago_ms));
        subscribers.apply(update)
    }

    fn forget_revision(&mut self) {
        self.subscribers.borrow_mut().forget_revision();
    }

    fn heartbeat(&mut self, heartbeat: Heartbeat) {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.record_confirmation(heartbeat.confirmed_ago());
        if subscribers.should_forward(heartbeat) {
            subscribers.forward_heartbeat();
        }
    }

    fn disconnected(&mut self) {}

    fn expired(&mut self, age: Duration) {
        log("relay", format_args!("stale: upstream gave no sign of life for {:.1} s", age.as_secs_f64()));
    }

    fn confirmed(&mut self) {
        log("relay", "upstream sends heartbeats again");
    }
}
