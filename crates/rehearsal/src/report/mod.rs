//! The report of a rehearsal: on the terminal, as JSON and as one HTML page.

mod html;
mod text;

pub use html::page;
pub use text::summary;

use crate::history::{Event, Process};
use crate::ledger::{Judgement, RULES};
use crate::rehearsal::Outcome;
use crate::scenario::Scenario;
use crate::schedule::{seconds, Micros};
use serde::Serialize;

/// The version of the JSON's form; it changes when a field changes its meaning or goes.
pub const SCHEMA: u32 = 1;

/// A fault as it was played.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    /// Its number.
    pub id: u32,
    /// Kind and victim.
    pub label: String,
    /// When it began, in seconds from when clients began.
    pub at_s: f64,
    /// How long it lasted, for what lasts.
    pub for_s: Option<f64>,
    /// How strong it was; what it means goes with the kind.
    pub size: f64,
}

/// What a process had used by a time.
#[derive(Clone, Debug, Serialize)]
pub struct Sample {
    /// When, in seconds.
    pub at_s: f64,
    /// Share of a core since the sample before.
    pub cores: f64,
    /// Resident memory.
    pub memory_kb: u64,
    /// Open descriptors.
    pub descriptors: u32,
}

/// A limiter's processes.
#[derive(Clone, Debug, Serialize)]
pub struct LimiterUse {
    /// Its name.
    pub name: String,
    /// How often it was started.
    pub starts: usize,
    /// CPU time of all its processes, as far as it was sampled.
    pub cpu_s: f64,
    /// The most memory.
    pub memory_kb: u64,
    /// The most descriptors.
    pub descriptors: u32,
    /// Second by second.
    pub samples: Vec<Sample>,
}

/// The whole report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The version of this form.
    pub schema: u32,
    /// Name of the scenario, and what it shows.
    pub scenario: String,
    /// What it shows.
    pub about: String,
    /// The seed.
    pub seed: u64,
    /// What started a limiter.
    pub command: String,
    /// For how long clients asked, in seconds.
    pub length_s: f64,
    /// The rules by their numbers, from 1.
    pub rules: Vec<&'static str>,
    /// The judgement.
    #[serde(flatten)]
    pub judgement: Judgement,
    /// What went wrong, by time.
    pub faults: Vec<Played>,
    /// The limiters' processes.
    pub limiters: Vec<LimiterUse>,
    /// CPU time of the kit itself, in seconds.
    pub kit_cpu_s: f64,
}

impl Report {
    /// Of an outcome.
    pub fn new(scenario: &Scenario, command: &str, outcome: &Outcome) -> Report {
        let faults = outcome.schedule.faults.iter().map(|f| Played {
            id: f.id,
            label: f.label(scenario),
            at_s: seconds(f.at),
            for_s: f.lasts(),
            size: f.size,
        });
        let limiters = scenario.limiter_names().into_iter().enumerate();
        let kit = outcome.history.iter().rev().find_map(|e| match e.event {
            Event::KitUsage { cpu } => Some(seconds(cpu)),
            _ => None,
        });
        Report {
            schema: SCHEMA,
            scenario: scenario.name.clone(),
            about: scenario.about.clone(),
            seed: outcome.schedule.seed,
            command: command.to_string(),
            length_s: scenario.length_s,
            rules: RULES.to_vec(),
            judgement: outcome.judgement.clone(),
            faults: faults.collect(),
            limiters: limiters.map(|(n, name)| limiter_use(outcome, n as u16, name)).collect(),
            kit_cpu_s: kit.unwrap_or_default(),
        }
    }

    /// The exit code that goes with the verdict.
    pub fn exit_code(&self) -> u8 {
        match self.judgement.verdict {
            crate::ledger::Verdict::Kept => 0,
            crate::ledger::Verdict::Broken => 1,
            crate::ledger::Verdict::Unjudged => 3,
        }
    }
}

fn limiter_use(outcome: &Outcome, index: u16, name: String) -> LimiterUse {
    let mut all =
        LimiterUse { name, starts: 0, cpu_s: 0.0, memory_kb: 0, descriptors: 0, samples: Vec::new() };
    let mut last: Option<(Micros, Micros)> = None;
    for entry in &outcome.history {
        match entry.event {
            Event::Limiter { limiter, what: Process::Started } if limiter == index => {
                all.starts += 1;
                last = Some((entry.at, 0));
            }
            Event::Usage { limiter, cpu, memory_kb, descriptors } if limiter == index => {
                let (before, used) = last.unwrap_or((entry.at, 0));
                let more = seconds(cpu.saturating_sub(used));
                let time = seconds(entry.at - before);
                all.cpu_s += more;
                all.memory_kb = all.memory_kb.max(memory_kb);
                all.descriptors = all.descriptors.max(descriptors);
                // Ticks of 10 ms say nothing of less than a good part of a second.
                if time > 0.5 {
                    let (at_s, cores) = (seconds(entry.at), more / time);
                    all.samples.push(Sample { at_s, cores, memory_kb, descriptors });
                }
                last = Some((entry.at, cpu));
            }
            _ => {}
        }
    }
    all
}
