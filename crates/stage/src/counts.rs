//! The counts of a keeper: it adds to named numbers, a call after the other, forgets names when their life is over, and
//! can run slow, lose counts, answer with old totals, add twice or be several with a view each.

use crate::scenario;
use crate::schedule::{micros, Micros};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Names are forgotten after this at the latest.
const LONGEST_LIFE: Micros = 60_000_000;
/// A call that would wait longer than this many time-outs of its callers is turned away.
const QUEUE: f64 = 2.0;

/// Totals by name, and when each is forgotten.
type Numbers = HashMap<String, (f64, Micros)>;

/// Another keeper that some limiters reach in place of this one.
#[derive(Clone, Debug)]
struct View {
    limiters: BTreeSet<u16>,
    /// What it began with, and what it has.
    began: Numbers,
    numbers: Numbers,
}

/// The counts, and what faults do to them.
#[derive(Clone, Debug)]
pub struct Counts {
    calls_per_s: f64,
    call_s: f64,
    longest: Micros,
    numbers: Numbers,
    /// When the line of calls will have been worked off.
    busy_until: Micros,
    slow: BTreeMap<u32, f64>,
    /// What each fault of this kind froze.
    stale: BTreeMap<u32, Numbers>,
    doubling: BTreeSet<u32>,
    /// Others that take themselves for this one, by the fault that made them.
    views: BTreeMap<u32, View>,
}

impl Counts {
    /// None so far.
    pub fn new(figures: &scenario::Keeper) -> Counts {
        Counts {
            calls_per_s: figures.calls_per_s,
            call_s: figures.call_ms / 1e3,
            longest: micros(figures.timeout_ms / 1e3 * QUEUE),
            numbers: Numbers::new(),
            busy_until: 0,
            slow: BTreeMap::new(),
            stale: BTreeMap::new(),
            doubling: BTreeSet::new(),
            views: BTreeMap::new(),
        }
    }

    /// When a call that comes now has its turn, and when its answer is out; none where the line is too long.
    pub fn turn(&mut self, now: Micros) -> Option<(Micros, Micros)> {
        let slower = self.slower();
        let begins = self.busy_until.max(now);
        if begins - now > self.longest {
            return None;
        }
        let turn = begins + micros(slower / self.calls_per_s);
        self.busy_until = turn;
        Some((turn, turn + micros(self.call_s * slower)))
    }

    /// How many times as long a call takes now.
    pub fn slower(&self) -> f64 {
        self.slow.values().product()
    }

    /// Adds for a limiter; the total that it is told.
    pub fn add(&mut self, limiter: u16, now: Micros, name: &str, add: f64, life: Micros) -> f64 {
        let add = if self.doubling.is_empty() { add } else { 2.0 * add };
        let view = self.views.values_mut().find(|view| view.limiters.contains(&limiter));
        let numbers = view.map_or(&mut self.numbers, |view| &mut view.numbers);
        // Forgotten names are swept now and then; one that is asked for is looked at by itself.
        if numbers.len() > 1_024 && numbers.len().is_power_of_two() {
            numbers.retain(|_, (_, until)| *until > now);
        }
        let fresh = (0.0, now + life.min(LONGEST_LIFE));
        if numbers.get(name).is_none_or(|(_, until)| *until <= now) {
            numbers.insert(name.to_string(), fresh);
        }
        let number = numbers.entry(name.to_string()).or_insert(fresh);
        number.0 += add;
        let total = number.0;
        let old = self.stale.values().next().map(|old| old.get(name).map_or(0.0, |(total, _)| *total));
        old.unwrap_or(total)
    }

    /// A fault begins: calls take so many times as long.
    pub fn slow_down(&mut self, fault: u32, times: f64) {
        self.slow.insert(fault, times);
    }

    /// A fault begins: totals stay as they are now. What is added meanwhile is kept.
    pub fn freeze(&mut self, fault: u32) {
        self.stale.insert(fault, self.numbers.clone());
    }

