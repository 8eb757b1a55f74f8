//! What is due, by time; what falls due at one moment comes in the order in which it was put in.

use liftrouter_stage::schedule::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Due<T>(Micros, u64, T);

impl<T> Ord for Due<T> {
    /// The earliest is the greatest; of those the one that was put in first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}
impl<T> PartialOrd for Due<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> PartialEq for Due<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl<T> Eq for Due<T> {}

/// The queue of a simulation.
pub struct Queue<T> {
    due: BinaryHeap<Due<T>>,
    next: u64,
    now: Micros,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue { due: BinaryHeap::new(), next: 0, now: 0 }
    }
}

impl<T> Queue<T> {
    /// The time of what was taken out last.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Puts in what is due at a time; what is due earlier than now is due now.
    pub fn at(&mut self, at: Micros, what: T) {
        self.due.push(Due(at.max(self.now), self.next, what));
        self.next += 1;
    }

    /// Puts in what is due so much later.
    pub fn after(&mut self, pause: Micros, what: T) {
        self.at(self.now.saturating_add(pause), what);
    }

    /// The next that is due, at its time; nothing that is due after `until`.
    pub fn next(&mut self, until: Micros) -> Option<T> {
        if self.due.peek()?.0 > until {
            return None;
        }
        let Due(at, _, what) = self.due.pop()?;
        self.now = at;
        Some(what)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ties_come_in_the_order_in_which_they_were_put_in() {
        let mut queue = Queue::default();
        for (at, what) in [(5, "c"), (3, "a"), (5, "d"), (3, "b")] {
            queue.at(at, what);
        }
        assert_eq!((queue.next(9), queue.next(9)), (Some("a"), Some("b")));
        queue.at(1, "late");
        assert_eq!((queue.next(9), queue.now()), (Some("late"), 3), "time does not run backwards");
        assert_eq!(queue.next(4), None);
        assert_eq!((queue.next(5), queue.next(5), queue.next(5)), (Some("c"), Some("d"), None));
    }
}
