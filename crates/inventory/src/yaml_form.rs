//! The YAML format: a list of nodes under `nodes:`, each a mapping with the names of the CSV columns as keys, and
//! beside it `version:`, `count:` and `removal:`. Anchors, aliases and merge keys (`<<`) as configuration tools
//! write them; other keys at the top that begin with `x-` hold what is anchored there and are skipped.
//!
//! The parser gives events with places and is not recursive. An alias is the anchored tree itself, shared, so
//! that no text makes a tree larger than itself; what it would come to is counted, and refused if it is much.

use crate::model::{shown, Cell, Faults, Place, Raw, Row, COLUMNS, MAX_NODES};
use saphyr_parser::{Event, Parser, ScalarStyle};
use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// Levels of lists and mappings within each other.
const DEEPEST: usize = 16;
/// Values that a document may come to with all aliases written out.
const MOST_VALUES: u64 = (MAX_NODES * (COLUMNS.len() + 1) * 2) as u64;

/// Aliases that point to nothing are taken out so often at most, and in texts of so many bytes in all: the
/// parser reads from the beginning each time.
const MENDED: usize = 200;
const MENDED_BYTES: usize = 256 << 20;

/// A value with its place.
struct Tree {
    at: Place,
    /// Values that it comes to, itself included.
    size: u64,
    kind: Kind,
}

enum Kind {
    Scalar(String),
    List(Vec<Rc<Tree>>),
    Map(Vec<(Rc<Tree>, Rc<Tree>)>),
    /// It could not be read, which has been named.
    Unknown,
}

impl Tree {
    fn what(&self) -> &'static str {
        match self.kind {
            Kind::Scalar(_) => "a value",
            Kind::List(_) => "a list",
            Kind::Map(_) => "a mapping",
            Kind::Unknown => "unreadable",
        }
    }

    fn scalar(&self) -> Option<&str> {
        match &self.kind {
            Kind::Scalar(text) => Some(text),
            _ => None,
        }
    }
}

/// Reads the values; every fault of the form is named.
pub fn read<'a>(text: &'a str, faults: &mut Faults) -> Raw<'a> {
    let mut raw = Raw { unreadable: true, ..Raw::default() };
    if text.trim().is_empty() {
        faults.add((1, 1), None, "the file is empty, expected a list under nodes:");
        return raw;
    }
    let Some((root, ended)) = document(text, faults) else { return raw };
    raw.ended = ended;
    if root.size > MOST_VALUES {
        let reason = format!(
            "with its aliases the file comes to {} values, expected {MOST_VALUES} at most",
            root.size
        );
        faults.add(root.at, None, reason);
        return raw;
    }
    let Kind::Map(pairs) = &root.kind else {
        faults.add(root.at, None, format!("the file holds {}, expected a mapping with nodes:", root.what()));
        return raw;
    };
    let mut nodes = None;
    let mut seen = HashSet::new();
    for (key, value) in pairs {
        let name = key.scalar().unwrap_or_default();
        if !seen.insert(name) {
            faults.add(key.at, None, format!("key {:?} is given twice", shown(name)));
            continue;
        }
        let scalar = || {
            let text = value.scalar().map(|t| Cow::Owned(t.to_string()));
            Cell { text: text.unwrap_or(Cow::Borrowed("")), at: value.at }
        };
        match name {
            "nodes" => nodes = Some(value),
            "version" => raw.version = Some(scalar()),
            "count" => raw.count = Some(scalar()),
            "removal" => raw.removal = Some(scalar()),
            name if name.starts_with("x-") => {}
            _ => {
                let reason = format!(
                    "unknown key {:?}, expected nodes, version, count, removal or x-...",
                    shown(name)
                );
                faults.add(key.at, None, reason);
            }
        }
    }
    let Some(list) = nodes else {
        faults.add(root.at, None, "the file holds no nodes:, expected a list of them");
        return raw;
    };
    match &list.kind {
        Kind::List(items) => {
            raw.rows = items.iter().take(MAX_NODES + 1).map(|item| row(item, faults)).collect();
            raw.unreadable = false;
        }
        Kind::Scalar(text) if text.is_empty() => raw.unreadable = false,
        Kind::Unknown => {}
        _ => faults.add(list.at, None, format!("nodes: holds {}, expected a list", list.what())),
    }
    raw
}

