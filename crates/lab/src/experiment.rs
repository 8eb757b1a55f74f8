//! Experiments in TOML: a base scenario, factors with values, responses, seeds and when to stop. Checked whole before
//! anything runs, each cell with its scenario; every fault names file, line and what was expected.

use crate::responses::RESPONSES;
use liftrouter_model::{fits, Figures};
use liftrouter_stage::scenario::{Problem, Scenario};
use serde::Deserialize;
use std::iter;
use std::path::{Path, PathBuf};
use toml::{Spanned, Table, Value};

/// The most cells of an experiment, and seeds of a cell.
const MOST_CELLS: usize = 10_000;
const MOST_SEEDS: u64 = 100_000;
/// Keys of the model's figures begin with this; all others are the scenario's.
const MODEL: &str = "model.";
/// The key whose values are scenario files, which take the place of the experiment's own.
const SCENARIO: &str = "scenario";

/// The file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    #[serde(default)]
    about: String,
    scenario: Spanned<String>,
    responses: Vec<Spanned<String>>,
    #[serde(default)]
    seeds: Seeds,
    #[serde(default, rename = "factor")]
    factors: Vec<FileFactor>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileFactor {
    key: Spanned<String>,
    values: Spanned<Vec<Value>>,
}

/// Seeds of each cell, and when there are enough.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Seeds {
    /// The first.
    pub first: u64,
    /// So many in any case.
    pub least: u64,
    /// And no more than so many.
    pub most: u64,
    /// Stops between the two once half the 95 % interval of [`Seeds::of`] is no wider than this; 0: at `least`.
    pub until: f64,
    /// The response that is looked at for that; the first where it is empty.
    pub of: String,
}

impl Default for Seeds {
    fn default() -> Self {
        Seeds { first: 1, least: 10, most: 10, until: 0.0, of: String::new() }
    }
}

/// A key that is varied.
#[derive(Clone, Debug, PartialEq)]
pub struct Factor {
    /// Its path: `limiters.count`, `class.price-quote.work_ms`, `fault.0.for_s`, `model.wire_us`; or `scenario`, whose
    /// values are files, each in place of the experiment's own.
    pub key: String,
    /// What it is set to.
    pub values: Vec<Value>,
}

/// One combination of values.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The place of each factor's value.
    pub at: Vec<usize>,
    /// In words: `limiters.count = 3, ...`.
    pub name: String,
    /// The scenario with these values.
    pub scenario: Scenario,
    /// The model's figures with these values.
    pub figures: Figures,
}

/// A checked experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Short name.
    pub name: String,
    /// What it asks, in a sentence.
    pub about: String,
    /// What is varied.
    pub factors: Vec<Factor>,
    /// What is looked at, by name.
    pub responses: Vec<String>,
    /// Seeds.
    pub seeds: Seeds,
    /// Every combination, the last factor varied first.
    pub cells: Vec<Cell>,
    /// Checksum of the file and of its scenario's: what results belong to.
    pub mark: u32,
}

/// Sets a value in a table by its path; in lists the part is a place or an entry's `name` or `what`.
///
/// # Errors
/// Where the path leads nowhere.
fn set(table: &mut Table, path: &str, value: &Value) -> Result<(), String> {
    let (first, rest) = path.split_once('.').map_or((path, None), |(a, b)| (a, Some(b)));
    let Some(rest) = rest else {
        table.insert(first.into(), value.clone());
        return Ok(());
    };
    match table.entry(first).or_insert_with(|| Value::Table(Table::new())) {
        Value::Table(inner) => set(inner, rest, value),
        Value::Array(list) => {
            let (which, rest) =
                rest.split_once('.').ok_or(format!("{path:?} names no key of an entry of {first}"))?;
            let named =
                |v: &Value| ["name", "what"].iter().any(|k| v.get(k).and_then(Value::as_str) == Some(which));
            let nth = which.parse().ok().or_else(|| list.iter().position(named));
            let entry = nth.and_then(|n: usize| list.get_mut(n)).and_then(Value::as_table_mut);
            let entry = entry.ok_or(format!("{first} has no entry {which:?}, by place or by name"))?;
            set(entry, rest, value)
        }
        _ => Err(format!("{first:?} is a value and has no key {rest:?}")),
    }
}

