//! When a version of a file is adopted, and when the one before is kept.
//!
//! A file that is being written cannot be told from a finished one by its text alone: a part of a CSV file is a
//! shorter CSV file. So a version is taken for whole once it says itself where it ends (`# count:`, `# end`,
//! `count:`, `...`), or else when it has stayed as it is for a while. One that has been adopted closed is
//! followed by closed ones only: a half-written file lacks its end, however long its writer stands still.

use crate::diff::count_removed;
use crate::model::{Fault, Inventory};
use std::fmt;
use std::time::Duration;

/// How careful to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// A version that does not say where it ends is adopted once it has stayed the same for so long.
    pub quiet_period: Duration,
    /// The share of the nodes that served which one version may remove, unless it says that it may.
    pub max_removed_ratio: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Policy { quiet_period: Duration::from_millis(100), max_removed_ratio: 0.5 }
    }
}

/// Why a version that was read is not adopted.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// It has faults.
    Faults(Vec<Fault>),
    /// It does not say where it ends, and the one before did.
    NotClosed,
    /// Its version number is lower than the adopted one's.
    VersionTooLow {
        /// Its own.
        found: u64,
        /// The adopted one.
        adopted: u64,
    },
    /// Its version number is that of the adopted one, but not its nodes.
    VersionReused(u64),
    /// It has no version number, and the adopted one has.
    VersionMissing(u64),
    /// It removes too many of the nodes that serve.
    TooManyRemoved {
        /// How many it removes.
        removed: usize,
        /// Of how many.
        serving: usize,
    },
    /// There is no file.
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
                write!(f, "it does not say where it ends, as the version before did: half written?")
            }
            Refusal::VersionTooLow { found, adopted } => {
                write!(f, "version {found} is older than the adopted {adopted}, expected a higher number")
            }
            Refusal::VersionReused(version) => {
                write!(f, "version {version} is adopted with other nodes, expected a higher number")
            }
            Refusal::VersionMissing(adopted) => {
                write!(f, "it has no version, expected one over the adopted {adopted}")
            }
            Refusal::TooManyRemoved { removed, serving } => {
                write!(
                    f,
                    "it removes {removed} of {serving} nodes that serve; to do so it must say `removal: allowed`"
                )
            }
            Refusal::FileMissing => write!(f, "the file is not there"),
            Refusal::Unreadable(why) => write!(f, "the file cannot be read: {why}"),
        }
    }
}

/// What to do about what was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Nothing: it is what is adopted, or its refusal has been told.
    Keep,
    /// Look again after this time: it may still be being written.
    Wait(Duration),
    /// Keep what is adopted, and say why; told once for each text.
    Refuse(Refusal),
    /// Adopt this one, whole.
    Adopt(Inventory),
}

/// What has been seen of a file so far.
#[derive(Debug, Default)]
pub struct Watch {
    policy: Policy,
    /// What was seen last, and since when.
    seen: Option<(u64, Duration)>,
    /// The text that was last decided on.
    decided: Option<u64>,
    adopted: Option<Inventory>,
}

/// FNV-1a: tells one text from another.
fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3))
}

impl Watch {
    /// One that has seen nothing.
    pub fn new(policy: Policy) -> Watch {
        Watch { policy, ..Watch::default() }
    }

    /// What is adopted.
    pub fn adopted(&self) -> Option<&Inventory> {
        self.adopted.as_ref()
    }

    /// The file could not be read, or is not there.
    pub fn read_failed(&mut self, why: Refusal) -> Decision {
        let mark = digest(why.to_string().as_bytes());
        self.seen = None;
        if self.decided.replace(mark) == Some(mark) {
            return Decision::Keep;
        }
        Decision::Refuse(why)
    }

    /// The file holds these bytes at this time, of a clock that goes forward; `read` reads them.
    pub fn observe(
        &mut self,
        now: Duration,
        bytes: &[u8],
        read: impl FnOnce(&[u8]) -> Result<Inventory, Vec<Fault>>,
    ) -> Decision {
        let mark = digest(bytes);
        let since = match self.seen {
            Some((seen, since)) if seen == mark => since,
            _ => now,
        };
        self.seen = Some((mark, since));
        if self.decided == Some(mark) {
            return Decision::Keep;
        }
        let steady = now.saturating_sub(since);
        let wait = self.policy.quiet_period.saturating_sub(steady);
        let read = read(bytes);
        // Only what is whole by its own word need not wait: faults may be those of a half.
        if !wait.is_zero() && !read.as_ref().is_ok_and(|inventory| inventory.closed) {
            return Decision::Wait(wait);
        }
        self.decided = Some(mark);
        match read.map_err(Refusal::Faults).and_then(|new| self.judge(&new).map(|()| new)) {
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

    fn judge(&self, new: &Inventory) -> Result<(), Refusal> {
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
