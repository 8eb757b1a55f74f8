//! The inventory file: watched, read whole, and handed on as one list.
//!
//! What is adopted is decided in `liftrouter_inventory`; here files are looked at. A look costs a call of the
//! system, every `poll`; where the system tells of changes, it comes sooner. Reading and parsing run on a thread
//! beside the runtime's, so that no request waits for a large file.

use crate::events::{EventQueue, HostEvent, ListedEndpoint};
use crate::log;
use liftrouter_decision::{EndpointEntry, EndpointState};
use liftrouter_inventory::{
    diff, read, Decision, Fault, Form, Inventory, Node, Policy, Refusal, State, Watch, MOST_BYTES,
};
use notify::{RecommendedWatcher, RecursiveMode, Watcher};
use std::fs::{File, Metadata};
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::task::spawn_blocking;
use tokio::time::{timeout, Instant};

/// Faults of a version that are logged; `liftrouter inventory check` names them all.
const LOGGED: usize = 10;

/// Steps of a file's time are smaller than this on any file system in use.
const STEP: Duration = Duration::from_millis(100);

/// The file, and how it is taken.
pub struct Source {
    pub path: PathBuf,
    pub form: Form,
    pub policy: Policy,
    /// How often it is looked at.
    pub poll: Duration,
}

/// What tells one state of a file from another without reading it.
type Sign = (u64, u64, u64, i64, i64);

fn sign(m: &Metadata) -> Sign {
    (m.dev(), m.ino(), m.size(), m.mtime(), m.mtime_nsec())
}

/// Whether a file of this sign was written so long ago that what is written to it now must change the sign: its
/// time goes in steps.
fn settled((_, _, _, seconds, nanoseconds): &Sign) -> bool {
    let written =
        Duration::new(u64::try_from(*seconds).unwrap_or(0), u32::try_from(*nanoseconds).unwrap_or(0));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_sub(written) > STEP
}

/// What was read, and what came of parsing it.
struct Content {
    bytes: Vec<u8>,
    parsed: Result<Inventory, Vec<Fault>>,
}

/// Reads and parses a file. None if it changed meanwhile, or another took its place.
fn load(path: &Path, form: Form, last: Option<Arc<Content>>) -> io::Result<Option<(Arc<Content>, Sign)>> {
    let file = File::open(path)?;
    let before = sign(&file.metadata()?);
    let mut bytes = Vec::new();
    // One byte more than may be is enough to be refused.
    file.take(MOST_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    if sign(&std::fs::metadata(path)?) != before {
        return Ok(None);
    }
    let content = match last.filter(|last| last.bytes == bytes) {
        Some(last) => last,
        None => {
            let parsed = read(&path.display().to_string(), form, &bytes);
            Arc::new(Content { bytes, parsed })
        }
    };
    Ok(Some((content, before)))
}

/// Wakes at changes in the file's folder, for as long as it is kept.
fn changes(path: &Path, wake: Arc<Notify>) -> notify::Result<RecommendedWatcher> {
    let mut watcher = notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
        // That it is read is no change: each look would bring about the next.
        if !event.is_ok_and(|e| e.kind.is_access()) {
            wake.notify_one();
        }
    })?;
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    watcher.watch(folder, RecursiveMode::NonRecursive)?;
    Ok(watcher)
}

impl Source {
    /// Follows the file for as long as the program runs; `heard` is told when the first version is adopted.
    pub async fn follow(self, events: Rc<EventQueue>, heard: Rc<Notify>) {
        let wake: Arc<Notify> = Arc::default();
        let _watcher = changes(&self.path, wake.clone())
            .map_err(|e| log("inventory", format_args!("changes are not told, only looked for: {e}")));
        let began = Instant::now();
        let mut watch = Watch::new(self.policy);
        let mut last: Option<Arc<Content>> = None;
        let (mut seen, mut adopted) = (None, 0);
        let mut next = Duration::ZERO;
        loop {
            let _ = timeout(next, wake.notified()).await;
            next = self.poll;
            let now = std::fs::metadata(&self.path).map(|m| sign(&m));
            if seen.is_some() && now.as_ref().ok() == seen.as_ref() {
                continue;
            }
            let (path, form, before) = (self.path.clone(), self.form, last.clone());
            let loaded = spawn_blocking(move || load(&path, form, before)).await;
            let loaded = loaded.unwrap_or_else(|e| Err(io::Error::other(e)));
            seen = None;
            let decision = match loaded {
                Ok(Some((content, sign))) => {
                    let decision = watch.look(began.elapsed(), &content.bytes, |_| content.parsed.clone());
                    last = Some(content);
                    if !matches!(decision, Decision::Wait(_)) && settled(&sign) {
                        seen = Some(sign);
                    }
                    decision
                }
                // It changed while it was read.
                Ok(None) => continue,
                Err(e) if e.kind() == io::ErrorKind::NotFound => watch.failed(Refusal::Missing),
                Err(e) => watch.failed(Refusal::Unreadable(e.to_string())),
            };
            match decision {
                Decision::Keep => {}
                Decision::Wait(time) => next = time.min(self.poll),
                Decision::Refuse(why) => self.refused(&why, adopted),
                Decision::Adopt(inventory) => {
                    adopted += 1;
                    let version = inventory.version.unwrap_or(adopted);
                    log(
                        "inventory",
                        format_args!("version {version} adopted, {} nodes", inventory.nodes.len()),
                    );
                    let servers = inventory.nodes.iter().map(listed).collect();
                    events.push(HostEvent::EndpointUpdate {
                        whole: true,
                        endpoints: servers,
                        version: Some(version),
                    });
                    heard.notify_one();
                }
            }
        }
    }

