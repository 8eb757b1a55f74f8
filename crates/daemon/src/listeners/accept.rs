//! The accept loop that all listeners share. It enforces the connection limit and continues after transient errors.

use crate::log::{log, Occurrences};
use socket2::SockRef;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Pause before the next attempt to accept: after a failed accept (most often because the process is out of file
/// descriptors) and while the connection limit is reached.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections until the future is dropped, and passes each to `on_connection`.
///
/// While `is_full` returns true, further clients wait in the kernel's backlog until `closed` is notified: an accepted
/// connection may already carry a request, and closing it would lose that request. `is_full` may ask an idle
/// connection to close.
pub async fn accept(
    listener: &TcpListener,
    log_part: &str,
    closed: &Notify,
    is_full: impl Fn() -> bool,
    on_connection: impl Fn(TcpStream),
) {
    let failures = Occurrences::default();
    loop {
        while is_full() {
            let _ = timeout(ACCEPT_PAUSE, closed.notified()).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => on_connection(stream),
            Err(error) => {
                if let Some(number) = failures.count() {
                    log(log_part, format_args!("cannot accept: {error} (number {number})"));
                }
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts the connections that are in the kernel's queue now, `max` of them at most, and passes each to
/// `on_connection`. Returns whether there were any. Asks the kernel, since the runtime may not have been notified yet.
pub fn accept_queued(listener: &TcpListener, max: usize, on_connection: impl Fn(TcpStream)) -> bool {
    let queued = std::iter::from_fn(|| accept_now(listener).ok()).take(max);
    queued.map(on_connection).count() > 0
}

/// Accepts a connection without waiting for one.
fn accept_now(listener: &TcpListener) -> io::Result<TcpStream> {
    let (socket, _) = SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}
