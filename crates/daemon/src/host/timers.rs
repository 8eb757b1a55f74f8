//! The timers set by the decision module.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::time::Instant;

/// A priority queue of timers, ordered by expiry. Each timer carries a token chosen by the module.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
}

impl TimerQueue {
    /// Adds a timer.
    pub(super) fn set(&mut self, at: Instant, token: u64) {
        self.timers.push(Reverse((at, token)));
    }

    /// When the next timer expires.
    pub(super) fn next(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the expired timers and returns their tokens, the earliest first.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<u64> {
        let mut due = Vec::new();
        while let Some(Reverse((_, token))) = self.timers.peek().filter(|Reverse((at, _))| *at <= now) {
            due.push(*token);
            self.timers.pop();
        }
        due
    }
}
