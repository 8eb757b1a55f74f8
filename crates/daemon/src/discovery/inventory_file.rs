//! Follows the inventory file and passes each adopted version to the host as a complete endpoint list.
//!
//! `liftrouter_inventory` decides which versions are adopted; this module accesses the file system. Polling an
//! unchanged file costs one system call, and where the system notifies of changes, the file is read without waiting
//! for the next poll. Reading and parsing run on a blocking thread, so that no request waits for a large file.

use crate::events::{EventQueue, HostEvent, ListedEndpoint};
use crate::log;
use liftrouter_decision::{EndpointEntry, EndpointState};
use liftrouter_inventory::{
    read, Decision, Fault, Format, Inventory, Node, Policy, Refusal, State, Watch, MAX_BYTES,
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

/// How many faults are logged after the first one; `liftrouter inventory check` lists them all.
const MAX_LOGGED_FAULTS: usize = 10;
/// An upper bound for the resolution of modification times on the file systems in use.
const FILE_TIME_RESOLUTION: Duration = Duration::from_millis(100);
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// The inventory file and the settings for following it.
pub struct InventorySource {
    /// The path of the file.
    pub path: PathBuf,
    /// The file format.
    pub format: Format,
    /// The conditions for adopting a version.
    pub policy: Policy,
    /// How often the file is polled.
    pub poll_interval: Duration,
}

/// File metadata by which a change is detected without reading the file.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    device: u64,
    inode: u64,
    size: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
}

impl FileStamp {
    fn new(metadata: &Metadata) -> Self {
        FileStamp {
            device: metadata.dev(),
            inode: metadata.ino(),
            size: metadata.size(),
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
        }
    }

    /// Whether the last write is long enough ago that another write changes the modification time, given its limited
    /// resolution.
    fn is_settled(&self) -> bool {
        let written = Duration::new(
            u64::try_from(self.modified_seconds).unwrap_or(0),
            u32::try_from(self.modified_nanoseconds).unwrap_or(0),
        );
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        now.saturating_sub(written) > FILE_TIME_RESOLUTION
    }
}

/// The bytes of a file and the result of parsing them.
struct Content {
    bytes: Vec<u8>,
    parsed: Result<Inventory, Vec<Fault>>,
}

/// The content of a file and the stamp that the file had when it was read.
type Loaded = (Arc<Content>, FileStamp);

/// Reads and parses a file; content equal to `last` is not parsed again. Returns none if the file was changed or
/// replaced during the read.
fn load(path: &Path, format: Format, last: Option<Arc<Content>>) -> io::Result<Option<Loaded>> {
    let file = File::open(path)?;
    let before = FileStamp::new(&file.metadata()?);
    let mut bytes = Vec::new();
    // One byte more than the limit is enough for the file to be refused.
    file.take(MAX_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    if FileStamp::new(&std::fs::metadata(path)?) != before {
        return Ok(None);
    }
    let content = last.filter(|last| last.bytes == bytes).unwrap_or_else(|| {
        let parsed = read(&path.display().to_string(), format, &bytes);
        Arc::new(Content { bytes, parsed })
    });
    Ok(Some((content, before)))
}

/// Notifies `wake` of changes in the directory of the file until the watcher is dropped.
fn watch_directory(path: &Path, wake: Arc<Notify>) -> notify::Result<RecommendedWatcher> {
    let mut watcher = notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
        // Access events are ignored, since otherwise each read of the file would trigger the next one.
        if !event.is_ok_and(|event| event.kind.is_access()) {
            wake.notify_one();
        }
    })?;
    let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty());
    watcher.watch(directory.unwrap_or(Path::new(".")), RecursiveMode::NonRecursive)?;
    Ok(watcher)
}

impl InventorySource {
    /// Follows the file for as long as the program runs; `adopted` is notified of each version that is adopted.
    pub async fn follow(self, events: Rc<EventQueue>, adopted: Rc<Notify>) {
        let wake: Arc<Notify> = Arc::default();
        let _watcher = watch_directory(&self.path, wake.clone()).map_err(|error| {
            log(
                "inventory",
                format_args!("file change notifications are unavailable, only polling: {error}"),
            );
        });
        let mut follower = Follower {
            watch: Watch::new(self.policy),
            source: self,
            started: Instant::now(),
            last: None,
            settled: None,
            adopted_versions: 0,
            adopted,
            events,
        };
        let mut next_poll = Duration::ZERO;
        loop {
            let _ = timeout(next_poll, wake.notified()).await;
            next_poll = follower.poll().await;
        }
    }
}

