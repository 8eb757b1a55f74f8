//! Plays a fleet on loopback and measures it.
//!
//! A coordinator starts the processes of a fleet: stand-ins for [discovery](standin::discovery), the
//! [counter](standin::counter) and the [servers](standin::servers), processes of [hollow limiters](hollow), real
//! limiters, and a [load generator](load) before the real ones. Each process but the real limiters is this same binary
//! in another [role](Role), told what to do by [`messages`] on its standard input; it ends when that closes.
//! CPU time and memory are read by process, so that they are known by role.
//!
//! Each part of a run is a fleet of one size, played once: it starts, settles, is measured, and meets the
//! [faults](Fault) one after another. After each of them the [`checker`] looks whether every limiter holds the
//! list of the source.

mod arguments;
pub mod checker;
mod coordinator;
mod error;
mod fleet;
pub mod hollow;
mod lag;
pub mod load;
pub mod messages;
mod process;
mod real;
mod relays;
mod report;
mod role;
mod settings;
pub mod standin;

pub use arguments::{DeliveryKind, Fault, Lists, RunArguments};
pub use coordinator::run;
pub use error::RunError;
pub use role::{play_role, Role};
