//! Errors of cluster membership.

use liftrouter_cluster::SettingsError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why this limiter cannot be a member, or its status cannot be shown.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// The UDP socket cannot be opened.
    #[error("cannot listen on {address} for members: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The local address of the UDP socket cannot be determined.
    #[error(transparent)]
    LocalAddress(io::Error),
    /// The settings are invalid.
    #[error("{}", list(.0))]
    Settings(Vec<SettingsError>),
    /// The status socket cannot be opened.
    #[error("cannot listen on {} for status queries: {source}", .path.display())]
    StatusSocket {
        /// The path of the socket.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// No limiter answers at a status socket.
    #[error("{}: no limiter answers there: {source}", .path.display())]
    NoAnswer {
        /// The path of the socket.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The answer at a status socket cannot be decoded.
    #[error("{}: the answer is not a member status: {source}", .path.display())]
    InvalidAnswer {
        /// The path of the socket.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
}

fn list(errors: &[SettingsError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
