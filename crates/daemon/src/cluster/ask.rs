//! Who is there, for whoever asks at the Unix socket: one JSON object, and the connection ends.

use super::Group;
use crate::log;
use liftrouter_cluster::{Row, Standing};
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use std::io::Read;
use std::os::unix::fs::FileTypeExt;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::UnixListener;
use tokio::time::timeout;

/// The longest that one who asks may take to read, or the limiter to answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// A member as it is told.
#[derive(Serialize, Deserialize)]
struct Line {
    name: String,
    address: String,
    instance: String,
    /// `alive`, `suspect` or `gone`.
    seen: String,
    /// For so many seconds.
    for_s: f64,
    /// Slots that it ought to have.
    slots: usize,
}

/// All that is told.
#[derive(Serialize, Deserialize)]
struct Told {
    /// The one that answers first.
    members: Vec<Line>,
    /// What it holds itself: slots with their tokens.
    held: Vec<(u16, u64)>,
    /// How slow it takes itself to be.
    slowness: u32,
}

impl Told {
    fn of(table: Vec<Row>, standing: Standing, now: u64) -> Told {
        let line = |row: Row| Line {
            name: row.process.name,
            address: row.process.address.to_string(),
            instance: format!("{:016x}", row.process.instance),
            seen: row.seen.name().into(),
            for_s: now.saturating_sub(row.since) as f64 / 1e6,
            slots: row.slots,
        };
        Told {
            members: table.into_iter().map(line).collect(),
            held: standing.held,
            slowness: standing.slowness,
        }
    }
}

/// Listens for those who ask; a socket that is left of an earlier process makes way.
///
/// # Errors
/// It cannot be listened there.
pub fn listen(path: &Path) -> Result<UnixListener, String> {
    let fault = |e: std::io::Error| format!("cannot listen on {} for those who ask: {e}", path.display());
    // Whatever else is there is somebody's.
    if std::fs::symlink_metadata(path).is_ok_and(|there| there.file_type().is_socket()) {
        std::fs::remove_file(path).map_err(fault)?;
    }
    UnixListener::bind(path).map_err(fault)
}

/// Answers whoever comes.
pub async fn answer(group: Rc<Group>, listener: UnixListener) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else { continue };
        let now = group.now();
        let told = {
            let members = group.members.borrow();
            Told::of(members.table(now), members.standing(now), now)
        };
        let Ok(mut text) = serde_json::to_string(&told) else { continue };
        text.push('\n');
        // One that does not read is left: the next waits no longer than this.
        if timeout(PATIENCE, stream.write_all(text.as_bytes())).await.is_err() {
            log("members", "somebody asked who is there and did not read the answer");
        }
    }
}

/// Asks a limiter that runs; as JSON or as a table.
///
/// # Errors
/// It cannot be reached or understood.
pub fn show(at: &Path, json: bool) -> Result<String, String> {
    let fault = |e: std::io::Error| format!("{}: no limiter answers there: {e}", at.display());
    let mut stream = UnixStream::connect(at).map_err(fault)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(fault)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(fault)?;
    if json {
        return Ok(text);
    }
    let told: Told = serde_json::from_str(&text)
        .map_err(|e| format!("{}: what it answers is no table of members: {e}", at.display()))?;
    let mut table =
        format!("{:20} {:22} {:16} {:8} {:>10} {:>6}\n", "member", "address", "instance", "", "for", "slots");
    for m in &told.members {
        let _ = writeln!(
            table,
            "{:20} {:22} {:16} {:8} {:>8.1} s {:>6}",
            m.name, m.address, m.instance, m.seen, m.for_s, m.slots
        );
    }
    let held: Vec<String> = told.held.iter().map(|(slot, _)| slot.to_string()).collect();
    let _ = writeln!(table, "holds {} slots: {}", held.len(), held.join(" "));
    if told.slowness > 0 {
        let _ = writeln!(table, "came late to its turn of late: waits {} times as long", 1 + told.slowness);
    }
    Ok(table)
}
