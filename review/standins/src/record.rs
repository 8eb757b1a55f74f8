//! The record of a case: what was sent, answered and run, with times from its start.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Collects the lines of the record; cheap to clone.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Default for Record {
    fn default() -> Self {
        Record { started_at: Instant::now(), lines: Arc::default() }
    }
}

impl Record {
    /// The time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Adds a line with the present time.
    pub fn note(&self, line: impl Into<String>) {
        let now = self.now();
        self.lines.lock().expect("the record").push((now, line.into()));
    }

    /// Writes all lines to a file, ordered by time.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().expect("the record").clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String =
            lines.iter().map(|(at, line)| format!("{:8.3} s  {line}\n", at.as_secs_f64())).collect();
        fs::write(path, text)
    }
}
