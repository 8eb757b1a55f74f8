//! Why an update does not fit the list at hand.

use crate::Digest;
use std::error::Error;
use std::fmt;

/// Why an update was not applied. What it was to be applied to is as it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyError {
    /// A delta came before any whole list: what it builds on is missing.
    NoList {
        /// The revision of the delta.
        got: u64,
    },
    /// The update is older than what is held.
    Older {
        /// The revision at hand.
        held: u64,
        /// The revision of the update.
        got: u64,
    },
    /// The digest is not that of the list that the update leads to: something was lost. The whole list is to be
    /// asked for, without a revision.
    DigestMismatch {
        /// The revision of the update.
        revision: u64,
        /// The digest that it carries.
        expected: Digest,
        /// The digest that it leads to.
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
