//! gRPC test kit: a client built on hyper, a connection that sends hand-written HTTP/2 frames, and a stand-in for the
//! external authorizer.

use super::WAIT_TIMEOUT;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2::{handshake, SendRequest};
use hyper::{HeaderMap, Request};
use hyper_util::rt::{TokioExecutor, TokioIo};
use liftrouter_authz::messages::envoy::service::auth::v3::attribute_context::{
    HttpRequest, Request as RequestAttributes,
};
use liftrouter_authz::messages::envoy::service::auth::v3::check_response::HttpResponse;
use liftrouter_authz::messages::envoy::service::auth::v3::{
    AttributeContext, CheckRequest, CheckResponse, DeniedHttpResponse, OkHttpResponse,
};
#[allow(unused_imports)]
pub use liftrouter_authz::wire::{
    self, answer, answer_head, answer_status, goaway, headers as header_block, raw as raw_frame,
    Frame as RawFrame, ACK, CANCEL, CONTINUATION, DATA, END_HEADERS, END_STREAM, GOAWAY, HEADERS, PING,
    REFUSED_STREAM, RST_STREAM, SETTINGS, WINDOW_UPDATE,
};
use liftrouter_authz::{frame, Message, UnaryDecoder};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use tokio::runtime::Runtime;

/// Path of the external authorization call.
pub const CHECK: &str = "/envoy.service.auth.v3.Authorization/Check";
/// Path of the unary health check.
pub const HEALTH: &str = "/grpc.health.v1.Health/Check";
/// Path of the streaming health check.
pub const WATCH: &str = "/grpc.health.v1.Health/Watch";
/// Path of the reflection call, version 1.
pub const REFLECTION: &str = "/grpc.reflection.v1.ServerReflection/ServerReflectionInfo";

static NEXT_ID: AtomicU32 = AtomicU32::new(1);

