//! Parses the YAML format: a list of nodes under `nodes:`, each a mapping with the names of the CSV columns as keys,
//! and next to it `version:`, `count:` and `removal:`. Anchors, aliases and merge keys (`<<`) are supported, since
//! configuration tools write them. Top-level keys that begin with `x-` may hold anchored values and are otherwise
//! ignored.
//!
//! The parser library emits events with positions and is not recursive. An alias shares the anchored value instead of
//! copying it, so that memory grows with the text and not with the expanded aliases; the number of values with all
//! aliases expanded is counted and limited.

use crate::model::{excerpt, Cell, Faults, Position, RawInventory, Row, COLUMNS, MAX_NODES};
use saphyr_parser::{Event, Parser, ScalarStyle};
use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// The deepest nesting of lists and mappings.
const MAX_DEPTH: usize = 16;
/// The most values that a document may have with all aliases expanded.
const MAX_VALUES: u64 = (MAX_NODES * (COLUMNS.len() + 1) * 2) as u64;

/// How many undefined aliases are replaced at most. Parsing starts over after each one, so this bounds its time.
const MAX_ALIAS_REPLACEMENTS: usize = 200;
/// How many bytes may be parsed in total while undefined aliases are replaced.
const MAX_REPARSED_BYTES: usize = 256 << 20;

/// A value with its position.
struct Value {
    at: Position,
    /// How many values it holds with all aliases expanded, itself included.
    size: u64,
    kind: Kind,
}

enum Kind {
    Scalar(String),
    List(Vec<Rc<Value>>),
    Map(Vec<(Rc<Value>, Rc<Value>)>),
    /// The value could not be read, and a fault was already added for it.
    Unknown,
}

impl Value {
    /// The type of the value for a fault message.
    fn type_name(&self) -> &'static str {
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

/// Parses a YAML text and adds a fault for every syntax error.
pub fn read<'a>(text: &'a str, faults: &mut Faults) -> RawInventory<'a> {
    let mut raw = RawInventory { unreadable: true, ..RawInventory::default() };
    if text.trim().is_empty() {
        faults.add((1, 1), None, "the file is empty, expected a list under nodes:");
        return raw;
    }
    let Some((root, has_end_marker)) = parse_document(text, faults) else { return raw };
    raw.has_end_marker = has_end_marker;
    if root.size > MAX_VALUES {
        let reason = format!(
            "with its aliases expanded the file holds {} values, expected {MAX_VALUES} at most",
            root.size
        );
        faults.add(root.at, None, reason);
        return raw;
    }
    let Kind::Map(pairs) = &root.kind else {
        faults.add(
            root.at,
            None,
            format!("the file holds {}, expected a mapping with nodes:", root.type_name()),
        );
        return raw;
    };
    let mut nodes = None;
    let mut seen = HashSet::new();
    for (key, value) in pairs {
        let name = key.scalar().unwrap_or_default();
        if !seen.insert(name) {
            faults.add(key.at, None, format!("key {:?} is given twice", excerpt(name)));
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
                    excerpt(name)
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
            raw.rows = items.iter().take(MAX_NODES + 1).map(|item| parse_node(item, faults)).collect();
            raw.unreadable = false;
        }
        Kind::Scalar(text) if text.is_empty() => raw.unreadable = false,
        Kind::Unknown => {}
        _ => faults.add(list.at, None, format!("nodes: holds {}, expected a list", list.type_name())),
    }
    raw
}

/// Parses a list item under `nodes:` as a node.
fn parse_node<'a>(item: &Value, faults: &mut Faults) -> Row<'a> {
    let mut row = Row { cells: Default::default() };
    let Kind::Map(pairs) = &item.kind else {
        if !matches!(item.kind, Kind::Unknown) {
            faults.add(item.at, None, format!("a node is {}, expected a mapping", item.type_name()));
        }
        return row;
    };
    let id = pairs.iter().find(|(k, _)| k.scalar() == Some("id")).and_then(|(_, v)| v.scalar()).unwrap_or("");
    let mut unreadable_merge = false;
    // A node's own keys take precedence over merged ones, wherever `<<` stands.
    let mut own_keys = HashSet::new();
    for (key, value) in pairs.iter().filter(|(k, _)| k.scalar() != Some("<<")) {
        let name = key.scalar().unwrap_or_default();
        if own_keys.insert(name) {
            set_value(&mut row, key, value, id, faults);
        } else {
            faults.add(key.at, Some(id), format!("key {:?} is given twice", excerpt(name)));
        }
    }
    let mut merges = pairs.iter().filter(|(k, _)| k.scalar() == Some("<<"));
    if let Some((_, merged)) = merges.next() {
        merge(&mut row, merged, id, &mut unreadable_merge, faults);
    }
    for (key, _) in merges {
        faults.add(key.at, Some(id), "key \"<<\" is given twice; use a list to merge several mappings");
    }
    for (n, name) in COLUMNS.iter().enumerate() {
        let optional = matches!(*name, "cell" | "started_ms");
        if row.cells[n].is_none() && optional {
            row.cells[n] = Some(Cell { text: Cow::Borrowed(""), at: item.at });
        } else if row.cells[n].is_none() && !unreadable_merge {
            faults.add(item.at, Some(id), format!("the node lacks {name}"));
        }
    }
    row
}

