//! External authorisation over gRPC, without I/O: the messages, how a question is read by the operator's
//! mapping, what an answer does to headers, and when an authoriser is left alone.
//!
//! Sources: Envoy's API `envoy.service.auth.v3`, "gRPC over HTTP/2", RFC 9113, the gRPC health checking and
//! server reflection protocols. What is decided about a client's request itself stays in the decision module.
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

/// Full names of the services that the limiter answers.
pub const SERVICES: [&str; 3] = [AUTHORIZATION, HEALTH, REFLECTION];
/// External authorisation.
pub const AUTHORIZATION: &str = "envoy.service.auth.v3.Authorization";
/// Health checking.
pub const HEALTH: &str = "grpc.health.v1.Health";
/// Server reflection.
pub const REFLECTION: &str = "grpc.reflection.v1.ServerReflection";
