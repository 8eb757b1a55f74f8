//! Serves one connection: handles its requests in order, ends it when idle, and closes it without losing a request or
//! reply.

use super::client_io::ClientIo;
use super::connection::{BusyGuard, Connection};
use super::reply::{self, Reply};
use super::request_stream::MAX_HEAD_BYTES;
use super::HttpServer;
use crate::upstream::socket::Socket;
use hyper::body::{Body, Incoming};
use hyper::header::CONNECTION;
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
use tokio::task::unconstrained;
use tokio::time::Instant;

/// The next request head must be complete within this time, counted from accept or from the previous reply. For the
/// first request of a connection this includes the body. The timeout also closes idle connections.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// After the last reply, a connection whose client still sends is read for up to this time and this many bytes:
/// closing it with unread bytes would reset it, and the client could lose the reply.
const LINGER_TIME: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 256 * 1024;

impl HttpServer {
    /// Serves a connection until it is closed.
    pub(super) async fn serve_connection(self: &Rc<Self>, socket: &Rc<Socket>, connection: &Rc<Connection>) {
        if !self.serve_requests(socket, connection).await {
            return;
        }
        connection.start_lingering();
        // Drops a close notification from before the last reply was sent: it must not cut the lingering close short.
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

    /// Serves requests until the connection accepts no more. Returns whether the client may still be sending, in which
    /// case the last reply needs a lingering close.
    async fn serve_requests(self: &Rc<Self>, socket: &Rc<Socket>, connection: &Rc<Connection>) -> bool {
        let service = service_fn(|request| {
            let (server, connection) = (self.clone(), connection.clone());
            async move { Ok::<_, Infallible>(server.serve_request(request, &connection).await) }
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
        builder.max_buf_size(MAX_HEAD_BYTES);
        let mut http = pin!(builder.serve_connection(
            TokioIo::new(ClientIo::new(connection.requests.clone(), socket.clone())),
            service
        ));
        loop {
            tokio::select! {
                // hyper is polled first, so that it reads the bytes that are available.
                biased;
                // Errors are caused by the client: it disconnected, was too slow, or sent invalid HTTP and got an
                // error reply.
                end = http.as_mut() => return match end {
                    _ if connection.requests.is_out_of_memory() => true,
                    Ok(()) => connection.close_announced.get(),
                    Err(error) => error.is_parse(),
                },
                () = client_disconnected(connection) => return false,
                () = connection.close.notified() => {
                    // Closing now would lose a request that has arrived but was not read yet: it is served first.
                    if connection.busy.get() || socket.is_idle() {
                        if connection.is_unused() {
                            return false;
                        }
                        if connection.busy.get() || !connection.has_partial_request() {
                            http.as_mut().graceful_shutdown();
                        }
                        // hyper has nothing of a partial head, and would close before the rest has been received.
                        connection.close_after_reply.set(true);
                    }
                }
            }
        }
    }

    async fn serve_request(&self, request: Request<Incoming>, connection: &Rc<Connection>) -> Reply {
        let is_first = !connection.used.replace(true);
        let accepted_at = is_first.then(|| connection.state_since.get());
        let _busy = BusyGuard::new(connection.clone());
        let reply = self.respond(request, connection, accepted_at).await;
        connection.close_announced.set(reply.headers().contains_key(CONNECTION));
        reply
    }

    /// Handles one request. `accepted_at` is set only for the first request of a connection.
    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &Connection,
        accepted_at: Option<Instant>,
    ) -> Reply {
        let requests = &connection.requests;
        let mut reply = match requests.begin_body(request.body().size_hint().exact()) {
            Err(error) => reply::not_admitted(error),
            Ok(_) if request.uri().path() == "/up" => {
                reply::readiness(request.method(), self.ready.get() && !self.draining.get())
            }
            Ok(head_memory) => {
                let result = self.handle(request, head_memory, connection, accepted_at).await;
                result.unwrap_or_else(reply::not_admitted)
            }
        };
        if requests.is_last_request() || connection.close_after_reply.get() || self.draining.get() {
            reply::close_connection(&mut reply);
        }
        requests.end_request();
        reply
    }
}

/// Completes when the client disconnects while its request waits for an answer. A client that shuts down only its
/// sending side counts as disconnected too, since the two cases cannot be distinguished.
async fn client_disconnected(connection: &Connection) {
    let disconnected = poll_fn(|context| {
        if connection.awaiting_answer.get() {
            connection.requests.poll_disconnected(context)
        } else {
            Poll::Pending
        }
    });
    // tokio would let the task yield before all has been read that the client sent behind its request: the request would
    // be forwarded meanwhile.
    unconstrained(disconnected).await;
}
