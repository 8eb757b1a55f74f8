//! Parses the CSV format: a header with the columns in any order, then a row for each node. Lines that begin with `#`
//! are comments, and some of them are marks of the whole file: `# version: 7`, `# count: 12`, `# removal: allowed`,
//! `# end`.

use crate::model::{excerpt, Cell, Faults, Position, RawInventory, Row, COLUMNS, MAX_NODES};
use std::borrow::Cow;

/// The longest line, in bytes.
const MAX_LINE_BYTES: usize = 4_096;

/// Parses a CSV text and adds a fault for every syntax error.
pub fn read<'a>(text: &'a str, faults: &mut Faults) -> RawInventory<'a> {
    let mut raw = RawInventory::default();
    for (n, line) in text.split('\n').enumerate().filter(|(_, line)| line.len() > MAX_LINE_BYTES) {
        // Such a text is not split into fields, which can take many times the memory of the line.
        raw.unreadable = true;
        let reason = format!("a line of {} bytes, expected {MAX_LINE_BYTES} at most", line.len());
        faults.add((n + 1, 1), None, reason);
    }
    if raw.unreadable {
        return raw;
    }
    let mut header: Option<Vec<Option<usize>>> = None;
    // CRLF is accepted but normalized before the csv crate sees it, so that a stray carriage return ends no row.
    let plain =
        if text.contains("\r\n") { Cow::Owned(text.replace("\r\n", "\n")) } else { Cow::Borrowed(text) };
    let mut fields = records(&plain);
    for (number, line) in text.split('\n').enumerate() {
        let (number, line) = (number + 1, line.strip_suffix('\r').unwrap_or(line));
        if let Some(comment) = line.strip_prefix('#') {
            parse_mark(comment, (number, 2), &mut raw, faults);
            continue;
        }
        if line.is_empty() {
            continue;
        }
        if raw.has_end_marker {
            faults.add((number, 1), None, "a line after `# end`, expected nothing");
            continue;
        }
        let field_columns = field_columns(line);
        check_characters(line, number, faults);
        // The csv crate splits the line into fields; where each field begins is computed separately.
        let Some(record) = fields.next() else { break };
        let Some(columns) = &header else {
            header = Some(parse_header(&record, &field_columns, number, faults));
            continue;
        };
        if record.len() != columns.len() {
            let id = columns.iter().position(|c| *c == Some(0)).and_then(|n| record.get(n)).unwrap_or("");
            let (found, expected) = (record.len(), columns.len());
            let at = field_columns.get(expected.min(found.saturating_sub(1))).copied().unwrap_or(1);
            faults.add((number, at), Some(id), format!("the row has {found} columns, expected {expected}"));
            raw.rows.push(Row { cells: Default::default() });
            continue;
        }
        let mut row = Row { cells: Default::default() };
        for ((value, column), at) in record.iter().zip(columns).zip(&field_columns) {
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

/// Splits the text into records, one for each line except comments, with any number of fields.
fn records(text: &str) -> impl Iterator<Item = csv::StringRecord> + '_ {
    let mut builder = csv::ReaderBuilder::new();
    builder.has_headers(false).flexible(true).quoting(false).comment(Some(b'#'));
    builder.terminator(csv::Terminator::Any(b'\n'));
    builder.from_reader(text.as_bytes()).into_records().map_while(Result::ok)
}

/// The column at which each field of a line begins, counted from 1.
fn field_columns(line: &str) -> Vec<usize> {
    let commas = line.chars().enumerate().filter(|(_, c)| *c == ',').map(|(n, _)| n + 2);
    std::iter::once(1).chain(commas).collect()
}

/// Adds a fault for each character that no value may contain: quotes, tabs and control characters.
fn check_characters(line: &str, number: usize, faults: &mut Faults) {
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

/// For each field of the header, the index in [`COLUMNS`]; none for an unknown column.
fn parse_header(
    record: &csv::StringRecord,
    field_columns: &[usize],
    number: usize,
    faults: &mut Faults,
) -> Vec<Option<usize>> {
    let mut columns: Vec<Option<usize>> = Vec::new();
    for (n, name) in record.iter().enumerate() {
        let at: Position = (number, field_columns.get(n).copied().unwrap_or(1));
        let column = COLUMNS.iter().position(|c| *c == name);
        if column.is_none() {
            let reason = format!("unknown column {:?}, expected {}", excerpt(name), COLUMNS.join(","));
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

/// Parses a comment that may be a mark of the whole file. Other comments are ignored.
fn parse_mark<'a>(
    comment: &'a str,
    (line, column): Position,
    raw: &mut RawInventory<'a>,
    faults: &mut Faults,
) {
    let text = comment.trim();
    if text == "end" {
        raw.has_end_marker = true;
        return;
    }
    let Some((key, value)) = text.split_once(':') else { return };
    let target = match key {
        "version" => &mut raw.version,
        "count" => &mut raw.count,
        "removal" => &mut raw.removal,
        _ => return,
    };
    let value_offset =
        comment.split_once(':').map_or(0, |(b, v)| b.chars().count() + 1 + v.len() - v.trim_start().len());
    let (value, at) = (value.trim(), (line, column + value_offset));
    if target.replace(Cell { text: Cow::Borrowed(value), at }).is_some() {
        faults.add(at, None, format!("{key} is given twice"));
    }
}
