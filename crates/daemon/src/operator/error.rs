//! Why the operator's file cannot be used, and where in it the fault stands.

use super::counter::MAX_FALLBACK_COUNTERS;
use super::relays::MAX_NAME_BYTES;
use liftrouter_authz::MappingError;
use std::fmt;
use std::io;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Where something stands in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The file as it was named.
    pub file: String,
    /// None for what the file does not say and has a default.
    pub position: Option<Position>,
}

/// A character of a file, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line, from 1.
    pub line: usize,
    /// The character of the line, from 1.
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
        /// The file as it was named.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The file is read, but what it says cannot be used.
    #[error("{location}: {fault}")]
    Invalid {
        /// Where the fault stands.
        location: Location,
        /// What was found, and what was expected.
        fault: Fault,
    },
}

/// What is wrong at a place of the operator's file: what was found, and what was expected.
#[derive(Debug, Error)]
pub enum Fault {
    /// The text is not TOML, or has a key that is unknown or of another type.
    #[error("{0}")]
    Syntax(String),
    /// Not an address with a port. The subject is the key with its verb, such as `listen is`.
    #[error("{subject} {found:?}, expected an address and a port")]
    InvalidAddress {
        /// The key and its verb.
        subject: &'static str,
        /// What the file says.
        found: String,
    },
    /// A number outside its range.
    #[error("{key} is {found}, expected {} to {} {unit}", range.start(), range.end())]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// What the file says.
        found: u64,
        /// What may be said.
        range: RangeInclusive<u64>,
        /// What is counted.
        unit: &'static str,
    },
    /// An authoriser is named for a class that the settings do not have.
    #[error("classes has {found:?}, expected one of {}", expected.join(", "))]
    UnknownClass {
        /// The class of the file.
        found: String,
        /// The classes of the settings.
        expected: Vec<String>,
    },
    /// Two authorisers are named for one class.
    #[error("classes has {class:?}, which names an authoriser at {first}, expected one")]
    DuplicateClass {
        /// The class.
        class: String,
        /// Where the first one stands.
        first: Location,
    },
    /// What to do without an authoriser's answer is neither `pass` nor `refuse`.
    #[error("{class} is {found:?}, expected pass or refuse")]
    UnknownFallback {
        /// The class.
        class: String,
        /// What the file says.
        found: String,
    },
    /// A rule for a part that a gRPC question does not have.
    #[error(
        "mapping has {0:?}, expected class, customer, plan, units, width, id, key, time_left \
         or repeat"
    )]
    UnknownMappingKey(String),
    /// A rule of the gRPC mapping that cannot be read, or does not fit the settings.
    #[error("{0}")]
    Mapping(MappingError),
    /// No inventory file is named.
    #[error("inventory names no file, expected csv or yaml")]
    MissingInventoryFile,
    /// Two inventory files are named.
    #[error("inventory names csv and yaml, expected one: they could disagree")]
    MultipleInventoryFiles,
    /// A share outside 0 to 1.
    #[error("most_removed is {0}, expected a share from 0 to 1")]
    RatioOutOfRange(f64),
    /// An instance census that is too short to be called, read and validated once each.
    #[error("roll_ms is {census_ms}, expected five times every_ms ({interval_ms}) at least")]
    CensusTooShort {
        /// The length of a census, in milliseconds.
        census_ms: u64,
        /// The time between two validation calls, in milliseconds.
        interval_ms: u64,
    },
    /// A counter service is named twice.
    #[error("others has {0:?} twice, expected different keepers")]
    DuplicateCounter(String),
    /// Too many counter services are named.
    #[error("others has more than {MAX_FALLBACK_COUNTERS} keepers")]
    TooManyCounters,
    /// Settings of the cluster that do not fit together.
    #[error("{0}")]
    Cluster(String),
    /// A link proxy is named in a build that is not for tests.
    #[error("via is given, but only builds for tests take it: it lets another one play the links")]
    LinkProxyInRelease,
    /// Two sources of the endpoint list.
    #[error("relays beside inventory, expected one: they could disagree")]
    RelaysAndInventory,
    /// Relays both with and without regions.
    #[error("relays has addresses and regions, expected one of them")]
    AddressesAndRegions,
    /// A section without an address.
    #[error("{section} names no address, expected one at least")]
    MissingAddress {
        /// The section.
        section: &'static str,
    },
    /// Two regions of one name.
    #[error("name is {0:?} once more, expected another for each region")]
    DuplicateRegion(String),
    /// A name that cannot stand in a query. The subject is the key with its verb.
    #[error("{subject} {found:?}, expected 1 to {MAX_NAME_BYTES} letters, digits, or one of - . _ ~")]
    InvalidName {
        /// The key and its verb.
        subject: &'static str,
        /// What the file says.
        found: String,
    },
}
