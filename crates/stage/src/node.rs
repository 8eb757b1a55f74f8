//! What faults want of a node. What several want at once is settled by [`Wants`]: the gravest holds, and a node is back
//! only when the last of them is over.

use std::collections::BTreeSet;

/// What the faults that strike a node want of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wants {
    down: BTreeSet<u32>,
    vanished: BTreeSet<u32>,
    draining: BTreeSet<u32>,
}

/// What they come to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    /// It serves.
    #[default]
    Up,
    /// It finishes what it has.
    Draining,
    /// Its machine says nothing.
    Vanished,
    /// Its process is dead.
    Down,
}

impl Wants {
    /// The gravest of them.
    pub fn condition(&self) -> Condition {
        match (self.down.is_empty(), self.vanished.is_empty(), self.draining.is_empty()) {
            (false, _, _) => Condition::Down,
            (true, false, _) => Condition::Vanished,
            (true, true, false) => Condition::Draining,
            (true, true, true) => Condition::Up,
        }
    }

    /// A fault wants this from now on.
    pub fn add(&mut self, fault: u32, condition: Condition) {
        match condition {
            Condition::Up => {}
            Condition::Draining => drop(self.draining.insert(fault)),
            Condition::Vanished => drop(self.vanished.insert(fault)),
            Condition::Down => drop(self.down.insert(fault)),
        }
    }

    /// It wants nothing any more.
    pub fn remove(&mut self, fault: u32) {
        self.down.remove(&fault);
        self.vanished.remove(&fault);
        self.draining.remove(&fault);
    }
}

/// The cell of the n-th node: cells of four, none over two rooms.
pub fn cell(n: usize, rooms: usize) -> i64 {
    (n / rooms / 4 * rooms + n % rooms) as i64
}

/// Share of the list's notice after which it knows that a node drains.
pub const DRAIN_NOTICE: f64 = 0.2;

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    proptest! {
        #[test]
        fn a_node_is_up_exactly_when_no_fault_holds_it(
            steps in proptest::collection::vec((0u32..6, 0usize..4), 1..40),
        ) {
            let all = [Condition::Draining, Condition::Vanished, Condition::Down];
            let mut wants = Wants::default();
            let mut held: BTreeMap<u32, Condition> = BTreeMap::new();
            for (fault, what) in steps {
                match all.get(what) {
                    Some(condition) if !held.contains_key(&fault) => {
                        wants.add(fault, *condition);
                        held.insert(fault, *condition);
                    }
                    _ => {
                        wants.remove(fault);
                        held.remove(&fault);
                    }
                }
                let gravest = |c| held.values().any(|h| *h == c);
                let expected = all.iter().rev().find(|c| gravest(**c)).copied().unwrap_or(Condition::Up);
                prop_assert_eq!(wants.condition(), expected);
            }
        }
    }
}
