//! The settings of a member and their validation.

use crate::gossip::{GossipSettings, MAX_NAME_BYTES};
use crate::lease::LeaseSettings;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thiserror::Error;

const MAX_VOTERS: usize = 9;
const MAX_SHARDS: u16 = 1_024;
const MIN_PROBE_PERIOD_MS: u128 = 20;
const MAX_PROBE_PERIOD_MS: u128 = 60_000;
const MAX_CLOCK_DRIFT: f64 = 0.2;
const MIN_LEASE_MS: u64 = 50;
const MAX_LEASE_MS: u64 = 600_000;

/// The settings of one member.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the member: unique, and the same after a restart.
    pub name: String,
    /// Address on which the member receives datagrams.
    pub address: SocketAddr,
    /// Addresses of members that this member announces itself to in order to join the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Members of which a majority grants leases. The list is the same at each member and may include the member itself.
    /// Without voters there are no leases.
    pub voters: Vec<SocketAddr>,
    /// Number of shards, the same at each member.
    pub shards: u16,
    /// Settings of failure detection.
    pub gossip: GossipSettings,
    /// Settings of leases.
    pub lease: LeaseSettings,
}

/// An invalid setting. The message has its key in the operator's file, the value found and the values expected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// The name is empty or too long.
    #[error("name has {found} bytes, expected 1 to {MAX_NAME_BYTES}")]
    Name {
        /// Length of the name, in bytes.
        found: usize,
    },
    /// A seed or a voter is on another machine.
    #[error("{key} has {found}, expected addresses of this machine: members talk on loopback only")]
    NotLoopback {
        /// `join` or `voters`.
        key: &'static str,
        /// The address.
        found: SocketAddr,
    },
    /// The member's own address is on another machine.
    #[error("listen is {found}, expected an address of this machine")]
    Listen {
        /// The address.
        found: SocketAddr,
    },
    /// An address occurs twice among the voters.
    #[error("voters lists an address twice, expected distinct addresses")]
    DuplicateVoter,
    /// The number of voters is even or too large.
    #[error("voters are {found}, expected 1, 3, 5, 7 or 9")]
    VoterCount {
        /// The number of voters.
        found: usize,
    },
    /// The number of shards is out of range.
    #[error("slots are {found}, expected 1 to {MAX_SHARDS}")]
    Shards {
        /// The number of shards.
        found: u16,
    },
    /// The probe period is out of range.
    #[error("period_ms is {found}, expected {MIN_PROBE_PERIOD_MS} to {MAX_PROBE_PERIOD_MS}")]
    ProbePeriod {
        /// The probe period, in milliseconds.
        found: u128,
    },
    /// The probe timeout leaves no time for indirect probes.
    #[error("late_ms is {found}, expected 1 to half of period_ms, {}", .period / 2)]
    ProbeTimeout {
        /// The probe timeout, in milliseconds.
        found: u128,
        /// The probe period, in milliseconds.
        period: u128,
    },
    /// The suspicion timeout is shorter than the probe period.
    #[error("suspicion_ms is {found}, expected at least period_ms, {period}")]
    SuspicionTimeout {
        /// The suspicion timeout, in milliseconds.
        found: u128,
        /// The probe period, in milliseconds.
        period: u128,
    },
    /// The clock drift is out of range.
    #[error("drift is {found}, expected 0 to {MAX_CLOCK_DRIFT}")]
    ClockDrift {
        /// The drift, as a ratio.
        found: f64,
    },
    /// The lease duration is out of range.
    #[error("term_ms is {found}, expected {MIN_LEASE_MS} to {MAX_LEASE_MS}")]
    LeaseDuration {
        /// The lease duration, in milliseconds.
        found: u64,
    },
}

impl SettingsError {
    /// The key in the operator's file.
    pub fn key(&self) -> &'static str {
        match self {
            SettingsError::Name { .. } => "name",
            SettingsError::NotLoopback { key, .. } => key,
            SettingsError::Listen { .. } => "listen",
            SettingsError::DuplicateVoter | SettingsError::VoterCount { .. } => "voters",
            SettingsError::Shards { .. } => "slots",
            SettingsError::ProbePeriod { .. } => "period_ms",
            SettingsError::ProbeTimeout { .. } => "late_ms",
            SettingsError::SuspicionTimeout { .. } => "suspicion_ms",
            SettingsError::ClockDrift { .. } => "drift",
            SettingsError::LeaseDuration { .. } => "term_ms",
        }
    }
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// Returns every invalid setting.
    pub fn check(&self) -> Result<(), Vec<SettingsError>> {
        let mut errors = Vec::new();
        self.check_addresses(&mut errors);
        self.check_voters(&mut errors);
        if !(1..=MAX_SHARDS).contains(&self.shards) {
            errors.push(SettingsError::Shards { found: self.shards });
        }
        self.check_gossip(&mut errors);
        self.check_lease(&mut errors);
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }

    fn check_addresses(&self, errors: &mut Vec<SettingsError>) {
        if self.name.is_empty() || self.name.len() > MAX_NAME_BYTES {
            errors.push(SettingsError::Name { found: self.name.len() });
        }
        for (key, addresses) in [("join", &self.seeds), ("voters", &self.voters)] {
            if let Some(found) = addresses.iter().find(|address| !address.ip().is_loopback()) {
                errors.push(SettingsError::NotLoopback { key, found: *found });
            }
        }
        if !self.address.ip().is_loopback() {
            errors.push(SettingsError::Listen { found: self.address });
        }
    }

    fn check_voters(&self, errors: &mut Vec<SettingsError>) {
        let count = self.voters.len();
        let distinct: BTreeSet<_> = self.voters.iter().collect();
        if distinct.len() != count {
            errors.push(SettingsError::DuplicateVoter);
        }
        if count > 0 && (count.is_multiple_of(2) || count > MAX_VOTERS) {
            errors.push(SettingsError::VoterCount { found: count });
        }
    }

    fn check_gossip(&self, errors: &mut Vec<SettingsError>) {
        let period = self.gossip.probe_period.as_millis();
        let timeout = self.gossip.probe_timeout.as_millis();
        if !(MIN_PROBE_PERIOD_MS..=MAX_PROBE_PERIOD_MS).contains(&period) {
            errors.push(SettingsError::ProbePeriod { found: period });
        }
        if timeout == 0 || 2 * timeout > period {
            errors.push(SettingsError::ProbeTimeout { found: timeout, period });
        }
        if self.gossip.suspicion_timeout < self.gossip.probe_period {
            let found = self.gossip.suspicion_timeout.as_millis();
            errors.push(SettingsError::SuspicionTimeout { found, period });
        }
    }

    fn check_lease(&self, errors: &mut Vec<SettingsError>) {
        if !(0.0..=MAX_CLOCK_DRIFT).contains(&self.lease.clock_drift) {
            errors.push(SettingsError::ClockDrift { found: self.lease.clock_drift });
        }
        if !(1_000 * MIN_LEASE_MS..=1_000 * MAX_LEASE_MS).contains(&self.lease.duration) {
            errors.push(SettingsError::LeaseDuration { found: self.lease.duration / 1_000 });
        }
    }
}