/// Fills missing values from the value of a merge key: a mapping, or a list of mappings, of which earlier ones take
/// precedence.
fn merge(row: &mut Row, merged: &Value, id: &str, unreadable_merge: &mut bool, faults: &mut Faults) {
    let maps: Vec<&Value> = match &merged.kind {
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
                        set_value(row, key, value, id, faults);
                    }
                }
            }
            Kind::Unknown => *unreadable_merge = true,
            _ => faults.add(map.at, Some(id), format!("<<: is {}, expected a mapping", map.type_name())),
        }
    }
}

/// Sets the value of a key in the row, and adds a fault if the key is unknown or the value no scalar.
fn set_value(row: &mut Row, key: &Value, value: &Value, id: &str, faults: &mut Faults) {
    let name = key.scalar().unwrap_or_default();
    let Some(n) = COLUMNS.iter().position(|c| *c == name) else {
        let reason = format!("unknown key {:?}, expected {}", excerpt(name), COLUMNS.join(", "));
        return faults.add(key.at, Some(id), reason);
    };
    match &value.kind {
        Kind::Scalar(text) => row.cells[n] = Some(Cell { text: Cow::Owned(text.clone()), at: value.at }),
        Kind::Unknown => row.cells[n] = Some(Cell { text: Cow::Borrowed(""), at: value.at }),
        _ => {
            faults.add(value.at, Some(id), format!("{name} is {}, expected a value", value.type_name()));
            row.cells[n] = Some(Cell { text: Cow::Borrowed(""), at: value.at });
        }
    }
}

fn position(at: saphyr_parser::Marker) -> Position {
    (at.line(), at.col() + 1)
}

/// Parses the only document of the text. Returns its root and whether it has an end marker. Tabs and undefined aliases,
/// which would stop the parser library at the first of them, are reported and replaced by spaces and null, so that
/// the faults after them are reported too.
fn parse_document(text: &str, faults: &mut Faults) -> Option<(Rc<Value>, bool)> {
    let mut text = Cow::Borrowed(text);
    if text.contains('\t') {
        for (n, line) in text.split('\n').enumerate() {
            for (column, _) in line.chars().enumerate().filter(|(_, c)| *c == '\t') {
                faults.add((n + 1, column + 1), None, "a tab, expected spaces");
            }
        }
        text = Cow::Owned(text.replace('\t', " "));
    }
    let max_replacements = MAX_ALIAS_REPLACEMENTS.min(MAX_REPARSED_BYTES / text.len().max(1)).max(1);
    for _ in 0..max_replacements {
        match parse(&text) {
            Ok(document) => {
                for at in document.cycles {
                    faults.add(at, None, "an alias inside the value that it refers to, expected no cycle");
                }
                return document.root.map(|root| (root, document.has_end_marker));
            }
            Err(ParseError::Fault(at, why)) => {
                faults.add(at, None, why);
                return None;
            }
            Err(ParseError::UndefinedAlias(at, index)) => {
                let start = text.char_indices().nth(index).map_or(text.len(), |(n, _)| n);
                let rest = &text[start..];
                let ends = |c: char| c.is_whitespace() || ",[]{}".contains(c);
                let alias = &rest[..rest.find(ends).unwrap_or(rest.len())];
                faults.add(at, None, format!("alias {} points to no anchor before it", excerpt(alias)));
                let blank = " ".repeat(alias.chars().count().saturating_sub(1));
                let replaced = format!("{}~{blank}{}", &text[..start], &rest[alias.len()..]);
                text = Cow::Owned(replaced);
            }
        }
    }
    faults.add(
        (0, 0),
        None,
        format!("over {max_replacements} aliases point to no anchor; the text after them was not read"),
    );
    None
}

