//! Accepts connections, the same way for every listener: within a connection limit, and through passing failures.

use crate::log::log;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Pause before accepting is tried again, after a failure (most likely no descriptor was left) and while every
/// allowed connection is busy.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections for as long as it is polled, and hands each to `take`.
///
/// While `full` returns true, further clients wait in the kernel's backlog until `closed` is notified: an accepted
/// connection may carry a request, and closing it would lose that request. `full` may ask an idle connection to close.
pub async fn accept(
    listener: TcpListener,
    log_part: &str,
    closed: &Notify,
    full: impl Fn() -> bool,
    take: impl Fn(TcpStream),
) {
    loop {
        while full() {
            let _ = timeout(ACCEPT_PAUSE, closed.notified()).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => take(stream),
            Err(error) => {
                log(log_part, format_args!("cannot accept: {error}"));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
