//! Why a run could not be played to its end.

use std::io;
use std::time::Duration;

/// Why a run ended early.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// What was asked for needs relays.
    #[error("{what} needs --lists service")]
    NeedsRelays {
        /// What was asked for.
        what: &'static str,
    },
    /// The fleet needs more processes than it may have.
    #[error("the fleet needs {needed} processes, and {limit} are allowed (--max-processes)")]
    TooManyProcesses {
        /// Processes of the fleet.
        needed: usize,
        /// The bound.
        limit: usize,
    },
    /// The fleet uses more memory than it may.
    #[error("the fleet uses {used_mb:.0} MB of memory, and {limit_mb} are allowed (--memory-mb)")]
    TooMuchMemory {
        /// Resident memory of all processes.
        used_mb: f64,
        /// The bound.
        limit_mb: u64,
    },
    /// A process did not answer.
    #[error("process {role} did not answer within {} s", .waited.as_secs())]
    NoAnswer {
        /// Name of its role.
        role: String,
        /// How long it was waited for.
        waited: Duration,
    },
    /// A process ended before its time.
    #[error("process {role} ended early")]
    ProcessEnded {
        /// Name of its role.
        role: String,
    },
    /// Limiters did not get their first list in time.
    #[error("{missing} limiters have no list after {} s", .waited.as_secs())]
    NoFirstList {
        /// Limiters without a list.
        missing: usize,
        /// How long they were waited for.
        waited: Duration,
    },
    /// The operator interrupted the run.
    #[error("interrupted")]
    Interrupted,
    /// A process could not be started or talked to, or a file not be written.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// Why it failed.
        source: io::Error,
    },
    /// A process could not be measured.
    #[error("cannot measure a process: {0}")]
    Measure(#[from] procfs::ProcError),
    /// A message could not be written or read.
    #[error("a message cannot be converted: {0}")]
    Message(#[from] serde_json::Error),
    /// The handler of signals could not be set.
    #[error("cannot handle signals: {0}")]
    Signals(#[from] ctrlc::Error),
}

impl RunError {
    /// Says what was tried when an I/O error came.
    pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> RunError {
        let what = what.into();
        move |source| RunError::Io { what, source }
    }
}
