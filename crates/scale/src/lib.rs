//! What a fleet of thousands of limiters costs.
//!
//! [`run`] plays a fleet on loopback: real limiters beside hollow ones, which have the real code for membership, lists
//! and counter calls and no request path. [`slopes`] measures how the cost of single parts grows with their input.
//! Both leave [`record`]s, from which [`fit`] makes slopes with intervals, [`budget`] says what holds, [`capacity`] works
//! out what is needed, and [`table`] and [`plot`] show it. `docs/CAPACITY.md` is worked out from stored records; a test keeps page and records together.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod budget;
pub mod capacity;
pub mod fit;
pub mod plot;
pub mod record;
pub mod run;
pub mod slopes;
pub mod table;
