//! The decisions of a quota-keeping rate limiter in front of a shared API.
//!
//! A [`Limiter`] is the decision code of one limiter. It is pure: no I/O, no clock, no globals. The host
//! tells it what happened ([`Event`]) and at what time, and carries out what it asks for ([`Action`]).
//! Several limiters in front of the same endpoints keep each customer's quota together through a counter
//! service; each decides every request from what it has itself seen.
//!
//! `quota` decides whether a customer may, `endpoints` which endpoint takes a request, `requests` what
//! becomes of it in between. Each file there holds one decision with its constants, and says what the
//! decision can get wrong and which test holds it.
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
