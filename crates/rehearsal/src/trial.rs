//! The judge on trial: rehearsals with limiters that do wrong on purpose, whose own lists of what they did are held
//! against what the judge accuses them of.

use crate::ledger::{Break, Verdict};
use crate::rehearsal::{rehearse, scratch, Options};
use crate::scenario::Scenario;
use crate::standin::rogue::{read_records, Committed, Violation};
use serde::Serialize;
use std::fmt::Write as _;
use std::io;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Found in so many of a hundred: what a size must reach to count as one that is found.
const SURE: f64 = 0.95;
/// And so many at least, to say so.
const ENOUGH: usize = 10;

/// How one kind of violation fared.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    /// The kind, or two of them.
    pub kind: String,
    /// Plays, and those that could not be judged, which count for nothing else.
    pub plays: usize,
    /// Plays that could not be judged.
    pub unjudged: usize,
    /// Wrongs that were committed.
    pub committed: usize,
    /// Those of a size that the judge's tolerances do not cover, and those of them that were accused.
    pub due: usize,
    /// Those that were accused.
    pub accused: usize,
    /// All accusations, and those that name a violation that was committed.
    pub accusations: usize,
    /// Those that name a violation that was committed.
    pub named: usize,
    /// The smallest size from which on 95 of 100 wrongs were accused; none where there is none, or too few.
    pub smallest: Option<f64>,
    /// What a size is.
    pub unit: String,
    /// The first wrongs that were overlooked.
    pub overlooked: Vec<String>,
    /// The first accusations that nothing explains.
    pub unfounded: Vec<String>,
    /// Why plays could not be judged.
    pub not_judged: Vec<String>,
    #[serde(skip)]
    sizes: Vec<(f64, bool)>,
}

impl Row {
    /// Accused of those that should have been.
    pub fn recall(&self) -> f64 {
        if self.due == 0 {
            1.0
        } else {
            self.accused as f64 / self.due as f64
        }
    }

    /// Accusations that name a violation that was committed.
    pub fn precision(&self) -> f64 {
        if self.accusations == 0 {
            1.0
        } else {
            self.named as f64 / self.accusations as f64
        }
    }
}

/// Whether an accusation names the request that a violation was done to.
fn names_request(b: &Break, violation: &Committed) -> bool {
    violation.id.is_some_and(|id| b.request.as_deref() == Some(&format!("{id:016x}")))
}

/// Whether it is of the limits of the partner for whom a violation was done.
fn of_customer(b: &Break, violation: &Committed) -> bool {
    b.rule == 5 && violation.customer.is_some_and(|c| b.what.contains(&format!("customer {c:016x}")))
}

/// Whether an accusation is of this violation.
fn accuses(b: &Break, violation: &Committed) -> bool {
    match violation.kind {
        Violation::ColdPush => b.rule == 4,
        Violation::Ceiling | Violation::AtOnce => of_customer(b, violation),
        kind => names_request(b, violation) && kind.about().rules.contains(&b.rule),
    }
}

/// Whether an accusation follows from this violation, be it by another rule: a second attempt draws units too, and what a
/// rogue sends by itself its limiter does not count against the partner's quota.
fn follows(b: &Break, violation: &Committed) -> bool {
    names_request(b, violation) || accuses(b, violation) || of_customer(b, violation)
}

/// Enters what one play came to.
pub fn enter(row: &mut Row, committed: &[Committed], breaks: &[Break]) {
    for violation in committed.iter().filter(|violation| !violation.unmeant) {
        row.committed += 1;
        let found = breaks.iter().any(|b| accuses(b, violation));
        row.sizes.push((violation.size, found));
        if violation.size >= violation.kind.about().from {
            row.due += 1;
            row.accused += usize::from(found);
            if !found && row.overlooked.len() < 3 {
                row.overlooked.push(format!("overlooked: {violation:?}"));
            }
        }
    }
    row.accusations += breaks.len();
    for b in breaks {
        let named = committed.iter().any(|violation| follows(b, violation));
        row.named += usize::from(named);
        if !named && row.unfounded.len() < 3 {
            row.unfounded.push(format!("accused of nothing: rule {}, {:?}, {}", b.rule, b.request, b.what));
        }
    }
}

/// The smallest size from which on enough wrongs were accused.
fn smallest(mut sizes: Vec<(f64, bool)>) -> Option<f64> {
    sizes.sort_by(|a, b| b.0.total_cmp(&a.0));
    let (mut found, mut smallest) = (0, None);
    for (n, (size, accused)) in sizes.iter().enumerate() {
        found += usize::from(*accused);
        if *accused && n + 1 >= ENOUGH && found as f64 >= SURE * (n + 1) as f64 {
            smallest = Some(*size);
        }
    }
    smallest
}

