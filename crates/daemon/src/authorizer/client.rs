//! The client of one authorizer: limits open check requests, and applies timeout, retry and circuit breaker.

use super::error::{AttemptError, CheckError};
use super::exchange::{build_request, exchange};
use super::pool::{ConnectionPool, SilenceGuard};
use super::settings::AuthorizerSettings;
use super::Authorization;
use crate::count_guard::CountGuard;
use crate::log::log;
use liftrouter_authz::messages::envoy::service::auth::v3::CheckRequest;
use liftrouter_authz::{frame, parse_verdict, Breaker, Permit, Verdict};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::{timeout_at, Instant};

/// A check request that the authorizer certainly did not process is retried once.
const MAX_ATTEMPTS: usize = 2;

/// The client of one authorizer.
pub struct Authorizer {
    pub(super) settings: Rc<AuthorizerSettings>,
    breaker: RefCell<Breaker>,
    /// Time zero of the breaker's clock.
    started_at: Instant,
    open_checks: Cell<usize>,
    pool: Rc<ConnectionPool>,
}

impl Authorizer {
    pub(super) fn new(settings: AuthorizerSettings) -> Authorizer {
        let settings = Rc::new(settings);
        Authorizer {
            breaker: RefCell::new(Breaker::new(settings.breaker)),
            started_at: Instant::now(),
            open_checks: Cell::new(0),
            pool: ConnectionPool::new(settings.clone()),
            settings,
        }
    }

    /// The present time on the breaker's clock, in seconds.
    fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Sends a check request and waits for the decision until `deadline` or the timeout, whichever comes first.
    pub(super) async fn check(&self, request: &CheckRequest, via: &str, deadline: Instant) -> Authorization {
        if self.open_checks.get() >= self.settings.max_open_checks {
            // The limit does not show that the authorizer is down, so this is not recorded as a failure.
            return Authorization::Undecided { retry_after: 0.0 };
        }
        let breaker_permit = match self.breaker.borrow_mut().acquire(self.seconds()) {
            Ok(permit) => permit,
            Err(retry_after) => return Authorization::Undecided { retry_after },
        };
        let _open = CountGuard::new(&self.open_checks);
        let mut permit = BreakerPermit { authorizer: self, permit: Some(breaker_permit) };
        let until = deadline.min(Instant::now() + self.settings.timeout);
        let result = timeout_at(until, self.check_with_retry(request, via, until)).await;
        let error = match result {
            Ok(Ok(verdict)) => {
                permit.record(true);
                return Authorization::Decided(verdict);
            }
            Ok(Err(error)) => error,
            // The request's deadline came before the timeout, so this is not a failure of the authorizer.
            Err(_) if until == deadline => return Authorization::Undecided { retry_after: 0.0 },
            Err(_) => CheckError::Timeout,
        };
        permit.record(false);
        if !self.breaker.borrow().is_closed() {
            log("authoriser", format_args!("{}: circuit breaker open: {error}", self.settings.name));
        }
        Authorization::Undecided { retry_after: 0.0 }
    }

    /// Sends a check request, and retries it once if the authorizer certainly did not process the first attempt.
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
            let response = exchange(connection.sender, http_request, self.settings.max_message_bytes).await;
            silence.disarm();
            match response {
                Ok(response) => return parse_verdict(response).map_err(CheckError::Verdict),
                Err(AttemptError::StreamRefused) => {}
                Err(AttemptError::ConnectionClosed) => self.pool.remove(connection.number),
                Err(AttemptError::Failed(error)) => return Err(error),
            }
        }
        Err(CheckError::RefusedTwice)
    }
}

/// The circuit breaker's permit for one check request. Dropped before a result is recorded, as when the client
/// disconnects, it is released without one.
struct BreakerPermit<'a> {
    authorizer: &'a Authorizer,
    permit: Option<Permit>,
}

impl BreakerPermit<'_> {
    fn record(&mut self, success: bool) {
        self.release(Some(success));
    }

    fn release(&mut self, success: Option<bool>) {
        if let Some(permit) = self.permit.take() {
            self.authorizer.breaker.borrow_mut().release(self.authorizer.seconds(), permit, success);
        }
    }
}

impl Drop for BreakerPermit<'_> {
    fn drop(&mut self) {
        self.release(None);
    }
}