/// A request id that no other request of this test process has.
pub fn new_id() -> String {
    format!("g{:015x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// A check request with a new id and 1.5 s left, for the customer that most tests use. The default mapping reads its
/// fields from the path and the headers.
pub fn check_request(class: &str, plan: &str, units: u32) -> CheckRequest {
    let id = new_id();
    let metering = format!("units={units},spread=1,first=0");
    check_request_with_headers(
        &format!("/{class}/00000000b4d65521?from=tls"),
        &[
            ("x-contract", plan),
            ("x-metering", &metering),
            ("x-correlation-id", &id),
            ("x-time-left", "1500m"),
            ("idempotency-key", &id),
        ],
    )
}

/// A check request for a GET with this path and these headers.
pub fn check_request_with_headers(path: &str, headers: &[(&str, &str)]) -> CheckRequest {
    let headers = headers.iter().map(|(n, v)| ((*n).to_string(), (*v).to_string())).collect();
    let http = HttpRequest { method: "GET".into(), path: path.into(), headers, ..HttpRequest::default() };
    CheckRequest {
        attributes: Some(AttributeContext {
            request: Some(RequestAttributes { http: Some(http) }),
            ..AttributeContext::default()
        }),
    }
}

/// The complete response to a call.
#[derive(Debug, Default)]
pub struct CallResult {
    pub http_status: u16,
    /// `grpc-status`, from the trailers or else the headers.
    pub status: Option<u16>,
    /// `grpc-message`, from the trailers or else the headers; empty if there is none.
    pub message: String,
    /// The headers, without the trailers.
    pub headers: HeaderMap,
    pub body: Vec<u8>,
}

impl CallResult {
    /// Decodes the only message of a response with status 0.
    pub fn decode<M: Message + Default>(&self) -> M {
        assert_eq!((self.http_status, self.status), (200, Some(0)), "{self:?}");
        let mut unary = UnaryDecoder::new(1 << 20);
        unary.push(&self.body).expect("one message");
        M::decode(unary.finish().expect("a complete message")).expect("a message")
    }

    pub fn check_response(&self) -> CheckResponse {
        self.decode()
    }

    /// The response that permits the request; `None` if it was denied.
    pub fn allowed(&self) -> Option<OkHttpResponse> {
        match self.check_response() {
            CheckResponse { status, http_response: Some(HttpResponse::OkResponse(ok)) } => {
                assert_eq!(status.map(|s| s.code), Some(0));
                Some(ok)
            }
            _ => None,
        }
    }

    /// The response that denies the request, and the `google.rpc` code beside it; `None` if it was permitted.
    pub fn denied(&self) -> Option<(DeniedHttpResponse, i32)> {
        match self.check_response() {
            CheckResponse { status: Some(s), http_response: Some(HttpResponse::DeniedResponse(denied)) } => {
                Some((denied, s.code))
            }
            _ => None,
        }
    }
}

/// A gRPC client with one connection, built on hyper.
pub struct GrpcClient {
    runtime: Runtime,
    sender: SendRequest<Full<Bytes>>,
}

impl GrpcClient {
    /// Connects and completes the HTTP/2 handshake.
    pub fn new(address: SocketAddr) -> GrpcClient {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        let sender = runtime.block_on(async {
            let stream = tokio::net::TcpStream::connect(address).await.expect("connect");
            let (sender, connection) =
                handshake(TokioExecutor::new(), TokioIo::new(stream)).await.expect("handshake");
            tokio::spawn(connection);
            sender
        });
        GrpcClient { runtime, sender }
    }

    /// A gRPC request with these headers beside the usual ones. `body` must be framed already.
    pub fn request(path: &str, headers: &[(&str, &str)], body: Bytes) -> Request<Full<Bytes>> {
        let mut request = Request::post(format!("http://limiter{path}"));
        request = request.header("content-type", "application/grpc").header("te", "trailers");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.body(Full::new(body)).expect("a request")
    }

    /// Sends the request and waits for the complete response; `None` if the stream was reset or the connection lost.
    pub fn send(&self, request: Request<Full<Bytes>>) -> Option<CallResult> {
        let mut sender = self.sender.clone();
        let call = async move {
            let response = sender.send_request(request).await.ok()?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.ok()?;
            let trailers = body.trailers().cloned().unwrap_or_default();
            let find = |name: &str| trailers.get(name).or(head.headers.get(name)).cloned();
            let text = |name| find(name).and_then(|v| Some(v.to_str().ok()?.to_string()));
            Some(CallResult {
                http_status: head.status.as_u16(),
                status: text("grpc-status").and_then(|s| s.parse().ok()),
                message: text("grpc-message").unwrap_or_default(),
                headers: head.headers.clone(),
                body: body.to_bytes().to_vec(),
            })
        };
        self.runtime.block_on(async {
            tokio::time::timeout(WAIT_TIMEOUT, call).await.expect("the response ends in time")
        })
    }

    /// Calls with one message and returns the complete response.
    pub fn call(&self, path: &str, message: &impl Message) -> CallResult {
        self.send(GrpcClient::request(path, &[], frame(message))).expect("an answer")
    }

    /// Calls Check with these bytes as the body, which need not be a valid message.
    pub fn check_raw(&self, body: &'static [u8]) -> CallResult {
        self.send(GrpcClient::request(CHECK, &[], Bytes::from_static(body))).expect("an answer")
    }

    /// Calls Check with this request.
    pub fn check(&self, request: &CheckRequest) -> CallResult {
        self.call(CHECK, request)
    }

    /// Calls Check and returns whether the request is permitted.
    pub fn permitted(&self, request: &CheckRequest) -> bool {
        self.check(request).allowed().is_some()
    }

    /// Starts a call whose response is read frame by frame.
    pub fn open_stream(&self, path: &str, message: &impl Message) -> StreamingCall<'_> {
        let mut sender = self.sender.clone();
        let request = GrpcClient::request(path, &[], frame(message));
        let response = self.runtime.block_on(async move { sender.send_request(request).await });
        StreamingCall { grpc_client: self, body: response.expect("an answer").into_body() }
    }
}

/// A call whose response is read frame by frame.
pub struct StreamingCall<'a> {
    grpc_client: &'a GrpcClient,
    body: hyper::body::Incoming,
}

