//! The events of the simulation and their order in time.

use super::scenario::Injection;
use liftrouter_counter::{CallResult, ValidationCall};
use liftrouter_decision::Outcome;
use std::cmp::Ordering;

pub(super) enum SimulationEvent {
    NextArrival(usize),
    DelayedArrival(usize),
    Timer(usize, u32, u64),
    AttemptEnded(usize, u32, u64),
    CounterCall {
        limiter: usize,
        incarnation: u32,
        name: String,
        add: f64,
        ttl_s: f64,
        at: f64,
        generation: u64,
    },
    CounterReply {
        limiter: usize,
        incarnation: u32,
        name: String,
        outcome: Outcome,
        total: f64,
        elapsed_s: f64,
    },
    Validate(usize, u32, usize),
    ValidationEnded {
        limiter: usize,
        incarnation: u32,
        counter: usize,
        call: ValidationCall,
        answer: CallResult,
    },
    Inject(Injection),
}

pub(super) struct Scheduled(pub(super) f64, pub(super) u64, pub(super) SimulationEvent);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    /// Reversed for the max-heap: the earliest event is the greatest, and ties are in the order of scheduling.
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}
