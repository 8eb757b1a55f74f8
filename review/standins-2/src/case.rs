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

/// Settings like those of a small deployment. `classes` is the JSON text of the classes.
pub fn settings(me: u32, peers: u32, classes: &str) -> String {
    format!(
        r#"{{"me":{me},"peers-total":{peers},"zone":"room-a","areas":["room-a","room-b"],"period-s":0.002,"discovery":"pushed",
"classes":{classes},
"tariffs":[{{"name":"network","rate":200.0,"depth":400.0,"open":0,"pays":1.6,"extra-worth":0.0,"excess-cost":0.6,"hard-rate":0.0,"hard-burst":0.0,"cap-slack":0.0}}],
"family-info":{{"has-counter":true,"count-limit-s":0.05,"max-units":4,"post-paid":false}},
"invariants":{{"drain-grace-s":0.25,"fall-multiple":3.0,"grace-to-answer-s":0.008,"must-ask-in-s":10.0,"overload-for-s":2.0,"ramp-time-s":18.0,"start-capacity":0.21}},
"limits":{{"cancel":true,"connect-timeout-s":0.25,"idle-close-s":15.0,"max-attempts":5,"max-open":20000,"max-retry-after-s":2.0,"may-probe":true,"retry-after":true,"second-copies":false}}}}"#
    )
}
