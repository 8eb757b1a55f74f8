//! Bounds on the error of a quota, from its figures and the limiters' timing alone.

/// A quota and who may spend it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second; above 0.
    pub rate: f64,
    /// Units that may be used at once; 0 or above.
    pub burst: f64,
    /// Units of the largest request.
    pub largest: f64,
    /// Limiters that the customer comes through, from 1.
    pub width: u32,
}

/// How limiters talk to the keeper, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Most seconds between two calls for a customer that is busy at a limiter.
    pub period: f64,
    /// A call is given up after this.
    pub timeout: f64,
    /// Unanswered calls in a row after which a limiter takes the keeper to be down.
    pub misses: u32,
    /// How long what was learned is averaged, at most.
    pub memory: f64,
}

impl Default for Timing {
    /// The decision module's figures, with the platform's time-out.
    fn default() -> Self {
        Timing { period: 0.55, timeout: 0.05, misses: 3, memory: 10.0 }
    }
}

impl Timing {
    /// Until a limiter that calls for one customer alone knows that the keeper is silent.
    fn until_down(&self) -> f64 {
        f64::from(self.misses) * (self.period + self.timeout)
    }
}

/// What the keeper does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Works.
    None,
    /// Answers nothing, or refuses, for so long.
    Silent {
        /// How long.
        seconds: f64,
    },
    /// Forgets names, once: this one among them or not.
    Lost,
    /// Answers so many seconds late, within the callers' time-out.
    Slow {
        /// How late.
        seconds: f64,
    },
    /// Answers with the totals of the beginning for so long; what is added is kept.
    Stale {
        /// How long.
        seconds: f64,
    },
    /// Is several keepers for so long, each of which part of the limiters calls.
    Split {
        /// How many, from 2.
        views: u32,
        /// How long.
        seconds: f64,
    },
    /// Adds every call twice, for so long.
    Doubled {
        /// How long.
        seconds: f64,
    },
    /// Anything at all for so long, lies included: what holds without believing it.
    Any {
        /// How long.
        seconds: f64,
    },
}

/// The most by which a customer's use may leave its quota, in units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Sent on beyond `burst + rate * stretch` in any stretch of time that the fault is a part of.
    pub over: f64,
}

impl Bound {
    /// The bound under a fault.
    ///
    /// It rests on three facts about a limiter, whatever it is told: its limit is never above the rate; its
    /// bucket never holds more than that limit gives in `burst / rate` seconds, or one request; and it lends at
    /// most 0.3 of its own bucket, or 0.7 of the burst where the bucket holds under one request.
    pub fn of(quota: &Quota, timing: &Timing, fault: Fault) -> Bound {
        let width = f64::from(quota.width.max(1));
        let others = width - 1.0;
        // Shares lag behind shifts of the load for as long as totals are averaged: meanwhile each of the others
        // may spend at the fallback what the busiest still spends.
        let lag = quota.rate * others / width * (timing.memory + timing.period);
        // Each bucket holds one request at least, and may be full when shares shift.
        let buckets = 2.0 * quota.burst + width * quota.largest;
        // The larger of the two loans, at every bucket.
        let loans = 0.7 * quota.burst * width;
        let usual = lag + buckets + loans - quota.burst;
        // While the limits of all add up to so many times the quota.
        let excess = |times: f64, seconds: f64| quota.rate * (times - 1.0) * seconds;
        let over = match fault {
            // Totals are late by no more than they are averaged; doubled ones have the same quotients.
            Fault::None | Fault::Slow { .. } | Fault::Doubled { .. } => usual,
            // Old shares hold until the silence is known, then each has the fallback, which add up to the quota.
            Fault::Silent { .. } => usual + excess(2.0, timing.until_down()),
            // A name's own steps go missing at once; what others lost is seen within a memory.
            Fault::Lost => usual + excess(width, timing.memory + timing.period),
            // Totals that miss own steps count as missing, which leaves the fallback. Limiters that added nothing
            // see no use of others: to them the quota is idle, and they lend.
            Fault::Stale { seconds } => usual + excess(2.0, seconds + timing.memory),
            Fault::Split { views, seconds } => {
                let views = f64::from(views.max(1)).min(width);
                usual + excess(views, seconds + timing.memory) + (views - 1.0) * quota.burst
            }
            Fault::Any { seconds } => {
                usual + excess(width, seconds + timing.memory) + others * (1.3 * quota.burst + quota.largest)
            }
        };
        Bound { over }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const AGENCY: Quota = Quota { rate: 6.5, burst: 30.0, largest: 4.0, width: 3 };

    #[test]
    fn a_fault_is_never_better_than_none_and_never_worse_than_any() {
        let timing = Timing::default();
        let seconds = 30.0;
        let any = Bound::of(&AGENCY, &timing, Fault::Any { seconds }).over;
        let none = Bound::of(&AGENCY, &timing, Fault::None).over;
        for fault in [
            Fault::Silent { seconds },
            Fault::Lost,
            Fault::Slow { seconds: 0.02 },
            Fault::Stale { seconds },
            Fault::Split { views: 2, seconds },
            Fault::Doubled { seconds },
        ] {
            let over = Bound::of(&AGENCY, &timing, fault).over;
            assert!((none..=any).contains(&over), "{fault:?}: {over}, none {none}, any {any}");
        }
    }

    #[test]
    fn a_single_limiter_can_only_be_over_by_what_it_lends_and_holds() {
        let alone = Quota { width: 1, ..AGENCY };
        for seconds in [1.0, 1_000.0] {
            let split = Bound::of(&alone, &Timing::default(), Fault::Split { views: 2, seconds });
            assert_eq!(split, Bound::of(&alone, &Timing::default(), Fault::None));
        }
    }
}
