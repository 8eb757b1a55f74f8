//! The time by which every accepted request must be answered, once the process shuts down.

use std::cell::Cell;
use std::future::Future;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// The deadline of a shutdown. It applies as well to requests that were accepted before the shutdown began, wherever
/// they wait.
#[derive(Default)]
pub struct ShutdownDeadline {
    /// `None` until the shutdown begins.
    at: Cell<Option<Instant>>,
    began: Notify,
}

impl ShutdownDeadline {
    /// Sets the deadline when the shutdown begins.
    pub fn set(&self, at: Instant) {
        self.at.set(Some(at));
        self.began.notify_waiters();
    }

    /// Returns `deadline`, capped at the shutdown deadline. `None` if the process is shutting down and the capped
    /// deadline has passed.
    pub fn cap(&self, deadline: Instant) -> Option<Instant> {
        match self.at.get() {
            None => Some(deadline),
            Some(at) => Some(deadline.min(at)).filter(|deadline| *deadline > Instant::now()),
        }
    }

    /// Waits for `future`, until the shutdown deadline at most. Returns `None`, and drops the future, if the deadline
    /// passes first.
    pub async fn limit<F: Future>(&self, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.passed() => None,
        }
    }

    /// Waits until the shutdown deadline has passed.
    async fn passed(&self) {
        loop {
            let began = self.began.notified();
            match self.at.get() {
                Some(at) => return sleep_until(at).await,
                None => began.await,
            }
        }
    }
}
