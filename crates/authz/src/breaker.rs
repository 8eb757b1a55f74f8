//! Circuit breaker of an authorizer: it opens after several consecutive failures, for a time that doubles with each
//! failed trial; then one check request is let through as the trial.

/// When a breaker opens, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerPolicy {
    /// Consecutive failures that open it, 1 or more.
    pub failure_threshold: u32,
    /// Seconds that it stays open at first.
    pub open_s: f64,
    /// Upper bound of the open time, which doubles with each failed trial.
    pub max_open_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// All check requests may be sent. Holds the number of consecutive failures.
    Closed(u32),
    /// None may be sent before this time.
    Open(f64),
    /// One check request is in flight as a trial.
    HalfOpen,
}

/// The circuit breaker of one authorizer. Times are seconds on any clock that does not step back.
#[derive(Clone, Debug)]
pub struct Breaker {
    policy: BreakerPolicy,
    state: State,
    open_s: f64,
    /// Incremented whenever the breaker opens or closes. Results of permits from an earlier epoch are ignored.
    epoch: u64,
}

/// Permission to send one check request; returned to the breaker with the result.
#[derive(Debug)]
#[must_use = "a half-open breaker stays so until the permit of its trial is released"]
pub struct Permit {
    epoch: u64,
}

impl Breaker {
    /// A closed breaker.
    pub fn new(policy: BreakerPolicy) -> Breaker {
        Breaker { policy, state: State::Closed(0), open_s: policy.open_s, epoch: 0 }
    }

    /// Permits a check request, unless the breaker is open or its trial is in flight.
    ///
    /// # Errors
    /// Seconds until the next trial; while a trial is in flight, the current open time.
    pub fn acquire(&mut self, now: f64) -> Result<Permit, f64> {
        match self.state {
            State::Closed(_) => Ok(Permit { epoch: self.epoch }),
            State::Open(until) if now >= until => {
                self.state = State::HalfOpen;
                Ok(Permit { epoch: self.epoch })
            }
            State::Open(until) => Err(until - now),
            State::HalfOpen => Err(self.open_s),
        }
    }

    /// Records the result of a check request; `None` if it has none because the client disconnected.
    pub fn release(&mut self, now: f64, permit: Permit, success: Option<bool>) {
        if permit.epoch != self.epoch {
            // Sent before the breaker last opened or closed, so the result says nothing about the present state of
            // the authorizer. While the breaker is half-open, only the trial counts.
            return;
        }
        match (self.state, success) {
            (State::HalfOpen, None) => self.state = State::Open(now),
            (State::HalfOpen, Some(true)) => {
                self.state = State::Closed(0);
                self.open_s = self.policy.open_s;
                self.epoch += 1;
            }
            (State::HalfOpen, Some(false)) => {
                self.open_s = (self.open_s * 2.0).min(self.policy.max_open_s);
                self.open(now);
            }
            (State::Closed(_), Some(true)) => self.state = State::Closed(0),
            (State::Closed(failures), Some(false)) if failures + 1 >= self.policy.failure_threshold => {
                self.open(now)
            }
            (State::Closed(failures), Some(false)) => self.state = State::Closed(failures + 1),
            (State::Closed(_), None) | (State::Open(_), _) => {}
        }
    }

    fn open(&mut self, now: f64) {
        self.state = State::Open(now + self.open_s);
        self.epoch += 1;
    }

    /// Whether all check requests are permitted.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed(_))
    }
}
