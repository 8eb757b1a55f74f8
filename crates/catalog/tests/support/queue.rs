//! A queue of pending events, ordered by time; events of the same time keep their order of insertion.

use super::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

pub struct Queue<E> {
    events: BinaryHeap<Entry<E>>,
    pushed: u64,
}

struct Entry<E> {
    at: Micros,
    /// The position in the order of insertion.
    sequence: u64,
    event: E,
}

impl<E> Queue<E> {
    pub fn new() -> Self {
        Queue { events: BinaryHeap::new(), pushed: 0 }
    }

    pub fn push(&mut self, at: Micros, event: E) {
        self.pushed += 1;
        self.events.push(Entry { at, sequence: self.pushed, event });
    }

    /// Removes the next event if it is due at `end` or earlier.
    pub fn pop_until(&mut self, end: Micros) -> Option<(Micros, E)> {
        if self.events.peek()?.at > end {
            return None;
        }
        self.events.pop().map(|entry| (entry.at, entry.event))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed: `BinaryHeap` pops the greatest entry, and the earliest event must come first.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}
