//! The size that the operators expect, what control may cost, and whether a need holds against it.

use crate::fit::Interval;
use serde::Deserialize;
use std::fmt;
use std::path::{Path, PathBuf};

/// Seconds of a day.
pub const DAY: f64 = 86_400.0;
/// Bytes of a megabyte in the operators' figures.
const MEGABYTE: f64 = 1e6;
/// Bytes of a kilobyte in the kernel's figures.
const KERNEL_KILOBYTE: f64 = 1_024.0;
/// Multiple of the largest measured size beyond which a line says nothing certain.
pub const LONGEST_STRETCH: f64 = 10.0;

/// All figures of `deploy/capacity-budget.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// How much there is of everything.
    pub fleet: Fleet,
    /// What a request may take.
    pub request: RequestBudget,
    /// Changes of configuration.
    pub configuration: Configuration,
    /// What control may cost a limiter.
    pub limiter: LimiterBudget,
    /// The machines that are set aside.
    pub control: Control,
    /// What fails.
    pub failures: Failures,
    /// What the page assumes beside.
    pub assumed: Assumed,
}

/// How much there is of everything.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Limiters.
    pub limiters: f64,
    /// Servers.
    pub servers: f64,
    /// Services.
    pub services: f64,
    /// Requests a second at the peak.
    pub requests_per_second: f64,
    /// Routes.
    pub routes: f64,
    /// Tenants.
    pub tenants: f64,
    /// Regions.
    pub regions: f64,
    /// Zones of all regions.
    pub zones: f64,
}

/// What a request may take.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestBudget {
    /// Added to a request, for 99 in 100, in milliseconds.
    pub added_p99_ms: f64,
}

/// Changes of configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Changes a day.
    pub changes_per_day: f64,
    /// Seconds until a change is in force everywhere.
    pub in_force_s: f64,
}

/// What control may cost a limiter.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimiterBudget {
    /// Share of a core.
    pub core_share: f64,
    /// Megabytes.
    pub memory_mb: f64,
    /// Bytes a second.
    pub bytes_per_second: f64,
}

/// The machines that are set aside for control.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// How many.
    pub machines: f64,
}

/// What fails.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failures {
    /// Machines that fail on an ordinary day.
    pub machines_per_day: f64,
    /// Machines that are restarted or replaced on one.
    pub restarts_per_day: f64,
    /// Seconds for which regions lose each other.
    pub regions_apart_s: f64,
}

/// What the page assumes beside the operators' figures.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumed {
    /// Messages of discovery for one restart.
    pub messages_per_restart: f64,
    /// Changes within a second at worst.
    pub burst_changes: f64,
    /// Servers of a rack.
    pub servers_per_rack: f64,
    /// Limiters that a tenant comes through, at the fewest.
    pub tenant_width_narrow: f64,
    /// The same, more of them.
    pub tenant_width_wide: f64,
    /// Services of one limiter, where not one and not all.
    pub services_of_a_limiter: f64,
    /// Milliseconds between two probes of a server.
    pub probe_ms: f64,
}

/// A budget that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum BudgetError {
    /// The file.
    #[error("cannot read {path}: {error}")]
    Read {
        /// Which file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// What it says.
    #[error("{path}: {error}")]
    Parse {
        /// Which file.
        path: PathBuf,
        /// What is wrong.
        error: Box<toml::de::Error>,
    },
}

impl Budget {
    /// Reads a file.
    ///
    /// # Errors
    /// It cannot be read, or says something else.
    pub fn read(path: &Path) -> Result<Budget, BudgetError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| BudgetError::Read { path: path.to_owned(), error })?;
        toml::from_str(&text)
            .map_err(|error| BudgetError::Parse { path: path.to_owned(), error: Box::new(error) })
    }

    /// Processor time for control, in microseconds a second.
    pub fn cpu_us_per_second(&self) -> f64 {
        self.limiter.core_share * 1e6
    }

    /// Memory for control, in the kernel's kilobytes.
    pub fn memory_kb(&self) -> f64 {
        self.limiter.memory_mb * MEGABYTE / KERNEL_KILOBYTE
    }

    /// Messages of discovery a second: changes of configuration and restarts.
    pub fn changes_per_second(&self) -> f64 {
        let restarts = self.failures.restarts_per_day * self.assumed.messages_per_restart;
        (self.configuration.changes_per_day + restarts) / DAY
    }

    /// Servers of a service.
    pub fn servers_per_service(&self) -> f64 {
        self.fleet.servers / self.fleet.services
    }

    /// Tenants that come to one limiter, where each comes through so many.
    pub fn tenants_per_limiter(&self, width: f64) -> f64 {
        self.fleet.tenants * width / self.fleet.limiters
    }
}

