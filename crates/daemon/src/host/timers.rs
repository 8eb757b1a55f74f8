//! The timers that the decision module has set.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::time::Instant;

/// Timers in the order in which they fall due, each with the module's token.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
}

impl TimerQueue {
    pub(super) fn set(&mut self, at: Instant, token: u64) {
        self.timers.push(Reverse((at, token)));
    }

    /// When the next timer falls due.
    pub(super) fn next(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the timers that are due and returns their tokens, the earliest first.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<u64> {
        let mut due = Vec::new();
        while let Some(Reverse((_, token))) = self.timers.peek().filter(|Reverse((at, _))| *at <= now) {
            due.push(*token);
            self.timers.pop();
        }
        due
    }
}
