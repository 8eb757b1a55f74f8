//! Listeners accept client connections. A listener reads and validates each request, submits it to the host through
//! the event queue, and writes exactly one reply.

pub mod accept;
pub mod admission;
mod fields;
pub mod grpc;
pub mod http;
mod shutdown_deadline;
