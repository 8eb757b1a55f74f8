//! The client of one authoriser: its limit of open check requests, its circuit breaker, its timeout and its retry.

use super::error::{AttemptError, CheckError};
use super::exchange::{build_request, exchange};
use super::pool::{ConnectionPool, SilenceGuard};
use super::settings::AuthoriserSettings;
use super::Authorisation;
use crate::count_guard::CountGuard;
use crate::log::log;
use liftrouter_authz::messages::envoy::service::auth::v3::CheckRequest;
use liftrouter_authz::{frame, verdict, Breaker, Leave, Verdict};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::{timeout_at, Instant};

/// A check request that surely was not seen is sent once more.
const MAX_ATTEMPTS: usize = 2;

/// The client of one authoriser.
pub struct Authoriser {
    pub(super) settings: Rc<AuthoriserSettings>,
    breaker: RefCell<Breaker>,
    /// Times of the breaker are seconds from here.
    started_at: Instant,
    open_checks: Cell<usize>,
    pool: Rc<ConnectionPool>,
}

impl Authoriser {
    pub(super) fn new(settings: AuthoriserSettings) -> Authoriser {
        let settings = Rc::new(settings);
        Authoriser {
            breaker: RefCell::new(Breaker::new(settings.breaker)),
            started_at: Instant::now(),
            open_checks: Cell::new(0),
            pool: ConnectionPool::new(settings.clone()),
            settings,
        }
    }

    fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Sends a check request and waits for the decision until `deadline`, or as long as the settings allow.
    pub(super) async fn check(&self, request: &CheckRequest, via: &str, deadline: Instant) -> Authorisation {
        if self.open_checks.get() >= self.settings.questions {
            // Busy with others, not down: that does not count as a failure.
            return Authorisation::Undecided { retry_after: 0.0 };
        }
        let leave = match self.breaker.borrow_mut().leave(self.seconds()) {
            Ok(leave) => leave,
            Err(retry_after) => return Authorisation::Undecided { retry_after },
        };
        let _open = CountGuard::new(&self.open_checks);
        let mut permit = BreakerPermit { authoriser: self, leave: Some(leave) };
        let until = deadline.min(Instant::now() + self.settings.timeout);
        let result = timeout_at(until, self.check_with_retry(request, via, until)).await;
        let error = match result {
            Ok(Ok(verdict)) => {
                permit.record(true);
                return Authorisation::Decided(verdict);
            }
            Ok(Err(error)) => error,
            // The request's own time was shorter than a response may take: no fault of the authoriser's.
            Err(_) if until == deadline => return Authorisation::Undecided { retry_after: 0.0 },
            Err(_) => CheckError::Timeout,
        };
        permit.record(false);
        if !self.breaker.borrow().is_closed() {
            log("authoriser", format_args!("{}: left alone for a while: {error}", self.settings.name));
        }
        Authorisation::Undecided { retry_after: 0.0 }
    }

    /// Sends a check request, and once more if the first attempt surely was not seen.
    async fn check_with_retry(
        &self,
        request: &CheckRequest,
        via: &str,
        deadline: Instant,
    ) -> Result<Verdict, CheckError> {
        let body = frame(request);
        for _ in 0..MAX_ATTEMPTS {
            let connection = self.pool.least_loaded().await;
            let _open = CountGuard::new(connection.open_checks.clone());
            let silence = SilenceGuard::new(&self.pool, &connection);
            let http_request = build_request(&self.settings, body.clone(), via, deadline);
            let response = exchange(connection.sender, http_request, self.settings.message).await;
            silence.disarm();
            match response {
                Ok(response) => return verdict(response).map_err(CheckError::Verdict),
                Err(AttemptError::StreamRefused) => {}
                Err(AttemptError::ConnectionClosed) => self.pool.remove(connection.number),
                Err(AttemptError::Failed(error)) => return Err(error),
            }
        }
        Err(CheckError::RefusedTwice)
    }
}

/// The circuit breaker's permission for one check request, given back without a result if the client disconnects.
struct BreakerPermit<'a> {
    authoriser: &'a Authoriser,
    leave: Option<Leave>,
}

impl BreakerPermit<'_> {
    fn record(&mut self, success: bool) {
        self.release(Some(success));
    }

    fn release(&mut self, success: Option<bool>) {
        if let Some(leave) = self.leave.take() {
            self.authoriser.breaker.borrow_mut().ended(self.authoriser.seconds(), leave, success);
        }
    }
}

impl Drop for BreakerPermit<'_> {
    fn drop(&mut self) {
        self.release(None);
    }
}
