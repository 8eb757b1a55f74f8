//! Answers to `Check`: those that the limiter gives, and what those of an authoriser mean.

use crate::headers::{is_hop, HeaderChanges, ReservedHeaders};
use crate::messages::envoy::config::core::v3::header_value_option::HeaderAppendAction;
use crate::messages::envoy::config::core::v3::{HeaderValue, HeaderValueOption};
use crate::messages::envoy::r#type::v3::HttpStatus;
use crate::messages::envoy::service::auth::v3::check_response::HttpResponse;
use crate::messages::envoy::service::auth::v3::{CheckResponse, DeniedHttpResponse};
use crate::messages::google::rpc;
use crate::status::Code;

/// What a client is told whose call is denied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Denial {
    /// Status of the HTTP answer, 400 to 599.
    pub status: u16,
    /// Code of the answer's `google.rpc.Status`.
    pub code: i32,
    /// Headers of the answer.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: String,
}

fn options(headers: Vec<(String, String)>) -> Vec<HeaderValueOption> {
    let option = |(key, value)| HeaderValueOption {
        header: Some(HeaderValue { key, value, raw_value: Vec::new() }),
        // Both ways of saying it, for readers that know one of them.
        append: Some(false),
        append_action: HeaderAppendAction::OverwriteIfExistsOrAdd.into(),
        keep_empty_value: false,
    };
    headers.into_iter().map(option).collect()
}

/// The call may be made, with the changes that an authoriser wants and then these headers set on it.
pub fn ok_response(
    changes: &HeaderChanges,
    own: ReservedHeaders,
    headers: Vec<(String, String)>,
) -> CheckResponse {
    let mut ok = changes.to_ok_response(own);
    ok.headers.extend(options(headers));
    CheckResponse {
        status: Some(rpc::Status { code: Code::Ok as i32, message: String::new() }),
        http_response: Some(HttpResponse::OkResponse(ok)),
    }
}

/// The call may not be made, and its client is told so.
pub fn denied_response(denial: Denial) -> CheckResponse {
    CheckResponse {
        status: Some(rpc::Status { code: denial.code, message: denial.body.trim_end().to_string() }),
        http_response: Some(HttpResponse::DeniedResponse(DeniedHttpResponse {
            status: Some(HttpStatus { code: i32::from(denial.status) }),
            headers: options(denial.headers),
            body: denial.body,
        })),
    }
}

/// What an authoriser's answer means.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The request may go on, changed so.
    Allow(HeaderChanges),
    /// It may not.
    Deny(Denial),
}

/// The denial's status where the answer names none, as the protocol has it.
const FORBIDDEN: u16 = 403;

/// Reads an authoriser's answer. It allows by the status alone, as the protocol has it: a denial beside status
/// OK is a contradiction.
///
/// # Errors
/// What was found and what was expected.
pub fn parse_verdict(answer: CheckResponse) -> Result<Verdict, String> {
    let status = answer.status.unwrap_or_default();
    match (status.code, answer.http_response) {
        (0, Some(HttpResponse::DeniedResponse(_))) => {
            Err("denied_response beside status OK, expected ok_response or none".into())
        }
        (0, Some(HttpResponse::OkResponse(ok))) => Ok(Verdict::Allow(HeaderChanges::parse(ok)?)),
        (0, None) => Ok(Verdict::Allow(HeaderChanges::default())),
        (code, Some(HttpResponse::OkResponse(_))) => {
            Err(format!("ok_response beside status {code}, expected denied_response or none"))
        }
        (code, response) => {
            let denied = match response {
                Some(HttpResponse::DeniedResponse(denied)) => denied,
                _ => DeniedHttpResponse::default(),
            };
            let named = denied.status.map_or(0, |s| s.code);
            let status = match named {
                0 => FORBIDDEN,
                found => u16::try_from(found).ok().filter(|s| (400..600).contains(s)).ok_or_else(|| {
                    format!("denied_response has status {found}, expected one from 400 to 599")
                })?,
            };
            let headers = denied.headers.into_iter().filter_map(|option| option.header);
            // A length or a connection of another message would break the one that is sent.
            let headers = headers.filter(|h| !is_hop(&h.key));
            let headers =
                headers.map(|h| (h.key, if h.value.is_empty() { lossy(h.raw_value) } else { h.value }));
            Ok(Verdict::Deny(Denial { status, code, headers: headers.collect(), body: denied.body }))
        }
    }
}

fn lossy(bytes: Vec<u8>) -> String {
    String::from_utf8_lossy(&bytes).into_owned()
}
