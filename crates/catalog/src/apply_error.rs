//! Errors of applying an update to the current list.

use crate::Digest;
use std::error::Error;
use std::fmt;

/// Why an update was rejected. A rejected update leaves the list unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyError {
    /// A delta arrived before any whole list, so there is nothing to apply it to.
    NoList {
        /// The revision of the delta.
        got: u64,
    },
    /// The update is older than the current list.
    Older {
        /// The revision of the current list.
        held: u64,
        /// The revision of the update.
        got: u64,
    },
    /// The digest in the update differs from that of the resulting list, so a change was lost. The receiver
    /// should request the whole list, by a request without a revision.
    DigestMismatch {
        /// The revision of the update.
        revision: u64,
        /// The digest in the update.
        expected: Digest,
        /// The digest of the list after the update.
        computed: Digest,
    },
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApplyError::NoList { got } => write!(f, "a delta of revision {got} came before any whole list"),
            ApplyError::Older { held, got } => {
                write!(f, "the update is older than the list: revision {got}, held {held}")
            }
            ApplyError::DigestMismatch { revision, expected, computed } => {
                write!(f, "digest {expected} of revision {revision} differs from the list's {computed}")
            }
        }
    }
}

impl Error for ApplyError {}
