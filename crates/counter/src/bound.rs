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
    /// Its hard ceiling, in times of rate and burst; 0: none.
    pub ceiling: f64,
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
    /// Gives no answers to some of the limiters for so long, and goes on for the others.
    Cut {
        /// How many of the customer's limiters are cut off, one at least.
        limiters: u32,
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
    /// Refused of what a customer asked inside its quota, in a stretch that holds the fault and in which the part of
    /// each limiter in its use changes once at most; [`CHANCE`] comes on top.
    pub under: f64,
    /// And refused each second beside that, all along: a ceiling is divided evenly, so a customer that comes through
    /// fewer limiters than it might has a smaller one.
    pub under_per_s: f64,
}

/// Share of the quota over a stretch that chance may refuse beside [`Bound::under`]: what comes through each limiter
/// varies more than the sum, and shares follow the mean. Measured, not derived.
pub const CHANCE: f64 = 0.15;

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
            // Totals are late by no more than they are averaged; doubled ones halve each limiter's weight.
            Fault::None | Fault::Slow { .. } | Fault::Doubled { .. } => usual,
            // Old shares hold until the silence is known, then each has the fallback, which add up to the quota.
            Fault::Silent { .. } => usual + excess(2.0, timing.until_down()),
            // The others divide the whole quota, and those that are cut off have their fallback beside it.
            Fault::Cut { limiters, seconds } => {
                let cut = f64::from(limiters.min(quota.width)) / width;
                usual + quota.rate * cut * (seconds + timing.memory) + excess(2.0, timing.until_down())
            }
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
        // A ceiling's store begins empty with each limiter, so it may refuse what the quota's burst would cover.
        let empty = if quota.ceiling > 0.0 { quota.burst } else { 0.0 };
        let under_per_s =
            if quota.ceiling > 0.0 { quota.rate * (1.0 - quota.ceiling / width).max(0.0) } else { 0.0 };
        Bound { over, under: empty + Bound::under(quota, timing, fault), under_per_s }
    }

    /// Refused of what a customer asked inside its quota in a stretch of so many seconds, at most.
    pub fn under_in(&self, quota: &Quota, seconds: f64) -> f64 {
        self.under + (self.under_per_s + CHANCE * quota.rate) * seconds
    }

    /// A limiter has its even part at least, 1 / width of rate and burst, under every fault that does not lie: so the
    /// most that can be missing is the rest of both, for as long as shares are not what they should be.
    fn under(quota: &Quota, timing: &Timing, fault: Fault) -> f64 {
        let width = f64::from(quota.width.max(1));
        let rest = (width - 1.0) / width;
        // Until totals have told of a shift.
        let told = timing.memory + timing.period;
        let missing = |seconds: f64| rest * (quota.rate * seconds + quota.burst);
        match fault {
            Fault::None | Fault::Slow { .. } => missing(told),
            // A limiter knows its own steps, which are not doubled, and the total, which is: all weights are halved.
            // Where that is judged, the fallback.
            Fault::Doubled { seconds } => missing(2.0 * told) + rest.max(0.5) * quota.rate * seconds,
            // The fallback until the next difference of totals, and then their mean anew.
            Fault::Lost => missing(2.0 * told),
            // The fallback all along, and the mean anew.
            Fault::Silent { seconds } | Fault::Cut { seconds, .. } | Fault::Stale { seconds } => {
                missing(seconds + timing.until_down() + 2.0 * told)
            }
            // On each side demand decides; a judge gives the side its part, no less than a limiter's even one.
            Fault::Split { seconds, .. } => missing(seconds + 2.0 * told),
            // Totals that lie can take the even part too.
            Fault::Any { seconds } => quota.rate * (seconds + 2.0 * told) + quota.burst,
        }
    }

    /// The same where so many limiters start anew meanwhile: each begins with its even part of the burst and without
    /// totals.
    pub fn with_starts(self, quota: &Quota, timing: &Timing, starts: u32) -> Bound {
        let (width, starts) = (f64::from(quota.width.max(1)), f64::from(starts));
        let told = timing.memory + timing.period;
        let bucket = (quota.burst / width).max(quota.largest);
        let rest = (width - 1.0) / width;
        Bound {
            over: self.over + starts * (bucket + quota.rate / width * told),
            under: self.under + starts * (rest * quota.rate * told + quota.burst),
            ..self
        }
    }

    /// What a further fault adds to what is usual.
    pub fn and(self, quota: &Quota, timing: &Timing, fault: Fault) -> Bound {
        let (usual, more) = (Bound::of(quota, timing, Fault::None), Bound::of(quota, timing, fault));
        Bound {
            over: self.over + more.over - usual.over,
            under: self.under + more.under - usual.under,
            ..self
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const AGENCY: Quota = Quota { rate: 6.5, burst: 30.0, largest: 4.0, width: 3, ceiling: 2.0 };

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

    /// The note's tables worked out by hand for this partner: rate 6.5, burst 30, three limiters, calls every 0.55 s
    /// that are given up after 0.05 s, averages over ten seconds.
    #[test]
    fn bounds_are_those_of_the_design_note() {
        let timing = Timing::default();
        let none = Bound::of(&AGENCY, &timing, Fault::None);
        // 6.5 * 2/3 * 10.55, two bursts and three requests, loans of 0.7 bursts each, less the burst.
        assert!((none.over - (45.7167 + 72.0 + 63.0 - 30.0)).abs() < 1e-3, "{none:?}");
        // Two thirds of 10.55 s and of the burst, and a burst for the ceiling that begins empty.
        assert!((none.under - (45.7167 + 20.0 + 30.0)).abs() < 1e-3, "{none:?}");
        let seconds = 20.0;
        for (fault, over, under) in [
            // 6.5 * 1.8; 6.5 * 2/3 * (20 + 1.8 + 10.55)
            (Fault::Silent { seconds }, 11.7, 140.1833),
            // 6.5 * 1/3 * 30 + 11.7
            (Fault::Cut { limiters: 1, seconds }, 76.7, 140.1833),
            // 6.5 * 2 * 10.55; 6.5 * 2/3 * 10.55
            (Fault::Lost, 137.15, 45.7167),
            // 6.5 * 30
            (Fault::Stale { seconds }, 195.0, 140.1833),
            // 6.5 * 30 and a burst; 6.5 * 2/3 * (20 + 10.55)
            (Fault::Split { views: 2, seconds }, 225.0, 132.3833),
            // 6.5 * 2/3 * (10.55 + 20)
            (Fault::Doubled { seconds }, 0.0, 132.3833),
        ] {
            let found = Bound::of(&AGENCY, &timing, fault);
            let more = (found.over - none.over, found.under - none.under);
            assert!((more.0 - over).abs() < 1e-3 && (more.1 - under).abs() < 1e-3, "{fault:?}: {more:?}");
        }
        // A third of the burst, and 6.5 / 3 * 10.55; 6.5 * 2/3 * 10.55 and the burst.
        let started = none.with_starts(&AGENCY, &timing, 1);
        let more = (started.over - none.over, started.under - none.under);
        assert!((more.0 - 32.8583).abs() < 1e-3 && (more.1 - 75.7167).abs() < 1e-3, "{more:?}");
        // In 20 s: 6.5 * (1 - 2/3) each second for the ceiling, and 0.15 of the quota for chance.
        let more = none.under_in(&AGENCY, seconds) - none.under;
        assert!((more - 62.8333).abs() < 1e-3, "{more}");
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