impl Experiment {
    /// Reads and checks a file; its scenario lies beside it, or where its path says from there.
    ///
    /// # Errors
    /// Every problem that was found.
    pub fn read(path: &Path) -> Result<Experiment, Vec<Problem>> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| vec![Problem::whole(&name, format!("cannot be read: {e}"))])?;
        let folder = path.parent().unwrap_or(Path::new("."));
        Experiment::parse(&name, &text, folder)
    }

    /// Parses and checks a text; its scenario's path starts from a folder.
    ///
    /// # Errors
    /// Every problem that was found.
    pub fn parse(file: &str, text: &str, folder: &Path) -> Result<Experiment, Vec<Problem>> {
        let read: File = toml::from_str(text).map_err(|e| vec![Problem::of_toml(file, text, &e)])?;
        let mut problems = Vec::new();
        let mut say = |span, what| problems.push(Problem::at(file, text, Some(span), what));
        for response in &read.responses {
            if !RESPONSES.iter().any(|(name, _)| name == response.get_ref()) {
                let known: Vec<_> = RESPONSES.iter().map(|(name, _)| *name).collect();
                let what = format!("response {:?}, expected one of {}", response.get_ref(), known.join(", "));
                say(response.span(), what);
            }
        }
        if read.responses.is_empty() {
            problems.push(Problem::whole(file, "no responses, expected one at least".into()));
        }
        let s = &read.seeds;
        let known = s.of.is_empty() || read.responses.iter().any(|r| *r.get_ref() == s.of);
        if s.least < 2
            || s.most < s.least
            || s.most > MOST_SEEDS
            || !s.until.is_finite()
            || s.until < 0.0
            || !known
        {
            let what = format!(
                "seeds: least {}, most {}, until {}, of {:?}; expected 2 <= least <= most <= {MOST_SEEDS}, until 0 or \
                 above, and of one of the responses",
                s.least, s.most, s.until, s.of
            );
            problems.push(Problem::whole(file, what));
        }
        let cells: usize = read.factors.iter().map(|f| f.values.get_ref().len()).product();
        for factor in read.factors.iter().filter(|f| f.values.get_ref().is_empty()) {
            let what = format!("no values for {}, expected one at least", factor.key.get_ref());
            problems.push(Problem::at(file, text, Some(factor.values.span()), what));
        }
        if cells > MOST_CELLS {
            problems.push(Problem::whole(file, format!("{cells} cells, expected {MOST_CELLS} at most")));
        }
        let mut bases = Bases::default();
        let scenarios = read.factors.iter().filter(|f| f.key.get_ref() == SCENARIO).flat_map(|f| {
            let span = f.values.span();
            f.values.get_ref().iter().map(move |v| (v.as_str().unwrap_or_default().to_string(), span.clone()))
        });
        for (name, span) in
            iter::once((read.scenario.get_ref().clone(), read.scenario.span())).chain(scenarios)
        {
            let path = folder.join(&name);
            match std::fs::read_to_string(&path) {
                Ok(text) => bases.0.push((name, path, text)),
                Err(e) => {
                    let what = format!("{}: cannot be read: {e}", path.display());
                    problems.push(Problem::at(file, text, Some(span), what));
                }
            }
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        for (_, path, base) in &bases.0 {
            Scenario::parse(&path.display().to_string(), base)?;
        }
        let factors: Vec<Factor> = read
            .factors
            .iter()
            .map(|f| Factor { key: f.key.get_ref().clone(), values: f.values.get_ref().clone() })
            .collect();
        let mut made = Vec::with_capacity(cells);
        for nth in 0..cells {
            match cell(&factors, nth, &bases) {
                Ok(cell) => made.push(cell),
                // The factor whose value does not fit is the first that does not by itself.
                Err(why) => {
                    let alone = |n: usize| single(&factors, n, nth, &bases).is_err();
                    let at = (0..factors.len()).find(|n| alone(*n)).unwrap_or(0);
                    let span = read.factors.get(at).map(|f| f.key.span());
                    problems.push(Problem::at(file, text, span, why));
                    break;
                }
            }
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        let mut mark = crc32fast::Hasher::new();
        mark.update(text.as_bytes());
        bases.0.iter().for_each(|(.., base)| mark.update(base.as_bytes()));
        Ok(Experiment {
            name: read.name,
            about: read.about,
            factors,
            responses: read.responses.into_iter().map(Spanned::into_inner).collect(),
            seeds: read.seeds,
            cells: made,
            mark: mark.finalize(),
        })
    }

    /// The response by which it is decided whether there are enough seeds.
    pub fn watched(&self) -> &str {
        let first = self.responses.first().map_or("", String::as_str);
        if self.seeds.of.is_empty() {
            first
        } else {
            &self.seeds.of
        }
    }
}

fn places(factors: &[Factor], mut nth: usize) -> Vec<usize> {
    let mut at = vec![0; factors.len()];
    for (n, factor) in factors.iter().enumerate().rev() {
        at[n] = nth % factor.values.len().max(1);
        nth /= factor.values.len().max(1);
    }
    at
}

/// The scenarios: name, path and text; the experiment's own first.
#[derive(Default)]
struct Bases(Vec<(String, PathBuf, String)>);

impl Bases {
    /// The one that some values name, else the first.
    fn of(&self, values: &[(&str, &Value)]) -> Result<(&Path, &str), String> {
        let named = values.iter().find(|(key, _)| *key == SCENARIO).map(|(_, value)| value.as_str());
        let found = match named {
            Some(name) => self.0.iter().find(|base| Some(base.0.as_str()) == name),
            None => self.0.first(),
        };
        found.map(|(_, path, text)| (path.as_path(), text.as_str())).ok_or("no such scenario".into())
    }
}

fn cell(factors: &[Factor], nth: usize, bases: &Bases) -> Result<Cell, String> {
    let at = places(factors, nth);
    let values: Vec<(&str, &Value)> =
        factors.iter().zip(&at).map(|(f, v)| (f.key.as_str(), &f.values[*v])).collect();
    let (scenario, figures) = apply(&values, bases)?;
    let words: Vec<String> = values.iter().map(|(key, value)| format!("{key} = {value}")).collect();
    Ok(Cell { at, name: words.join(", "), scenario, figures })
}

fn single(factors: &[Factor], factor: usize, nth: usize, bases: &Bases) -> Result<(), String> {
    let value = &factors[factor].values[places(factors, nth)[factor]];
    apply(&[(&factors[factor].key, value)], bases).map(drop)
}

fn apply(values: &[(&str, &Value)], bases: &Bases) -> Result<(Scenario, Figures), String> {
    let (path, base) = bases.of(values)?;
    let mut scenario: Table = base.parse().map_err(|e: toml::de::Error| e.message().to_string())?;
    let mut figures = Table::try_from(Figures::default()).map_err(|e| e.to_string())?;
    for (key, value) in values.iter().filter(|(key, _)| *key != SCENARIO) {
        let words = format!("{key} = {value}");
        match key.strip_prefix(MODEL) {
            Some(key) if figures.contains_key(key) => drop(figures.insert(key.into(), (*value).clone())),
            Some(key) => {
                let known: Vec<_> = figures.keys().map(String::as_str).collect();
                return Err(format!(
                    "{words}: the model has no {key:?}, expected one of {}",
                    known.join(", ")
                ));
            }
            None => set(&mut scenario, key, value).map_err(|why| format!("{words}: {why}"))?,
        }
    }
    let words = values.iter().map(|(key, value)| format!("{key} = {value}")).collect::<Vec<_>>().join(", ");
    let text = toml::to_string(&scenario).map_err(|e| format!("{words}: {e}"))?;
    let figures: Figures = figures.try_into().map_err(|e| format!("{words}: {}", e.message()))?;
    figures.check().map_err(|why| format!("{words}: {why}"))?;
    let scenario = Scenario::parse(&path.display().to_string(), &text).map_err(|problems| {
        let whats: Vec<_> = problems.into_iter().map(|p| p.what).collect();
        format!("{words}: {}", whats.join("; "))
    })?;
    fits(&scenario).map_err(|why| format!("{words}: {why}"))?;
    Ok((scenario, figures))
}
