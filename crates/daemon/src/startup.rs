//! What every program of the daemon starts with: a runtime, signal handlers and sockets that listen.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Why a program cannot start.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The system has no means for the runtime.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal cannot be handled.
    #[error("cannot handle {name}: {source}")]
    Signal {
        /// Name of the signal.
        name: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// An address cannot be listened on.
    #[error("cannot listen on {address}{purpose}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What it is for, such as ` for gRPC`; empty for the main listener.
        purpose: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// A socket does not say where it listens.
    #[error("{0}")]
    LocalAddress(#[source] io::Error),
}

/// The runtime: one thread.
///
/// # Errors
/// The system has no means for it.
pub fn runtime() -> Result<Runtime, StartupError> {
    Builder::new_current_thread().enable_all().build().map_err(StartupError::Runtime)
}

/// Handles a signal from now on.
///
/// # Errors
/// The system refuses.
pub fn handle_signal(kind: SignalKind, name: &'static str) -> Result<Signal, StartupError> {
    signal(kind).map_err(|source| StartupError::Signal { name, source })
}

/// Listens on an address. The purpose stands behind the address where that fails.
///
/// # Errors
/// The address is taken, or is none of this machine.
pub async fn listen(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, StartupError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartupError::Listen { address, purpose, source })
}

/// Where a listener listens.
///
/// # Errors
/// The system does not say.
pub fn local_address(listener: &TcpListener) -> Result<SocketAddr, StartupError> {
    listener.local_addr().map_err(StartupError::LocalAddress)
}
