//! Serves one connection: its requests one by one, its idle time, and a close that loses no request and no reply.

use super::connection::{BusyGuard, Connection};
use super::reply::{self, Reply};
use super::HttpServer;
use crate::upstream::socket::{Socket, SocketIo};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::{poll_fn, ready};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// The next request head must be complete within this time from accept or from the reply before, and the first
/// request with its body: it ends idle connections too.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// After its last reply a connection is read on for so long and so many bytes while its client still sends: closing
/// with bytes unread would reset it and destroy the reply.
const LINGER_TIME: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 256 * 1024;
const MAX_HEAD_BYTES: usize = 16 * 1024;

impl HttpServer {
    /// Serves a connection until it is closed.
    pub(super) async fn serve_connection(self: &Rc<Self>, socket: &Rc<Socket>, connection: &Rc<Connection>) {
        socket.record_up_to(MAX_HEAD_BYTES);
        if !self.serve_requests(socket, connection).await {
            return;
        }
        connection.start_lingering();
        // Asked to close before its last reply was out, it need not close at once now: the notice is dropped.
        tokio::select! {
            biased;
            () = connection.close.notified() => {}
            () = ready(()) => {}
        }
        tokio::select! {
            () = socket.lingering_close(LINGER_TIME, LINGER_BYTES) => {}
            () = connection.close.notified() => {}
        }
    }

    /// Serves requests until the connection takes no more of them. True if its client may still send, so that the
    /// last reply needs a lingering close.
    async fn serve_requests(self: &Rc<Self>, socket: &Rc<Socket>, connection: &Rc<Connection>) -> bool {
        let service = service_fn(|request| {
            let (server, socket, connection) = (self.clone(), socket.clone(), connection.clone());
            async move { Ok::<_, Infallible>(server.serve_request(request, &socket, &connection).await) }
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
        builder.max_buf_size(MAX_HEAD_BYTES);
        let mut http = pin!(builder.serve_connection(TokioIo::new(SocketIo(socket.clone())), service));
        loop {
            tokio::select! {
                // hyper comes first, so that it gets what there is to read.
                biased;
                // An error here is the client's: it left, was too slow, or sent no HTTP and got a reply to that.
                end = http.as_mut() => return match end {
                    Ok(()) => connection.closing.get(),
                    Err(error) => error.is_parse(),
                },
                () = client_disconnected(socket, connection) => return false,
                () = connection.close.notified() => {
                    // A request that lies unread would be lost with its connection: it is served first.
                    if connection.busy.get() || socket.is_idle() {
                        if connection.is_silent() {
                            // A partial head would hold up hyper's own shutdown.
                            return false;
                        }
                        http.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    async fn serve_request(
        &self,
        request: Request<Incoming>,
        socket: &Socket,
        connection: &Rc<Connection>,
    ) -> Reply {
        let is_first = !connection.used.replace(true);
        let accepted_at = is_first.then(|| connection.since.get());
        let _busy = BusyGuard::new(connection.clone());
        let reply = self.respond(request, socket, connection, accepted_at).await;
        connection.closing.set(reply.headers().contains_key(CONNECTION));
        reply
    }

    /// `accepted_at` is given for the first request of a connection.
    async fn respond(
        &self,
        request: Request<Incoming>,
        socket: &Socket,
        connection: &Connection,
        accepted_at: Option<Instant>,
    ) -> Reply {
        let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let raw = if is_chunked { socket.take_recorded() } else { Vec::new() };
        socket.record_up_to(0);
        let mut reply = if request.uri().path() == "/up" {
            reply::readiness(request.method(), self.ready.get() && !self.draining.get())
        } else {
            let result = self.handle(request, raw, connection, accepted_at).await;
            result.unwrap_or_else(reply::not_admitted)
        };
        socket.record_up_to(MAX_HEAD_BYTES);
        // Behind a chunked body nothing is read as a request, whatever another reader would find there; nor where the
        // socket brought more than was recorded.
        if is_chunked || socket.is_overrun() || self.draining.get() {
            reply::close_connection(&mut reply);
        }
        reply
    }
}

/// Waits until the client disconnects while it waits for an answer.
///
/// hyper looks for no end of the stream behind bytes that it has not read. A client that only shuts down its own
/// sending side counts as disconnected too: nothing tells it from one that closed its connection.
async fn client_disconnected(socket: &Socket, connection: &Connection) {
    poll_fn(
        |context| {
            if connection.awaiting_answer.get() {
                socket.poll_closed(context)
            } else {
                Poll::Pending
            }
        },
    )
    .await;
}