impl StreamingCall<'_> {
    /// The next frame: the data, or as an error the `grpc-status` of the trailers. `None` if the call ended or failed.
    pub fn next_frame(&mut self) -> Option<Result<Bytes, u16>> {
        let body = &mut self.body;
        let next = async { tokio::time::timeout(WAIT_TIMEOUT, body.frame()).await.expect("a frame in time") };
        let frame = self.grpc_client.runtime.block_on(next)?.ok()?;
        let frame = match frame.into_data() {
            Ok(data) => return Some(Ok(data)),
            Err(frame) => frame,
        };
        let trailers = frame.into_trailers().ok()?;
        Some(Err(trailers.get("grpc-status")?.to_str().ok()?.parse().ok()?))
    }
}

/// The encoded header list of a gRPC call, without the frame header.
pub fn call_headers(path: &str) -> Vec<u8> {
    wire::call(0, path).split_off(wire::FRAME_HEADER_LEN)
}

/// An HTTP/2 connection over which a test sends any frames, valid or not.
pub struct RawConnection {
    pub stream: TcpStream,
}

impl RawConnection {
    /// Connects as a client, and sends the preface and a SETTINGS frame with these pairs of identifier and value.
    pub fn new(address: SocketAddr, settings: &[(u16, u32)]) -> RawConnection {
        let stream = TcpStream::connect(address).expect("connect");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        stream.set_write_timeout(Some(WAIT_TIMEOUT)).expect("set");
        stream.set_nodelay(true).expect("set");
        let mut raw = RawConnection { stream };
        raw.write(wire::PREFACE);
        let mut payload = Vec::new();
        for (identifier, value) in settings {
            payload.extend_from_slice(&identifier.to_be_bytes());
            payload.extend_from_slice(&value.to_be_bytes());
        }
        raw.send_frame(SETTINGS, 0, 0, &payload);
        raw
    }

    /// Writes the bytes; false if the write failed, as it may once the peer has closed the connection.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Sends one frame; false if the write failed.
    pub fn send_frame(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) -> bool {
        self.write(&raw_frame(kind, flags, stream, payload))
    }

    /// Opens a stream with the HEADERS of a Check call; false if the write failed.
    pub fn send_check_headers(&mut self, stream: u32) -> bool {
        self.send_frame(HEADERS, END_HEADERS, stream, &call_headers(CHECK))
    }

    /// Sends a complete Check call; false if the write failed.
    pub fn send_check(&mut self, stream: u32, request: &CheckRequest) -> bool {
        self.send_check_headers(stream) && self.send_frame(DATA, END_STREAM, stream, &frame(request))
    }

    /// Reads the next frame; `None` at the end of the connection or at the read timeout.
    pub fn read_frame(&mut self) -> Option<RawFrame> {
        let mut bytes = vec![0; wire::FRAME_HEADER_LEN];
        self.stream.read_exact(&mut bytes).ok()?;
        let length = u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]) as usize;
        bytes.resize(wire::FRAME_HEADER_LEN + length, 0);
        self.stream.read_exact(&mut bytes[wire::FRAME_HEADER_LEN..]).ok()?;
        RawFrame::take(&mut bytes)
    }

    /// Reads and discards frames until one matches; `None` if [`RawConnection::read_frame`] returns `None` first.
    pub fn read_until(&mut self, matches: impl Fn(&RawFrame) -> bool) -> Option<RawFrame> {
        std::iter::from_fn(|| self.read_frame()).find(matches)
    }

    /// Discards what arrives until the peer closes or resets the connection; false if the read timeout comes first.
    pub fn wait_for_close(&mut self) -> bool {
        let mut discarded = [0; 4096];
        loop {
            match self.stream.read(&mut discarded) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) => return e.kind() == std::io::ErrorKind::ConnectionReset,
            }
        }
    }
}

/// A check request that the stand-in authorizer received.
pub struct ReceivedCheck {
    /// The index among the check requests of all connections, from 0.
    pub index: usize,
    /// The index of the connection, from 0.
    pub connection: usize,
    /// The HTTP/2 stream id.
    pub stream: u32,
    pub request: CheckRequest,
}

