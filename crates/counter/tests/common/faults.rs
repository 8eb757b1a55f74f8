//! Faults take effect, and decide how a call to a counter ends.

use super::counter_service::CounterService;
use super::scenario::Injection;
use super::{World, CALL_SECONDS, MAX_GAP, TIMEOUT};
use liftrouter_counter::{CallResult, PauseDetector};

impl World {
    /// A call of a limiter reaches a counter.
    pub(super) fn reach(
        &mut self,
        n: usize,
        counter: usize,
        name: &str,
        add: f64,
        ttl_s: f64,
    ) -> (CallResult, f64) {
        let instance = &self.instances[n];
        let first = counter == 0;
        if first && instance.cut {
            return (CallResult::Unanswered, TIMEOUT);
        }
        let second = first && instance.side && self.counters[0].other.is_some();
        let counter = match &mut self.counters[counter] {
            CounterService { other: Some(other), .. } if second => other,
            counter => counter,
        };
        if counter.silent {
            return (CallResult::Unanswered, TIMEOUT);
        }
        let total = counter.add(self.now, name, add, ttl_s);
        let elapsed_s = CALL_SECONDS + counter.slow;
        // An answer that comes after the call was given up finds nobody; it was added all the same.
        if elapsed_s > TIMEOUT || counter.mute {
            (CallResult::Unanswered, TIMEOUT)
        } else {
            (CallResult::Total(total), elapsed_s)
        }
    }

    /// Both views of the first counter.
    pub(super) fn both(&mut self, mut change: impl FnMut(&mut CounterService)) {
        change(&mut self.counters[0]);
        if let Some(other) = &mut self.counters[0].other {
            change(other);
        }
    }

    pub(super) fn change(&mut self, change: Injection) {
        let rng = &mut self.rng;
        match change {
            Injection::Silent(counter, on) => self.counters[counter].silent = on,
            Injection::Cut(from) => {
                for (n, instance) in self.instances.iter_mut().enumerate() {
                    instance.cut = from.is_some_and(|from| n >= from);
                }
            }
            Injection::Mute(on) => self.both(|k| k.mute = on),
            Injection::Slow(by) => self.both(|k| k.slow = by),
            Injection::Stale(on) => self.both(|k| k.stale = on.then(|| k.counts.clone())),
            Injection::Doubled(on) => self.both(|k| k.doubled = on),
            Injection::Lose(share) => self.counters[0] = self.counters[0].part(1.0 - share, rng),
            Injection::Split { from, kept } => {
                let second = self.counters[0].part(kept, rng);
                self.counters[0].other = Some(Box::new(second));
                self.instances.iter_mut().skip(from).for_each(|instance| instance.side = true);
            }
            Injection::Heal { both } => {
                self.instances.iter_mut().for_each(|instance| instance.side = false);
                for (name, (total, until)) in self.counters[0].other.take().into_iter().flat_map(|k| k.counts)
                {
                    if both {
                        self.counters[0].counts.entry(name).or_insert((0.0, until)).0 += total;
                    }
                }
            }
            Injection::Restart(n) => {
                self.instances[n].incarnation += 1;
                self.instances[n].limiter = self.new_limiter(n, self.instances[n].incarnation);
                self.instances[n].pause_detector = PauseDetector::new(MAX_GAP, self.now);
                self.start_pacer(n);
                self.start(n);
                if self.instances[n].monitor.is_some() {
                    self.validate(n);
                }
            }
            Injection::Pause(n, seconds) => self.instances[n].paused = self.now + seconds,
        }
    }
}
