//! gRPC from outside: calls by a library, and frames written by hand.

use super::WAIT_TIMEOUT;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2::{handshake, SendRequest};
use hyper::{HeaderMap, Request};
use hyper_util::rt::{TokioExecutor, TokioIo};
use liftrouter_authz::messages::envoy::service::auth::v3::attribute_context::{
    HttpRequest, Request as Asked,
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

pub const CHECK: &str = "/envoy.service.auth.v3.Authorization/Check";
pub const HEALTH: &str = "/grpc.health.v1.Health/Check";
pub const WATCH: &str = "/grpc.health.v1.Health/Watch";
pub const REFLECTION: &str = "/grpc.reflection.v1.ServerReflection/ServerReflectionInfo";

static NEXT_ID: AtomicU32 = AtomicU32::new(1);

pub fn new_id() -> String {
    format!("g{:015x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// A check request for one customer, as the default mapping reads it.
pub fn check_request(class: &str, plan: &str, units: u32) -> CheckRequest {
    let id = new_id();
    let metering = format!("units={units},spread=1,first=0");
    with_headers(
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

pub fn with_headers(path: &str, headers: &[(&str, &str)]) -> CheckRequest {
    let headers = headers.iter().map(|(n, v)| ((*n).to_string(), (*v).to_string())).collect();
    let http = HttpRequest { method: "GET".into(), path: path.into(), headers, ..HttpRequest::default() };
    CheckRequest {
        attributes: Some(AttributeContext {
            request: Some(Asked { http: Some(http) }),
            ..AttributeContext::default()
        }),
    }
}

/// How a call ended.
#[derive(Debug, Default)]
pub struct CallResult {
    pub http: u16,
    /// `grpc-status`, from head or trailers.
    pub status: Option<u16>,
    pub message: String,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
}

impl CallResult {
    pub fn read<M: Message + Default>(&self) -> M {
        assert_eq!((self.http, self.status), (200, Some(0)), "{self:?}");
        let mut unary = UnaryDecoder::new(1 << 20);
        unary.push(&self.body).expect("one message");
        M::decode(unary.finish().expect("whole")).expect("a message")
    }

    pub fn check(&self) -> CheckResponse {
        self.read()
    }

    pub fn allowed(&self) -> Option<OkHttpResponse> {
        match self.check() {
            CheckResponse { status, http_response: Some(HttpResponse::OkResponse(ok)) } => {
                assert_eq!(status.map(|s| s.code), Some(0));
                Some(ok)
            }
            _ => None,
        }
    }

    /// The denial and the code beside it.
    pub fn denied(&self) -> Option<(DeniedHttpResponse, i32)> {
        match self.check() {
            CheckResponse { status: Some(s), http_response: Some(HttpResponse::DeniedResponse(denied)) } => {
                Some((denied, s.code))
            }
            _ => None,
        }
    }
}

/// A gRPC client made with hyper.
pub struct GrpcClient {
    runtime: Runtime,
    sender: SendRequest<Full<Bytes>>,
}

impl GrpcClient {
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

    pub fn request(path: &str, headers: &[(&str, &str)], body: Bytes) -> Request<Full<Bytes>> {
        let mut request = Request::post(format!("http://limiter{path}"));
        request = request.header("content-type", "application/grpc").header("te", "trailers");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.body(Full::new(body)).expect("a request")
    }

    /// Calls and waits for the end; `None` where the stream or the connection broke.
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
                http: head.status.as_u16(),
                status: text("grpc-status").and_then(|s| s.parse().ok()),
                message: text("grpc-message").unwrap_or_default(),
                headers: head.headers.clone(),
                body: body.to_bytes().to_vec(),
            })
        };
        self.runtime.block_on(async { tokio::time::timeout(WAIT_TIMEOUT, call).await.expect("an end") })
    }

    pub fn call(&self, path: &str, message: &impl Message) -> CallResult {
        self.send(GrpcClient::request(path, &[], frame(message))).expect("an answer")
    }

    /// Sends these bytes as the body of a check.
    pub fn raw(&self, body: &'static [u8]) -> CallResult {
        self.send(GrpcClient::request(CHECK, &[], Bytes::from_static(body))).expect("an answer")
    }

    pub fn ask(&self, request: &CheckRequest) -> CallResult {
        self.call(CHECK, request)
    }

    /// Whether the request is permitted.
    pub fn permitted(&self, request: &CheckRequest) -> bool {
        self.ask(request).allowed().is_some()
    }

    /// Starts a call whose response is read piece by piece.
    pub fn open(&self, path: &str, message: &impl Message) -> OpenCall<'_> {
        let mut sender = self.sender.clone();
        let request = GrpcClient::request(path, &[], frame(message));
        let response = self.runtime.block_on(async move { sender.send_request(request).await });
        OpenCall { grpc_client: self, body: response.expect("an answer").into_body() }
    }
}

/// A call whose response is read piece by piece.
pub struct OpenCall<'a> {
    grpc_client: &'a GrpcClient,
    body: hyper::body::Incoming,
}

impl OpenCall<'_> {
    /// The next piece: data, or the trailers' status.
    pub fn next(&mut self) -> Option<Result<Bytes, u16>> {
        let body = &mut self.body;
        let next = async { tokio::time::timeout(WAIT_TIMEOUT, body.frame()).await.expect("a frame") };
        let frame = self.grpc_client.runtime.block_on(next)?.ok()?;
        let frame = match frame.into_data() {
            Ok(data) => return Some(Ok(data)),
            Err(frame) => frame,
        };
        let trailers = frame.into_trailers().ok()?;
        Some(Err(trailers.get("grpc-status")?.to_str().ok()?.parse().ok()?))
    }
}

