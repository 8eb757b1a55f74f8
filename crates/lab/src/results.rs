//! Results on disk: a file that is only ever appended to, a checksum on each line. What a kill leaves is every finished run,
//! and at most one line that was not written whole, which the next reader cuts off.

use crate::experiment::Experiment;
use liftrouter_model::{play, Figures};
use liftrouter_stage::scenario::Scenario;
use liftrouter_stage::schedule::draw;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// The first line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Name of the experiment.
    pub experiment: String,
    /// Checksum of its file and scenario.
    pub mark: u32,
    /// What the model makes of a play of its own: another in any version that behaves otherwise.
    pub model: u32,
    /// Name of each cell.
    pub cells: Vec<String>,
    /// Values by factor, for plots.
    pub factors: Vec<(String, Vec<String>)>,
    /// Responses that the experiment asks for.
    pub responses: Vec<String>,
}

/// A finished run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Its cell.
    pub cell: usize,
    /// Its seed.
    pub seed: u64,
    /// Every response by name.
    pub responses: BTreeMap<String, f64>,
}

/// What a file holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Results {
    /// Its first line.
    pub head: Head,
    /// Finished runs, each once, by cell and seed.
    pub runs: Vec<Run>,
    /// Bytes up to the end of the last whole line.
    pub whole: u64,
}

/// The play by which a model is known.
const PLAY: &str = r#"
name = "mark"
length_s = 6.0
limiters.count = 2
nodes.count = 3
load.tries_per_s = 40.0
class = [{ name = "a", share = 0.6, work_ms = 60.0, aim_ms = 500.0, deadline_ms = 2000.0, worth = 1.0, effect = "safe" },
         { name = "b", share = 0.4, work_ms = 60.0, aim_ms = 500.0, deadline_ms = 3000.0, worth = 2.0, effect = "keyed" }]
plan = [{ name = "p", share = 1.0, rate = 6.0, burst_s = 3.0, price = 1.0, open = 4, ceiling = 2.0 }]
fault = [{ what = "node-killed", at_s = 1.0, for_s = 1.0 }, { what = "keeper-silent", at_s = 2.0, for_s = 1.0 },
         { what = "limiter-killed", at_s = 3.0, for_s = 0.5 }]
"#;

/// The checksum of a small play: decisions, model and ledger's events all go into it.
///
/// # Errors
/// Never, short of a fault of this program.
pub fn model_mark() -> Result<u32, String> {
    let scenario = Scenario::parse("mark", PLAY).map_err(|p| p[0].to_string())?;
    let history = play(&scenario, &draw(&scenario, 1), &Figures::default())?;
    let mut mark = crc32fast::Hasher::new();
    for entry in history {
        mark.update(format!("{entry:?}\n").as_bytes());
    }
    Ok(mark.finalize())
}

impl Head {
    /// That of an experiment with this build's model.
    ///
    /// # Errors
    /// As [`model_mark`].
    pub fn of(e: &Experiment) -> Result<Head, String> {
        Ok(Head {
            experiment: e.name.clone(),
            mark: e.mark,
            model: model_mark()?,
            cells: e.cells.iter().map(|c| c.name.clone()).collect(),
            factors: e
                .factors
                .iter()
                .map(|f| (f.key.clone(), f.values.iter().map(ToString::to_string).collect()))
                .collect(),
            responses: e.responses.clone(),
        })
    }
}

fn line(text: &str) -> String {
    format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes()))
}

fn checked(line: &str) -> Option<&str> {
    let (sum, text) = line.split_once(' ')?;
    (u32::from_str_radix(sum, 16).ok()? == crc32fast::hash(text.as_bytes())).then_some(text)
}

impl Results {
    /// Reads a file. A last line that is not whole is left out; anything else that does not hold its checksum is refused.
    ///
    /// # Errors
    /// It cannot be read, or a line before the last is damaged.
    pub fn read(path: &Path) -> Result<Results, String> {
        let name = path.display();
        let bytes = std::fs::read(path).map_err(|e| format!("{name}: {e}"))?;
        let (mut head, mut runs, mut whole) = (None, Vec::new(), 0u64);
        let mut seen = HashSet::new();
        let lines: Vec<&[u8]> = bytes.split_inclusive(|b| *b == b'\n').collect();
        for (n, raw) in lines.iter().enumerate() {
            let text = std::str::from_utf8(raw).ok().and_then(|t| t.strip_suffix('\n')).and_then(checked);
            let Some(text) = text else {
                if n + 1 == lines.len() && n > 0 {
                    break;
                }
                return Err(format!("{name}:{}: the line does not hold its checksum", n + 1));
            };
            let wrong = |e: serde_json::Error| format!("{name}:{}: {e}", n + 1);
            if n == 0 {
                head = Some(serde_json::from_str(text).map_err(wrong)?);
            } else {
                let run: Run = serde_json::from_str(text).map_err(wrong)?;
                if seen.insert((run.cell, run.seed)) {
                    runs.push(run);
                }
            }
            whole += raw.len() as u64;
        }
        runs.sort_by_key(|run| (run.cell, run.seed));
        let head = head.ok_or_else(|| format!("{name}: it is empty, expected a first line"))?;
        Ok(Results { head, runs, whole })
    }

    /// Values of a response in a cell, by seed.
    pub fn values(&self, cell: usize, response: &str) -> Vec<(u64, f64)> {
        let runs = self.runs.iter().filter(|run| run.cell == cell);
        runs.filter_map(|run| Some((run.seed, *run.responses.get(response)?))).collect()
    }
}

/// Where finished runs are written.
pub struct Writer {
    file: File,
}

impl Writer {
    /// A new file with its first line.
    ///
    /// # Errors
    /// It exists, or cannot be written.
    pub fn create(path: &Path, head: &Head) -> io::Result<Writer> {
        let mut file = OpenOptions::new().write(true).create_new(true).open(path)?;
        file.write_all(line(&serde_json::to_string(head)?).as_bytes())?;
        file.sync_data()?;
        Ok(Writer { file })
    }

    /// A file that goes on after its last whole line.
    ///
    /// # Errors
    /// It is of another experiment, scenario or model, named; or it cannot be written.
    pub fn resume(path: &Path, head: &Head) -> Result<(Writer, Results), String> {
        let name = path.display();
        let results = Results::read(path)?;
        let found = &results.head;
        let other = [
            ("experiment", found.experiment != head.experiment),
            ("version of the experiment or its scenario", found.mark != head.mark),
            ("version of the model", found.model != head.model),
        ];
        if let Some((what, _)) = other.iter().find(|(_, other)| *other) {
            return Err(format!("{name}: its runs are of another {what}: begin a new file"));
        }
        let file = OpenOptions::new().append(true).open(path).map_err(|e| format!("{name}: {e}"))?;
        file.set_len(results.whole).map_err(|e| format!("{name}: {e}"))?;
        Ok((Writer { file }, results))
    }

    /// Adds a finished run: once this returns, a kill does not lose it.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn add(&mut self, run: &Run) -> io::Result<()> {
        self.file.write_all(line(&serde_json::to_string(run)?).as_bytes())?;
        self.file.sync_data()
    }
}
