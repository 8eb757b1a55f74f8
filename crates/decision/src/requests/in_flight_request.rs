//! A request that was admitted and whose attempts have not all ended.

use super::attempt::Attempt;
use crate::interface::RequestId;
use crate::requests::Requests;
use std::sync::Arc;

/// The request and its attempts.
pub struct InFlightRequest {
    pub customer: Arc<str>,
    /// Index of its class.
    pub class: usize,
    /// Units, as the client or the estimate has them.
    pub units: f64,
    /// Time at which the client gives up.
    pub deadline: f64,
    /// Its response is a stream that has started.
    pub is_streaming: bool,
    /// It has its final answer; only ends of attempts are still to come.
    pub is_answered: bool,
    pub attempts: Vec<Attempt>,
}

impl InFlightRequest {
    /// A request without attempts.
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

    /// Whether it still waits for its final answer, and is no stream that has started.
    pub fn awaits_answer(&self) -> bool {
        !self.is_answered && !self.is_streaming
    }

    /// Whether the end of an attempt is still to come.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }

    /// Whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }
}

impl Requests {
    /// A streamed response has started: deadlines no longer apply.
    pub fn on_stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.in_flight.get_mut(&id) {
            request.is_streaming = true;
        }
    }
}
