//! The decisions of a quota-keeping gateway ("limiter") in front of a shared API.
//!
//! A [`Limiter`] is one gateway's decision code. It is pure: no I/O, no clock, no globals. The host
//! tells it what happened ([`Event`]) and at what time, and carries out what it asks for ([`Action`]).
//! Several limiters in front of the same servers keep each customer's quota together through a counter
//! service; each decides every request from what it has itself seen.
//!
//! ```
//! use liftrouter_decision::{Action, Event, Limiter, Settings};
//!
//! let mut limiter = Limiter::new(Settings::default(), 7, 0.0);
//! let mut actions: Vec<Action> = Vec::new();
//! limiter.handle(0.0, Event::Timer { token: 0 }, &mut actions);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod interface;
mod policy;

pub use interface::*;
pub use policy::Limiter;
