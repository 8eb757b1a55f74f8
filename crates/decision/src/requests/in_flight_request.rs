//! The state of an admitted request until all its attempts have ended.

use super::attempt::Attempt;
use crate::interface::RequestId;
use crate::requests::Requests;
use std::sync::Arc;

/// The request and its attempts.
pub struct InFlightRequest {
    pub customer: Arc<str>,
    /// Index of the request's class.
    pub class: usize,
    /// Units drawn at admission, which may be an estimate.
    pub units: f64,
    /// Time after which the client no longer waits for the answer.
    pub deadline: f64,
    /// A streamed response has started.
    pub is_streaming: bool,
    /// The final answer was given; only the ends of its attempts are outstanding.
    pub is_answered: bool,
    pub attempts: Vec<Attempt>,
}

impl InFlightRequest {
    /// A request without attempts yet.
    pub fn new(customer: Arc<str>, class: usize, units: f64, deadline: f64) -> Self {
        InFlightRequest {
            customer,
            class,
            units,
            deadline,
            is_streaming: false,
            is_answered: false,
            attempts: Vec::new(),
        }
    }

    /// Whether the final answer is outstanding and no streamed response has started.
    pub fn awaits_answer(&self) -> bool {
        !self.is_answered && !self.is_streaming
    }

    /// Whether any attempt has not ended yet.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }

    /// Whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }
}

impl Requests {
    /// Records that a streamed response has started, after which the deadline no longer applies.
    pub fn on_stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.in_flight.get_mut(&id) {
            request.is_streaming = true;
        }
    }
}
