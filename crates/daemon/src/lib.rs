//! The limiter daemon. Listeners, upstream connections and discovery push events to one queue, and only the host passes
//! them to the decision module. The binary just calls [`cli::main`]; other tools of this workspace use single modules
//! of this library.
#![forbid(unsafe_code)]

pub mod authorizer;
pub mod body;
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
pub mod memory;
pub mod operator;
pub mod relay;
pub mod serve;
pub mod startup;
pub mod upstream;

use log::log;
