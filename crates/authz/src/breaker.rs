//! When an authoriser is left alone: after several failures in a row, for a time that grows while it stays
//! down; then one question tries it.

/// When a breaker opens, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerPolicy {
    /// Failures in a row that open it, 1 or more.
    pub failure_threshold: u32,
    /// Seconds that it stays open at first.
    pub open_s: f64,
    /// And at most; each try that fails doubles them.
    pub max_open_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Asked; so many failures in a row.
    Closed(u32),
    /// Left alone until then.
    Open(f64),
    /// One question is out that tries it.
    Trying,
}

/// One authoriser's breaker. Times are seconds on any clock that does not step back.
#[derive(Clone, Debug)]
pub struct Breaker {
    policy: BreakerPolicy,
    state: State,
    rest: f64,
    /// Numbers the times it opened: what was asked before is not held against it afterwards.
    round: u64,
}

/// Leave to ask once; handed back with how it went.
#[derive(Debug)]
#[must_use = "without its end the breaker waits for it"]
pub struct Permit {
    round: u64,
}

impl Breaker {
    /// One that is closed.
    pub fn new(policy: BreakerPolicy) -> Breaker {
        Breaker { policy, state: State::Closed(0), rest: policy.open_s, round: 0 }
    }

    /// Leave to ask, or for how many seconds there is none.
    ///
    /// # Errors
    /// Seconds until the next try may be made; those of a whole rest while one is out.
    pub fn acquire(&mut self, now: f64) -> Result<Permit, f64> {
        match self.state {
            State::Closed(_) => Ok(Permit { round: self.round }),
            State::Open(until) if now >= until => {
                self.state = State::Trying;
                Ok(Permit { round: self.round })
            }
            State::Open(until) => Err(until - now),
            State::Trying => Err(self.rest),
        }
    }

    /// How it went; `None` if nothing was learnt, for its client left.
    pub fn release(&mut self, now: f64, permit: Permit, success: Option<bool>) {
        if permit.round != self.round {
            // Asked before the breaker opened or closed: an old answer says nothing of now. So while one tries
            // it, only that one counts.
            return;
        }
        match (self.state, success) {
            (State::Trying, None) => self.state = State::Open(now),
            (State::Trying, Some(true)) => {
                self.state = State::Closed(0);
                self.rest = self.policy.open_s;
                self.round += 1;
            }
            (State::Trying, Some(false)) => {
                self.rest = (self.rest * 2.0).min(self.policy.max_open_s);
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
        self.state = State::Open(now + self.rest);
        self.round += 1;
    }

    /// Whether questions are asked as usual.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed(_))
    }
}
