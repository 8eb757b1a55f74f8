//! Decides whether a version of an inventory file is adopted or the previous one is kept.
//!
//! The text alone does not show whether a file is still being written: part of a CSV file is a shorter valid CSV
//! file. A version therefore counts as complete if it is closed, that is, if it states its number of nodes or has an
//! end marker (`# count:`, `# end`, `count:`, `...`), or else if it has not changed for a while. Once a closed version
//! is adopted, only closed ones may follow, so that a half-written file is refused even if its writer stalls.

use crate::diff::count_removed;
use crate::model::{Fault, Inventory};
use std::fmt;
use std::time::Duration;

/// The conditions for adopting a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// How long a version that is not closed must stay unchanged before it is adopted.
    pub quiet_period: Duration,
    /// The ratio of the serving nodes that a version may remove at most, unless it is marked `removal: allowed`.
    pub max_removed_ratio: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Policy { quiet_period: Duration::from_millis(100), max_removed_ratio: 0.5 }
    }
}

/// Why a file is not adopted.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// The text has faults.
    Faults(Vec<Fault>),
    /// The version is not closed, and the adopted one is.
    NotClosed,
    /// The version number is lower than the adopted one.
    VersionTooLow {
        /// The version number of the file.
        found: u64,
        /// The adopted version number.
        adopted: u64,
    },
    /// The version number equals the adopted one, but the nodes differ.
    VersionReused(u64),
    /// The file has no version number, and the adopted version has this one.
    VersionMissing(u64),
    /// The version removes more serving nodes than the policy permits.
    TooManyRemoved {
        /// How many serving nodes it removes.
        removed: usize,
        /// How many serving nodes the adopted version has.
        serving: usize,
    },
    /// The file does not exist.
    FileMissing,
    /// The file cannot be read.
    Unreadable(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Faults(faults) => {
                write!(f, "{} faults, the first: ", faults.len())?;
                faults.first().map_or(Ok(()), |first| write!(f, "{first}"))
            }
            Refusal::NotClosed => {
                write!(
                    f,
                    "it has no count and no end marker, unlike the adopted version: it may be half written"
                )
            }
            Refusal::VersionTooLow { found, adopted } => {
                write!(
                    f,
                    "version {found} is older than the adopted version {adopted}, expected a higher number"
                )
            }
            Refusal::VersionReused(version) => {
                write!(
                    f,
                    "version {version} is already adopted with different nodes, expected a higher number"
                )
            }
            Refusal::VersionMissing(adopted) => {
                write!(f, "it has no version number, expected one above the adopted version {adopted}")
            }
            Refusal::TooManyRemoved { removed, serving } => {
                write!(
                    f,
                    "it removes {removed} of {serving} serving nodes; to do so it must contain `removal: allowed`"
                )
            }
            Refusal::FileMissing => write!(f, "the file does not exist"),
            Refusal::Unreadable(why) => write!(f, "the file cannot be read: {why}"),
        }
    }
}

/// What the caller must do after an observation of the file.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Nothing: this content is already adopted, or was already refused.
    Keep,
    /// Read the file again after this time, since it may still be in the middle of a write.
    Wait(Duration),
    /// Keep the adopted version and report why. Returned once for content that stays the same.
    Refuse(Refusal),
    /// Adopt this version.
    Adopt(Inventory),
}

/// Follows the content of an inventory file and holds the adopted version.
#[derive(Debug, Default)]
pub struct Watch {
    policy: Policy,
    /// The digest of the content observed last, and when it was first observed.
    observed: Option<(u64, Duration)>,
    /// The digest of the content, or of the read error, that was decided on last.
    decided: Option<u64>,
    adopted: Option<Inventory>,
}

/// FNV-1a hash, by which changed content is recognized.
fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3))
}

impl Watch {
    /// Creates a watch that has observed nothing yet.
    pub fn new(policy: Policy) -> Watch {
        Watch { policy, ..Watch::default() }
    }

    /// Returns the adopted version.
    pub fn adopted(&self) -> Option<&Inventory> {
        self.adopted.as_ref()
    }

    /// Records that the file could not be read or does not exist.
    pub fn read_failed(&mut self, why: Refusal) -> Decision {
        let digest = digest(why.to_string().as_bytes());
        self.observed = None;
        if self.decided.replace(digest) == Some(digest) {
            return Decision::Keep;
        }
        Decision::Refuse(why)
    }

    /// Records that the file holds `bytes` at `now`, a time on a monotonic clock, and decides whether to adopt them.
    /// `read` parses the bytes; it is not called for content that was already decided on.
    pub fn observe(
        &mut self,
        now: Duration,
        bytes: &[u8],
        read: impl FnOnce(&[u8]) -> Result<Inventory, Vec<Fault>>,
    ) -> Decision {
        let digest = digest(bytes);
        let since = match self.observed {
            Some((observed, since)) if observed == digest => since,
            _ => now,
        };
        self.observed = Some((digest, since));
        if self.decided == Some(digest) {
            return Decision::Keep;
        }
        let unchanged_for = now.saturating_sub(since);
        let wait = self.policy.quiet_period.saturating_sub(unchanged_for);
        let read = read(bytes);
        // Only a closed version skips the wait. Faults may come from a half-written file, so they wait too.
        if !wait.is_zero() && !read.as_ref().is_ok_and(|inventory| inventory.closed) {
            return Decision::Wait(wait);
        }
        self.decided = Some(digest);
        match read.map_err(Refusal::Faults).and_then(|new| self.check_against_adopted(&new).map(|()| new)) {
            Ok(new) => {
                if self.adopted.as_ref() == Some(&new) {
                    return Decision::Keep;
                }
                self.adopted = Some(new.clone());
                Decision::Adopt(new)
            }
            Err(why) => Decision::Refuse(why),
        }
    }

    /// Checks a new version against the adopted one.
    fn check_against_adopted(&self, new: &Inventory) -> Result<(), Refusal> {
        let Some(old) = &self.adopted else { return Ok(()) };
        if old.closed && !new.closed {
            return Err(Refusal::NotClosed);
        }
        match (old.version, new.version) {
            (Some(adopted), None) => return Err(Refusal::VersionMissing(adopted)),
            (Some(adopted), Some(found)) if found < adopted => {
                return Err(Refusal::VersionTooLow { found, adopted });
            }
            (Some(adopted), Some(found)) if found == adopted && old.nodes != new.nodes => {
                return Err(Refusal::VersionReused(adopted));
            }
            _ => {}
        }
        let (removed, serving) = count_removed(old, new);
        if removed as f64 > self.policy.max_removed_ratio * serving as f64 && !new.removal_allowed {
            return Err(Refusal::TooManyRemoved { removed, serving });
        }
        Ok(())
    }
}
