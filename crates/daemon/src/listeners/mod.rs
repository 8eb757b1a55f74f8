//! Fronts: where clients ask. A front reads and checks, asks through the events, and writes the one answer.

pub mod accept;
pub mod fields;
pub mod gate;
pub mod grpc;
pub mod head;
pub mod http;
