//! The inputs of a simulation, faults and demand, and its result.

/// The start or end of a fault of a counter or a limiter.
#[derive(Clone, Copy, Debug)]
pub enum Injection {
    /// The counter with this index does not answer, and increments are not applied.
    Unavailable(usize, bool),
    /// Limiters from this index on cannot reach the first counter.
    Isolate(Option<usize>),
    /// The first counter applies increments, but its answers are lost.
    DropAnswers(bool),
    /// The first counter answers with this delay, in seconds.
    Delay(f64),
    /// The first counter answers with its totals from the time of injection, but applies increments.
    Stale(bool),
    /// The first counter applies every increment twice.
    DoubleIncrements(bool),
    /// The first counter loses each count with this probability. Also stands for a replacement that lacks them.
    LoseCounts(f64),
    /// Limiters from this index on call a second part, which starts with this ratio of the first counter's counts.
    Split { from: usize, kept: f64 },
    /// All limiters call the first part again, which adds the counts of the second to its own if `merge` is set.
    Heal { merge: bool },
    /// A limiter restarts.
    Restart(usize),
    /// A limiter's process is paused for this many seconds.
    Pause(usize, f64),
}

/// The requests of the customers.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Units per second over all limiters.
    pub rate: f64,
    /// Ratio of the requests that go to the limiter that is busiest at the time; the rest is spread evenly.
    pub busiest_ratio: f64,
    /// Seconds after which the next limiter becomes the busiest.
    pub shift_interval_s: f64,
    /// Skips requests that exceed the quota, so that a single limiter would accept all requests that are made.
    pub within_quota: bool,
    /// Customers with the same demand. With more than one, quotas are not checked.
    pub customers: usize,
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct RunResult {
    /// Units forwarded.
    pub forwarded: f64,
    /// Overshoot of the quota, in units.
    pub overshoot: f64,
    /// Overshoot of the hard limit, in units.
    pub hard_limit_overshoot: f64,
    /// Units rejected.
    pub rejected: f64,
    /// Maximum number of attempts in flight.
    pub max_in_flight: i64,
    /// Calls to counters for customers, for each second.
    pub calls: Vec<u32>,
    /// The active counter of each limiter at the end.
    pub active_counters: Vec<usize>,
}
