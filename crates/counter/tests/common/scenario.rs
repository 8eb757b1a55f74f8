//! What is played: faults, the load, and the result.

/// A fault of a counter or a limiter, or its end.
#[derive(Clone, Copy, Debug)]
pub enum Injection {
    /// A counter of the list answers nothing; what comes is not added.
    Silent(usize, bool),
    /// The first one answers nothing to limiters from this one on.
    Cut(Option<usize>),
    /// Calls to the first one are added, and their answers never come.
    Mute(bool),
    /// Answers so many seconds late.
    Slow(f64),
    /// Answers with its totals of this moment, and goes on adding.
    Stale(bool),
    /// Adds everything twice.
    Doubled(bool),
    /// Forgets names with this chance each, or is another counter that never had them.
    Lose(f64),
    /// Limiters from this one on call a second counter, which holds this share of the first one's names.
    Split { from: usize, kept: f64 },
    /// All call the first counter again, which adds up the counts of both, or keeps its own.
    Heal { both: bool },
    /// A limiter starts anew.
    Restart(usize),
    /// A limiter stands still for so many seconds.
    Pause(usize, f64),
}

/// How a customer asks.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Units a second over all limiters.
    pub rate: f64,
    /// Share that comes through the limiter that is the busiest at the time; the rest is even.
    pub skew: f64,
    /// Seconds after which another limiter is the busiest.
    pub shift: f64,
    /// Nothing is asked that one limiter that sees everything would refuse for the quota.
    pub within_quota: bool,
    /// Customers with the same demand. With more than one, quotas are not checked.
    pub customers: usize,
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct Result {
    /// Units forwarded.
    pub forwarded: f64,
    /// Overshoot of the quota, in units.
    pub overshoot: f64,
    /// Overshoot of the hard limit, in units.
    pub hard_limit_overshoot: f64,
    /// Units rejected.
    pub rejected: f64,
    /// Most attempts in flight at once.
    pub max_in_flight: i64,
    /// Calls to the first counter by limiters' customers, second by second.
    pub calls: Vec<u32>,
    /// The active counter of each limiter at the end.
    pub active_counters: Vec<usize>,
}
