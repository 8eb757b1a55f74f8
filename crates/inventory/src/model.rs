//! What an inventory holds, and what can be wrong with one.

use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;

/// The largest text that is read, in bytes.
pub const MAX_BYTES: usize = 32 << 20;
/// The most nodes.
pub const MAX_NODES: usize = 200_000;
/// The most faults that are listed; one more says how many there are beyond.
pub const MAX_FAULTS: usize = 1_000;
/// The columns, or keys, of a node.
pub const COLUMNS: [&str; 8] = ["id", "address", "zone", "kind", "cell", "state", "weight", "started_ms"];

/// How a text is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Comma-separated values, RFC 4180 without quotes.
    Csv,
    /// YAML 1.2.
    Yaml,
}

impl Format {
    /// By the name of a file: `.csv`, `.yaml` or `.yml`.
    pub fn from_file_name(name: &str) -> Option<Format> {
        let (_, extension) = name.rsplit_once('.')?;
        match extension.to_ascii_lowercase().as_str() {
            "csv" => Some(Format::Csv),
            "yaml" | "yml" => Some(Format::Yaml),
            _ => None,
        }
    }
}

/// State of a node, in the protocol's words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes work.
    InService,
    /// Finishes what it has, and wants nothing new.
    Terminating,
    /// Withdrawn.
    Terminated,
}

impl State {
    /// As the protocol writes it.
    pub fn name(self) -> &'static str {
        match self {
            State::InService => "in_service",
            State::Terminating => "terminating",
            State::Terminated => "terminated",
        }
    }

    /// By its name.
    pub fn from_name(name: &str) -> Option<State> {
        [State::InService, State::Terminating, State::Terminated].into_iter().find(|s| s.name() == name)
    }
}

/// A node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Node {
    /// The same for as long as the machine is.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone, or room.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell within the zone; none if it is not told.
    pub cell: Option<i64>,
    /// Its state.
    pub state: State,
    /// Its size against the others. A node of weight 0 gets nothing new.
    pub weight: f64,
    /// When it last started, in Unix milliseconds; none for long ago.
    pub started_ms: Option<u64>,
}

/// All nodes, and what the file says of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Inventory {
    /// Its number, if it has one. Versions only go up.
    pub version: Option<u64>,
    /// It says that it may remove as many nodes as it does.
    pub removal_allowed: bool,
    /// It says how many nodes it holds, or where it ends: a part of it cannot be taken for the whole.
    pub closed: bool,
    /// The nodes, in the file's order.
    pub nodes: Vec<Node>,
}

/// What is wrong with a text, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The file.
    pub file: String,
    /// Line and column from 1, in characters; 0 where the whole file is meant.
    pub line: usize,
    /// Column.
    pub column: usize,
    /// The node, where one is known.
    pub node: Option<String>,
    /// What was found, and what was expected.
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

/// A place in a text: line and column from 1.
pub type Place = (usize, usize);

/// Faults as they are found.
pub struct Faults {
    file: String,
    found: Vec<Fault>,
    beyond: usize,
}

impl Faults {
    pub fn new(file: &str) -> Faults {
        Faults { file: file.into(), found: Vec::new(), beyond: 0 }
    }

    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    pub fn add(&mut self, (line, column): Place, node: Option<&str>, reason: impl Into<String>) {
        if self.found.len() >= MAX_FAULTS {
            self.beyond += 1;
            return;
        }
        let node = node.filter(|n| !n.is_empty()).map(shown);
        self.found.push(Fault { file: self.file.clone(), line, column, node, reason: reason.into() });
    }

    /// All, by line and column.
    pub fn all(mut self) -> Vec<Fault> {
        self.found.sort_by_key(|f| (f.line, f.column));
        if self.beyond > 0 {
            let last = self.found.last().map_or((0, 0), |f| (f.line, f.column));
            let reason = format!("{} more faults are not listed", self.beyond);
            let (line, column) = last;
            self.found.push(Fault { file: self.file.clone(), line, column, node: None, reason });
        }
        self.found
    }
}

/// A text of a file as a fault may show it: short, and nothing that moves a terminal's cursor.
pub fn shown(text: &str) -> String {
    const MOST: usize = 64;
    let mut short: String =
        text.chars().take(MOST).map(|c| if c.is_control() { '\u{fffd}' } else { c }).collect();
    if text.chars().nth(MOST).is_some() {
        short.push('…');
    }
    short
}

/// The text of a file, past a byte order mark.
pub fn text<'a>(bytes: &'a [u8], faults: &mut Faults) -> Option<&'a str> {
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
        // The next line: bytes of another encoding come in heaps, and one a line tells enough.
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

/// A value as it stands in the text.
#[derive(Clone, Debug)]
pub struct Cell<'a> {
    pub text: std::borrow::Cow<'a, str>,
    pub at: Place,
}

/// A node as it stands in the text; a value that is missing has been named as a fault.
#[derive(Debug)]
pub struct Row<'a> {
    pub cells: [Option<Cell<'a>>; COLUMNS.len()],
}

/// A text by its values, not looked at yet.
#[derive(Debug, Default)]
pub struct Raw<'a> {
    pub rows: Vec<Row<'a>>,
    pub version: Option<Cell<'a>>,
    pub count: Option<Cell<'a>>,
    pub removal: Option<Cell<'a>>,
    /// It has a line that ends it.
    pub ended: bool,
    /// It is of no use to look at its nodes: what they are is not known.
    pub unreadable: bool,
}
