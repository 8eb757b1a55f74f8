//! Status codes and `grpc-timeout`, as "gRPC over HTTP/2" defines them.

use std::borrow::Cow;
use std::fmt::Write;
use std::time::Duration;

/// The gRPC status codes that the limiter uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Code {
    Ok = 0,
    Unknown = 2,
    InvalidArgument = 3,
    DeadlineExceeded = 4,
    NotFound = 5,
    AlreadyExists = 6,
    PermissionDenied = 7,
    ResourceExhausted = 8,
    FailedPrecondition = 9,
    Unimplemented = 12,
    Internal = 13,
    Unavailable = 14,
}

/// The status of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The code.
    pub code: Code,
    /// Any text, for people to read.
    pub message: Cow<'static, str>,
}

impl Status {
    /// A status with this code and message.
    pub fn new(code: Code, message: impl Into<Cow<'static, str>>) -> Status {
        Status { code, message: message.into() }
    }

    /// The message as `grpc-message` carries it: percent-encoded, except printable ASCII other than `%`.
    pub fn encoded_message(&self) -> String {
        let mut text = String::with_capacity(self.message.len());
        for byte in self.message.bytes() {
            match byte {
                b' '..=b'~' if byte != b'%' => text.push(char::from(byte)),
                _ => drop(write!(text, "%{byte:02X}")),
            }
        }
        text
    }
}

/// Parses the value of `grpc-timeout`: one to eight digits and a unit (`H`, `M`, `S`, `m`, `u`, `n`). Returns `None`
/// for anything else.
pub fn parse_timeout(text: &str) -> Option<Duration> {
    let unit = text.chars().next_back().filter(char::is_ascii)?;
    let digits = &text[..text.len() - 1];
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let n: u64 = digits.parse().ok()?;
    Some(match unit {
        'H' => Duration::from_secs(n * 3_600),
        'M' => Duration::from_secs(n * 60),
        'S' => Duration::from_secs(n),
        'm' => Duration::from_millis(n),
        'u' => Duration::from_micros(n),
        'n' => Duration::from_nanos(n),
        _ => return None,
    })
}
