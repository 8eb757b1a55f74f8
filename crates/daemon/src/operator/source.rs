//! The text of the operator's file, and the checks that name a place in it.

use super::error::{Fault, Location, OperatorConfigError, Position};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use toml::Spanned;

/// The operator's file as it was read.
pub(super) struct SourceText<'a> {
    /// The file as it was named.
    pub name: &'a str,
    /// All that it says.
    pub text: &'a str,
}

/// The key of a whole number, and what it counts.
#[derive(Clone, Copy)]
pub(super) struct NumberKey {
    key: &'static str,
    unit: &'static str,
}

impl NumberKey {
    /// A key whose number counts these units.
    pub const fn new(key: &'static str, unit: &'static str) -> Self {
        NumberKey { key, unit }
    }

    /// A key in milliseconds.
    pub const fn milliseconds(key: &'static str) -> Self {
        NumberKey { key, unit: "milliseconds" }
    }

    /// A key in seconds.
    pub const fn seconds(key: &'static str) -> Self {
        NumberKey { key, unit: "seconds" }
    }
}

impl SourceText<'_> {
    /// The place of a byte of the text.
    pub fn location(&self, offset: usize) -> Location {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        Location { file: self.name.to_string(), position: Some(Position { line, column }) }
    }

    /// A fault at a byte of the text.
    pub fn error(&self, offset: usize, fault: Fault) -> OperatorConfigError {
        OperatorConfigError::Invalid { location: self.location(offset), fault }
    }

    /// An address with its port. The subject is the key with its verb: `listen is`, `others has`.
    pub fn address(
        &self,
        subject: &'static str,
        value: &Spanned<String>,
    ) -> Result<SocketAddr, OperatorConfigError> {
        let text = value.get_ref();
        text.parse().map_err(|_| {
            self.error(value.span().start, Fault::InvalidAddress { subject, found: text.clone() })
        })
    }

    /// A whole number within its range, or the default.
    pub fn number(
        &self,
        value: Option<Spanned<u64>>,
        key: NumberKey,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64, OperatorConfigError> {
        let Some(value) = value else { return Ok(default) };
        let found = *value.get_ref();
        if range.contains(&found) {
            return Ok(found);
        }
        let NumberKey { key, unit } = key;
        Err(self.error(value.span().start, Fault::OutOfRange { key, found, range, unit }))
    }
}