fn row<'a>(item: &Tree, faults: &mut Faults) -> Row<'a> {
    let mut row = Row { cells: Default::default() };
    let Kind::Map(pairs) = &item.kind else {
        if !matches!(item.kind, Kind::Unknown) {
            faults.add(item.at, None, format!("a node is {}, expected a mapping", item.what()));
        }
        return row;
    };
    let id = pairs.iter().find(|(k, _)| k.scalar() == Some("id")).and_then(|(_, v)| v.scalar()).unwrap_or("");
    let mut unknown = false;
    // A node's own keys come before those that are merged in, wherever `<<` stands.
    let mut own = HashSet::new();
    for (key, value) in pairs.iter().filter(|(k, _)| k.scalar() != Some("<<")) {
        let name = key.scalar().unwrap_or_default();
        if own.insert(name) {
            take(&mut row, key, value, id, faults);
        } else {
            faults.add(key.at, Some(id), format!("key {:?} is given twice", shown(name)));
        }
    }
    let mut merges = pairs.iter().filter(|(k, _)| k.scalar() == Some("<<"));
    if let Some((_, merged)) = merges.next() {
        merge(&mut row, merged, id, &mut unknown, faults);
    }
    for (key, _) in merges {
        faults.add(key.at, Some(id), "key \"<<\" is given twice; a list merges several");
    }
    for (n, name) in COLUMNS.iter().enumerate() {
        let optional = matches!(*name, "cell" | "started_ms");
        if row.cells[n].is_none() && optional {
            row.cells[n] = Some(Cell { text: Cow::Borrowed(""), at: item.at });
        } else if row.cells[n].is_none() && !unknown {
            faults.add(item.at, Some(id), format!("the node lacks {name}"));
        }
    }
    row
}

/// Takes over what a merge key names: a mapping, or a list of them of which earlier ones hold.
fn merge(row: &mut Row, merged: &Tree, id: &str, unknown: &mut bool, faults: &mut Faults) {
    let maps: Vec<&Tree> = match &merged.kind {
        Kind::List(items) => items.iter().map(Rc::as_ref).collect(),
        _ => vec![merged],
    };
    for map in maps {
        match &map.kind {
            Kind::Map(pairs) => {
                for (key, value) in pairs {
                    let name = key.scalar().unwrap_or_default();
                    let known = COLUMNS.iter().position(|c| *c == name);
                    if known.is_none_or(|n| row.cells[n].is_none()) {
                        take(row, key, value, id, faults);
                    }
                }
            }
            Kind::Unknown => *unknown = true,
            _ => faults.add(map.at, Some(id), format!("<<: names {}, expected a mapping", map.what())),
        }
    }
}

fn take(row: &mut Row, key: &Tree, value: &Tree, id: &str, faults: &mut Faults) {
    let name = key.scalar().unwrap_or_default();
    let Some(n) = COLUMNS.iter().position(|c| *c == name) else {
        let reason = format!("unknown key {:?}, expected {}", shown(name), COLUMNS.join(", "));
        return faults.add(key.at, Some(id), reason);
    };
    match &value.kind {
        Kind::Scalar(text) => row.cells[n] = Some(Cell { text: Cow::Owned(text.clone()), at: value.at }),
        Kind::Unknown => row.cells[n] = Some(Cell { text: Cow::Borrowed(""), at: value.at }),
        _ => {
            faults.add(value.at, Some(id), format!("{name} is {}, expected a value", value.what()));
            row.cells[n] = Some(Cell { text: Cow::Borrowed(""), at: value.at });
        }
    }
}

fn place(at: saphyr_parser::Marker) -> Place {
    (at.line(), at.col() + 1)
}

/// The one document of the text, and whether a line ends it. What would stop the parser at its first fault is
/// named and taken out, so that the rest is read too: tabs become spaces, aliases that point to nothing null.
fn document(text: &str, faults: &mut Faults) -> Option<(Rc<Tree>, bool)> {
    let mut text = Cow::Borrowed(text);
    if text.contains('\t') {
        for (n, line) in text.split('\n').enumerate() {
            for (column, _) in line.chars().enumerate().filter(|(_, c)| *c == '\t') {
                faults.add((n + 1, column + 1), None, "a tab, expected spaces");
            }
        }
        text = Cow::Owned(text.replace('\t', " "));
    }
    let most = MENDED.min(MENDED_BYTES / text.len().max(1)).max(1);
    for _ in 0..most {
        match tree(&text) {
            Ok(read) => {
                for at in read.cycles {
                    faults.add(at, None, "an alias within what it stands for, expected no cycle");
                }
                return read.root.map(|root| (root, read.ended));
            }
            Err(Stop::Fault(at, why)) => {
                faults.add(at, None, why);
                return None;
            }
            Err(Stop::Dangling(at, index)) => {
                let start = text.char_indices().nth(index).map_or(text.len(), |(n, _)| n);
                let rest = &text[start..];
                let ends = |c: char| c.is_whitespace() || ",[]{}".contains(c);
                let alias = &rest[..rest.find(ends).unwrap_or(rest.len())];
                faults.add(at, None, format!("alias {} points to no anchor before it", shown(alias)));
                let blank = " ".repeat(alias.chars().count().saturating_sub(1));
                let mended = format!("{}~{blank}{}", &text[..start], &rest[alias.len()..]);
                text = Cow::Owned(mended);
            }
        }
    }
    faults.add(
        (0, 0),
        None,
        format!("over {most} aliases point to no anchor; what lies behind them was not read"),
    );
    None
}

