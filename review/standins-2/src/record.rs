//! The record of a run: what was sent, answered and run, a line each, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A record that all threads of a run share.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// The time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }
}
