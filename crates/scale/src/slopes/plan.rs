//! What is measured for each slope, and at which sizes.

use super::child::{ChildJob, ChildKind};
use super::process::{in_child, MeasureError, Reading};
use super::{decision, list_bytes, quota, settings, tenants, workload};
use clap::ValueEnum;

/// Limiters of one service where each limiter has one service: 7,100 over 1,100, rounded up.
const LIMITERS_OF_A_SERVICE: u32 = 7;

/// One slope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Slope {
    /// Processor time by listed servers, 7,100 limiters.
    Decision,
    /// The same where seven limiters share one service's servers.
    DecisionService,
    /// Memory by listed servers.
    ListMemory,
    /// Bytes of lists by listed servers.
    ListBytes,
    /// Cost of tenants that come through 8 limiters each.
    TenantsW8,
    /// Through 64.
    TenantsW64,
    /// Through all 7,100.
    TenantsW7100,
    /// Quotas by limiters that a tenant comes through.
    Quota,
    /// Gossip by members.
    Gossip,
    /// Start-up and memory by classes and plans.
    Settings,
    /// Time until the last limiter is told, from the study's table.
    DiscoveryCalls,
}

impl Slope {
    /// As it is named on the command line.
    pub fn argument(self) -> String {
        self.to_possible_value().map(|value| value.get_name().to_owned()).unwrap_or_default()
    }

    /// The record's name, and that of its file.
    pub fn record_name(self) -> String {
        format!("slope-{}", self.argument())
    }

    /// What is varied.
    pub fn variable(self) -> &'static str {
        match self {
            Slope::Decision | Slope::DecisionService | Slope::ListMemory | Slope::ListBytes => "servers",
            Slope::TenantsW8 | Slope::TenantsW64 | Slope::TenantsW7100 => "tenants",
            Slope::Quota => "limiters",
            Slope::Gossip => "members",
            Slope::Settings => "entries",
            Slope::DiscoveryCalls => "work_s",
        }
    }

    /// Its sizes.
    pub fn sizes(self) -> &'static [usize] {
        match self {
            Slope::Decision => &[100, 300, 1_000, 3_000, 10_000, 30_000, 61_000],
            Slope::ListMemory | Slope::ListBytes => &[8, 30, 100, 300, 1_000, 3_000, 10_000, 30_000, 61_000],
            Slope::DecisionService => &[10, 30, 55, 100, 300],
            Slope::TenantsW8 => &[30, 100, 203, 1_000],
            Slope::TenantsW64 => &[100, 300, 1_000, 1_623, 10_000],
            Slope::TenantsW7100 => &[1_000, 3_000, 10_000, 30_000, 100_000, 180_000],
            Slope::Quota => &[8, 64, 256, 1_024, 3_000, 7_100],
            Slope::Gossip => &[10, 30, 100, 300, 1_000],
            Slope::Settings => &[10, 100, 1_000, 10_000],
            Slope::DiscoveryCalls => &[],
        }
    }

    /// Values that hold for all sizes.
    pub fn parameters(self) -> Vec<(String, f64)> {
        let named = |name: &str, value: f64| vec![(name.to_owned(), value)];
        match self {
            Slope::Decision | Slope::Settings => named("limiters", workload::LIMITERS.into()),
            Slope::DecisionService => named("limiters", LIMITERS_OF_A_SERVICE.into()),
            Slope::TenantsW8 | Slope::TenantsW64 | Slope::TenantsW7100 => {
                let mut all = named("width", self.width().into());
                all.extend(named("requests_per_second", workload::REQUESTS_PER_SECOND));
                all
            }
            _ => Vec::new(),
        }
    }

    /// Limiters that each tenant comes through.
    fn width(self) -> u32 {
        match self {
            Slope::TenantsW8 => 8,
            Slope::TenantsW64 => 64,
            _ => workload::LIMITERS,
        }
    }

    /// Readings at one size.
    ///
    /// # Errors
    /// The measurement failed.
    pub fn readings(self, size: usize, seed: u64) -> Result<Vec<Reading>, MeasureError> {
        let child = |kind| in_child(&ChildJob { kind, size, width: self.width(), seed });
        match self {
            Slope::Decision => decision::measure(size, workload::LIMITERS, seed),
            Slope::DecisionService => decision::measure(size, LIMITERS_OF_A_SERVICE, seed),
            Slope::ListMemory => {
                let mut readings = child(ChildKind::LimiterList)?;
                readings.extend(child(ChildKind::CatalogList)?);
                readings.extend(child(ChildKind::ListIntake)?);
                Ok(readings)
            }
            Slope::ListBytes => list_bytes::measure(size, seed),
            Slope::TenantsW8 | Slope::TenantsW64 | Slope::TenantsW7100 => {
                let mut readings = child(ChildKind::TenantMemory)?;
                readings.extend(tenants::measure(size, self.width(), seed));
                Ok(readings)
            }
            Slope::Quota => Ok(quota::measure(size, seed)),
            Slope::Gossip => child(ChildKind::Gossip),
            Slope::Settings => {
                let mut readings = child(ChildKind::SettingsMemory)?;
                readings.extend(settings::measure(size, seed)?);
                Ok(readings)
            }
            Slope::DiscoveryCalls => Ok(Vec::new()),
        }
    }
}
