//! Inventory files, written whole beside and renamed over.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

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

/// Writes another file and renames it over.
pub fn replace(path: &Path, text: &str) -> std::io::Result<()> {
    let beside = path.with_extension("new");
    fs::write(&beside, text)?;
    fs::rename(&beside, path)
}