/// Whether a need is within its budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is, with its whole interval.
    Holds {
        /// Need to budget.
        ratio: f64,
    },
    /// It is not, with its whole interval.
    DoesNot {
        /// Need to budget.
        ratio: f64,
    },
    /// Nobody can tell.
    NotKnown(Unknown),
}

/// Why nobody can tell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unknown {
    /// There is no record.
    NotRun,
    /// The operators gave no figure.
    NoBudget,
    /// The size is too far beyond those measured.
    TooFar {
        /// Need to budget, as the line has it.
        ratio: f64,
        /// Multiple of the largest measured size.
        stretch: f64,
    },
    /// The line falls to nothing or below: it follows noise.
    BelowZero {
        /// Need to budget, as the line has it.
        ratio: f64,
    },
    /// The interval lies on both sides.
    TooWide {
        /// Need to budget, by the middle of the interval.
        ratio: f64,
    },
}

impl Verdict {
    /// Judges a need; `stretch` is how far beyond the measured sizes it was found.
    pub fn of(need: Option<Interval>, budget: Option<f64>, stretch: f64) -> Verdict {
        let Some(need) = need else { return Verdict::NotKnown(Unknown::NotRun) };
        let Some(budget) = budget else { return Verdict::NotKnown(Unknown::NoBudget) };
        let ratio = need.value / budget;
        if stretch > LONGEST_STRETCH {
            return Verdict::NotKnown(Unknown::TooFar { ratio, stretch });
        }
        if need.value < 0.0 {
            return Verdict::NotKnown(Unknown::BelowZero { ratio });
        }
        if need.high() <= budget {
            Verdict::Holds { ratio }
        } else if need.low() > budget {
            Verdict::DoesNot { ratio }
        } else {
            Verdict::NotKnown(Unknown::TooWide { ratio })
        }
    }

    /// Need to budget, where both are known.
    pub fn ratio(self) -> Option<f64> {
        match self {
            Verdict::Holds { ratio } | Verdict::DoesNot { ratio } => Some(ratio),
            Verdict::NotKnown(
                Unknown::TooFar { ratio, .. } | Unknown::BelowZero { ratio } | Unknown::TooWide { ratio },
            ) => Some(ratio),
            Verdict::NotKnown(Unknown::NotRun | Unknown::NoBudget) => None,
        }
    }
}

/// A ratio with two places that say something.
pub fn ratio_text(ratio: f64) -> String {
    match ratio.abs() {
        r if r >= 100.0 => format!("{ratio:.0}"),
        r if r >= 10.0 => format!("{ratio:.1}"),
        r if r >= 0.1 => format!("{ratio:.2}"),
        r if r >= 0.001 => format!("{ratio:.4}"),
        _ => format!("{ratio:.1e}"),
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Holds { ratio } => write!(f, "holds, {}", ratio_text(*ratio)),
            Verdict::DoesNot { ratio } => write!(f, "**does not**, {}", ratio_text(*ratio)),
            Verdict::NotKnown(Unknown::NotRun) => write!(f, "not known: not run"),
            Verdict::NotKnown(Unknown::NoBudget) => write!(f, "not known: no figure given"),
            Verdict::NotKnown(Unknown::TooFar { ratio, stretch }) => {
                let (ratio, stretch) = (ratio_text(*ratio), ratio_text(*stretch));
                write!(f, "not known, {ratio} by a line stretched {stretch} times")
            }
            Verdict::NotKnown(Unknown::BelowZero { .. }) => {
                write!(f, "not known: the line falls below zero")
            }
            Verdict::NotKnown(Unknown::TooWide { ratio }) => {
                write!(f, "not known, {}: the interval holds the budget", ratio_text(*ratio))
            }
        }
    }
}
