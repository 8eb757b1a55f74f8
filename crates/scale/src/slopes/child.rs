//! Jobs that are measured in a process of their own.

use super::process::{MeasureError, Reading};
use super::{gossip, list_memory, settings, tenants};
use clap::ValueEnum;

/// What a child process measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ChildKind {
    /// Memory of a limiter that was fed a list of servers.
    LimiterList,
    /// Memory of a catalog of servers.
    CatalogList,
    /// Largest memory while a whole list in JSON is taken in.
    ListIntake,
    /// Memory of a limiter that has seen so many tenants.
    TenantMemory,
    /// Memory of a limiter with so many classes and plans.
    SettingsMemory,
    /// Traffic and state of so many members.
    Gossip,
}

/// One job.
#[derive(Clone, Copy, Debug)]
pub struct ChildJob {
    /// What is measured.
    pub kind: ChildKind,
    /// At which size.
    pub size: usize,
    /// Limiters that each tenant comes through, where that matters.
    pub width: u32,
    /// Seed of all that is drawn.
    pub seed: u64,
}

impl ChildJob {
    /// The arguments by which the same program runs this job.
    pub fn arguments(&self) -> Vec<String> {
        let kind = self.kind.to_possible_value().map(|v| v.get_name().to_owned()).unwrap_or_default();
        let mut arguments = vec!["slopes".to_owned(), "--child".to_owned(), kind];
        let numbers = [("--size", self.size as u64), ("--width", self.width.into()), ("--seed", self.seed)];
        for (flag, value) in numbers {
            arguments.extend([flag.to_owned(), value.to_string()]);
        }
        arguments
    }

    /// Runs the job in this process.
    ///
    /// # Errors
    /// The measurement failed.
    pub fn run(&self) -> Result<Vec<Reading>, MeasureError> {
        match self.kind {
            ChildKind::LimiterList => list_memory::limiter(self.size, self.seed),
            ChildKind::CatalogList => list_memory::catalog(self.size, self.seed),
            ChildKind::ListIntake => list_memory::intake(self.size, self.seed),
            ChildKind::TenantMemory => tenants::memory(self.size, self.width, self.seed),
            ChildKind::SettingsMemory => settings::memory(self.size),
            ChildKind::Gossip => gossip::play(self.size, self.seed),
        }
    }
}