    fn refused(&self, why: &Refusal, adopted: u64) {
        let kept = if adopted > 0 { "the version before stays" } else { "no version is adopted yet" };
        log("inventory", format_args!("{}: not adopted, {kept}: {why}", self.path.display()));
        if let Refusal::Faults(faults) = why {
            for fault in faults.iter().skip(1).take(LOGGED) {
                log("inventory", fault);
            }
        }
    }
}

/// A node as the host knows it. One of weight 0 gets nothing new, as one that drains.
fn listed(node: &Node) -> ListedEndpoint {
    let state = match node.state {
        State::InService if node.weight > 0.0 => EndpointState::InService,
        State::InService | State::Terminating => EndpointState::Draining,
        State::Terminated => EndpointState::Removed,
    };
    let entry = EndpointEntry {
        id: node.id.as_str().into(),
        zone: node.zone.as_str().into(),
        kind: node.kind.as_str().into(),
        cell: node.cell.unwrap_or(0),
        state,
        weight: node.weight,
        started: node.started_ms.map(|at| at as f64 / 1e3),
    };
    ListedEndpoint { entry, address: node.address }
}

/// Reads a file named on the command line.
///
/// # Errors
/// Why it cannot be read, or its faults.
fn load_once(path: &Path) -> Result<Result<Inventory, Vec<Fault>>, String> {
    let name = path.display().to_string();
    let form =
        Form::of_name(&name).ok_or(format!("{name}: expected a name that ends in .csv, .yaml or .yml"))?;
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(|e| format!("{name}: {e}"))?;
    file.take(MOST_BYTES as u64 + 1).read_to_end(&mut bytes).map_err(|e| format!("{name}: {e}"))?;
    Ok(read(&name, form, &bytes))
}

/// The faults, as lines or as JSON.
fn tell(faults: &[Fault], json: bool) {
    if json {
        println!("{}", serde_json::to_string_pretty(faults).unwrap_or_default());
    } else {
        faults.iter().for_each(|fault| println!("{fault}"));
    }
}

/// `liftrouter inventory check`: exit code 0 valid, 1 faults.
///
/// # Errors
/// The file cannot be read.
pub fn check(path: &Path, json: bool) -> Result<u8, String> {
    match load_once(path)? {
        Ok(inventory) => {
            if json {
                println!("[]");
            } else {
                let version = inventory.version.map_or(String::new(), |v| format!(", version {v}"));
                println!("{}: good, {} nodes{version}", path.display(), inventory.nodes.len());
            }
            Ok(0)
        }
        Err(faults) => {
            tell(&faults, json);
            Ok(1)
        }
    }
}

/// `liftrouter inventory convert`.
///
/// # Errors
/// The file cannot be read.
pub fn convert(path: &Path, to: Form) -> Result<u8, String> {
    match load_once(path)? {
        Ok(inventory) => {
            print!("{}", liftrouter_inventory::write(&inventory, to));
            Ok(0)
        }
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            Ok(1)
        }
    }
}

/// `liftrouter inventory diff`: what adopting the new one over the old one does to each node.
///
/// # Errors
/// A file cannot be read.
pub fn compare(old: &Path, new: &Path, json: bool) -> Result<u8, String> {
    let (old, new) = match (load_once(old)?, load_once(new)?) {
        (Ok(old), Ok(new)) => (old, new),
        (old, new) => {
            for faults in [old.err(), new.err()].into_iter().flatten() {
                faults.iter().for_each(|fault| eprintln!("{fault}"));
            }
            return Ok(1);
        }
    };
    let changes = diff(&old, &new);
    if json {
        println!("{}", serde_json::to_string_pretty(&changes).unwrap_or_default());
        return Ok(0);
    }
    for change in &changes {
        let effects: Vec<_> = change.effects.iter().map(ToString::to_string).collect();
        println!("{}: {}", change.id, effects.join("; "));
    }
    if changes.is_empty() {
        println!("no change");
    }
    Ok(0)
}
