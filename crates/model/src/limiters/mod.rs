//! Limiters: the real decision module, and around it what its host does, one event after the other.
//!
//! What a limiter holds is kept in parts that know neither the world nor each other: [`process`], [`inbox`], [`requests`]
//! and [`servers`]. The world feeds them, and puts what follows in order: [`events`] come in, [`actions`] go out,
//! [`attempts`] run over connections, and [`lifecycle`] starts and ends processes.

mod actions;
mod attempts;
mod events;
mod inbox;
mod lifecycle;
mod process;
mod requests;
mod servers;

pub(crate) use attempts::{Attempt, AttemptEnd};
pub(crate) use process::ProcessEvent;

use self::inbox::Inbox;
use self::process::ProcessState;
use self::requests::Requests;
use self::servers::Servers;
use crate::counts::KeeperClient;
use crate::list::Line;
use crate::world::{World, EPOCH};
use liftrouter_decision::{Limiter, Outcome};
use liftrouter_stage::history::TryId;
use liftrouter_stage::schedule::Micros;

/// Attempts of a request, as the rules have it.
const MOST_ATTEMPTS: u32 = liftrouter_stage::ledger::MOST_ATTEMPTS as u32;

/// What a limiter hears.
pub(crate) enum In {
    Asked(TryId),
    Gone(TryId),
    /// An attempt has ended.
    Ended(usize, AttemptEnd),
    /// An attempt's time is up.
    Limit(usize),
    /// A call to the keeper has ended.
    Counted {
        call: usize,
        outcome: Outcome,
        total: f64,
    },
    /// A call's time is up.
    CallLimit(usize),
    /// A probe has ended, with the node's load.
    Probed {
        node: u16,
        stamp: u32,
        outcome: Outcome,
        busy: Option<f64>,
    },
    /// Changes of the list.
    Listed(Vec<Line>),
    /// The watch of the list is broken.
    Broken,
    Timer(u64),
}

/// A limiter: its process and what that holds.
pub(crate) struct Gate {
    number: u16,
    /// Its clock is so much ahead, in seconds.
    skew: f64,
    process: ProcessState,
    module: Option<Limiter>,
    inbox: Inbox,
    requests: Requests,
    servers: Servers,
    pub keeper: KeeperClient,
}

impl Gate {
    /// One whose process is not up yet.
    pub fn new(number: u16, skew: f64) -> Gate {
        Gate {
            number,
            skew,
            process: ProcessState::new(),
            module: None,
            inbox: Inbox::default(),
            requests: Requests::default(),
            servers: Servers::default(),
            keeper: KeeperClient::default(),
        }
    }

    /// The number of its present life, or of the last one.
    pub fn life(&self) -> u32 {
        self.process.life()
    }

    /// Whether it takes connections.
    pub fn listens(&self) -> bool {
        self.process.is_running()
    }

    /// Whether this life runs.
    fn runs(&self, life: u32) -> bool {
        self.process.runs(life)
    }

    /// Its clock, in Unix seconds.
    fn clock(&self, at: Micros) -> f64 {
        EPOCH + self.skew + at as f64 / 1e6
    }
}

impl World<'_> {
    fn gate(&mut self, l: u16) -> &mut Gate {
        &mut self.gates[usize::from(l)]
    }
}