/// What is tried.
pub struct Trial {
    /// This program, as a shell word.
    pub exe: String,
    /// What starts a right limiter.
    pub daemon: String,
    /// The scenario that is played.
    pub scenario: Scenario,
    /// Kinds, each alone or two together.
    pub kinds: Vec<Vec<Violation>>,
    /// Seeds of each.
    pub seeds: std::ops::RangeInclusive<u64>,
    /// Plays at a time.
    pub at_once: usize,
}

impl Trial {
    /// Plays all of it: a row for each kind.
    ///
    /// # Errors
    /// A play cannot be set up, or a list cannot be read.
    pub async fn hold(&self) -> io::Result<Vec<Row>> {
        let name = |kinds: &[Violation]| kinds.iter().map(|k| k.name()).collect::<Vec<_>>().join(" and ");
        let row = |kinds: &Vec<Violation>| {
            let unit = kinds.first().map_or("", |k| k.about().unit).to_string();
            Row { kind: name(kinds), unit, ..Row::default() }
        };
        let mut rows: Vec<Row> = self.kinds.iter().map(row).collect();
        let mut due: Vec<(usize, u64)> =
            self.seeds.clone().flat_map(|s| (0..rows.len()).map(move |n| (n, s))).collect();
        due.reverse();
        let mut running = JoinSet::new();
        loop {
            while running.len() < self.at_once.max(1) {
                let Some((n, seed)) = due.pop() else { break };
                let command = self.command(&self.kinds[n], seed);
                let mut scenario = self.scenario.clone();
                self.kinds[n].iter().for_each(|kind| kind.prepare(&mut scenario));
                running.spawn(async move { (n, play(scenario, command, seed).await) });
            }
            let Some(ended) = running.join_next().await else { break };
            let (n, played) = ended.map_err(io::Error::other)?;
            let (committed, breaks, unjudged) = played?;
            rows[n].plays += 1;
            match unjudged {
                Some(why) => {
                    rows[n].unjudged += 1;
                    rows[n].not_judged.push(why);
                }
                None => enter(&mut rows[n], &committed, &breaks),
            }
        }
        for row in &mut rows {
            row.smallest = smallest(std::mem::take(&mut row.sizes));
        }
        Ok(rows)
    }

    fn command(&self, kinds: &[Violation], seed: u64) -> String {
        let kinds: Vec<_> = kinds.iter().map(|k| format!("--kind {}", k.name())).collect();
        format!("{} stand-in rogue {} --seed {seed} --limiter \"{}\"", self.exe, kinds.join(" "), self.daemon)
    }
}

type Played = (Vec<Committed>, Vec<Break>, Option<String>);

async fn play(scenario: Scenario, command: String, seed: u64) -> io::Result<Played> {
    let folder = scratch()?;
    let (_hold, interrupted) = watch::channel(false);
    let command = format!("{command} --wrongs '{}'", folder.display());
    let commands = vec![command];
    let options = Options { seed, commands, folder: folder.clone(), trouble: Arc::default(), interrupted };
    let outcome = rehearse(scenario, options, None, |_| {}).await;
    let committed = read_records(&folder);
    let _ = std::fs::remove_dir_all(&folder);
    let judgement = outcome?.judgement;
    // A run with breaks is broken, whatever else is said of it; one that is merely in doubt has found what it found.
    let busy =
        judgement.unjudged.filter(|_| judgement.verdict == Verdict::Unjudged && judgement.doubts.is_empty());
    Ok((committed.map_err(io::Error::other)?, judgement.breaks, busy))
}

/// The table, as text.
pub fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:30} {:>9} {:>6} {:>7} {:>11} {:>10}  found from\n",
        "wrong", "committed", "due", "recall", "accusations", "precision"
    );
    for row in rows {
        let smallest = row.smallest.map_or("-".into(), |s| format!("{s:.2} {}", row.unit));
        let _ = writeln!(
            text,
            "{:30} {:>9} {:>6} {:>7.3} {:>11} {:>10.3}  {smallest}{}",
            row.kind,
            row.committed,
            row.due,
            row.recall(),
            row.accusations,
            row.precision(),
            if row.unjudged > 0 {
                format!(" ({} of {} not judged)", row.unjudged, row.plays)
            } else {
                String::new()
            }
        );
    }
    text
}

