//! HTTP exchanges of the rogue with servers, the limiter and discovery.

use crate::net::message::{take_answer, Answer, Headers};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at};

/// The longest that an answer of a server or of the limiter is waited for.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// The longest that a connection attempt takes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// An answer is out so long before its client gives up.
pub(super) const DEADLINE_MARGIN: Duration = Duration::from_millis(250);
/// How often a client that has sent too much is looked at for its end.
const CLOSE_POLL: Duration = Duration::from_millis(20);

/// Reads one answer.
pub(super) async fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut buffer = Vec::with_capacity(512);
    let read = async {
        loop {
            let ended = stream.read_buf(&mut buffer).await.ok()? == 0;
            match take_answer(&mut buffer, ended) {
                Ok(Some(answer)) => return Some(answer),
                Ok(None) if !ended => {}
                _ => return None,
            }
        }
    };
    timeout(ANSWER_TIMEOUT, read).await.ok().flatten()
}

/// Writes a request whole to a server, on a connection of its own.
pub(super) async fn write_request(server: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(server)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    stream.write_all(bytes).await.ok()?;
    Some(stream)
}

/// Sends a request to a server, and reads its answer.
pub(super) async fn call(server: SocketAddr, bytes: &[u8]) -> Option<Answer> {
    read_answer(&mut write_request(server, bytes).await?).await
}

/// The same for as long as the client waits; a refusal takes the place of a later answer.
pub(super) async fn call_until(server: SocketAddr, bytes: &[u8], deadline: Instant) -> Option<Answer> {
    let refusal = || Answer { status: 503, headers: Headers::default(), body: Vec::new(), last: false };
    match timeout_at((deadline - DEADLINE_MARGIN).into(), call(server, bytes)).await {
        Ok(answer) => answer,
        Err(_) => Some(refusal()),
    }
}

/// Waits until a client has closed its connection.
pub(super) async fn closed(stream: &TcpStream) {
    loop {
        match stream.peek(&mut [0; 1]).await {
            Ok(0) | Err(_) => return,
            // Something waits to be read, which a client does not send before its answer.
            Ok(_) => sleep(CLOSE_POLL).await,
        }
    }
}

/// The refusal of a limiter.
pub(super) fn refusal() -> Vec<u8> {
    b"HTTP/1.1 429 X\r\ncontent-length: 0\r\n\r\n".to_vec()
}

/// A duration of so many milliseconds.
pub(super) fn milliseconds(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds / 1e3)
}
