//! The keeper of counts and the calls to it.

use crate::limiters::In;
use crate::links::End;
use crate::world::{What, World};
use liftrouter_decision::Outcome;
use liftrouter_stage::counts::Counts;
use liftrouter_stage::history::Event;
use liftrouter_stage::scenario;
use liftrouter_stage::schedule::{micros, Micros};
use liftrouter_stage::trouble::Born;
use std::collections::BTreeSet;

/// Calls of a limiter that may be out at once.
const CALLS: u32 = 8;
/// A kept connection is used for so long after its last call.
const IDLE: Micros = 4_000_000;
/// Pause after a failed connect, doubled with each further one, and the longest.
const BACKOFF: (Micros, Micros) = (25_000, 200_000);

pub(crate) struct Keeper {
    pub counts: Counts,
    pub silent: BTreeSet<u32>,
    pub refusing: BTreeSet<u32>,
    /// What came or was done while it was silent.
    waiting: Vec<What>,
}

impl Keeper {
    pub fn new(figures: &scenario::Keeper) -> Keeper {
        Keeper {
            counts: Counts::new(figures),
            silent: BTreeSet::new(),
            refusing: BTreeSet::new(),
            waiting: Vec::new(),
        }
    }
}

/// A limiter's side of the keeper: its kept connection, and the calls that are out.
#[derive(Default)]
pub(crate) struct KeeperClient {
    calls_out: u32,
    /// No call is made before this, after failed connects.
    quiet_until: Micros,
    /// The connection is kept until this.
    pub kept_until: Micros,
    /// Connects that failed in a row.
    failed: u32,
    born: Born,
}

/// A call that a limiter has made.
pub(crate) struct Call {
    limiter: u16,
    life: u32,
    name: String,
    add: f64,
    lives: Micros,
    began: Micros,
    born: Born,
    /// Written: it may be added.
    sent: bool,
    /// The limiter has had its end.
    over: bool,
    /// It has been noted.
    noted: bool,
}

impl World<'_> {
    /// Starts a call, or gives why none can be made; nothing is added then.
    pub(crate) fn call(&mut self, l: u16, name: &str, add: f64, lives: f64) -> Result<(), Outcome> {
        let (now, effect) = (self.now(), self.links.effect(l, End::Keeper));
        let timeout = micros(self.s.keeper.timeout_ms / 1e3);
        let gate = &mut self.gates[usize::from(l)];
        if now < gate.keeper.quiet_until {
            return Err(Outcome::ConnectFailed);
        }
        if gate.keeper.calls_out >= CALLS {
            return Err(Outcome::Overloaded);
        }
        gate.keeper.calls_out += 1;
        let life = gate.life();
        let refused = !self.keeper.refusing.is_empty();
        let kept = now < gate.keeper.kept_until && !refused;
        let key = self.calls.len();
        let born = if kept { gate.keeper.born } else { effect.born() };
        gate.keeper.born = born;
        self.calls.push(Call {
            limiter: l,
            life,
            name: name.to_string(),
            add,
            lives: micros(lives).clamp(1_000, 60_000_000),
            began: now,
            born,
            sent: kept || !(effect.cut || refused),
            over: false,
            noted: false,
        });
        let wire = self.wires.wire();
        if refused || (effect.resetting && !kept) {
            let gate = &mut self.gates[usize::from(l)];
            let pause = (BACKOFF.0 << gate.keeper.failed.min(8)).min(BACKOFF.1);
            gate.keeper.failed += 1;
            gate.keeper.quiet_until = now + 2 * wire + pause;
            gate.keeper.kept_until = 0;
            self.queue.after(
                2 * wire,
                What::News(l, life, In::Counted { call: key, outcome: Outcome::ConnectFailed, total: 0.0 }),
            );
            return Ok(());
        }
        self.queue.after(timeout, What::News(l, life, In::CallLimit(key)));
        if self.calls[key].sent {
            if kept || effect.held || effect.swallows(born) {
                self.cross(l, End::Keeper, born, What::CallAt(key));
            } else {
                // A new connection takes a round trip first.
                self.queue.after(3 * wire, What::CallAt(key));
            }
        }
        Ok(())
    }

    fn call_noted(&mut self, key: usize, answered: bool) {
        if !std::mem::replace(&mut self.calls[key].noted, true) {
            let limiter = self.calls[key].limiter;
            self.note(Event::Called { limiter, answered });
        }
    }

    pub(crate) fn call_at(&mut self, key: usize) {
        if !self.keeper.silent.is_empty() {
            return self.keeper.waiting.push(What::CallAt(key));
        }
        if self.calls[key].over {
            return self.call_noted(key, false);
        }
        let now = self.now();
        match self.keeper.counts.turn(now) {
            Some((turn, _)) => self.queue.at(turn, What::CallTurn(key)),
            None => {
                self.call_noted(key, false);
                self.call_back(key, Outcome::Overloaded, 0.0);
            }
        }
    }

    pub(crate) fn call_turn(&mut self, key: usize) {
        // What a caller no longer waits for is not worked on; its turn has been used.
        if self.calls[key].over {
            return self.call_noted(key, false);
        }
        let now = self.now();
        let Call { limiter, ref name, add, lives, .. } = self.calls[key];
        let total = self.keeper.counts.add(limiter, now, name, add, lives);
        let takes = micros(self.s.keeper.call_ms / 1e3 * self.keeper.counts.slower());
        self.queue.after(takes, What::CallDone(key, total));
    }

    pub(crate) fn call_done(&mut self, key: usize, total: f64) {
        if !self.keeper.silent.is_empty() {
            return self.keeper.waiting.push(What::CallDone(key, total));
        }
        let answered = !self.calls[key].over;
        self.call_noted(key, answered);
        if answered {
            self.call_back(key, Outcome::Ok, total);
        }
    }

    fn call_back(&mut self, key: usize, outcome: Outcome, total: f64) {
        let Call { limiter, life, born, .. } = self.calls[key];
        self.cross(
            limiter,
            End::Keeper,
            born,
            What::News(limiter, life, In::Counted { call: key, outcome, total }),
        );
    }

    /// A call ends for its limiter, unless it has before; with its name and how long it took.
    pub(crate) fn call_over(&mut self, key: usize, outcome: Outcome) -> Option<(String, f64)> {
        let now = self.now();
        let call = &mut self.calls[key];
        if std::mem::replace(&mut call.over, true) {
            return None;
        }
        let (limiter, name) = (call.limiter, std::mem::take(&mut call.name));
        let took = (now - call.began) as f64 / 1e6;
        let gate = &mut self.gates[usize::from(limiter)];
        gate.keeper.calls_out = gate.keeper.calls_out.saturating_sub(1);
        match outcome {
            Outcome::Ok | Outcome::Overloaded => {
                (gate.keeper.kept_until, gate.keeper.failed) = (now + IDLE, 0);
            }
            // Its connection goes with it.
            _ => gate.keeper.kept_until = 0,
        }
        Some((name, took))
    }

    /// Whether a call that was given up may have been added.
    pub(crate) fn call_sent(&self, key: usize) -> bool {
        self.calls[key].sent
    }

    /// The keeper speaks again.
    pub(crate) fn keeper_speaks(&mut self) {
        if self.keeper.silent.is_empty() {
            for what in std::mem::take(&mut self.keeper.waiting) {
                self.queue.after(0, what);
            }
        }
    }
}
