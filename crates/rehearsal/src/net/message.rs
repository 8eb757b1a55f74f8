//! HTTP/1.1 messages as the kit reads and writes them: by hand, since a stand-in must also write what is none.
//!
//! Read from a growing buffer: a call gives a message once it is whole. RFC 9112, without what no peer of the
//! limiter uses (trailers, upgrades).

use std::fmt::Write as _;

/// The largest message that is read.
const LARGEST: usize = 256 * 1024;
const MOST_HEADERS: usize = 64;

/// Why bytes are no message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

/// Headers, in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The first value of a name in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    fn of(headers: &[httparse::Header]) -> Headers {
        let text = |h: &httparse::Header| {
            (h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).trim().to_string())
        };
        Headers(headers.iter().map(text).collect())
    }

    /// All of them but those that frame a message.
    pub fn beside_framing(&self) -> impl Iterator<Item = (&str, &str)> {
        let framing = ["content-length", "transfer-encoding", "connection"];
        let all = self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()));
        all.filter(move |(name, _)| !framing.contains(name))
    }

    /// Sets one.
    pub fn set(&mut self, name: &str, value: String) {
        self.0.retain(|(n, _)| n != name);
        self.0.push((name.to_string(), value));
    }

    /// Takes one out.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|(n, _)| n != name);
    }

    fn closes(&self) -> bool {
        self.get("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Its headers.
    pub headers: Headers,
    /// Its body, taken out of its framing.
    pub body: Vec<u8>,
}

impl Request {
    /// As it is sent on: with a length, if it has a body or a method that comes with one.
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        if !self.body.is_empty() || self.method != "GET" {
            let _ = write!(head, "content-length: {}\r\n", self.body.len());
        }
        framed(head, &self.headers, &self.body)
    }
}

fn framed(mut head: String, headers: &Headers, body: &[u8]) -> Vec<u8> {
    for (name, value) in headers.beside_framing() {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Headers,
    /// Its body, taken out of its framing.
    pub body: Vec<u8>,
    /// The connection ends behind it.
    pub last: bool,
}

impl Answer {
    /// As it is passed on.
    pub fn bytes(&self) -> Vec<u8> {
        let head = format!("HTTP/1.1 {} X\r\ncontent-length: {}\r\n", self.status, self.body.len());
        framed(head, &self.headers, &self.body)
    }
}

/// A request at the front of the buffer, which it is taken out of; none while more must come.
///
/// # Errors
/// The bytes begin no request.
pub fn take_request(buffer: &mut Vec<u8>) -> Result<Option<Request>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let size = match head.parse(buffer).map_err(|e| Malformed(e.to_string()))? {
        httparse::Status::Complete(size) => size,
        httparse::Status::Partial => return too_large(buffer).map(|()| None),
    };
    let method = head.method.unwrap_or_default().to_string();
    let target = head.path.unwrap_or_default().to_string();
    let headers = Headers::of(head.headers);
    let Some((body, end)) = body(buffer, size, &headers, Some(0), false)? else {
        return too_large(buffer).map(|()| None);
    };
    buffer.drain(..end);
    Ok(Some(Request { method, target, headers, body }))
}

/// An answer at the front of the buffer, which it is taken out of; none while more must come. `ended`: the
/// connection has, which is the end of a body without a length. Informational answers are skipped.
///
/// # Errors
/// The bytes begin no answer.
pub fn take_answer(buffer: &mut Vec<u8>, ended: bool) -> Result<Option<Answer>, Malformed> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let size = match head.parse(buffer).map_err(|e| Malformed(e.to_string()))? {
            httparse::Status::Complete(size) => size,
            httparse::Status::Partial => return too_large(buffer).map(|()| None),
        };
        let status = head.code.unwrap_or_default();
        let headers = Headers::of(head.headers);
        let none = matches!(status, 100..=199 | 204 | 304).then_some(0);
        let Some((body, end)) = body(buffer, size, &headers, none, ended)? else {
            return too_large(buffer).map(|()| None);
        };
        buffer.drain(..end);
        if !(100..200).contains(&status) {
            let sized = headers.get("content-length").is_some() || headers.get("transfer-encoding").is_some();
            let last = headers.closes() || (none.is_none() && !sized);
            return Ok(Some(Answer { status, headers, body, last }));
        }
    }
}

fn too_large(buffer: &[u8]) -> Result<(), Malformed> {
    if buffer.len() > LARGEST {
        return Err(Malformed(format!("a message of over {LARGEST} bytes")));
    }
    Ok(())
}

