//! The CSV format: a header in any order, a row for each node. Lines that begin with `#` are comments; some say
//! something of the whole file: `# version: 7`, `# count: 12`, `# removal: allowed`, `# end`.

use crate::model::{shown, Cell, Faults, Place, Raw, Row, COLUMNS, MAX_NODES};
use std::borrow::Cow;

/// The longest line, in bytes.
const LONGEST_LINE: usize = 4_096;

/// Reads the values; every fault of the form is named.
pub fn read<'a>(text: &'a str, faults: &mut Faults) -> Raw<'a> {
    let mut raw = Raw::default();
    for (n, line) in text.split('\n').enumerate().filter(|(_, line)| line.len() > LONGEST_LINE) {
        // Not split: the fields of such a line can take many times its bytes.
        raw.unreadable = true;
        let reason = format!("a line of {} bytes, expected {LONGEST_LINE} at most", line.len());
        faults.add((n + 1, 1), None, reason);
    }
    if raw.unreadable {
        return raw;
    }
    let mut header: Option<Vec<Option<usize>>> = None;
    // Both ends of lines are accepted; the library is given one, so that a stray carriage return ends no row.
    let plain =
        if text.contains("\r\n") { Cow::Owned(text.replace("\r\n", "\n")) } else { Cow::Borrowed(text) };
    let mut fields = records(&plain);
    for (number, line) in text.split('\n').enumerate() {
        let (number, line) = (number + 1, line.strip_suffix('\r').unwrap_or(line));
        if let Some(comment) = line.strip_prefix('#') {
            said(comment, (number, 2), &mut raw, faults);
            continue;
        }
        if line.is_empty() {
            continue;
        }
        if raw.ended {
            faults.add((number, 1), None, "a line behind `# end`, expected nothing");
            continue;
        }
        let places = places(line);
        forbidden(line, number, faults);
        // What the library takes for the fields of this line is what counts; their places are counted beside it.
        let Some(record) = fields.next() else { break };
        let Some(columns) = &header else {
            header = Some(columns_of(&record, &places, number, faults));
            continue;
        };
        if record.len() != columns.len() {
            let id = columns.iter().position(|c| *c == Some(0)).and_then(|n| record.get(n)).unwrap_or("");
            let (found, expected) = (record.len(), columns.len());
            let at = places.get(expected.min(found.saturating_sub(1))).copied().unwrap_or(1);
            faults.add((number, at), Some(id), format!("the row has {found} columns, expected {expected}"));
            raw.rows.push(Row { cells: Default::default() });
            continue;
        }
        let mut row = Row { cells: Default::default() };
        for ((value, column), at) in record.iter().zip(columns).zip(&places) {
            if let Some(column) = column {
                row.cells[*column] = Some(Cell { text: Cow::Owned(value.to_string()), at: (number, *at) });
            }
        }
        if raw.rows.len() <= MAX_NODES {
            raw.rows.push(row);
        }
    }
    if header.is_none() {
        raw.unreadable = true;
        let what = if text.trim().is_empty() { "the file is empty" } else { "the file has no header" };
        faults.add((1, 1), None, format!("{what}, expected {}", COLUMNS.join(",")));
    }
    raw
}

/// The records of the text without its comments, one a line, whatever their number of fields.
fn records(text: &str) -> impl Iterator<Item = csv::StringRecord> + '_ {
    let mut builder = csv::ReaderBuilder::new();
    builder.has_headers(false).flexible(true).quoting(false).comment(Some(b'#'));
    builder.terminator(csv::Terminator::Any(b'\n'));
    builder.from_reader(text.as_bytes()).into_records().map_while(Result::ok)
}

/// Where each field of a line begins, from 1.
fn places(line: &str) -> Vec<usize> {
    let commas = line.chars().enumerate().filter(|(_, c)| *c == ',').map(|(n, _)| n + 2);
    std::iter::once(1).chain(commas).collect()
}

/// What no value may hold, whatever the column.
fn forbidden(line: &str, number: usize, faults: &mut Faults) {
    if !line.bytes().any(|b| b < b' ' || b == b'"') {
        return;
    }
    for (n, c) in line.chars().enumerate() {
        let what = match c {
            '"' => "a quote; quoted fields, and commas in them, are not accepted",
            '\t' => "a tab, expected a comma or nothing",
            '\r' => "a carriage return within a line",
            c if c.is_control() => "a control character",
            _ => continue,
        };
        faults.add((number, n + 1), None, what);
    }
}

fn columns_of(
    record: &csv::StringRecord,
    places: &[usize],
    number: usize,
    faults: &mut Faults,
) -> Vec<Option<usize>> {
    let mut columns: Vec<Option<usize>> = Vec::new();
    for (n, name) in record.iter().enumerate() {
        let at: Place = (number, places.get(n).copied().unwrap_or(1));
        let column = COLUMNS.iter().position(|c| *c == name);
        if column.is_none() {
            let reason = format!("unknown column {:?}, expected {}", shown(name), COLUMNS.join(","));
            faults.add(at, None, reason);
        } else if columns.contains(&column) {
            faults.add(at, None, format!("column {name} is given twice"));
        }
        columns.push(column);
    }
    let missing: Vec<_> =
        (0..COLUMNS.len()).filter(|c| !columns.contains(&Some(*c))).map(|c| COLUMNS[c]).collect();
    if !missing.is_empty() {
        faults.add((number, 1), None, format!("the header lacks {}", missing.join(", ")));
    }
    columns
}

/// A comment that says something of the whole file.
fn said<'a>(comment: &'a str, (line, column): Place, raw: &mut Raw<'a>, faults: &mut Faults) {
    let text = comment.trim();
    if text == "end" {
        raw.ended = true;
        return;
    }
    let Some((key, value)) = text.split_once(':') else { return };
    let slot = match key {
        "version" => &mut raw.version,
        "count" => &mut raw.count,
        "removal" => &mut raw.removal,
        _ => return,
    };
    let before =
        comment.split_once(':').map_or(0, |(b, v)| b.chars().count() + 1 + v.len() - v.trim_start().len());
    let (value, at) = (value.trim(), (line, column + before));
    if slot.replace(Cell { text: Cow::Borrowed(value), at }).is_some() {
        faults.add(at, None, format!("{key} is given twice"));
    }
}