/// The table, as one HTML page.
pub fn page(rows: &[Row]) -> String {
    let mut text = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>The judge on trial</title>\
         <style>body{font:15px sans-serif;margin:2em}td,th{padding:.3em .8em;text-align:right}\
         td:first-child,th:first-child{text-align:left}tr:nth-child(even){background:#f3f3f3}</style>\
         <h1>The judge on trial</h1><table><tr><th>wrong<th>committed<th>beyond tolerance<th>recall<th>accusations\
         <th>precision<th>found in 95 of 100 from</tr>",
    );
    for row in rows {
        let smallest = row.smallest.map_or("-".into(), |s| format!("{s:.2} {}", row.unit));
        let _ = write!(
            text,
            "<tr><td>{}<td>{}<td>{}<td>{:.3}<td>{}<td>{:.3}<td>{smallest}</tr>",
            row.kind,
            row.committed,
            row.due,
            row.recall(),
            row.accusations,
            row.precision()
        );
    }
    text.push_str("</table>\n");
    text
}

/// Whether a scenario can be tried: wrongs of some kinds need plans and classes of certain names.
///
/// # Errors
/// What is missing.
pub fn fits(scenario: &Scenario) -> Result<(), String> {
    let plans: Vec<_> = scenario.plans.iter().map(|p| p.name.as_str()).collect();
    let classes: Vec<_> = scenario.classes.iter().map(|c| c.name.as_str()).collect();
    for (what, found, expected) in
        [("plan", &plans, &["free", "tight", "capped"]), ("class", &classes, &["quote", "bind", "once"])]
    {
        if let Some(missing) = expected.iter().find(|name| !found.contains(name)) {
            return Err(format!("no {what} {missing:?}, expected {}", expected.join(", ")));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn wrong(kind: Violation, id: u64, size: f64) -> Committed {
        Committed::meant(kind, Some(id), Some(7), size)
    }

    fn accusation(rule: u8, id: u64, what: &str) -> Break {
        Break { rule, at: 0, request: Some(format!("{id:016x}")), what: what.into(), proof: Vec::new() }
    }

    #[test]
    fn recall_counts_what_tolerances_do_not_cover_and_precision_what_was_not_done() {
        let mut row = Row::default();
        let committed = [
            wrong(Violation::LateAnswer, 1, 20.0),
            wrong(Violation::LateAnswer, 2, 200.0),
            wrong(Violation::LateAnswer, 3, 300.0),
        ];
        let breaks =
            [accusation(1, 2, "late"), accusation(2, 9, "nothing"), accusation(2, 3, "by another rule")];
        enter(&mut row, &committed, &breaks);
        assert_eq!((row.committed, row.due, row.accused, row.recall()), (3, 2, 1, 0.5));
        assert_eq!((row.accusations, row.named), (3, 2), "what follows from a wrong is no false accusation");
        assert_eq!((row.overlooked.len(), row.unfounded.len()), (1, 1), "{row:?}");
    }

    #[test]
    fn an_answer_that_the_machine_made_late_is_rightly_accused_and_need_not_be_found() {
        let busy = |id| Committed { unmeant: true, ..wrong(Violation::LateAnswer, id, 90.0) };
        let (mut row, mut without) = (Row::default(), Row::default());
        enter(&mut row, &[busy(1), busy(2)], &[accusation(1, 2, "late")]);
        assert_eq!((row.committed, row.due, row.accusations, row.named), (0, 0, 1, 1));
        enter(&mut without, &[], &[accusation(1, 2, "late")]);
        assert_eq!(without.named, 0);
    }

    #[test]
    fn wrongs_of_partners_and_nodes_are_known_by_those() {
        let ceiling = Committed::meant(Violation::Ceiling, None, Some(0x2a), 1.0);
        let said = accusation(5, 8, "customer 000000000000002a is 9 units beyond its ceiling");
        assert!(accuses(&said, &ceiling));
        assert!(!accuses(&accusation(5, 8, "customer 000000000000002b is beyond"), &ceiling));
        let cold = Committed::meant(Violation::ColdPush, None, None, 100.0);
        assert!(accuses(&accusation(4, 8, "cold s-1"), &cold) && !accuses(&said, &cold));
    }

    #[test]
    fn a_size_counts_as_found_from_where_on_nearly_all_larger_ones_are() {
        let sizes = |from: f64| (1..=100).map(|n| (f64::from(n), f64::from(n) >= from)).collect();
        assert_eq!(smallest(sizes(40.0)), Some(40.0));
        assert_eq!(smallest(sizes(95.0)), None, "too few were found to say so");
        assert_eq!(smallest(Vec::new()), None);
    }
}