/// Why parsing stopped.
enum ParseError {
    Fault(Position, String),
    /// An alias without an anchor, and the index of its first character in the text.
    UndefinedAlias(Position, usize),
}

/// The result of parsing a text.
struct Document {
    root: Option<Rc<Value>>,
    /// The positions of aliases inside the values that they refer to.
    cycles: Vec<Position>,
    has_end_marker: bool,
}

/// A list or mapping whose end has not been parsed yet.
struct OpenCollection {
    at: Position,
    anchor: usize,
    is_map: bool,
    /// The items of a list, or the keys and values of a mapping in turn.
    values: Vec<Rc<Value>>,
}

impl OpenCollection {
    fn close(self) -> Value {
        let size = self.values.iter().fold(1u64, |all, v| all.saturating_add(v.size));
        let kind = if self.is_map {
            let mut pairs = Vec::with_capacity(self.values.len() / 2);
            let mut values = self.values.into_iter();
            while let (Some(key), Some(value)) = (values.next(), values.next()) {
                pairs.push((key, value));
            }
            Kind::Map(pairs)
        } else {
            Kind::List(self.values)
        };
        Value { at: self.at, size, kind }
    }
}

/// Builds the value tree from the events of the parser library.
fn parse(text: &str) -> Result<Document, ParseError> {
    let mut open: Vec<OpenCollection> = Vec::new();
    let mut anchors: HashMap<usize, Rc<Value>> = HashMap::new();
    let mut document = Document { root: None, cycles: Vec::new(), has_end_marker: false };
    let mut documents = 0;
    let mut values = 0;
    let mut parser = Parser::new_from_str(text);
    loop {
        let (event, span) = match parser.next_event() {
            None => break,
            Some(Ok(event)) => event,
            Some(Err(e)) if e.info().contains("unknown anchor") => {
                return Err(ParseError::UndefinedAlias(position(*e.marker()), e.marker().index()));
            }
            Some(Err(e)) => {
                return Err(ParseError::Fault(
                    position(*e.marker()),
                    format!("invalid YAML: {}", excerpt(e.info())),
                ));
            }
        };
        let at = position(span.start);
        values += 1;
        if values > MAX_VALUES {
            return Err(ParseError::Fault(
                at,
                format!("over {MAX_VALUES} values; the rest of the file is not read"),
            ));
        }
        let leaf = |kind| Rc::new(Value { at, size: 1, kind });
        let (value, anchor) = match event {
            Event::StreamEnd => break,
            Event::DocumentStart(_) => {
                documents += 1;
                if documents > 1 {
                    return Err(ParseError::Fault(at, "a second document, expected one".into()));
                }
                continue;
            }
            Event::DocumentEnd => {
                document.has_end_marker = text.trim_end().ends_with("\n...");
                continue;
            }
            Event::SequenceStart(..) | Event::MappingStart(..) if open.len() >= MAX_DEPTH => {
                return Err(ParseError::Fault(
                    at,
                    format!("lists and mappings nested over {MAX_DEPTH} levels deep"),
                ));
            }
            Event::SequenceStart(anchor, _) => {
                open.push(OpenCollection { at, anchor, is_map: false, values: Vec::new() });
                continue;
            }
            Event::MappingStart(anchor, _) => {
                open.push(OpenCollection { at, anchor, is_map: true, values: Vec::new() });
                continue;
            }
            Event::SequenceEnd | Event::MappingEnd => {
                let Some(collection) = open.pop() else { continue };
                let anchor = collection.anchor;
                (Rc::new(collection.close()), anchor)
            }
            Event::Scalar(text, style, anchor, _) => {
                let null = style == ScalarStyle::Plain && matches!(&*text, "~" | "null" | "Null" | "NULL");
                (leaf(Kind::Scalar(if null { String::new() } else { text.into_owned() })), anchor)
            }
            Event::Alias(anchor) => match anchors.get(&anchor) {
                Some(value) => (value.clone(), 0),
                None => {
                    document.cycles.push(at);
                    (leaf(Kind::Unknown), 0)
                }
            },
            Event::Nothing | Event::StreamStart => continue,
        };
        if anchor > 0 {
            anchors.insert(anchor, value.clone());
        }
        match open.last_mut() {
            Some(parent) => parent.values.push(value),
            None => document.root = Some(value),
        }
    }
    Ok(document)
}