pub fn call_headers(path: &str) -> Vec<u8> {
    wire::call(0, path).split_off(9)
}

/// A connection whose frames are written by hand.
pub struct RawConnection {
    pub stream: TcpStream,
}

impl RawConnection {
    /// Connects, and sends the preface with these settings (identifier and value).
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
        raw.send(SETTINGS, 0, 0, &payload);
        raw
    }

    /// Writes what still goes out: the other side may have closed.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn send(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) -> bool {
        self.write(&raw_frame(kind, flags, stream, payload))
    }

    /// Opens a stream with a check's head.
    pub fn head(&mut self, stream: u32) -> bool {
        self.send(HEADERS, END_HEADERS, stream, &call_headers(CHECK))
    }

    pub fn ask(&mut self, stream: u32, request: &CheckRequest) -> bool {
        self.head(stream) && self.send(DATA, END_STREAM, stream, &frame(request))
    }

    /// The next frame; `None` at the end of the connection.
    pub fn next(&mut self) -> Option<RawFrame> {
        let mut bytes = vec![0; 9];
        self.stream.read_exact(&mut bytes).ok()?;
        let length = u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]) as usize;
        bytes.resize(9 + length, 0);
        self.stream.read_exact(&mut bytes[9..]).ok()?;
        RawFrame::take(&mut bytes)
    }

    /// Reads until a frame fits; `None` if the connection ended first.
    pub fn until(&mut self, fits: impl Fn(&RawFrame) -> bool) -> Option<RawFrame> {
        std::iter::from_fn(|| self.next()).find(fits)
    }

    /// Reads on to the end of the connection; whether it came in time.
    pub fn closed(&mut self) -> bool {
        let mut rest = [0; 4096];
        loop {
            match self.stream.read(&mut rest) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) => return e.kind() == std::io::ErrorKind::ConnectionReset,
            }
        }
    }
}

/// A check request that the authoriser received.
pub struct ReceivedCheck {
    /// Counts all check requests, from 0.
    pub number: usize,
    /// Counts connections, from 0.
    pub connection: usize,
    pub stream: u32,
    pub request: CheckRequest,
}

/// A step of the reaction to a check request.
pub enum Action {
    Write(Vec<u8>),
    Wait(std::time::Duration),
    Close,
}

#[derive(Default)]
struct Record {
    check_requests: Mutex<Vec<CheckRequest>>,
    resets: Mutex<Vec<u32>>,
    connections: AtomicU32,
}

/// An authoriser whose frames are written by hand, by a rule.
#[derive(Clone)]
pub struct FakeAuthorizer {
    pub address: SocketAddr,
    record: Arc<Record>,
}

impl FakeAuthorizer {
    pub fn new(rule: impl Fn(&ReceivedCheck) -> Vec<Action> + Send + Sync + 'static) -> FakeAuthorizer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let (record, rule) = (Arc::<Record>::default(), Arc::new(rule));
        let fake = FakeAuthorizer { address, record: record.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, rule) = (record.clone(), rule.clone());
                let connection = record.connections.fetch_add(1, Ordering::SeqCst) as usize;
                std::thread::spawn(move || authorize(stream, connection, &record, &*rule));
            }
        });
        fake
    }

    pub fn check_requests(&self) -> Vec<CheckRequest> {
        self.record.check_requests.lock().expect("lock").clone()
    }

    pub fn count(&self) -> usize {
        self.record.check_requests.lock().expect("lock").len()
    }

    /// Streams that the limiter has reset.
    pub fn resets(&self) -> Vec<u32> {
        self.record.resets.lock().expect("lock").clone()
    }

    pub fn connections(&self) -> u32 {
        self.record.connections.load(Ordering::SeqCst)
    }
}

fn authorize(
    mut stream: TcpStream,
    connection: usize,
    record: &Record,
    rule: &dyn Fn(&ReceivedCheck) -> Vec<Action>,
) {
    let _ = stream.set_nodelay(true);
    if stream.read_exact(&mut [0; 24]).is_err() {
        return;
    }
    let mut raw = RawConnection { stream };
    raw.send(SETTINGS, 0, 0, &[]);
    let mut bodies: std::collections::HashMap<u32, Vec<u8>> = std::collections::HashMap::new();
    while let Some(frame) = raw.next() {
        match frame.kind {
            SETTINGS if frame.flags & ACK == 0 => drop(raw.send(SETTINGS, ACK, 0, &[])),
            PING if frame.flags & ACK == 0 => drop(raw.send(PING, ACK, 0, &frame.payload)),
            RST_STREAM => record.resets.lock().expect("lock").push(frame.stream),
            DATA => {
                let body = bodies.entry(frame.stream).or_default();
                body.extend_from_slice(&frame.payload);
                if frame.flags & END_STREAM == 0 {
                    continue;
                }
                let mut unary = UnaryDecoder::new(1 << 20);
                unary.push(body).expect("one message");
                let request = CheckRequest::decode(unary.finish().expect("whole")).expect("a check request");
                let number = {
                    let mut check_requests = record.check_requests.lock().expect("lock");
                    check_requests.push(request.clone());
                    check_requests.len() - 1
                };
                for action in rule(&ReceivedCheck { number, connection, stream: frame.stream, request }) {
                    match action {
                        Action::Write(bytes) => drop(raw.write(&bytes)),
                        Action::Wait(time) => std::thread::sleep(time),
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
