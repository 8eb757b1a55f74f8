//! What becomes of quotas while the keeper of counts fails, without I/O.
//!
//! [`Judge`] tells by calls of its own whether what a keeper says is to be believed, and by how many limiters it is
//! shared.
//! [`Bound`] states how far a customer's use over all limiters together may leave its quota while the keeper is
//! silent, has lost counts, answers with old ones, or is two keepers with a view each. `docs/design/keeper.md`
//! derives the bounds; `tests/bounds.rs` holds the decision module to them over simulated limiters and keepers.
//!
//! ```
//! use liftrouter_keeper::{Bound, Fault, Quota, Timing};
//!
//! let quota = Quota { rate: 6.5, burst: 30.0, largest: 4.0, width: 3 };
//! let bound = Bound::of(&quota, &Timing::default(), Fault::Silent { seconds: 60.0 });
//! assert!(bound.over < Bound::of(&quota, &Timing::default(), Fault::Any { seconds: 60.0 }).over);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bound;
mod judge;
mod store;

pub use bound::{Bound, Fault, Quota, Timing};
pub use judge::{Answer, Call, Evidence, Judge, Terms, View};
pub use store::Store;
