//! What becomes of quotas while the keeper of counts fails, without I/O.
//!
//! [`Judge`] tells by calls of its own whether what a keeper says is to be believed, and by how many limiters it is
//! shared. [`Panel`] judges several and follows their [`Succession`]; [`Pacer`] spreads calls; [`Wake`] knows that the
//! process stood still.
//! [`Bound`] states how far a customer's use over all limiters together may leave its quota while the keeper is
//! silent, has lost counts, answers with old ones, or is two keepers with a view each. `docs/design/keeper.md`
//! derives the bounds; `tests/bounds.rs` holds the decision module to them over simulated limiters and keepers.
//!
//! ```
//! use liftrouter_counter::{Bound, Fault, Quota, Timing};
//!
//! let quota = Quota { rate: 6.5, burst: 30.0, largest: 4.0, width: 3, ceiling: 2.0 };
//! let bound = Bound::of(&quota, &Timing::default(), Fault::Silent { seconds: 60.0 });
//! assert!(bound.over < Bound::of(&quota, &Timing::default(), Fault::Any { seconds: 60.0 }).over);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bound;
mod judge;
mod pace;
mod panel;
mod store;
mod succession;
mod wake;

pub use bound::{Bound, Fault, Quota, Timing, CHANCE};
pub use judge::{Answer, Call, Evidence, Judge, Terms, View};
pub use pace::{Pace, Pacer};
pub use panel::{Belief, Panel};
pub use store::Store;
pub use succession::{Change, Order, Post, Succession, Why};
pub use wake::Wake;
