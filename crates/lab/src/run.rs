//! Runs experiments over all cores; what is finished is on disk.

use crate::experiment::Experiment;
use crate::responses::respond;
use crate::results::{Results, Run, Writer};
use crate::stats;
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Every cell has the seeds that it needs.
    Done,
    /// It was interrupted, or its time was up.
    Stopped,
}

/// Runs that a cell still needs, in the next round: at least the least, then half as many again as long as the interval is
/// too wide.
fn wanted(e: &Experiment, values: &[(u64, f64)]) -> Vec<u64> {
    let have: Vec<u64> = values.iter().map(|(seed, _)| *seed).collect();
    let count = have.len() as u64;
    let enough = || {
        let values: Vec<f64> = values.iter().map(|(_, value)| *value).collect();
        e.seeds.until <= 0.0 || stats::mean(&values).half <= e.seeds.until
    };
    let until = match count {
        n if n < e.seeds.least => e.seeds.least,
        n if n >= e.seeds.most || enough() => return Vec::new(),
        n => (n + n / 2).clamp(n + 1, e.seeds.most),
    };
    (0..until).map(|n| e.seeds.first + n).filter(|seed| !have.contains(seed)).collect()
}

/// Runs what is not in `done` yet. `told` hears of each finished run and how many are known to be left.
///
/// # Errors
/// A run cannot be played or written.
pub fn run(
    e: &Experiment,
    done: &Results,
    writer: &mut Writer,
    budget: Option<Duration>,
    stop: &AtomicBool,
    told: impl Fn(&Run, usize) + Sync,
) -> Result<Ended, String> {
    let began = Instant::now();
    let late = || stop.load(Ordering::SeqCst) || budget.is_some_and(|budget| began.elapsed() >= budget);
    let mut known: Vec<BTreeMap<u64, f64>> = vec![BTreeMap::new(); e.cells.len()];
    for run in &done.runs {
        if let (Some(cell), Some(value)) = (known.get_mut(run.cell), run.responses.get(e.watched())) {
            cell.insert(run.seed, *value);
        }
    }
    loop {
        let of = |cell: usize| known[cell].iter().map(|(seed, value)| (*seed, *value)).collect::<Vec<_>>();
        // By seed first: what there is after an interruption is spread over the cells.
        let mut due: Vec<(u64, usize)> = (0..e.cells.len())
            .flat_map(|cell| wanted(e, &of(cell)).into_iter().map(move |seed| (seed, cell)))
            .collect();
        due.sort_unstable();
        if due.is_empty() {
            return Ok(Ended::Done);
        }
        let left = Mutex::new((due.len(), &mut *writer, &mut known));
        let failed = due
            .par_iter()
            .map(|(seed, cell)| {
                if late() {
                    return Ok(());
                }
                let Some(of) = e.cells.get(*cell) else { return Ok(()) };
                let responses = respond(&of.scenario, &of.figures, *seed)?;
                let run = Run { cell: *cell, seed: *seed, responses };
                let mut left = left.lock().unwrap_or_else(PoisonError::into_inner);
                left.1.add(&run).map_err(|e| format!("a run cannot be written: {e}"))?;
                left.0 -= 1;
                if let Some(value) = run.responses.get(e.watched()) {
                    left.2[*cell].insert(*seed, *value);
                }
                told(&run, left.0);
                Ok(())
            })
            .find_any(Result::is_err);
        if let Some(Err(why)) = failed {
            return Err(why);
        }
        let (rest, ..) = left.into_inner().unwrap_or_else(PoisonError::into_inner);
        if rest > 0 {
            return Ok(Ended::Stopped);
        }
    }
}
