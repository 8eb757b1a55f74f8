//! External authorization over gRPC, without I/O: messages and their framing, the operator's mapping from a check
//! request to a request of the limiter, header changes of a check response, and the circuit breaker of an authorizer.
//!
//! Sources: Envoy's API `envoy.service.auth.v3`, "gRPC over HTTP/2", RFC 9113, the gRPC health checking and
//! server reflection protocols. Decisions on requests are made by the decision module.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod breaker;
mod check;
mod flood;
mod framing;
mod headers;
mod mapping;
mod reflection;
mod status;
pub mod wire;

/// The protocol's messages, generated from `proto/`.
#[allow(missing_docs, clippy::all)]
pub mod messages {
    include!(concat!(env!("OUT_DIR"), "/messages.rs"));
}

pub use breaker::{Breaker, BreakerPolicy, Permit};
pub use check::{denied_response, ok_response, parse_verdict, Denial, Verdict};
pub use flood::{Flood, FrameLimits, FrameMeter};
pub use framing::{frame, FrameError, MessageDecoder, UnaryDecoder, PREFIX_LEN};
pub use headers::{HeaderChanges, ReservedHeaders};
pub use mapping::{Mapping, MappingError, MappingRules, MissingField, RequestFields};
pub use prost::Message;
pub use reflection::reflect;
pub use status::{parse_timeout, Code, Status};

/// Full names of the gRPC services that the limiter provides.
pub const SERVICES: [&str; 3] = [AUTHORIZATION, HEALTH, REFLECTION];
/// The external authorization service.
pub const AUTHORIZATION: &str = "envoy.service.auth.v3.Authorization";
/// The health checking service.
pub const HEALTH: &str = "grpc.health.v1.Health";
/// The server reflection service.
pub const REFLECTION: &str = "grpc.reflection.v1.ServerReflection";
