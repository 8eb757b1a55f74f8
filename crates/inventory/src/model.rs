//! The data model of an inventory, its faults, and its text before validation.

use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;

/// The largest text that is parsed, in bytes.
pub const MAX_BYTES: usize = 32 << 20;
/// The most nodes that an inventory may have.
pub const MAX_NODES: usize = 200_000;
/// The most faults that are listed. If there are more, one further entry says how many were left out.
pub const MAX_FAULTS: usize = 1_000;
/// The CSV columns, which are also the YAML keys, of a node.
pub const COLUMNS: [&str; 8] = ["id", "address", "zone", "kind", "cell", "state", "weight", "started_ms"];

/// The file format of an inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Comma-separated values, RFC 4180 without quotes.
    Csv,
    /// YAML 1.2.
    Yaml,
}

impl Format {
    /// Determines the format by the file extension: `.csv`, `.yaml` or `.yml`.
    pub fn from_file_name(name: &str) -> Option<Format> {
        let (_, extension) = name.rsplit_once('.')?;
        match extension.to_ascii_lowercase().as_str() {
            "csv" => Some(Format::Csv),
            "yaml" | "yml" => Some(Format::Yaml),
            _ => None,
        }
    }
}

/// The lifecycle state of a node, named as in the discovery protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts new requests.
    InService,
    /// Finishes its open requests and accepts no new ones.
    Terminating,
    /// Counts as removed.
    Terminated,
}

impl State {
    /// The name of the state in the discovery protocol.
    pub fn name(self) -> &'static str {
        match self {
            State::InService => "in_service",
            State::Terminating => "terminating",
            State::Terminated => "terminated",
        }
    }

    /// Looks a state up by its name in the discovery protocol.
    pub fn from_name(name: &str) -> Option<State> {
        [State::InService, State::Terminating, State::Terminated].into_iter().find(|s| s.name() == name)
    }
}

/// A server that an inventory lists.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Node {
    /// Identifies the machine and stays the same for its lifetime.
    pub id: String,
    /// The address that the node listens on.
    pub address: SocketAddr,
    /// The zone, such as a room, that the node is in.
    pub zone: String,
    /// The machine type.
    pub kind: String,
    /// The cell within the zone; none if the file does not state it.
    pub cell: Option<i64>,
    /// The lifecycle state.
    pub state: State,
    /// The capacity relative to other nodes. A node of weight 0 gets no new requests.
    pub weight: f64,
    /// When the process last started, in Unix milliseconds; none if it is not given, or is 0.
    pub started_ms: Option<u64>,
}

/// The nodes of a file and the marks that apply to the file as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Inventory {
    /// The version number, if the file has one. A file with a lower number than the adopted one is refused.
    pub version: Option<u64>,
    /// The file is marked `removal: allowed`: it may remove any number of nodes.
    pub removal_allowed: bool,
    /// The file states its number of nodes or has an end marker, so that part of it cannot pass for all of it.
    pub closed: bool,
    /// The nodes, in the order of the file.
    pub nodes: Vec<Node>,
}

/// An error in the text of an inventory, with its position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The name of the file.
    pub file: String,
    /// Line, counted from 1; 0 if the fault concerns the whole file.
    pub line: usize,
    /// Column in characters, counted from 1; 0 if the fault concerns the whole file.
    pub column: usize,
    /// The id of the node, if it is known.
    pub node: Option<String>,
    /// What was found and what was expected.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if let Some(node) = &self.node {
            write!(f, "{node}: ")?;
        }
        write!(f, "{}", self.reason)
    }
}

/// A position in a text: line and column, counted from 1; (0, 0) stands for the whole file.
pub type Position = (usize, usize);

/// Collects faults while a text is parsed and validated.
pub struct Faults {
    file: String,
    found: Vec<Fault>,
    /// How many faults were found after the list was full.
    unlisted: usize,
}

impl Faults {
    pub fn new(file: &str) -> Faults {
        Faults { file: file.into(), found: Vec::new(), unlisted: 0 }
    }

    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    pub fn add(&mut self, (line, column): Position, node: Option<&str>, reason: impl Into<String>) {
        if self.found.len() >= MAX_FAULTS {
            self.unlisted += 1;
            return;
        }
        let node = node.filter(|n| !n.is_empty()).map(excerpt);
        self.found.push(Fault { file: self.file.clone(), line, column, node, reason: reason.into() });
    }

    /// Returns the faults, ordered by line and column.
    pub fn into_sorted(mut self) -> Vec<Fault> {
        self.found.sort_by_key(|f| (f.line, f.column));
        if self.unlisted > 0 {
            let last = self.found.last().map_or((0, 0), |f| (f.line, f.column));
            let reason = format!("{} more faults are not listed", self.unlisted);
            let (line, column) = last;
            self.found.push(Fault { file: self.file.clone(), line, column, node: None, reason });
        }
        self.found
    }
}

/// Shortens file content for a fault message and replaces control characters, which could move a terminal's cursor.
pub fn excerpt(text: &str) -> String {
    const MAX_CHARS: usize = 64;
    let mut short: String =
        text.chars().take(MAX_CHARS).map(|c| if c.is_control() { '\u{fffd}' } else { c }).collect();
    if text.chars().nth(MAX_CHARS).is_some() {
        short.push('…');
    }
    short
}

/// Decodes the content of a file as UTF-8, without its byte order mark.
pub fn decode<'a>(bytes: &'a [u8], faults: &mut Faults) -> Option<&'a str> {
    if bytes.len() > MAX_BYTES {
        faults.add((0, 0), None, format!("the file has {} bytes, expected {MAX_BYTES} at most", bytes.len()));
        return None;
    }
    let (mut rest, mut at) = (bytes, 0);
    while let Err(e) = std::str::from_utf8(rest) {
        let bad = at + e.valid_up_to();
        let before = &bytes[..bad];
        let line = before.iter().filter(|b| **b == b'\n').count() + 1;
        let start = before.iter().rposition(|b| *b == b'\n').map_or(0, |n| n + 1);
        let column = String::from_utf8_lossy(&before[start..]).chars().count() + 1;
        faults.add((line, column), None, format!("byte 0x{:02x} is not UTF-8", bytes[bad]));
        // Continues with the next line: text in another encoding has many such bytes, and one fault per line is enough.
        let Some(next) = bytes[bad..].iter().position(|b| *b == b'\n') else { break };
        at = bad + next + 1;
        rest = &bytes[at..];
        if faults.found.len() >= MAX_FAULTS {
            break;
        }
    }
    if !faults.is_empty() {
        return None;
    }
    let text = std::str::from_utf8(bytes).ok()?;
    Some(text.strip_prefix('\u{feff}').unwrap_or(text))
}

/// A value as it appears in the text, with its position.
#[derive(Clone, Debug)]
pub struct Cell<'a> {
    pub text: std::borrow::Cow<'a, str>,
    pub at: Position,
}

/// The values of a node as they appear in the text, in the order of [`COLUMNS`]. For each missing value a fault was
/// already added.
#[derive(Debug)]
pub struct Row<'a> {
    pub cells: [Option<Cell<'a>>; COLUMNS.len()],
}

/// The parsed values of a text, before validation.
#[derive(Debug, Default)]
pub struct RawInventory<'a> {
    pub rows: Vec<Row<'a>>,
    pub version: Option<Cell<'a>>,
    pub count: Option<Cell<'a>>,
    pub removal: Option<Cell<'a>>,
    /// The text has an end marker.
    pub has_end_marker: bool,
    /// The nodes could not be parsed, so that validating them would only add misleading faults.
    pub unreadable: bool,
}
