//! The stand-in configuration tool: keeps an inventory file for each limiter, and rewrites it with every change of
//! the list, each time in another of the ways that tools have. It can leave files damaged or take them away.

use super::list::{Entry, List};
use crate::history::{Event, Listed, Recorder};
use crate::scenario::{self, Through};
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// A writer that is slow stands still for so long in the midst of a file.
const HALF: Duration = Duration::from_millis(40);

/// The ways of writing, which take turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Rename,
    InPlace,
    InHalves,
    Anew,
    LinkSwapped,
    FolderSwapped,
    Burst,
}

const WAYS: [Way; 7] =
    [Way::Rename, Way::InPlace, Way::InHalves, Way::Anew, Way::LinkSwapped, Way::FolderSwapped, Way::Burst];

#[derive(Default)]
struct State {
    damaged: BTreeSet<u32>,
    missing: BTreeSet<u32>,
}

/// The tool.
pub struct Files {
    through: Through,
    padding: usize,
    folder: PathBuf,
    list: Arc<List>,
    recorder: Arc<Recorder>,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Files {
    /// One that keeps files in this form; none at all where limiters ask discovery.
    pub fn new(
        figures: &scenario::List,
        folder: PathBuf,
        list: Arc<List>,
        recorder: Arc<Recorder>,
    ) -> Arc<Files> {
        let (through, padding) = (figures.through, figures.padding);
        let (state, changed) = (Mutex::default(), watch::Sender::new(0));
        Arc::new(Files { through, padding, folder, list, recorder, state, changed })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a limiter's inventory from now on, and gives what its operator file is to say of it.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn keep(self: &Arc<Self>, limiter: u16) -> io::Result<String> {
        let (key, name) = match self.through {
            Through::Discovery => return Ok(String::new()),
            Through::Csv => ("csv", "nodes.csv"),
            Through::Yaml => ("yaml", "nodes.yaml"),
        };
        let folder = self.folder.join(format!("n{limiter}.d"));
        // What an earlier rehearsal left is no version of this one.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder)?;
        let file = folder.join(name);
        let operator = format!("[inventory]\n{key} = '{}'\nmost_removed = 1.0\n", file.display());
        let (version, entries) = self.list.snapshot();
        std::fs::write(&file, self.text(limiter, version, &entries))?;
        self.wrote(limiter, version, &entries);
        tokio::spawn(self.clone().follow(limiter, file));
        Ok(operator)
    }

    async fn follow(self: Arc<Self>, limiter: u16, file: PathBuf) {
        let (mut list, mut own) = (self.list.changes(), self.changed.subscribe());
        let mut last = *list.borrow_and_update();
        let mut writes = usize::from(limiter);
        let mut spoilt = false;
        loop {
            tokio::select! {
                _ = list.changed() => {}
                _ = own.changed() => {}
            }
            let (version, entries) = self.list.snapshot();
            let (damaged, missing) = {
                let state = self.state();
                (!state.damaged.is_empty(), !state.missing.is_empty())
            };
            let text = self.text(limiter, version, &entries);
            let way = WAYS[writes % WAYS.len()];
            writes += 1;
            if missing || damaged {
                self.recorder.note(Event::Spoilt { limiter });
            }
            let done = if missing {
                std::fs::remove_file(&file).or_else(|e| match e.kind() {
                    io::ErrorKind::NotFound => Ok(()),
                    _ => Err(e),
                })
            } else if damaged {
                put(&file, &damage(&text, writes), Way::Rename).await
            } else if version != last || spoilt {
                put(&file, &text, way).await
            } else {
                continue;
            };
            done.expect("an inventory file can be written");
            spoilt = damaged || missing;
            if !spoilt {
                last = version;
                self.wrote(limiter, version, &entries);
            }
        }
    }

    fn wrote(&self, limiter: u16, version: u64, entries: &[Entry]) {
        let serving = entries.iter().filter(|e| e.state == Listed::InService);
        let nodes = serving.map(|e| e.node).collect();
        self.recorder.note(Event::Written { limiter, version, nodes });
        for e in entries {
            self.recorder.note(Event::Told { limiter, node: e.node, life: e.life, state: e.state });
        }
    }

    fn text(&self, limiter: u16, version: u64, entries: &[Entry]) -> String {
        let mut text = String::new();
        let yaml = self.through == Through::Yaml;
        let lead = if yaml { "" } else { "# " };
        let _ = writeln!(
            text,
            "{lead}version: {version}\n{lead}count: {}\n{lead}removal: allowed",
            entries.len() + self.padding
        );
        text.push_str(if yaml { "nodes:\n" } else { "id,address,zone,kind,cell,state,weight,started_ms\n" });
        for e in entries {
            let state = if e.state == Listed::InService { "in_service" } else { "terminating" };
            let (node, address) = (e.node, e.addresses[usize::from(limiter)]);
            let _ = if yaml {
                writeln!(
                    text,
                    "- {{id: s-{node}, address: '{address}', zone: {}, kind: std, cell: {}, state: {state}, \
                     weight: {}, started_ms: {}}}",
                    e.zone, e.cell, e.weight, e.started_ms
                )
            } else {
                writeln!(
                    text,
                    "s-{node},{address},{},std,{},{state},{},{}",
                    e.zone, e.cell, e.weight, e.started_ms
                )
            };
        }
        for n in 0..self.padding {
            let address = format!("127.1.{}.{}:{}", n >> 8 & 255, n & 255, 1 + (n >> 16));
            let _ = if yaml {
                writeln!(
                    text,
                    "- {{id: p-{n}, address: '{address}', zone: room-a, kind: std, cell: 0, state: terminating, \
                     weight: 1}}"
                )
            } else {
                writeln!(text, "p-{n},{address},room-a,std,0,terminating,1,")
            };
        }
        text
    }

    /// A fault begins: files are damaged from now on.
    pub fn damage(&self, fault: u32) {
        self.state().damaged.insert(fault);
        self.changed.send_modify(|n| *n += 1);
    }

    /// A fault begins: there are no files.
    pub fn remove(&self, fault: u32) {
        self.state().missing.insert(fault);
        self.changed.send_modify(|n| *n += 1);
    }

    /// What this fault did is over: files are written as they should be.
    pub fn undo(&self, fault: u32) {
        let struck = {
            let mut state = self.state();
            state.damaged.remove(&fault) | state.missing.remove(&fault)
        };
        if struck {
            self.changed.send_modify(|n| *n += 1);
        }
    }
}

/// A text that must not be adopted: a half, a wrong word, none of the nodes, nothing at all.
fn damage(text: &str, nth: usize) -> String {
    match nth % 4 {
        0 => text[..text.len() / 2].to_string(),
        1 => text.replace("in_service", "in service"),
        2 => text.lines().take(4).map(|l| format!("{l}\n")).collect(),
        _ => String::new(),
    }
}

/// Numbers the folders that are swapped.
static NEXT: AtomicU64 = AtomicU64::new(0);

async fn put(file: &Path, text: &str, way: Way) -> io::Result<()> {
    let folder = file.parent().unwrap_or(Path::new("."));
    let name = file.file_name().unwrap_or_default();
    let swap = |target: &Path, at: &Path| {
        let new = folder.join("..new");
        let _ = std::fs::remove_file(&new);
        std::os::unix::fs::symlink(target, &new)?;
        std::fs::rename(&new, at)
    };
    // A folder for each writing, so that what is read meanwhile stays as it was.
    let fresh = || {
        let spare = folder.join(format!("..{}", NEXT.fetch_add(1, Ordering::Relaxed)));
        std::fs::create_dir_all(&spare)?;
        std::fs::write(spare.join(name), text).map(|()| spare)
    };
    // In place means in the file that is read: a link left by another way is replaced by a file first.
    let plain = |text: &str| {
        if file.is_symlink() {
            std::fs::remove_file(file)?;
        }
        std::fs::write(file, text)
    };
    match way {
        Way::Rename => {
            let new = file.with_extension("new");
            std::fs::write(&new, text)?;
            std::fs::rename(new, file)
        }
        Way::InPlace => plain(text),
        Way::InHalves => {
            plain(&text[..text.len() / 2])?;
            sleep(HALF).await;
            plain(text)
        }
        Way::Anew => {
            let _ = std::fs::remove_file(file);
            std::fs::write(file, text)
        }
        Way::LinkSwapped => swap(&fresh()?.join(name), file),
        Way::FolderSwapped => {
            let spare = fresh()?;
            let data = folder.join("..data");
            swap(&spare, &data)?;
            swap(&data.join(name), file)
        }
        Way::Burst => {
            for part in 1..10 {
                plain(&text[..text.len() * part / 10])?;
            }
            plain(text)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn every_way_leaves_the_whole_text_after_every_other() {
        let folder = std::env::temp_dir().join(format!("liftrouter-files-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let file = folder.join("nodes.csv");
        for (n, first) in WAYS.into_iter().enumerate() {
            for (m, second) in WAYS.into_iter().enumerate() {
                let text = format!("text of {n} and {m}, long enough to be cut");
                put(&file, "before, and not as long as what follows", first).await.expect("written");
                put(&file, &text, second).await.expect("written");
                assert_eq!(std::fs::read_to_string(&file).expect("read"), text, "{first:?} then {second:?}");
            }
        }
        std::fs::remove_dir_all(folder).expect("removed");
    }

    #[test]
    fn every_damage_is_another_text() {
        let text = "# version: 1\n# count: 2\n# removal: allowed\nhead\na,in_service\nb,in_service\n";
        let all: BTreeSet<_> = (0..4).map(|n| damage(text, n)).collect();
        assert!(all.len() == 4 && !all.contains(text));
    }
}
