//! For how long the list at hand may be used.

use crate::{Delivery, Event};
use std::time::Duration;

/// A limiter counts as notified of a change this long after discovery had it and could be reached, whether or not it
/// arrived. So a list may be used for this long after the last heartbeat that confirmed it.
pub const EXPIRY: Duration = Duration::from_secs(6);
/// After a move, the limiter counts as notified of what the new discovery service has after this time.
pub const EXPIRY_AFTER_MOVE: Duration = Duration::from_secs(4);
/// A change is to be in force everywhere within this time: a list from relays that is older is stale.
pub const EXPIRY_RELAYED: Duration = Duration::from_secs(8);

/// The expiry of a list.
#[derive(Debug)]
pub(crate) struct Freshness {
    delivery: Delivery,
    expires_at: Option<Duration>,
}

impl Freshness {
    pub fn new(delivery: Delivery) -> Self {
        Freshness { delivery, expires_at: None }
    }

    /// None before the first list, and where lists are pushed: an agent that is silent has no news either.
    pub fn expires_at(&self) -> Option<Duration> {
        self.expires_at
    }

    pub fn handle(&mut self, now: Duration, event: Event, confirmed_ago: Duration) {
        let good_for = match self.delivery {
            Delivery::Pushed => return,
            Delivery::OnRequest => EXPIRY,
            Delivery::Relayed => EXPIRY_RELAYED,
        };
        match event {
            // An older confirmation takes nothing from a newer one.
            Event::WatchOpened | Event::Heartbeat => {
                self.expires_at = self.expires_at.max(Some((now + good_for).saturating_sub(confirmed_ago)));
            }
            Event::Moved => self.expires_at = self.expires_at.map(|at| at.min(now + EXPIRY_AFTER_MOVE)),
            Event::CallStarted(_) | Event::CallAnswered(_) | Event::CallFailed(..) | Event::WatchClosed => {}
        }
    }
}
