//! The frame of a case: the record, a private folder, the exit code, and the limit of time.

use crate::record::Record;
use std::env;
use std::fs;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread;
use std::time::Duration;

/// No run takes longer; the limiters die with this process.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// What a case found.
pub enum Finding {
    /// The rule held.
    Held,
    /// The rule was broken; the text says how.
    Broken(String),
}

/// What a case gets.
pub struct Case {
    pub record: Record,
    /// A private folder, removed at the end.
    pub folder: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn run(case: impl FnOnce(&Case) -> Result<Finding, String>) -> ! {
    let Some(path) = env::args().nth(1) else {
        eprintln!("usage: case RECORD, from the root of the project");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(&path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            exit(2);
        }
    };
    let folder = env::temp_dir().join(format!("liftrouter-review-2-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&folder) {
        eprintln!("{}: {error}", folder.display());
        exit(2);
    }
    {
        let folder = folder.clone();
        thread::spawn(move || {
            thread::sleep(TIME_LIMIT);
            eprintln!("the case took too long");
            let _ = fs::remove_dir_all(&folder);
            exit(2);
        });
    }
    record.line(if trouble { "with the disruption" } else { "TROUBLE=0: without the disruption" });
    let given = Case { record: record.clone(), folder: folder.clone(), trouble };
    let result = catch_unwind(AssertUnwindSafe(|| case(&given)));
    let _ = fs::remove_dir_all(&folder);
    let (code, text) = match result {
        Ok(Ok(Finding::Held)) => (0, "the rule held".to_string()),
        Ok(Ok(Finding::Broken(text))) => (1, format!("the rule was broken: {text}")),
        Ok(Err(error)) => (2, format!("the case could not run: {error}")),
        Err(_) => (2, "the case could not run: it panicked".to_string()),
    };
    record.line(&text);
    println!("{text}");
    exit(code)
}
