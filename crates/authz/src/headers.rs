//! Header changes that an authorizer's OK response asks for, on the forwarded request and on the client's response.

use crate::messages::envoy::config::core::v3::header_value_option::HeaderAppendAction as Action;
use crate::messages::envoy::config::core::v3::{HeaderValue as Pair, HeaderValueOption};
use crate::messages::envoy::service::auth::v3::OkHttpResponse;
use http::header::{HeaderMap, HeaderName, HeaderValue};

/// Limit on the headers that one response may name.
const MAX_HEADERS: usize = 64;
/// Limit on the bytes of their names and values.
const MAX_HEADER_BYTES: usize = 8 * 1_024;

/// The limiter's own headers, which no authorizer may change. Hop-by-hop headers are protected in any case.
pub type ReservedHeaders<'a> = &'a [HeaderName];

/// Headers that belong to one hop (RFC 9110, section 7.6.1) or to the framing of the message (RFC 9112), and `host`.
const HOP_BY_HOP: [&str; 11] = [
    "host",
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header belongs to one hop or to the framing of the message.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|header| header.eq_ignore_ascii_case(name))
}

fn is_changeable(name: &HeaderName, reserved: ReservedHeaders) -> bool {
    !reserved.contains(name) && !is_hop_by_hop(name.as_str())
}

/// A header to set, and how to treat one that exists.
type SetHeader = (HeaderName, HeaderValue, Action);

/// Changes to headers. As the protocol specifies, headers are removed first and then set in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeaderChanges {
    remove: Vec<HeaderName>,
    set: Vec<SetHeader>,
    /// Set on the response to the client.
    set_on_response: Vec<SetHeader>,
}

fn parse_name(text: &str) -> Result<HeaderName, String> {
    // This also rejects pseudo-headers, whose names begin with a colon.
    HeaderName::from_bytes(text.as_bytes()).map_err(|_| format!("{text:?}, expected a header's name"))
}

fn parse_set_header(option: HeaderValueOption) -> Result<Option<SetHeader>, String> {
    let header = option.header.as_ref().ok_or("a header without name and value, expected both")?;
    let key = parse_name(&header.key)?;
    let raw = if header.value.is_empty() { &header.raw_value } else { header.value.as_bytes() };
    if raw.is_empty() && !option.keep_empty_value {
        return Ok(None);
    }
    let value = HeaderValue::from_bytes(raw)
        .map_err(|_| format!("the value of {key} contains bytes that a header value may not"))?;
    // The older field `append` takes precedence where it is set. With neither field set the header is overwritten: for
    // both lists the protocol documents `append` as false by default, although the zero value of `append_action` is to
    // append.
    let action = match (option.append, option.append_action()) {
        (Some(true), _) => Action::AppendIfExistsOrAdd,
        (Some(false) | None, Action::AppendIfExistsOrAdd) => Action::OverwriteIfExistsOrAdd,
        (_, action) => action,
    };
    Ok(Some((key, value, action)))
}

fn parse_set_headers(options: Vec<HeaderValueOption>) -> Result<Vec<SetHeader>, String> {
    options.into_iter().filter_map(|option| parse_set_header(option).transpose()).collect()
}

fn to_option((name, value, action): &SetHeader) -> HeaderValueOption {
    HeaderValueOption {
        header: Some(Pair {
            key: name.to_string(),
            value: String::new(),
            raw_value: value.as_bytes().to_vec(),
        }),
        append: match action {
            Action::AppendIfExistsOrAdd => Some(true),
            Action::OverwriteIfExistsOrAdd => Some(false),
            Action::AddIfAbsent | Action::OverwriteIfExists => None,
        },
        append_action: (*action).into(),
        keep_empty_value: value.is_empty(),
    }
}

/// Sets the headers that may be changed, and adds the names of the others to `skipped`.
fn set_all(
    sets: &[SetHeader],
    headers: &mut HeaderMap,
    reserved: ReservedHeaders,
    skipped: &mut Vec<HeaderName>,
) {
    for (name, value, action) in sets {
        if !is_changeable(name, reserved) {
            skipped.push(name.clone());
            continue;
        }
        let exists = headers.contains_key(name);
        match action {
            Action::AppendIfExistsOrAdd => drop(headers.append(name, value.clone())),
            Action::AddIfAbsent if exists => {}
            Action::OverwriteIfExists if !exists => {}
            _ => drop(headers.insert(name, value.clone())),
        }
    }
}

impl HeaderChanges {
    /// Reads the changes of an OK response. A name or value that HTTP cannot carry invalidates the whole response:
    /// applying only a part of the changes could let through a request that all of them would have stopped.
    ///
    /// # Errors
    /// A description of what was found and what was expected.
    pub fn parse(ok: OkHttpResponse) -> Result<HeaderChanges, String> {
        let sets = || ok.headers.iter().chain(&ok.response_headers_to_add);
        let count = sets().count() + ok.headers_to_remove.len();
        if count > MAX_HEADERS {
            return Err(format!("{count} headers, expected {MAX_HEADERS} at most"));
        }
        let pair = |h: &HeaderValueOption| {
            h.header.as_ref().map_or(0, |h| h.key.len() + h.value.len() + h.raw_value.len())
        };
        let bytes = sets().map(pair).sum::<usize>();
        if bytes > MAX_HEADER_BYTES {
            return Err(format!("headers of {bytes} bytes, expected {MAX_HEADER_BYTES} at most"));
        }
        Ok(HeaderChanges {
            remove: ok.headers_to_remove.iter().map(|text| parse_name(text)).collect::<Result<_, _>>()?,
            set: parse_set_headers(ok.headers)?,
            set_on_response: parse_set_headers(ok.response_headers_to_add)?,
        })
    }

    /// The same changes as a response to another client of the protocol, without those to `reserved` and hop-by-hop
    /// headers.
    pub fn to_ok_response(&self, reserved: ReservedHeaders) -> OkHttpResponse {
        let changeable = |sets: &[SetHeader]| {
            sets.iter().filter(|(name, ..)| is_changeable(name, reserved)).map(to_option).collect()
        };
        let remove = self.remove.iter().filter(|name| is_changeable(name, reserved)).map(ToString::to_string);
        OkHttpResponse {
            headers: changeable(&self.set),
            headers_to_remove: remove.collect(),
            response_headers_to_add: changeable(&self.set_on_response),
        }
    }

    /// Applies the changes to a request, except those to `reserved` and hop-by-hop headers. Returns the names of the
    /// headers that were not changed for that reason.
    pub fn apply(&self, headers: &mut HeaderMap, reserved: ReservedHeaders) -> Vec<HeaderName> {
        let mut skipped = Vec::new();
        for name in &self.remove {
            if is_changeable(name, reserved) {
                headers.remove(name);
            } else {
                skipped.push(name.clone());
            }
        }
        set_all(&self.set, headers, reserved, &mut skipped);
        skipped
    }

    /// Sets the headers meant for the response to the client, with the same exceptions and the same return value as
    /// `apply`.
    pub fn apply_to_response(&self, headers: &mut HeaderMap, reserved: ReservedHeaders) -> Vec<HeaderName> {
        let mut skipped = Vec::new();
        set_all(&self.set_on_response, headers, reserved, &mut skipped);
        skipped
    }
}
