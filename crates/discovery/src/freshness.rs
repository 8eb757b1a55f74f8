//! How long the current list may be used.

use crate::{Delivery, Event};
use std::time::Duration;

/// How long a list on request may be used after the last heartbeat that confirmed it. A limiter counts as notified of
/// a change this long after a reachable discovery service had it, whether or not the notification arrived.
pub const EXPIRY: Duration = Duration::from_secs(6);
/// How long a list may be used after discovery moved to another address. After this time the limiter counts as notified
/// of the new service's list.
pub const EXPIRY_AFTER_MOVE: Duration = Duration::from_secs(4);
/// How long a list from relays may be used after it was last confirmed. A change must take effect everywhere within
/// this time, so an older list is stale.
pub const EXPIRY_RELAYED: Duration = Duration::from_secs(8);

/// Tracks when the current list expires.
#[derive(Debug)]
pub(crate) struct Freshness {
    delivery: Delivery,
    expires_at: Option<Duration>,
}

impl Freshness {
    pub fn new(delivery: Delivery) -> Self {
        Freshness { delivery, expires_at: None }
    }

    /// When the list expires; none before the first list. Pushed lists never expire, because an agent that is silent
    /// has no changes to report either.
    pub fn expires_at(&self) -> Option<Duration> {
        self.expires_at
    }

    pub fn handle(&mut self, now: Duration, event: Event, confirmed_ago: Duration) {
        let validity = match self.delivery {
            Delivery::Pushed => return,
            Delivery::OnRequest => EXPIRY,
            Delivery::Relayed => EXPIRY_RELAYED,
        };
        match event {
            // A relay may report an older confirmation than the last one, which must not shorten the validity.
            Event::WatchOpened | Event::Heartbeat => {
                self.expires_at = self.expires_at.max(Some((now + validity).saturating_sub(confirmed_ago)));
            }
            Event::Moved => self.expires_at = self.expires_at.map(|at| at.min(now + EXPIRY_AFTER_MOVE)),
            Event::CallStarted(_) | Event::CallAnswered(_) | Event::CallFailed(..) | Event::WatchClosed => {}
        }
    }
}