    /// A fault begins: what is added is added twice.
    pub fn double(&mut self, fault: u32) {
        self.doubling.insert(fault);
    }

    /// A fault begins: these limiters reach another keeper, which begins with this share of the names.
    pub fn split(&mut self, fault: u32, limiters: BTreeSet<u16>, share: f64, seed: u64) {
        let mut began = self.numbers.clone();
        lose(&mut began, 1.0 - share, seed);
        let numbers = began.clone();
        self.views.insert(fault, View { limiters, began, numbers });
    }

    /// This share of the names is lost, which the seed picks.
    pub fn forget(&mut self, share: f64, seed: u64) {
        lose(&mut self.numbers, share, seed);
    }

    /// What this fault did is over.
    pub fn undo(&mut self, fault: u32) {
        self.slow.remove(&fault);
        self.stale.remove(&fault);
        self.doubling.remove(&fault);
        if let Some(view) = self.views.remove(&fault) {
            // Both sets of counts: what was counted on the other side since it began is added.
            for (name, (total, until)) in view.numbers {
                let before = view.began.get(&name).map_or(0.0, |(total, _)| *total);
                self.numbers.entry(name).or_insert((0.0, until)).0 += total - before;
            }
        }
    }
}

fn lose(numbers: &mut Numbers, share: f64, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut names: Vec<String> = numbers.keys().cloned().collect();
    names.sort_unstable();
    for name in names {
        if rng.f64() < share {
            numbers.remove(&name);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn counts(calls_per_s: f64) -> Counts {
        Counts::new(&scenario::Keeper { calls_per_s, call_ms: 1.0, ..scenario::Keeper::default() })
    }

    #[test]
    fn names_live_as_long_as_their_first_call_says_and_a_minute_at_most() {
        let mut c = counts(100.0);
        assert_eq!(c.add(0, 0, "a", 2.0, 3 * S), 2.0);
        assert_eq!(c.add(0, 2 * S, "a", 1.0, 90 * S), 3.0, "the life is that of the first");
        assert_eq!(c.add(0, 3 * S, "a", 1.0, 90 * S), 1.0);
        assert_eq!(c.add(0, 63 * S, "a", 1.0, S), 1.0, "sixty seconds later");
    }

    #[test]
    fn calls_have_their_turn_one_after_the_other_and_a_line_too_long_turns_them_away() {
        let mut c = counts(100.0);
        assert_eq!(c.turn(S), Some((S + 10_000, S + 11_000)));
        assert_eq!(c.turn(S), Some((S + 20_000, S + 21_000)));
        c.slow_down(1, 3.0);
        assert_eq!(c.turn(S), Some((S + 50_000, S + 53_000)));
        c.undo(1);
        // Twice the time-out of 50 ms, and a turn.
        let waits: Vec<_> = std::iter::from_fn(|| c.turn(S)).map(|(turn, _)| (turn - S) / 1_000).collect();
        assert_eq!(waits, [60, 70, 80, 90, 100, 110]);
    }

    #[test]
    fn views_that_are_healed_hold_what_was_counted_on_both_sides() {
        let mut c = counts(100.0);
        c.add(0, 0, "a", 5.0, 60 * S);
        c.split(7, [1].into(), 1.0, 3);
        assert_eq!((c.add(0, S, "a", 1.0, S), c.add(1, S, "a", 2.0, S)), (6.0, 7.0));
        c.undo(7);
        assert_eq!(c.add(0, S, "a", 0.0, S), 8.0);
        c.freeze(8);
        assert_eq!(c.add(0, S, "a", 4.0, S), 8.0, "old totals");
        c.undo(8);
        c.double(9);
        assert_eq!(c.add(0, S, "a", 1.0, S), 14.0, "what was added to old totals is kept");
        c.forget(1.0, 1);
        assert_eq!(c.add(0, S, "a", 1.0, S), 2.0);
    }
}
