//! How a call ended, and how long one may take: "gRPC over HTTP/2", status codes and `Timeout`.

use std::borrow::Cow;
use std::fmt::Write;
use std::time::Duration;

/// The status codes that the limiter gives or tells apart.
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

/// A code and what it was about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The code.
    pub code: Code,
    /// For people; any text.
    pub message: Cow<'static, str>,
}

impl Status {
    /// One with this text.
    pub fn new(code: Code, message: impl Into<Cow<'static, str>>) -> Status {
        Status { code, message: message.into() }
    }

    /// The text as `grpc-message` carries it: printable ASCII but for `%`, the rest as percent and two digits.
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

/// Reads `grpc-timeout`: one to eight digits and a unit (`H`, `M`, `S`, `m`, `u`, `n`); `None` for all else.
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
