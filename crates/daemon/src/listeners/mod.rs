//! Listeners: where clients connect. A listener reads and checks a request, submits it to the host through the event
//! queue, and writes its one answer.

pub mod accept;
pub mod admission;
pub mod body_budget;
mod fields;
pub mod grpc;
pub mod http;
pub mod open_ids;
