//! The text of the operator's file, and checks of values whose errors contain a location in it.

use super::error::{Fault, Location, OperatorConfigError, Position};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use toml::Spanned;

/// The operator's file before parsing.
pub(super) struct SourceText<'a> {
    /// Path of the file, as given on the command line.
    pub name: &'a str,
    /// Content of the file.
    pub text: &'a str,
}

/// The key of an integer and its unit, as error messages show them.
#[derive(Clone, Copy)]
pub(super) struct NumberKey {
    key: &'static str,
    unit: &'static str,
}

impl NumberKey {
    /// A key with a number in the given unit.
    pub const fn new(key: &'static str, unit: &'static str) -> Self {
        NumberKey { key, unit }
    }

    /// A key with a duration in milliseconds.
    pub const fn milliseconds(key: &'static str) -> Self {
        NumberKey { key, unit: "milliseconds" }
    }

    /// A key with a duration in seconds.
    pub const fn seconds(key: &'static str) -> Self {
        NumberKey { key, unit: "seconds" }
    }
}

impl SourceText<'_> {
    /// Converts a byte offset into a location.
    pub fn location(&self, offset: usize) -> Location {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        Location { file: self.name.to_string(), position: Some(Position { line, column }) }
    }

    /// Creates the error for a fault at a byte offset.
    pub fn error(&self, offset: usize, fault: Fault) -> OperatorConfigError {
        OperatorConfigError::Invalid { location: self.location(offset), fault }
    }

    /// Parses an address with a port. `subject` begins the error message: the key with its verb, such as `listen is` or
    /// `others has`.
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

    /// Checks that an integer is within its range; returns the default if the file omits it.
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
