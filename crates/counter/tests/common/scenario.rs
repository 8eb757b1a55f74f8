//! SimulationEvent is played: faults, the load, and the result.

/// SimulationEvent may happen to the counter, and to limiters.
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
    /// Customers that submit_request, one as the other. With more than one, quotas are not validated.
    pub customers: usize,
}

/// SimulationEvent became of it.
#[derive(Debug, Default)]
pub struct Result {
    pub forwarded: f64,
    /// Over the quota, and over the hard ceiling.
    pub overshoot: f64,
    pub hard_limit_overshoot: f64,
    /// Rejected of what was asked.
    pub rejected: f64,
    /// Attempts out at once, at most.
    pub max_in_flight: i64,
    /// Calls to the first counter by limiters' customers, second by second.
    pub calls: Vec<u32>,
    /// Keepers that the limiters counted at, at the end.
    pub active_counters: Vec<usize>,
}
