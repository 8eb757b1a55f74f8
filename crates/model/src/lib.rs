//! The whole installation in simulated time: the real decision module in every limiter, before modelled clients, fronts,
//! links, nodes, keeper and list.
//!
//! [`play`] takes the kit's scenarios and schedules and gives the kit's history, for the kit's ledger to judge. The same
//! scenario, schedule and figures give the same history, to the byte, on any machine. What is modelled, by which source,
//! and what is left out says `docs/design/laboratory.md`.
//!
//! ```
//! use liftrouter_model::{play, Figures};
//! use liftrouter_stage::ledger::{judge, Facts, Verdict};
//! use liftrouter_stage::{scenario::Scenario, schedule::draw};
//!
//! let text = r#"
//! name = "small"
//! length_s = 5.0
//! limiters.count = 2
//! nodes.count = 3
//! load.tries_per_s = 20.0
//! class = [{ name = "quote", share = 1.0, work_ms = 50.0, aim_ms = 500.0, deadline_ms = 2000.0, worth = 1.0,
//!            effect = "safe" }]
//! plan = [{ name = "agency", share = 1.0, rate = 5.0, burst_s = 3.0, price = 1.0 }]
//! "#;
//! let scenario = Scenario::parse("small.toml", text).expect("a scenario");
//! let schedule = draw(&scenario, 7);
//! let history = play(&scenario, &schedule, &Figures::default()).expect("it can be modelled");
//! let judgement = judge(&Facts { scenario: &scenario, schedule: &schedule }, &history, None);
//! assert_eq!(judgement.verdict, Verdict::Kept);
//! ```
#![warn(missing_docs)]

mod clients;
mod counts;
mod discovery;
mod faults;
mod figures;
mod limiters;
mod links;
mod list;
mod nodes;
mod queue;
mod world;

pub use figures::{Draws, Figures};
pub use nodes::Cores;
pub use queue::Queue;
pub use world::{fits, play};
