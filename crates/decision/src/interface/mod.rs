//! The interface of the decision module: settings and events in, actions out. No decisions are made here.
//!
//! Times are seconds on the host's clock; durations are seconds.

mod action;
mod endpoint;
mod event;
mod load_report;
mod settings;

pub use action::Action;
pub use endpoint::{EndpointEntry, EndpointId, EndpointState};
pub use event::{Event, Outcome, Request, RequestId};
pub use load_report::LoadReport;
pub use settings::{Class, DeduplicationScope, Idempotency, Plan, Settings};