/// The state of following the file.
struct Follower {
    source: InventorySource,
    watch: Watch,
    started: Instant,
    /// The content that was read last, so that the same bytes are not parsed again.
    last: Option<Arc<Content>>,
    /// The stamp of the file whose content was decided on. The file is not read again while it has this stamp.
    settled: Option<FileStamp>,
    adopted_versions: u64,
    adopted: Rc<Notify>,
    events: Rc<EventQueue>,
}

impl Follower {
    /// Reads the file if it may have changed. Returns the time until the next poll.
    async fn poll(&mut self) -> Duration {
        let current = std::fs::metadata(&self.source.path).map(|metadata| FileStamp::new(&metadata));
        if self.settled.is_some() && current.ok() == self.settled {
            return self.source.poll_interval;
        }
        let (path, format, last) = (self.source.path.clone(), self.source.format, self.last.clone());
        let loaded = spawn_blocking(move || load(&path, format, last)).await;
        let loaded = loaded.unwrap_or_else(|error| Err(io::Error::other(error)));
        self.settled = None;
        let decision = match loaded {
            Ok(Some(loaded)) => self.decide(loaded),
            // The file changed during the read.
            Ok(None) => return self.source.poll_interval,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                self.watch.read_failed(Refusal::FileMissing)
            }
            Err(error) => self.watch.read_failed(Refusal::Unreadable(error.to_string())),
        };
        self.carry_out(decision)
    }

    fn decide(&mut self, (content, stamp): Loaded) -> Decision {
        let elapsed = self.started.elapsed();
        let decision = self.watch.observe(elapsed, &content.bytes, |_| content.parsed.clone());
        self.last = Some(content);
        if !matches!(decision, Decision::Wait(_)) && stamp.is_settled() {
            self.settled = Some(stamp);
        }
        decision
    }

    fn carry_out(&mut self, decision: Decision) -> Duration {
        let poll_interval = self.source.poll_interval;
        match decision {
            Decision::Keep => {}
            Decision::Wait(time) => return time.min(poll_interval),
            Decision::Refuse(refusal) => self.log_refusal(&refusal),
            Decision::Adopt(inventory) => self.adopt(&inventory),
        }
        poll_interval
    }

    fn adopt(&mut self, inventory: &Inventory) {
        self.adopted_versions += 1;
        let version = inventory.version.unwrap_or(self.adopted_versions);
        log("inventory", format_args!("version {version} adopted, {} nodes", inventory.nodes.len()));
        let endpoints = inventory.nodes.iter().map(listed_endpoint).collect();
        self.events.push(HostEvent::EndpointUpdate { complete: true, endpoints, version: Some(version) });
        self.adopted.notify_one();
    }

    fn log_refusal(&self, refusal: &Refusal) {
        let path = self.source.path.display();
        let kept = if self.adopted_versions > 0 {
            "the previous version stays in use"
        } else {
            "no version is adopted yet"
        };
        log("inventory", format_args!("{path}: not adopted, {kept}: {refusal}"));
        if let Refusal::Faults(faults) = refusal {
            for fault in faults.iter().skip(1).take(MAX_LOGGED_FAULTS) {
                log("inventory", fault);
            }
        }
    }
}

/// Converts a node to an endpoint of the host. A node of weight 0 counts as draining, so that it gets no new requests.
fn listed_endpoint(node: &Node) -> ListedEndpoint {
    let state = match node.state {
        State::InService if node.weight > 0.0 => EndpointState::InService,
        State::InService | State::Terminating => EndpointState::Draining,
        State::Terminated => EndpointState::Removed,
    };
    let entry = EndpointEntry {
        id: node.id.as_str().into(),
        address: Some(node.address),
        zone: node.zone.as_str().into(),
        machine_type: node.kind.as_str().into(),
        cell: node.cell,
        state,
        weight: node.weight,
        started_at: node.started_ms.map(|at| at as f64 / MILLISECONDS_PER_SECOND),
    };
    ListedEndpoint { entry, address: node.address }
}
