//! A partner's platform: asks limiters for permission over gRPC, on one connection to each, and a hostile one
//! that resets streams as fast as it is told to.

use crate::scenario::Class;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http2::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::{TokioExecutor, TokioIo};
use liftrouter_authz::messages::envoy::service::auth::v3::attribute_context::{self, HttpRequest};
use liftrouter_authz::messages::envoy::service::auth::v3::check_response::HttpResponse;
use liftrouter_authz::messages::envoy::service::auth::v3::{AttributeContext, CheckRequest, CheckResponse};
use liftrouter_authz::{frame, wire, Message, MessageDecoder, PREFIX_LEN};
use std::error::Error;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

const CHECK: &str = "/envoy.service.auth.v3.Authorization/Check";
const LARGEST: usize = 64 * 1024;
/// Pause before a flood tries to connect anew where it cannot.
const AGAIN: Duration = Duration::from_millis(5);

type Sender = SendRequest<Full<Bytes>>;

/// How a question ended.
pub enum Said {
    /// An answer, as an HTTP client would see it: 200 for a permission; and its advice in seconds.
    Answer(u16, Option<f64>),
    /// The same, and so many bytes behind it, where one message is due.
    Surplus(u16, Option<f64>, u32),
    /// Surely not seen.
    Unseen,
    /// The stream or its connection broke.
    Broken,
}

/// One connection to each limiter.
pub struct Lines(Vec<(SocketAddr, Mutex<Option<Sender>>)>);

impl Lines {
    /// To these addresses, none of which is connected yet.
    pub fn new(addresses: &[SocketAddr]) -> Lines {
        Lines(addresses.iter().map(|a| (*a, Mutex::default())).collect())
    }

    /// A connection to a limiter, which is made where there is none; `None` if it does not come up.
    pub async fn line(&self, limiter: usize) -> Option<Sender> {
        let (address, kept) = self.0.get(limiter)?;
        let kept_now = || kept.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(sender) = kept_now().filter(|s| !s.is_closed()) {
            return Some(sender);
        }
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioExecutor::new(), TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
        // Others may have connected meanwhile: theirs is used, and this one ends.
        if let Some(other) = kept.as_ref().filter(|s| !s.is_closed()) {
            return Some(other.clone());
        }
        Some(kept.insert(sender).clone())
    }

    /// Forgets a connection that takes nothing more.
    pub fn forget(&self, limiter: usize) {
        if let Some((_, kept)) = self.0.get(limiter) {
            kept.lock().unwrap_or_else(PoisonError::into_inner).take();
        }
    }
}

/// What is asked about a call.
pub struct Call<'a> {
    /// Its class.
    pub class: &'a Class,
    /// Customer's number, plan, id of the try.
    pub customer: u64,
    /// Name of the plan.
    pub plan: &'a str,
    /// Id of the try.
    pub id: u64,
    /// Key of the request.
    pub key: u64,
    /// As in `X-Metering`.
    pub metering: String,
    /// When its client gives up.
    pub due: Instant,
}

impl Call<'_> {
    fn question(&self, left: u128) -> CheckRequest {
        let headers = [
            ("x-correlation-id", format!("{:016x}", self.id)),
            ("x-contract", self.plan.to_string()),
            ("x-time-left", format!("{left}u")),
            ("x-metering", self.metering.clone()),
            ("idempotency-key", format!("{:032x}", self.key)),
        ];
        let http = HttpRequest {
            method: "POST".into(),
            path: format!("/{}/{:016x}", self.class.name, self.customer),
            headers: headers.into_iter().map(|(name, value)| (name.to_string(), value)).collect(),
            ..HttpRequest::default()
        };
        let request = Some(attribute_context::Request { http: Some(http) });
        CheckRequest { attributes: Some(AttributeContext { request, ..AttributeContext::default() }) }
    }

    /// Puts it to a limiter.
    pub async fn put(&self, mut sender: Sender) -> Said {
        let left = self.due.saturating_duration_since(Instant::now()).as_micros();
        let body = Full::new(frame(&self.question(left)));
        let request = Request::post(format!("http://limiter{CHECK}"))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .header("grpc-timeout", format!("{}u", left.min(99_999_999)))
            .body(body);
        let Ok(request) = request else { return Said::Broken };
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut e) => return if e.take_message().is_some() { Said::Unseen } else { broken(e.error()) },
        };
        let (head, body) = response.into_parts();
        let body = match Limited::new(body, LARGEST).collect().await {
            Ok(body) => body,
            Err(e) => return e.downcast_ref::<hyper::Error>().map_or(Said::Broken, broken),
        };
        let status = body.trailers().and_then(|t| t.get("grpc-status")).or(head.headers.get("grpc-status"));
        let status = status.and_then(|s| s.to_str().ok()).and_then(|s| s.parse::<u16>().ok());
        match (head.status.as_u16(), status) {
            (200, Some(0)) => read(&body.to_bytes()),
            // The nearest that HTTP has: too much at once, too late, malformed, open already.
            (200, Some(8 | 14)) => Said::Answer(503, None),
            (200, Some(4)) => Said::Answer(504, None),
            (200, Some(3)) => Said::Answer(400, None),
            (200, Some(6)) => Said::Answer(409, None),
            _ => Said::Answer(500, None),
        }
    }
}

