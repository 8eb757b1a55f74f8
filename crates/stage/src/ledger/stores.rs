//! The two kinds of stores that rules go by: units that fill at a rate, and the work a cold node can stand.

use crate::schedule::{seconds, Micros};
use std::collections::VecDeque;

/// A store of units that starts full, fills at a rate and holds so many at most.
#[derive(Clone, Debug)]
pub struct Store {
    rate: f64,
    most: f64,
    level: f64,
    at: Micros,
}

impl Store {
    /// A full one.
    pub fn new(rate: f64, most: f64) -> Self {
        Store { rate, most, level: most, at: 0 }
    }

    /// What it holds at a time; times only go forward.
    pub fn level(&mut self, at: Micros) -> f64 {
        let since = seconds(at.saturating_sub(self.at));
        self.level = (self.level + self.rate * since).min(self.most);
        self.at = self.at.max(at);
        self.level
    }

    /// Takes units, also below nothing, and gives what is left.
    pub fn take(&mut self, at: Micros, units: f64) -> f64 {
        self.level(at);
        self.level -= units;
        self.level
    }
}

/// Figures of the rule on cold nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// A node collapses at this multiple of its present capacity ...
    pub multiple: f64,
    /// ... kept up for this time.
    pub window: Micros,
    /// Work by which the budget may be passed, in seconds: for chance.
    pub slack: f64,
}

/// Work that reached a node.
#[derive(Clone, Copy, Debug)]
struct ArrivedWork {
    at: Micros,
    /// In seconds.
    work: f64,
    /// Whether it came from one that was told of the start.
    told: bool,
}

/// More work within a window than a cold node can stand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// The work within the window, in seconds.
    pub work: f64,
    /// The work that is allowed, in seconds.
    pub allowed: f64,
    /// The ratio of the work that came from those that were told of the start.
    pub told_ratio: f64,
}

/// The work that reached a node since it started cold, within the last window.
#[derive(Clone, Debug)]
pub struct ColdBudget {
    rule: ColdRule,
    capacity: f64,
    from: f64,
    warm_after: Micros,
    started: Micros,
    /// By time. Two windows are kept, so that work may be added up to a window late.
    recent: VecDeque<ArrivedWork>,
}

impl ColdBudget {
    /// A node of so many seconds of work a second that starts at a share `from` of it and is warm later.
    pub fn new(rule: ColdRule, capacity: f64, from: f64, warm_after: Micros, started: Micros) -> Self {
        ColdBudget { rule, capacity, from, warm_after, started, recent: VecDeque::new() }
    }

    /// Share of its capacity at a time: rises evenly.
    pub fn warmth(&self, at: Micros) -> f64 {
        let age = at.saturating_sub(self.started) as f64;
        let share = if self.warm_after == 0 { 1.0 } else { age / self.warm_after as f64 };
        (self.from + (1.0 - self.from) * share).min(1.0)
    }

    /// Work reaches it. Returns the first overload that this makes, if any.
    ///
    /// Work may be added in another order than that of its times, up to a window late: a node takes up what several
    /// connections bring as its threads come to it. Whether the budget is passed depends on the times alone.
    pub fn push(&mut self, at: Micros, work: f64, told: bool) -> Option<Overload> {
        if self.warmth(at) >= 1.0 {
            self.recent.clear();
            return None;
        }
        let position = self.recent.partition_point(|arrived| arrived.at <= at);
        self.recent.insert(position, ArrivedWork { at, work, told });
        let overload = (position..self.recent.len()).find_map(|last| self.overload(last));
        self.forget_old();
        overload
    }

    /// The overload at the time of one arrival, if there is one.
    fn overload(&self, last: usize) -> Option<Overload> {
        let at = self.recent[last].at;
        let first = self.recent.partition_point(|arrived| arrived.at + self.rule.window < at);
        let window = || self.recent.range(first..=last);
        let work: f64 = window().map(|arrived| arrived.work).sum();
        let warm_work = self.rule.multiple * self.capacity * seconds(self.rule.window);
        let allowed = warm_work * self.warmth(at) + self.rule.slack;
        if work <= allowed {
            return None;
        }
        let told: f64 = window().filter(|arrived| arrived.told).map(|arrived| arrived.work).sum();
        Some(Overload { work, allowed, told_ratio: told / work })
    }

    /// Drops what no later or late work can share a window with.
    fn forget_old(&mut self) {
        let Some(newest) = self.recent.back().map(|arrived| arrived.at) else { return };
        while self.recent.front().is_some_and(|arrived| arrived.at + 2 * self.rule.window < newest) {
            self.recent.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const RULE: ColdRule = ColdRule { multiple: 3.0, window: 2_000_000, slack: 0.0 };

    #[test]
    fn a_store_fills_at_its_rate_and_no_further() {
        let mut store = Store::new(2.0, 10.0);
        assert_eq!(store.take(0, 4.0), 6.0);
        assert_eq!(store.level(1_000_000), 8.0);
        assert_eq!(store.level(60_000_000), 10.0);
    }

    #[test]
    fn a_cold_node_stands_its_budget_and_not_more() {
        // One core at a quarter: 3 x 0.25 x 2 s are 1.5 s of work.
        let mut budget = ColdBudget::new(RULE, 1.0, 0.25, 10_000_000, 0);
        assert_eq!(budget.push(0, 1.5, true), None);
        let overload = budget.push(1, 0.5, false).expect("over the budget");
        assert!(overload.work == 2.0 && overload.told_ratio == 0.75, "{overload:?}");
        assert!((overload.allowed - 1.5).abs() < 1e-6, "{overload:?}");
        // Later the window has passed, and the node is warmer.
        assert_eq!(budget.push(3_000_000, 1.5, true), None);
        assert_eq!(budget.push(10_000_000, 1_000.0, true), None, "a warm node takes anything");
    }

    proptest! {
        #[test]
        fn a_store_gives_what_it_held_and_what_filled_it(
            rate in 0.1..50.0f64, most in 1.0..100.0f64,
            takes in proptest::collection::vec((0u64..2_000_000, 0.1..5.0f64), 1..200),
        ) {
            let mut store = Store::new(rate, most);
            let (mut at, mut taken) = (0, 0.0);
            for (pause, units) in takes {
                at += pause;
                if store.level(at) >= units {
                    store.take(at, units);
                    taken += units;
                }
                prop_assert!(taken <= most + rate * seconds(at) + 1e-6);
            }
        }
    }
}
