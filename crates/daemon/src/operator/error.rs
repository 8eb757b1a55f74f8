//! Errors of the operator's file, with their locations in it.

use super::counter::MAX_FALLBACK_COUNTERS;
use super::relays::MAX_NAME_BYTES;
use liftrouter_authz::MappingError;
use std::fmt;
use std::io;
use std::ops::RangeInclusive;
use thiserror::Error;

/// A location in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Path of the file, as given on the command line.
    pub file: String,
    /// `None` for a value that the file omits, so that its default applies.
    pub position: Option<Position>,
}

/// Position of a character in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Line number, from 1.
    pub line: usize,
    /// Character in the line, from 1.
    pub column: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.position {
            Some(Position { line, column }) => write!(f, "{}:{line}:{column}", self.file),
            None => f.write_str(&self.file),
        }
    }
}

/// Why the operator's file cannot be used.
#[derive(Debug, Error)]
pub enum OperatorConfigError {
    /// The file cannot be read.
    #[error("{path}: cannot be read: {source}")]
    Unreadable {
        /// Path of the file, as given on the command line.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is readable, but its content is invalid.
    #[error("{location}: {fault}")]
    Invalid {
        /// Location of the fault.
        location: Location,
        /// The fault itself.
        fault: Fault,
    },
}

/// A fault in the operator's file. Its message states what was found and what was expected.
#[derive(Debug, Error)]
pub enum Fault {
    /// The text is not valid TOML, or a key is unknown or has a value of the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// A value is not an address with a port. `subject` begins the message: the key with its verb, such as `listen is`.
    #[error("{subject} {found:?}, expected an address and a port")]
    InvalidAddress {
        /// The key with its verb.
        subject: &'static str,
        /// The value in the file.
        found: String,
    },
    /// A number is outside its range.
    #[error("{key} is {found}, expected {} to {} {unit}", range.start(), range.end())]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// The value in the file.
        found: u64,
        /// The accepted values.
        range: RangeInclusive<u64>,
        /// Unit of the number.
        unit: &'static str,
    },
    /// An authorizer has a class that does not exist in the settings.
    #[error("classes has {found:?}, expected one of {}", expected.join(", "))]
    UnknownClass {
        /// The class in the file.
        found: String,
        /// The classes in the settings.
        expected: Vec<String>,
    },
    /// Two authorizers have the same class.
    #[error(
        "classes has {class:?}, which already has an authorizer at {first}, expected one for each class"
    )]
    DuplicateClass {
        /// The class.
        class: String,
        /// Location of the class in the section of the first authorizer.
        first: Location,
    },
    /// The fallback for an authorizer that does not answer is neither `pass` nor `refuse`.
    #[error("{class} is {found:?}, expected pass or refuse")]
    UnknownFallback {
        /// The class.
        class: String,
        /// The value in the file.
        found: String,
    },
    /// The gRPC mapping has a key that is not a field of a request.
    #[error(
        "mapping has {0:?}, expected class, customer, plan, units, width, id, key, time_left \
         or repeat"
    )]
    UnknownMappingKey(String),
    /// A rule of the gRPC mapping is malformed, or refers to a class or plan that does not exist.
    #[error("{0}")]
    Mapping(MappingError),
    /// The inventory section has no file.
    #[error("inventory has no file, expected csv or yaml")]
    MissingInventoryFile,
    /// The inventory section has two files.
    #[error("inventory has both csv and yaml, expected one: their contents could differ")]
    MultipleInventoryFiles,
    /// The maximum ratio of removed nodes is outside 0 to 1.
    #[error("most_removed is {0}, expected a ratio from 0 to 1")]
    RatioOutOfRange(f64),
    /// A census period is too short for each instance to register and to read the census.
    #[error("roll_ms is {census_ms}, expected five times every_ms ({interval_ms}) at least")]
    CensusTooShort {
        /// Length of a census period, in milliseconds.
        census_ms: u64,
        /// Interval between validation calls, in milliseconds.
        interval_ms: u64,
    },
    /// A fallback counter service is listed twice.
    #[error("others has {0:?} twice, expected distinct counter services")]
    DuplicateCounter(String),
    /// There are too many fallback counter services.
    #[error("others has more than {MAX_FALLBACK_COUNTERS} counter services")]
    TooManyCounters,
    /// The cluster settings are invalid or contradict each other.
    #[error("{0}")]
    Cluster(String),
    /// A release build has a link proxy configured.
    #[error("via is set, but only debug builds accept it: it sends traffic through a proxy that simulates link faults")]
    LinkProxyInRelease,
    /// The endpoint list has two sources.
    #[error("relays and inventory are both present, expected one: their lists could differ")]
    RelaysAndInventory,
    /// Relays are listed both with and without regions.
    #[error("relays has addresses and regions, expected one of them")]
    AddressesAndRegions,
    /// A section has no address.
    #[error("{section} has no address, expected at least one")]
    MissingAddress {
        /// Name of the section.
        section: &'static str,
    },
    /// Two regions have the same name.
    #[error("name is {0:?} for two regions, expected a unique name for each region")]
    DuplicateRegion(String),
    /// A name is empty, too long or needs escaping in a query string. `subject` begins the message: the key with its
    /// verb, such as `name is`.
    #[error("{subject} {found:?}, expected 1 to {MAX_NAME_BYTES} letters, digits, or one of - . _ ~")]
    InvalidName {
        /// The key with its verb.
        subject: &'static str,
        /// The value in the file.
        found: String,
    },
}
