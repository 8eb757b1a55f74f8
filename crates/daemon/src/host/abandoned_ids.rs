//! The ids of requests that may have run, and whose clients left before their answer.
//!
//! Such a request has no answer, so nobody knows whether it ran. If its id came again, it could run twice: the id stays
//! registered as open until the deadline of the request.

use crate::events::OpenRequestId;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Maximum number of ids that are kept; beyond it the oldest is released. It bounds the memory that clients can take by
/// leaving.
const MAX_IDS: usize = 4_096;

/// Ids with the deadlines of their requests, the oldest first.
#[derive(Default)]
pub(super) struct AbandonedIds {
    ids: VecDeque<(Instant, OpenRequestId)>,
}

impl AbandonedIds {
    /// Keeps an id registered until `deadline`.
    pub(super) fn keep(&mut self, id: OpenRequestId, deadline: Instant) {
        if self.ids.len() >= MAX_IDS {
            self.ids.pop_front();
        }
        self.ids.push_back((deadline, id));
    }

    /// Releases the ids whose requests have reached their deadlines, up to the first that has not.
    pub(super) fn release_expired(&mut self, now: Instant) {
        while self.ids.front().is_some_and(|(deadline, _)| *deadline <= now) {
            self.ids.pop_front();
        }
    }
}