/// One of the actions with which the stand-in authorizer reacts to a check request, in order.
pub enum Action {
    /// Writes these bytes to the connection.
    Write(Vec<u8>),
    /// Pauses; the connection is not read meanwhile.
    Wait(std::time::Duration),
    /// Closes the connection.
    Close,
}

/// What the stand-in authorizer has received.
#[derive(Default)]
struct Record {
    check_requests: Mutex<Vec<CheckRequest>>,
    resets: Mutex<Vec<u32>>,
    connections: AtomicU32,
}

/// A stand-in for the external authorizer. A rule chooses the bytes that it sends for each check request.
#[derive(Clone)]
pub struct FakeAuthorizer {
    pub address: SocketAddr,
    record: Arc<Record>,
}

impl FakeAuthorizer {
    /// Listens on a free port of the loopback address.
    pub fn new(rule: impl Fn(&ReceivedCheck) -> Vec<Action> + Send + Sync + 'static) -> FakeAuthorizer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let (record, rule) = (Arc::<Record>::default(), Arc::new(rule));
        let fake = FakeAuthorizer { address, record: record.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, rule) = (record.clone(), rule.clone());
                let connection = record.connections.fetch_add(1, Ordering::SeqCst) as usize;
                std::thread::spawn(move || serve_connection(stream, connection, &record, &*rule));
            }
        });
        fake
    }

    /// The check requests received, in order.
    pub fn check_requests(&self) -> Vec<CheckRequest> {
        self.record.check_requests.lock().expect("lock").clone()
    }

    /// The number of check requests received.
    pub fn count(&self) -> usize {
        self.record.check_requests.lock().expect("lock").len()
    }

    /// The ids of the streams that the limiter has reset, in order.
    pub fn resets(&self) -> Vec<u32> {
        self.record.resets.lock().expect("lock").clone()
    }

    /// The number of connections accepted.
    pub fn connections(&self) -> u32 {
        self.record.connections.load(Ordering::SeqCst)
    }
}

/// Serves one connection: answers SETTINGS and PING, and applies the rule to each complete check request.
fn serve_connection(
    mut stream: TcpStream,
    connection: usize,
    record: &Record,
    rule: &dyn Fn(&ReceivedCheck) -> Vec<Action>,
) {
    let _ = stream.set_nodelay(true);
    if stream.read_exact(&mut [0; wire::PREFACE.len()]).is_err() {
        return;
    }
    let mut raw = RawConnection { stream };
    raw.send_frame(SETTINGS, 0, 0, &[]);
    let mut bodies: std::collections::HashMap<u32, Vec<u8>> = std::collections::HashMap::new();
    while let Some(frame) = raw.read_frame() {
        match frame.kind {
            SETTINGS if frame.flags & ACK == 0 => drop(raw.send_frame(SETTINGS, ACK, 0, &[])),
            PING if frame.flags & ACK == 0 => drop(raw.send_frame(PING, ACK, 0, &frame.payload)),
            RST_STREAM => record.resets.lock().expect("lock").push(frame.stream),
            DATA => {
                let body = bodies.entry(frame.stream).or_default();
                body.extend_from_slice(&frame.payload);
                if frame.flags & END_STREAM == 0 {
                    continue;
                }
                let mut unary = UnaryDecoder::new(1 << 20);
                unary.push(body).expect("one message");
                let request = CheckRequest::decode(unary.finish().expect("a complete message"))
                    .expect("a check request");
                let index = {
                    let mut check_requests = record.check_requests.lock().expect("lock");
                    check_requests.push(request.clone());
                    check_requests.len() - 1
                };
                for action in rule(&ReceivedCheck { index, connection, stream: frame.stream, request }) {
                    match action {
                        Action::Write(bytes) => drop(raw.write(&bytes)),
                        Action::Wait(pause) => std::thread::sleep(pause),
                        Action::Close => {
                            let _ = raw.stream.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                    }
                }
            }
            _ => {}
        }
    }
}
