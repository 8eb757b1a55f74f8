//! Who of the limiters is alive, and who holds which duty.
//!
//! No I/O: time and datagrams come in, datagrams and news go out, and [`Members::wake_at`] says when to come again. Three parts
//! that know nobody: [`swim`] tells who is alive by gossip, [`lease`] gives duties out by a majority of voters with a token that
//! fences, [`duties`] says who ought to have which. [`Members`] holds them together. See `docs/design/members.md`.
#![warn(missing_docs)]

pub mod duties;
pub mod lease;
mod members;
pub mod swim;

pub use members::{Input, Members, News, Output, Problem, Row, Settings, Standing, LARGEST, LONGEST_TOLD};

/// Microseconds of the monotonic clock of one process; of nobody else's.
pub type Micros = u64;