/// The body behind a head of so many bytes, and where it ends; none while more must come. `unsized_is` is its
/// length where no header gives one; without that it goes to the end of the connection.
fn body(
    buffer: &[u8],
    head: usize,
    headers: &Headers,
    unsized_is: Option<usize>,
    ended: bool,
) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    if let Some(encoding) = headers.get("transfer-encoding") {
        if !encoding.eq_ignore_ascii_case("chunked") || headers.get("content-length").is_some() {
            return Err(Malformed(format!("a body in two framings: Transfer-Encoding {encoding:?}")));
        }
        return chunks(buffer, head);
    }
    let length = match headers.get("content-length") {
        Some(text) => {
            Some(text.parse::<usize>().map_err(|_| Malformed(format!("Content-Length: {text:?}")))?)
        }
        None => unsized_is,
    };
    Ok(match length {
        Some(length) => {
            let end = head.saturating_add(length);
            buffer.get(head..end).map(|body| (body.to_vec(), end))
        }
        None => ended.then(|| (buffer[head..].to_vec(), buffer.len())),
    })
}

fn chunks(buffer: &[u8], mut at: usize) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    let mut body = Vec::new();
    loop {
        let parsed = httparse::parse_chunk_size(&buffer[at..]);
        let Ok(parsed) = parsed else { return Err(Malformed("a chunk without a size".into())) };
        let httparse::Status::Complete((line, size)) = parsed else { return Ok(None) };
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        let end = at.saturating_add(line).saturating_add(size);
        let Some(rest) = buffer.get(end..end.saturating_add(2)) else { return Ok(None) };
        if rest != b"\r\n" {
            return Err(Malformed("a chunk that does not end with its size".into()));
        }
        body.extend_from_slice(&buffer[at + line..end]);
        at = end + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}

/// An answer with a length; `headers` are whole lines.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    let mut text = String::with_capacity(96 + headers.len() + body.len());
    let _ = write!(text, "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len());
    text
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn requests_are_taken_one_by_one_and_only_whole() {
        let first = "POST /bind/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody";
        let second = "GET /up HTTP/1.1\r\n\r\n";
        let whole = format!("{first}{second}");
        let mut buffer = Vec::new();
        let mut taken = Vec::new();
        for byte in whole.bytes() {
            buffer.push(byte);
            taken.extend(take_request(&mut buffer).expect("well-formed"));
        }
        assert_eq!(taken.len(), 2);
        assert_eq!((taken[0].body.as_slice(), taken[0].headers.get("host")), (&b"body"[..], Some("a")));
        assert_eq!(taken[1].target, "/up");
        assert!(buffer.is_empty());
    }

    #[test]
    fn what_was_taken_is_the_same_when_it_is_sent_on() {
        let text = "POST /bind/1?a=b HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nX-Time-Left: 9m\r\n\r\nbody";
        let request = take_request(&mut text.as_bytes().to_vec()).expect("well-formed").expect("whole");
        let again = take_request(&mut request.bytes()).expect("well-formed").expect("whole");
        assert_eq!(
            (&again.method, &again.target, &again.body),
            (&request.method, &request.target, &request.body)
        );
        assert_eq!(again.headers.get("x-time-left"), Some("9m"));
        let text = answer("429 Too Many Requests", "Retry-After: 0.5\r\n", "no");
        let first = take_answer(&mut text.into_bytes(), false).expect("one").expect("whole");
        let again = take_answer(&mut first.bytes(), false).expect("one").expect("whole");
        assert_eq!(
            (again.status, again.headers.get("retry-after"), again.body),
            (429, Some("0.5"), first.body)
        );
    }

    #[test]
    fn answers_end_by_length_by_chunks_or_with_the_connection() {
        let text = answer("200 OK", "Retry-After: 0.5\r\n", "hi");
        let mut buffer = text.into_bytes();
        buffer.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        buffer.extend_from_slice(b"HTTP/1.1 502 Bad\r\n\r\nto the end");
        let first = take_answer(&mut buffer, false).expect("one").expect("whole");
        assert_eq!((first.status, first.body.as_slice(), first.last), (200, &b"hi"[..], false));
        assert_eq!(first.headers.get("retry-after"), Some("0.5"));
        let second = take_answer(&mut buffer, false).expect("one").expect("whole");
        assert_eq!(second.body, b"abc");
        assert_eq!(take_answer(&mut buffer, false), Ok(None));
        let third = take_answer(&mut buffer, true).expect("one").expect("whole");
        assert_eq!((third.status, third.body.as_slice(), third.last), (502, &b"to the end"[..], true));
    }

    /// Guards against a stand-in that finds another end of a body than the limiter does.
    #[test]
    fn a_body_in_two_framings_is_malformed() {
        for framing in [
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
        ] {
            let request = format!("POST /bind/1 HTTP/1.1\r\n{framing}\r\n0\r\n\r\n");
            assert!(take_request(&mut request.into_bytes()).is_err(), "{framing}");
            let answer = format!("HTTP/1.1 200 OK\r\n{framing}\r\n0\r\n\r\n");
            assert!(take_answer(&mut answer.into_bytes(), true).is_err(), "{framing}");
        }
    }

    proptest! {
        #[test]
        fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400), ended: bool) {
            let _ = take_request(&mut bytes.clone());
            let _ = take_answer(&mut bytes.clone(), ended);
            let mut headed = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
            headed.extend_from_slice(&bytes);
            let _ = take_answer(&mut headed, ended);
        }
    }
}
