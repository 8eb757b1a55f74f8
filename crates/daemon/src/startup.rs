//! Startup code shared by the limiter and the relay: the async runtime, signal handlers and listening sockets.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Why a program cannot start.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The async runtime cannot be created.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error("cannot handle {name}: {source}")]
    Signal {
        /// Name of the signal.
        name: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A socket cannot be bound to its address.
    #[error("cannot listen on {address}{purpose}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Suffix of the address in the message, such as ` for gRPC`; empty for the main listener.
        purpose: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The local address of a listener cannot be determined.
    #[error("{0}")]
    LocalAddress(#[source] io::Error),
}

/// Creates a single-threaded async runtime.
///
/// # Errors
/// The operating system lacks the resources.
pub fn runtime() -> Result<Runtime, StartupError> {
    Builder::new_current_thread().enable_all().build().map_err(StartupError::Runtime)
}

/// Installs a handler for a signal; the returned stream yields each delivery.
///
/// # Errors
/// The operating system refuses the handler.
pub fn handle_signal(kind: SignalKind, name: &'static str) -> Result<Signal, StartupError> {
    signal(kind).map_err(|source| StartupError::Signal { name, source })
}

/// Binds a listener to an address. `purpose` follows the address in the error message.
///
/// # Errors
/// The address is in use or is not an address of this machine.
pub async fn listen(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, StartupError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartupError::Listen { address, purpose, source })
}

/// The address that a listener is bound to.
///
/// # Errors
/// The operating system cannot determine it.
pub fn local_address(listener: &TcpListener) -> Result<SocketAddr, StartupError> {
    listener.local_addr().map_err(StartupError::LocalAddress)
}
