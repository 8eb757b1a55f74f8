//! Sends one check request over a connection and reads the response.

use super::error::{check_status, AttemptError, CheckError, GRPC_STATUS};
use super::settings::AuthorizerSettings;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http2::SendRequest;
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, TE};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode};
use liftrouter_authz::messages::envoy::service::auth::v3::CheckResponse;
use liftrouter_authz::{Message, UnaryDecoder};
use tokio::time::Instant;

/// Names of the limiters that a check request has passed through, separated by commas.
pub const VIA: HeaderName = HeaderName::from_static("liftrouter-via");
const GRPC_ENCODING: &str = "grpc-encoding";
const GRPC_TIMEOUT: HeaderName = HeaderName::from_static("grpc-timeout");
/// The longest timeout in microseconds that the eight digits of `grpc-timeout` can express.
const MAX_TIMEOUT_MICROS: u128 = 99_999_999;

pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Builds the HTTP request that carries a framed message and its deadline.
pub(super) fn build_request(
    settings: &AuthorizerSettings,
    body: Bytes,
    via: &str,
    deadline: Instant,
) -> Request<Full<Bytes>> {
    let micros = deadline.saturating_duration_since(Instant::now()).as_micros().min(MAX_TIMEOUT_MICROS);
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    let uri = format!("http://{}/envoy.service.auth.v3.Authorization/Check", settings.address);
    // Parsing cannot fail: an address and a fixed path always form a URI.
    *request.uri_mut() = uri.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/grpc"));
    headers.insert(TE, HeaderValue::from_static("trailers"));
    for (name, value) in [(GRPC_TIMEOUT, format!("{micros}u")), (VIA, via.to_string())] {
        if let Ok(value) = HeaderValue::try_from(value) {
            headers.insert(name, value);
        }
    }
    request
}

/// Sends a request and reads its response, whose message may have up to `max_message_bytes`.
pub(super) async fn exchange(
    mut sender: Sender,
    request: Request<Full<Bytes>>,
    max_message_bytes: usize,
) -> Result<CheckResponse, AttemptError> {
    let response = sender.try_send_request(request).await;
    let response = response.map_err(|mut error| match error.take_message() {
        Some(_) => AttemptError::ConnectionClosed,
        None => AttemptError::from(error.error()),
    })?;
    read_response(response, max_message_bytes).await
}

/// Reads a response that must have exactly one message and status OK.
async fn read_response(
    response: Response<Incoming>,
    max_message_bytes: usize,
) -> Result<CheckResponse, AttemptError> {
    let (head, mut body) = response.into_parts();
    check_head(&head)?;
    let mut unary = UnaryDecoder::new(max_message_bytes);
    let mut trailers = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| AttemptError::from(&error))?;
        match frame.into_data() {
            Ok(data) => unary.push(&data)?,
            Err(frame) => trailers = frame.into_trailers().ok(),
        }
    }
    check_status(trailers.as_ref().unwrap_or(&head.headers))?;
    let message = unary.finish()?;
    let response = CheckResponse::decode(message);
    Ok(response.map_err(|error| CheckError::Malformed(error.to_string()))?)
}

/// Checks the headers of a response: HTTP status, content type, encoding, and the status if it is there.
fn check_head(head: &Parts) -> Result<(), CheckError> {
    if head.status != StatusCode::OK {
        return Err(CheckError::HttpStatus(head.status.as_u16()));
    }
    let content_type = head.headers.get(CONTENT_TYPE).map_or(&b""[..], HeaderValue::as_bytes);
    if !content_type.starts_with(b"application/grpc") {
        return Err(CheckError::ContentType(String::from_utf8_lossy(content_type).into_owned()));
    }
    if head.headers.get(GRPC_ENCODING).is_some_and(|encoding| encoding != "identity") {
        return Err(CheckError::Compressed);
    }
    // A status in the headers is a response without a body (Trailers-Only).
    if head.headers.contains_key(GRPC_STATUS) {
        check_status(&head.headers)?;
    }
    Ok(())
}
