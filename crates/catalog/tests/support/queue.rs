//! The events to come, in the order of their time; those of one time in the order of their making.

use super::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

pub struct Queue<E> {
    events: BinaryHeap<Entry<E>>,
    pushed: u64,
}

struct Entry<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> Queue<E> {
    pub fn new() -> Self {
        Queue { events: BinaryHeap::new(), pushed: 0 }
    }

    pub fn push(&mut self, at: Micros, event: E) {
        self.pushed += 1;
        self.events.push(Entry { at, number: self.pushed, event });
    }

    /// The next event up to a time.
    pub fn pop_until(&mut self, end: Micros) -> Option<(Micros, E)> {
        if self.events.peek()?.at > end {
            return None;
        }
        self.events.pop().map(|entry| (entry.at, entry.event))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap gives the greatest first.
        (other.at, other.number).cmp(&(self.at, self.number))
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
