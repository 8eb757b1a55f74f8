//! Responses to `Check`: building those that the limiter sends, and reading those of an authorizer.

use crate::headers::{is_hop_by_hop, HeaderChanges, ReservedHeaders};
use crate::messages::envoy::config::core::v3::header_value_option::HeaderAppendAction;
use crate::messages::envoy::config::core::v3::{HeaderValue, HeaderValueOption};
use crate::messages::envoy::r#type::v3::HttpStatus;
use crate::messages::envoy::service::auth::v3::check_response::HttpResponse;
use crate::messages::envoy::service::auth::v3::{CheckResponse, DeniedHttpResponse};
use crate::messages::google::rpc;
use crate::status::Code;

/// The answer to a client whose call is denied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Denial {
    /// Status of the HTTP response, 400 to 599.
    pub status: u16,
    /// Code of the check response's `google.rpc.Status`.
    pub code: i32,
    /// Headers of the HTTP response.
    pub headers: Vec<(String, String)>,
    /// Body of the HTTP response.
    pub body: String,
}

fn overwrite_options(headers: Vec<(String, String)>) -> Vec<HeaderValueOption> {
    let option = |(key, value)| HeaderValueOption {
        header: Some(HeaderValue { key, value, raw_value: Vec::new() }),
        // `append` for readers that do not know `append_action` yet.
        append: Some(false),
        append_action: HeaderAppendAction::OverwriteIfExistsOrAdd.into(),
        keep_empty_value: false,
    };
    headers.into_iter().map(option).collect()
}

/// A response that allows the call: it passes on an authorizer's header changes, then sets `headers`. Changes to the
/// `reserved` headers are left out.
pub fn ok_response(
    changes: &HeaderChanges,
    reserved: ReservedHeaders,
    headers: Vec<(String, String)>,
) -> CheckResponse {
    let mut ok = changes.to_ok_response(reserved);
    ok.headers.extend(overwrite_options(headers));
    CheckResponse {
        status: Some(rpc::Status { code: Code::Ok as i32, message: String::new() }),
        http_response: Some(HttpResponse::OkResponse(ok)),
    }
}

/// A response that denies the call.
pub fn denied_response(denial: Denial) -> CheckResponse {
    CheckResponse {
        status: Some(rpc::Status { code: denial.code, message: denial.body.trim_end().to_string() }),
        http_response: Some(HttpResponse::DeniedResponse(DeniedHttpResponse {
            status: Some(HttpStatus { code: i32::from(denial.status) }),
            headers: overwrite_options(denial.headers),
            body: denial.body,
        })),
    }
}

/// An authorizer's decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The request may proceed, with these changes to its headers.
    Allow(HeaderChanges),
    /// The request is denied.
    Deny(Denial),
}

/// The HTTP status of a denial that names none, as the protocol specifies.
const DEFAULT_DENIAL_STATUS: u16 = 403;

/// Reads an authorizer's response. As the protocol specifies, the status alone decides whether it allows; an HTTP
/// response that contradicts the status is an error.
///
/// # Errors
/// A description of what was found and what was expected.
pub fn parse_verdict(response: CheckResponse) -> Result<Verdict, String> {
    let status = response.status.unwrap_or_default();
    match (status.code, response.http_response) {
        (0, Some(HttpResponse::DeniedResponse(_))) => {
            Err("denied_response beside status OK, expected ok_response or none".into())
        }
        (0, Some(HttpResponse::OkResponse(ok))) => Ok(Verdict::Allow(HeaderChanges::parse(ok)?)),
        (0, None) => Ok(Verdict::Allow(HeaderChanges::default())),
        (code, Some(HttpResponse::OkResponse(_))) => {
            Err(format!("ok_response beside status {code}, expected denied_response or none"))
        }
        (code, http_response) => {
            let denied = match http_response {
                Some(HttpResponse::DeniedResponse(denied)) => denied,
                _ => DeniedHttpResponse::default(),
            };
            let http_status = denied.status.map_or(0, |s| s.code);
            let status = match http_status {
                0 => DEFAULT_DENIAL_STATUS,
                found => u16::try_from(found).ok().filter(|s| (400..600).contains(s)).ok_or_else(|| {
                    format!("denied_response has status {found}, expected one from 400 to 599")
                })?,
            };
            let headers = denied.headers.into_iter().filter_map(|option| option.header);
            // `content-length` or `connection` of another message would corrupt the response that is sent.
            let headers = headers.filter(|h| !is_hop_by_hop(&h.key));
            let headers =
                headers.map(|h| (h.key, if h.value.is_empty() { utf8_lossy(h.raw_value) } else { h.value }));
            Ok(Verdict::Deny(Denial { status, code, headers: headers.collect(), body: denied.body }))
        }
    }
}

fn utf8_lossy(bytes: Vec<u8>) -> String {
    String::from_utf8_lossy(&bytes).into_owned()
}
