//! Runs the panel of judges: makes their calls, one at a time to each keeper, and tells which keeper is believed and
//! what to make of its totals.

use super::pool::CounterPool;
use crate::events::{EventQueue, HostEvent};
use crate::log;
use liftrouter_counter::{Answer, Belief, Order, Panel, Quota, Terms, Timing};
use liftrouter_decision::{Outcome, Settings};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// The least pause between two looks at what is due, whatever the clock does.
const LEAST_PAUSE: Duration = Duration::from_millis(5);

/// The time that all limiters share, as it goes on from the start: the system's clock may be set meanwhile.
struct Clock(Instant, f64);

impl Clock {
    fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock(Instant::now(), unix.as_secs_f64())
    }

    fn now(&self) -> f64 {
        self.1 + self.0.elapsed().as_secs_f64()
    }
}

/// Judges the keepers for one limiter.
pub struct Judging {
    keepers: Rc<CounterPool>,
    events: Rc<EventQueue>,
    clock: Clock,
    terms: Terms,
    panel: RefCell<Panel>,
    /// What the panel knows of [`CounterPool::changes`].
    known: Cell<(u32, u32)>,
    /// Plans whose error is stated with each change.
    quotas: Vec<(String, Quota)>,
    timing: Timing,
}

impl Judging {
    /// `seed` differs from limiter to limiter.
    pub fn new(
        keepers: Rc<CounterPool>,
        events: Rc<EventQueue>,
        (terms, order): (Terms, Order),
        settings: &Settings,
        seed: u64,
    ) -> Rc<Self> {
        let clock = Clock::start();
        // A process that starts anew with the same seed must not take the canary before it for its own.
        let tag = seed ^ (clock.1 * 1e6) as u64;
        let limiters = settings.instance_count.max(1);
        let terms = Terms { me: settings.instance_index, limiters, tag, ..terms };
        // Drawn evenly from the seed: limiters that judge alike act at different moments.
        let part = (seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as f64 / f64::from(1 << 24);
        let panel = Panel::new(&terms, order, keepers.all().len(), part, clock.now());
        let plans = settings.plans.iter().filter(|p| p.rate > 0.0);
        let quotas = plans.map(|p| {
            let (rate, burst, ceiling) = (p.rate, p.burst, p.hard_limit_rate / p.rate);
            let quota = Quota { rate, burst, largest: settings.max_request_units, width: limiters, ceiling };
            (p.name.clone(), quota)
        });
        Rc::new(Judging {
            keepers,
            events,
            clock,
            terms,
            panel: RefCell::new(panel),
            known: Cell::default(),
            quotas: quotas.collect(),
            timing: Timing { timeout: settings.counter_timeout.max(0.0), ..Timing::default() },
        })
    }

    /// Judges for as long as it is polled. Each change of belief is one line of the log.
    pub async fn run(self: Rc<Self>) {
        // Until the keeper has been heard, totals are not believed.
        self.tell(self.panel.borrow().belief());
        for keeper in 0..self.keepers.all().len() {
            spawn_local(self.clone().follow(keeper));
        }
        loop {
            self.keepers.changed().await;
            self.catch_up();
        }
    }

    /// Judges one keeper.
    async fn follow(self: Rc<Self>, n: usize) {
        let Some(keeper) = self.keepers.all().get(n).cloned() else { return };
        loop {
            let next = self.panel.borrow().next(n);
            let pause = Duration::try_from_secs_f64(next - self.clock.now()).unwrap_or_default();
            sleep(pause.max(LEAST_PAUSE)).await;
            let call = self.panel.borrow_mut().due(n, self.clock.now());
            let Some(call) = call else { continue };
            let (outcome, total) = keeper.ask(&call.name, call.add, call.lives).await;
            let answer = match outcome {
                Outcome::Ok => Answer::Total(total),
                Outcome::Timeout => Answer::None,
                _ => Answer::NotAdded,
            };
            // Whether the process stood still meanwhile is to be known before the answer.
            self.catch_up();
            let belief = self.panel.borrow_mut().answered(n, &call, answer, self.clock.now());
            belief.into_iter().for_each(|belief| self.tell(belief));
        }
    }

    /// Tells the panel what has happened to the process and to its first keeper.
    fn catch_up(&self) {
        let (now, (wakes, moves)) = (self.clock.now(), self.keepers.changes());
        let known = self.known.replace((wakes, moves));
        if moves != known.1 {
            let belief = self.panel.borrow_mut().moved(0, now);
            belief.into_iter().for_each(|belief| self.tell(belief));
        }
        if wakes != known.0 {
            let belief = self.panel.borrow_mut().woke(now);
            belief.into_iter().for_each(|belief| self.tell(belief));
        }
    }

    fn tell(&self, belief: Belief) {
        self.keepers.believe(belief.post);
        let mut line = belief.to_string();
        if let Some(address) = self.keepers.all().get(belief.post.keeper).and_then(|k| k.address()) {
            let _ = write!(line, "; at {address}");
        }
        for (n, (name, quota)) in self.quotas.iter().enumerate() {
            let bound = belief.bound(quota, &self.timing, &self.terms);
            let before = if n == 0 { "; off by at most, in units:" } else { "," };
            let _ = write!(line, "{before} {name} +{:.0} -{:.0}", bound.over, bound.under);
        }
        log("keeper", line);
        self.events.push(HostEvent::CounterValidity {
            usable_quota_ratio: belief.view.share,
            pauses: self.known.get().0,
        });
    }
}
