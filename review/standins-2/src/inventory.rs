//! Inventory files: written whole beside and renamed over, or in place.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// A row of the inventory.
#[derive(Clone, Debug)]
pub struct Row {
    pub id: String,
    pub address: SocketAddr,
    pub cell: i64,
}

/// The text of a version with the columns in the order of the operators' page.
pub fn text(version: u64, rows: &[Row]) -> String {
    let mut text = format!("# version: {version}\n# count: {}\n", rows.len());
    text.push_str("id,address,zone,kind,cell,state,weight,started_ms\n");
    for Row { id, address, cell } in rows {
        text.push_str(&format!("{id},{address},room-a,std-3,{cell},in_service,1,\n"));
    }
    text
}

/// The text of a version with the address as the last column.
pub fn text_address_last(version: u64, rows: &[Row]) -> String {
    let mut text = format!("# version: {version}\n# count: {}\n", rows.len());
    text.push_str("id,zone,kind,cell,state,weight,started_ms,address\n");
    for Row { id, address, cell } in rows {
        text.push_str(&format!("{id},room-a,std-3,{cell},in_service,1,,{address}\n"));
    }
    text
}

/// Writes another file and renames it over.
pub fn replace(path: &Path, text: &str) -> std::io::Result<()> {
    let beside = path.with_extension("new");
    fs::write(&beside, text)?;
    fs::rename(&beside, path)
}

/// Writes the file in place, and stops once for `pause` with `rest` bytes still to be written.
pub fn write_in_place(path: &Path, text: &str, rest: usize, pause: Duration) -> std::io::Result<()> {
    let mut file = fs::File::create(path)?;
    let (first, last) = text.as_bytes().split_at(text.len() - rest);
    file.write_all(first)?;
    thread::sleep(pause);
    file.write_all(last)
}
