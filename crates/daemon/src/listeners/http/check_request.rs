//! Describes a request to an authorizer, as a `CheckRequest` of `envoy.service.auth.v3`.

use crate::upstream::headers::CORRELATION_ID;
use hyper::header::HOST;
use hyper::http::request::Parts;
use liftrouter_authz::messages::envoy::service::auth::v3::attribute_context::{self, HttpRequest};
use liftrouter_authz::messages::envoy::service::auth::v3::{AttributeContext, CheckRequest};
use std::collections::HashMap;

/// Builds the check request for a request with this head and `body_size` bytes of body.
pub(super) fn build_check_request(head: &Parts, body_size: usize) -> CheckRequest {
    let headers = join_headers(head);
    let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
    let http = HttpRequest {
        id: header(CORRELATION_ID.as_str()),
        method: head.method.to_string(),
        path: head.uri.path_and_query().map_or_else(String::new, ToString::to_string),
        host: header(HOST.as_str()),
        scheme: "http".into(),
        query: String::new(),
        size: i64::try_from(body_size).unwrap_or(i64::MAX),
        protocol: "HTTP/1.1".into(),
        headers,
    };
    let request = Some(attribute_context::Request { http: Some(http) });
    CheckRequest { attributes: Some(AttributeContext { request, ..AttributeContext::default() }) }
}

/// All headers by name. The values of a repeated header are joined by commas.
fn join_headers(head: &Parts) -> HashMap<String, String> {
    let mut headers: HashMap<String, String> = HashMap::new();
    for (name, value) in &head.headers {
        let value = String::from_utf8_lossy(value.as_bytes());
        headers
            .entry(name.as_str().to_string())
            .and_modify(|joined| {
                joined.push(',');
                joined.push_str(&value);
            })
            .or_insert_with(|| value.into_owned());
    }
    headers
}
