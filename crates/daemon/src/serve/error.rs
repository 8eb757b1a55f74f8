//! Errors of running a limiter.

use crate::operator::OperatorConfigError;
use crate::startup::StartupError;
use std::error::Error as StdError;
use thiserror::Error;

/// Why a limiter could not start or did not shut down cleanly.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The runtime, a signal handler or a listening socket cannot be set up.
    #[error(transparent)]
    Startup(#[from] StartupError),
    /// The operator's file contradicts the settings.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    /// The limiter cannot join its cluster, or cannot listen for status queries.
    #[error("{0}")]
    Cluster(Box<dyn StdError + Send + Sync>),
    /// The shutdown ended before every request was answered.
    #[error("{0} requests were left open")]
    UnansweredRequests(usize),
}
