//! Accepting, the same for all fronts: no more connections than allowed, and failures that pass.

use crate::log;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Pause before accepting is tried again: after a failure, which most likely means that descriptors ran out,
/// and where all connections that may be open are busy.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections for as long as it is polled. While `full`, which may ask one that is idle to close, the
/// rest wait with the kernel until `closed` tells of one that has: a connection that is accepted may carry a
/// request, and ending it would lose that one.
pub async fn accept(
    listener: TcpListener,
    part: &str,
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
            Err(e) => {
                log(part, format_args!("cannot accept: {e}"));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