/// Why a text cannot be read on.
enum Stop {
    Fault(Place, String),
    /// An alias that points to nothing, at this character.
    Dangling(Place, usize),
}

struct Document {
    root: Option<Rc<Tree>>,
    /// Aliases within what they stand for.
    cycles: Vec<Place>,
    ended: bool,
}

/// A list or mapping that is still open.
struct Open {
    at: Place,
    anchor: usize,
    map: bool,
    values: Vec<Rc<Tree>>,
}

impl Open {
    fn tree(self) -> Tree {
        let size = self.values.iter().fold(1u64, |all, v| all.saturating_add(v.size));
        let kind = if self.map {
            let mut pairs = Vec::with_capacity(self.values.len() / 2);
            let mut values = self.values.into_iter();
            while let (Some(key), Some(value)) = (values.next(), values.next()) {
                pairs.push((key, value));
            }
            Kind::Map(pairs)
        } else {
            Kind::List(self.values)
        };
        Tree { at: self.at, size, kind }
    }
}

/// The one document of the text.
fn tree(text: &str) -> Result<Document, Stop> {
    let mut open: Vec<Open> = Vec::new();
    let mut anchors: HashMap<usize, Rc<Tree>> = HashMap::new();
    let mut document = Document { root: None, cycles: Vec::new(), ended: false };
    let mut documents = 0;
    let mut values = 0;
    let mut parser = Parser::new_from_str(text);
    loop {
        let (event, span) = match parser.next_event() {
            None => break,
            Some(Ok(event)) => event,
            Some(Err(e)) if e.info().contains("unknown anchor") => {
                return Err(Stop::Dangling(place(*e.marker()), e.marker().index()));
            }
            Some(Err(e)) => {
                return Err(Stop::Fault(place(*e.marker()), format!("this is no YAML: {}", shown(e.info()))));
            }
        };
        let at = place(span.start);
        values += 1;
        if values > MOST_VALUES {
            return Err(Stop::Fault(at, format!("over {MOST_VALUES} values, of which none are read on")));
        }
        let leaf = |kind| Rc::new(Tree { at, size: 1, kind });
        let (done, anchor) = match event {
            Event::StreamEnd => break,
            Event::DocumentStart(_) => {
                documents += 1;
                if documents > 1 {
                    return Err(Stop::Fault(at, "a second document, expected one".into()));
                }
                continue;
            }
            Event::DocumentEnd => {
                document.ended = text.trim_end().ends_with("\n...");
                continue;
            }
            Event::SequenceStart(..) | Event::MappingStart(..) if open.len() >= DEEPEST => {
                return Err(Stop::Fault(at, format!("lists and mappings over {DEEPEST} levels deep")));
            }
            Event::SequenceStart(anchor, _) => {
                open.push(Open { at, anchor, map: false, values: Vec::new() });
                continue;
            }
            Event::MappingStart(anchor, _) => {
                open.push(Open { at, anchor, map: true, values: Vec::new() });
                continue;
            }
            Event::SequenceEnd | Event::MappingEnd => {
                let Some(closed) = open.pop() else { continue };
                let anchor = closed.anchor;
                (Rc::new(closed.tree()), anchor)
            }
            Event::Scalar(text, style, anchor, _) => {
                let null = style == ScalarStyle::Plain && matches!(&*text, "~" | "null" | "Null" | "NULL");
                (leaf(Kind::Scalar(if null { String::new() } else { text.into_owned() })), anchor)
            }
            Event::Alias(anchor) => match anchors.get(&anchor) {
                Some(tree) => (tree.clone(), 0),
                None => {
                    document.cycles.push(at);
                    (leaf(Kind::Unknown), 0)
                }
            },
            Event::Nothing | Event::StreamStart => continue,
        };
        if anchor > 0 {
            anchors.insert(anchor, done.clone());
        }
        match open.last_mut() {
            Some(parent) => parent.values.push(done),
            None => document.root = Some(done),
        }
    }
    Ok(document)
}
