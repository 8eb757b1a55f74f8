//! Serves one HTTP/2 connection within its limits, and closes it without losing a call.

use super::call;
use super::connection::{Connection, ConnectionAction, OpenCall};
use super::context::CallContext;
use super::reply::{self, Reply};
use super::unary::out_of_memory;
use crate::http2::{LocalExecutor, MeteredStream};
use crate::listeners::fields::memory_of_headers;
use crate::memory::{MemoryReservation, OutOfMemory};
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use liftrouter_authz::FrameMeter;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, Instant};

/// The interval of PINGs. A client that does not answer within [`PING_TIMEOUT`] is considered disconnected.
const PING_INTERVAL: Duration = Duration::from_secs(20);
const PING_TIMEOUT: Duration = Duration::from_secs(5);
/// The connection's flow-control window in bytes: how much a client may send over all streams before it is read.
const CONNECTION_WINDOW: u32 = 128 * 1024;
const MAX_FRAME_BYTES: u32 = 16 * 1024;
/// What an open call takes in memory beside its head and message, in bytes: its task, and its stream.
const CALL_BYTES: usize = 3 * 1024;
/// How much of one stream's reply may be buffered for writing.
const SEND_BUFFER_BYTES: usize = 16 * 1024;

/// Reserves memory for the head and the task of a call.
fn reserve_call(
    context: &CallContext,
    request: &Request<Incoming>,
) -> Result<MemoryReservation, OutOfMemory> {
    let mut memory = context.admission.memory().reservation();
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    memory.grow_to(CALL_BYTES + target + memory_of_headers(request.headers()))?;
    Ok(memory)
}

/// Serves a connection until it ends. Calls that are still open are then dropped, which reports their clients as
/// disconnected.
pub(super) async fn serve(context: &Rc<CallContext>, connection: &Rc<Connection>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let limits = &context.limits;
    let service = service_fn(|request| {
        let (context, open_call) = (context.clone(), OpenCall::new(connection));
        // A call without memory is dropped here: hyper passes on many before it runs the first one.
        let call = reserve_call(&context, &request).map(|memory| (request, memory));
        async move {
            Ok::<_, Infallible>(match call {
                // In a box, so that the tasks of calls that are dropped are small.
                Ok((request, memory)) => Box::pin(call::respond(&context, open_call, request, memory)).await,
                Err(error) => reply::status(&out_of_memory(error)),
            })
        }
    });
    let mut builder = http2::Builder::new(LocalExecutor);
    builder
        .timer(TokioTimer::new())
        .max_concurrent_streams(limits.max_streams)
        .max_header_list_size(limits.max_header_list_bytes)
        .max_frame_size(MAX_FRAME_BYTES)
        .initial_stream_window_size((limits.max_message_bytes as u32).saturating_add(MAX_FRAME_BYTES))
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        // The meter bounds how often streams are reset; hyper must not be stricter (CVE-2023-44487).
        .max_pending_accept_reset_streams(limits.frame_limits.resets_per_s as usize * 2)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    let socket = MeteredStream::new(stream, FrameMeter::server(limits.frame_limits, 0.0));
    let mut http = pin!(builder.serve_connection::<_, _, Reply>(TokioIo::new(socket), service));
    let mut shutdown_started = false;
    loop {
        let wake = match connection.next_action(Instant::now(), limits.idle_timeout, limits.max_age) {
            ConnectionAction::Close => return,
            ConnectionAction::GoAway => {
                connection.go_away();
                continue;
            }
            ConnectionAction::Wait(until) => until,
        };
        if connection.is_going_away() && !std::mem::replace(&mut shutdown_started, true) {
            http.as_mut().graceful_shutdown();
        }
        tokio::select! {
            // Errors are caused by the client: it disconnected, or violated the protocol and got an error from hyper.
            _ = http.as_mut() => return,
            () = connection.changed() => {}
            () = sleep_until(wake) => {}
        }
    }
}
