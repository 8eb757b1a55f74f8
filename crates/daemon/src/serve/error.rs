//! Why a limiter could not start, or did not end as it should.

use crate::operator::OperatorConfigError;
use crate::startup::StartupError;
use std::error::Error as StdError;
use thiserror::Error;

/// Why a limiter could not start, or did not end as it should.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The system refuses the runtime, a signal handler or a listening socket.
    #[error(transparent)]
    Startup(#[from] StartupError),
    /// The operator's file does not fit the settings.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    /// The limiter cannot join its cluster, or cannot listen for status queries.
    #[error("{0}")]
    Cluster(Box<dyn StdError + Send + Sync>),
    /// The shutdown ended before every request had its answer.
    #[error("{0} requests were left open")]
    OpenRequests(usize),
}
