//! Experiments on the whole installation in simulated time ([`liftrouter_model`]): factors and their values, seeds until an
//! interval is narrow enough, results that survive a kill, statistics and plots.
#![warn(missing_docs)]

pub mod experiment;
pub mod plot;
pub mod responses;
pub mod results;
pub mod run;
pub mod stats;
