//! Serves one HTTP/2 connection within its limits, up to a close that loses no call.

use super::call;
use super::connection::{Connection, Next, OpenCall};
use super::context::CallContext;
use super::reply::Reply;
use crate::http2::{LocalExecutor, MeteredStream};
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use liftrouter_authz::FrameMeter;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, Instant};

/// A client that answers no PING is gone.
const PING_INTERVAL: Duration = Duration::from_secs(20);
const PING_TIMEOUT: Duration = Duration::from_secs(5);
/// The connection's flow-control window: what a client may send unread over all its streams, in bytes.
const CONNECTION_WINDOW: u32 = 128 * 1024;
const MAX_FRAME_BYTES: u32 = 16 * 1024;
/// What may wait to be written of one stream's reply.
const SEND_BUFFER_BYTES: usize = 16 * 1024;

/// Serves a connection until it ends. What is open on it then is dropped, which reports its clients as disconnected.
pub(super) async fn serve(context: &Rc<CallContext>, connection: &Rc<Connection>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let limits = &context.limits;
    let service = service_fn(|request| {
        let (context, open_call) = (context.clone(), OpenCall::new(connection));
        async move { Ok::<_, Infallible>(call::respond(&context, open_call, request).await) }
    });
    let mut builder = http2::Builder::new(LocalExecutor);
    builder
        .timer(TokioTimer::new())
        .max_concurrent_streams(limits.streams)
        .max_header_list_size(limits.header_list)
        .max_frame_size(MAX_FRAME_BYTES)
        .initial_stream_window_size((limits.message as u32).saturating_add(MAX_FRAME_BYTES))
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        // The meter bounds how often streams are reset; hyper must not be stricter (CVE-2023-44487).
        .max_pending_accept_reset_streams(limits.frames.resets as usize * 2)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    let socket = MeteredStream::new(stream, FrameMeter::server(limits.frames, 0.0));
    let mut http = pin!(builder.serve_connection::<_, _, Reply>(TokioIo::new(socket), service));
    let mut shutdown_started = false;
    loop {
        let wake = match connection.next(Instant::now(), limits.idle, limits.age) {
            Next::Close => return,
            Next::GoAway => {
                connection.go_away();
                continue;
            }
            Next::Wait(until) => until,
        };
        if connection.is_going_away() && !std::mem::replace(&mut shutdown_started, true) {
            http.as_mut().graceful_shutdown();
        }
        tokio::select! {
            // An error here is the client's: it left, or broke the protocol and was told so by hyper.
            _ = http.as_mut() => return,
            () = connection.changed() => {}
            () = sleep_until(wake) => {}
        }
    }
}
