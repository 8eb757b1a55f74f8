//! The parts of a limiter on real sockets: fronts, peers and membership report to one inbox, the host alone calls
//! the decisions. The binary is a thin shell around [`cli::main`]; tools of this workspace use the parts by themselves.
#![forbid(unsafe_code)]

pub mod cli;
pub mod config;
pub mod count;
pub mod fronts;
pub mod group;
pub mod host;
pub mod http2;
pub mod inbox;
pub mod log;
pub mod membership;
pub mod number;
pub mod operator;
pub mod peers;
pub mod relay;
pub mod serve;

use log::log;
