//! The frame of a case: its temporary folder, free ports, and the way in which it ends.

use crate::record::Record;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The verdict of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run.
    Unusable,
}

/// A temporary folder that is removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    /// Creates a folder under the system's temporary folder.
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("liftrouter-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Whether the case plays with its disruption: not with `TROUBLE=0`.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A loopback address whose TCP port is free.
pub fn free_tcp() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// Runs a case and writes its record to the file that the first argument names. A panic counts as unusable.
pub fn run(case: impl FnOnce(&Record) -> Verdict + std::panic::UnwindSafe) -> ExitCode {
    let record = Record::default();
    record.note(if with_trouble() { "plays with its disruption" } else { "plays without its disruption" });
    let copy = record.clone();
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(move || case(&copy)));
    let verdict = verdict.unwrap_or(Verdict::Unusable);
    record.note(format!("verdict: {verdict:?}"));
    let written = std::env::args().nth(1).map(|path| record.write(Path::new(&path)));
    println!("{verdict:?}");
    match (verdict, written) {
        (Verdict::Held, Some(Ok(()))) => ExitCode::SUCCESS,
        (Verdict::Broken, Some(Ok(()))) => ExitCode::from(1),
        _ => ExitCode::from(2),
    }
}