fn broken(error: &hyper::Error) -> Said {
    let http2 = error.source().and_then(|source| source.downcast_ref::<h2::Error>());
    let refused = |e: &h2::Error| e.is_go_away() || e.reason() == Some(h2::Reason::REFUSED_STREAM);
    match http2.is_some_and(|e| e.is_remote() && refused(e)) {
        true => Said::Unseen,
        false => Said::Broken,
    }
}

/// A permission is 200; a denial has its own status. What is neither is no answer that a platform could use.
fn read(body: &[u8]) -> Said {
    let mut messages = MessageDecoder::new(LARGEST);
    messages.push(body);
    let message = messages.next_message().ok().flatten();
    let behind = body.len().saturating_sub(message.as_ref().map_or(0, |m| PREFIX_LEN + m.len()));
    let answer = |status, advice| match behind {
        0 => Said::Answer(status, advice),
        bytes => Said::Surplus(status, advice, bytes as u32),
    };
    let Some(response) = message.and_then(|m| CheckResponse::decode(m).ok()) else {
        return Said::Answer(500, None);
    };
    let ok = response.status.as_ref().is_some_and(|s| s.code == 0);
    match response.http_response {
        Some(HttpResponse::OkResponse(_)) if ok => answer(200, None),
        Some(HttpResponse::DeniedResponse(denied)) if !ok => {
            let status = denied.status.map_or(403, |s| u16::try_from(s.code).unwrap_or(500));
            let headers = denied.headers.into_iter().filter_map(|option| option.header);
            let advice = headers.filter(|h| h.key == "retry-after").find_map(|h| h.value.parse().ok());
            answer(status, advice)
        }
        _ => Said::Answer(500, None),
    }
}

/// Opens streams and resets them at once, so many a second, until it is dropped. Whenever its connection is
/// ended it makes another.
pub async fn flood(address: SocketAddr, per_s: f64) {
    let mut due = Instant::now();
    loop {
        let Ok(Ok(stream)) = timeout(Duration::from_secs(1), TcpStream::connect(address)).await else {
            sleep(AGAIN).await;
            continue;
        };
        let (mut reader, mut writer) = stream.into_split();
        // What the limiter says is read, so that it is not held up by it.
        let reading = tokio::spawn(async move {
            let mut buffer = [0; 4_096];
            while reader.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
        });
        let mut hello = wire::PREFACE.to_vec();
        hello.extend(wire::raw(wire::SETTINGS, 0, 0, &[]));
        let mut open = writer.write_all(&hello).await.is_ok();
        let mut id = 1u32;
        while open && id < 0x7fff_0000 {
            // Ten milliseconds' worth at a time.
            let burst = (per_s / 100.0).ceil().max(1.0);
            let mut bytes = Vec::new();
            for _ in 0..burst as usize {
                bytes.extend(wire::call(id, CHECK));
                bytes.extend(wire::reset(id, wire::CANCEL));
                id += 2;
            }
            open = writer.write_all(&bytes).await.is_ok();
            due =
                due.max(Instant::now() - Duration::from_millis(100)) + Duration::from_secs_f64(burst / per_s);
            sleep_until(due.into()).await;
        }
        reading.abort();
    }
}
