//! Injects faults, and determines the results of calls to a counter under them.

use super::counter_service::CounterService;
use super::scenario::Injection;
use super::{Simulation, CALL_DURATION_S, MAX_GAP_S, TIMEOUT_S};
use liftrouter_counter::{CallResult, PauseDetector};

impl Simulation {
    /// Makes a limiter's call to a counter. Returns its result and its duration in seconds.
    pub(super) fn call_counter(
        &mut self,
        n: usize,
        counter: usize,
        name: &str,
        add: f64,
        ttl_s: f64,
    ) -> (CallResult, f64) {
        let instance = &self.instances[n];
        let first = counter == 0;
        if first && instance.isolated {
            return (CallResult::Unanswered, TIMEOUT_S);
        }
        let second = first && instance.on_second_part && self.counters[0].second_part.is_some();
        let counter = match &mut self.counters[counter] {
            CounterService { second_part: Some(part), .. } if second => part,
            counter => counter,
        };
        if counter.unavailable {
            return (CallResult::Unanswered, TIMEOUT_S);
        }
        let total = counter.add(self.now, name, add, ttl_s);
        let elapsed_s = CALL_DURATION_S + counter.delay_s;
        // A call whose answer comes after the timeout or is lost has still been applied.
        if elapsed_s > TIMEOUT_S || counter.drops_answers {
            (CallResult::Unanswered, TIMEOUT_S)
        } else {
            (CallResult::Total(total), elapsed_s)
        }
    }

    /// Changes both parts of the first counter, or the whole if it is not split.
    pub(super) fn for_each_part(&mut self, mut change: impl FnMut(&mut CounterService)) {
        change(&mut self.counters[0]);
        if let Some(part) = &mut self.counters[0].second_part {
            change(part);
        }
    }

    pub(super) fn inject(&mut self, injection: Injection) {
        let rng = &mut self.rng;
        match injection {
            Injection::Unavailable(counter, on) => self.counters[counter].unavailable = on,
            Injection::Isolate(from) => {
                for (n, instance) in self.instances.iter_mut().enumerate() {
                    instance.isolated = from.is_some_and(|from| n >= from);
                }
            }
            Injection::DropAnswers(on) => self.for_each_part(|k| k.drops_answers = on),
            Injection::Delay(by) => self.for_each_part(|k| k.delay_s = by),
            Injection::Stale(on) => self.for_each_part(|k| k.stale = on.then(|| k.counts.clone())),
            Injection::DoubleIncrements(on) => self.for_each_part(|k| k.doubles_increments = on),
            Injection::LoseCounts(share) => {
                self.counters[0] = self.counters[0].partial_copy(1.0 - share, rng);
            }
            Injection::Split { from, kept } => {
                let second = self.counters[0].partial_copy(kept, rng);
                self.counters[0].second_part = Some(Box::new(second));
                self.instances.iter_mut().skip(from).for_each(|instance| instance.on_second_part = true);
            }
            Injection::Heal { merge } => {
                self.instances.iter_mut().for_each(|instance| instance.on_second_part = false);
                for (name, (total, until)) in
                    self.counters[0].second_part.take().into_iter().flat_map(|k| k.counts)
                {
                    if merge {
                        self.counters[0].counts.entry(name).or_insert((0.0, until)).0 += total;
                    }
                }
            }
            Injection::Restart(n) => {
                self.instances[n].incarnation += 1;
                self.instances[n].limiter = self.new_limiter(n, self.instances[n].incarnation);
                self.instances[n].pause_detector = PauseDetector::new(MAX_GAP_S, self.now);
                self.start_pacer(n);
                self.send_endpoint_list(n);
                if self.instances[n].monitor.is_some() {
                    self.start_validation(n);
                }
            }
            Injection::Pause(n, seconds) => self.instances[n].paused_until = self.now + seconds,
        }
    }
}
