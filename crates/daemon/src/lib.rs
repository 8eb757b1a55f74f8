//! The parts of a limiter on real sockets: listeners, upstream connections and discovery report to one event queue, the
//! host alone calls the decisions. The binary is a thin shell around [`cli::main`]; tools of this workspace use the parts
//! by themselves.
#![forbid(unsafe_code)]

pub mod authoriser;
pub mod cli;
pub mod cluster;
pub mod config;
pub mod count_guard;
pub mod counter;
pub mod decimal;
pub mod discovery;
pub mod events;
pub mod host;
pub mod http2;
pub mod listeners;
pub mod log;
pub mod operator;
pub mod relay;
pub mod serve;
pub mod startup;
pub mod upstream;

use log::log;
