//! The rehearsal kit: a whole liftrouter installation on one machine, with faults, and a verdict on the rules.
//!
//! Real limiters run as child processes; quote nodes, the keeper of counts, the list of servers and the clients
//! are stand-ins on loopback sockets. A [`scenario`] says what is installed and what goes wrong, [`schedule`]
//! draws every time and victim from a seed, [`rehearsal`] plays it, [`history`] holds what was seen on the
//! wire, and [`ledger`] judges that and nothing else.
#![warn(missing_docs)]

pub use liftrouter_stage::{counts, history, ledger, node, scenario, schedule, settings, trouble};

pub mod daemon;
pub mod measure;
pub mod measure_authz;
pub mod measure_closes;
pub mod measure_keeper;
pub mod net;
pub mod rehearsal;
pub mod report;
pub mod standin;
pub mod trial;
