//! The decisions of a quota-keeping rate limiter in front of a shared API.
//!
//! A [`Limiter`] is the decision code of one limiter. It is pure: no I/O, no clock, no globals. The host
//! passes it events ([`Event`]) with their time and carries out the actions that it asks for ([`Action`]).
//! Several limiters in front of the same endpoints enforce each customer's quota together through a counter
//! service; each decides on requests from its local state, without waiting for the others.
//!
//! `quota` decides whether a customer's quota allows a request, `endpoints` selects the endpoint, and
//! `requests` manages each request from admission to its final response. Each file there holds one decision
//! with its constants, and states what the decision can get wrong and which test covers it.
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

mod context;
mod endpoints;
mod ewma;
mod hash;
mod interface;
mod limiter;
mod quota;
mod requests;
mod timer;

pub use interface::*;
pub use limiter::Limiter;
