//! Where the head of a request ends, and how it frames the body.

use super::rejection::RequestError;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// The maximum number of headers that hyper accepts in a request.
const MAX_HEADERS: usize = 100;
const CHUNKED: &str = "chunked";
/// The longest end of a head is `\n\r\n`: a search goes on this many bytes before the bytes that are new.
pub(super) const EMPTY_LINE_OVERLAP: usize = 2;

/// How the head of a request frames its body.
pub(super) type Framing = Result<(), RequestError>;

/// Whether the bytes contain the end of a line and an empty line behind it, with which a head ends.
pub(super) fn contains_empty_line(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|end| end == b"\n\n") || bytes.windows(3).any(|end| end == b"\n\r\n")
}

/// The size of the head that the bytes begin with, and how it frames the body; `None` if it is incomplete.
///
/// # Errors
/// The bytes begin no request.
pub(super) fn parse_head(bytes: &[u8]) -> Result<Option<(usize, Framing)>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    Ok(match head.parse(bytes)? {
        httparse::Status::Complete(size) => Some((size, check_framing(head.headers))),
        httparse::Status::Partial => None,
    })
}

/// Checks that a body is framed in one way that hyper and the servers understand alike.
fn check_framing(headers: &[httparse::Header<'_>]) -> Framing {
    let mut encodings =
        headers.iter().filter(|header| header.name.eq_ignore_ascii_case(TRANSFER_ENCODING.as_str()));
    let Some(encoding) = encodings.next() else { return Ok(()) };
    if headers.iter().any(|header| header.name.eq_ignore_ascii_case(CONTENT_LENGTH.as_str())) {
        return Err(RequestError::AmbiguousLength);
    }
    let is_chunked = encoding.value.trim_ascii().eq_ignore_ascii_case(CHUNKED.as_bytes());
    if !is_chunked || encodings.next().is_some() {
        return Err(RequestError::UnsupportedTransferEncoding);
    }
    Ok(())
}
