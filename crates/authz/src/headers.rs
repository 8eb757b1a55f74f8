//! What an authoriser's OK does to the headers that go on to a server.

use crate::messages::envoy::config::core::v3::header_value_option::HeaderAppendAction as Action;
use crate::messages::envoy::config::core::v3::{HeaderValue as Pair, HeaderValueOption};
use crate::messages::envoy::service::auth::v3::OkHttpResponse;
use http::header::{HeaderMap, HeaderName, HeaderValue};

/// The most headers that one answer may name.
const MOST: usize = 64;
/// And the most bytes of their names and values.
const MOST_BYTES: usize = 8 * 1_024;

/// Headers that no authoriser touches, beside those that belong to the connection: the limiter's own.
pub type ReservedHeaders<'a> = &'a [HeaderName];

/// Those of one hop, or of the message's own length: RFC 9110, 7.6.1, and RFC 9112.
const HOP: [&str; 11] = [
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

/// Whether a header belongs to one hop or to the message's length.
pub fn is_hop(name: &str) -> bool {
    HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name))
}

fn is_free(name: &HeaderName, own: ReservedHeaders) -> bool {
    !own.contains(name) && !is_hop(name.as_str())
}

/// A header that is set, and how.
type Set = (HeaderName, HeaderValue, Action);

/// Changes to headers, in the order in which they are made: removed first, as the protocol has it, then set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeaderChanges {
    remove: Vec<HeaderName>,
    set: Vec<Set>,
    /// Set on the answer to the client.
    answer: Vec<Set>,
}

fn name(text: &str) -> Result<HeaderName, String> {
    // Pseudo-headers begin with a colon, which no name may hold.
    HeaderName::from_bytes(text.as_bytes()).map_err(|_| format!("{text:?}, expected a header's name"))
}

fn read_set(option: HeaderValueOption) -> Result<Option<Set>, String> {
    let header = option.header.as_ref().ok_or("a header without name and value, expected both")?;
    let key = name(&header.key)?;
    let raw = if header.value.is_empty() { &header.raw_value } else { header.value.as_bytes() };
    if raw.is_empty() && !option.keep_empty_value {
        return Ok(None);
    }
    let value = HeaderValue::from_bytes(raw)
        .map_err(|_| format!("the value of {key} holds bytes that no header may"))?;
    // The older field wins where it is there. Neither given means to overwrite: the protocol says of both
    // lists that `append` is false by default, whatever the newer field's zero says.
    let action = match (option.append, option.append_action()) {
        (Some(true), _) => Action::AppendIfExistsOrAdd,
        (Some(false) | None, Action::AppendIfExistsOrAdd) => Action::OverwriteIfExistsOrAdd,
        (_, action) => action,
    };
    Ok(Some((key, value, action)))
}

fn read_all(options: Vec<HeaderValueOption>) -> Result<Vec<Set>, String> {
    options.into_iter().filter_map(|option| read_set(option).transpose()).collect()
}

fn option((name, value, action): &Set) -> HeaderValueOption {
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

/// Sets those that are free; the others come into `left`.
fn set_all(sets: &[Set], headers: &mut HeaderMap, own: ReservedHeaders, left: &mut Vec<HeaderName>) {
    for (name, value, action) in sets {
        if !is_free(name, own) {
            left.push(name.clone());
            continue;
        }
        let there = headers.contains_key(name);
        match action {
            Action::AppendIfExistsOrAdd => drop(headers.append(name, value.clone())),
            Action::AddIfAbsent if there => {}
            Action::OverwriteIfExists if !there => {}
            _ => drop(headers.insert(name, value.clone())),
        }
    }
}

impl HeaderChanges {
    /// Reads them. A name or value that HTTP cannot carry makes the whole answer wrong: a part of what an
    /// authoriser asked for could let through what the whole would not.
    ///
    /// # Errors
    /// What was found and what was expected.
    pub fn parse(ok: OkHttpResponse) -> Result<HeaderChanges, String> {
        let sets = || ok.headers.iter().chain(&ok.response_headers_to_add);
        let count = sets().count() + ok.headers_to_remove.len();
        if count > MOST {
            return Err(format!("{count} headers, expected {MOST} at most"));
        }
        let pair = |h: &HeaderValueOption| {
            h.header.as_ref().map_or(0, |h| h.key.len() + h.value.len() + h.raw_value.len())
        };
        let bytes = sets().map(pair).sum::<usize>();
        if bytes > MOST_BYTES {
            return Err(format!("headers of {bytes} bytes, expected {MOST_BYTES} at most"));
        }
        Ok(HeaderChanges {
            remove: ok.headers_to_remove.iter().map(|text| name(text)).collect::<Result<_, _>>()?,
            set: read_all(ok.headers)?,
            answer: read_all(ok.response_headers_to_add)?,
        })
    }

    /// The same changes for a further reader, but for the `own` headers and those of one hop.
    pub fn to_ok_response(&self, own: ReservedHeaders) -> OkHttpResponse {
        let free = |sets: &[Set]| sets.iter().filter(|(name, ..)| is_free(name, own)).map(option).collect();
        let remove = self.remove.iter().filter(|name| is_free(name, own)).map(ToString::to_string);
        OkHttpResponse {
            headers: free(&self.set),
            headers_to_remove: remove.collect(),
            response_headers_to_add: free(&self.answer),
        }
    }

    /// Makes them on a request, but for the limiter's `own` headers and those of one hop; gives the names that
    /// were left alone.
    pub fn apply(&self, headers: &mut HeaderMap, own: ReservedHeaders) -> Vec<HeaderName> {
        let mut left = Vec::new();
        for name in &self.remove {
            if is_free(name, own) {
                headers.remove(name);
            } else {
                left.push(name.clone());
            }
        }
        set_all(&self.set, headers, own, &mut left);
        left
    }

    /// Sets those meant for the answer to the client, within the same bounds.
    pub fn apply_to_response(&self, headers: &mut HeaderMap, own: ReservedHeaders) -> Vec<HeaderName> {
        let mut left = Vec::new();
        set_all(&self.answer, headers, own, &mut left);
        left
    }
}
