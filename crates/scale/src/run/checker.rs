//! Looks whether every limiter holds the list of the source, and whether one used an old list without saying so.

use super::messages::{DiscoveryStatus, LimiterStatus};
use super::standin::discovery::REAL_REGION;
use std::fmt;

/// What is wrong with a limiter.
#[derive(Clone, Debug, PartialEq)]
pub enum Offence {
    /// It holds another generation than the source.
    Generation {
        /// The generation that it holds.
        held: Option<u64>,
        /// The generation of the source.
        source: u64,
    },
    /// It holds the generation of the source, and other servers.
    Servers,
    /// It used a list for too long after its last confirmation, and did not say so.
    SilentlyStale {
        /// For how long.
        age_ms: f64,
        /// How long is allowed.
        bound_ms: f64,
    },
    /// A real limiter has not been told the generation of the source.
    NotTold {
        /// What it was told.
        told: u64,
        /// The generation of the source.
        source: u64,
    },
    /// A limiter does not follow discovery at all.
    Missing,
}

/// A limiter with which something is wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Offender {
    /// After what it was found.
    pub phase: String,
    /// Its number in the fleet.
    pub limiter: u32,
    /// What is wrong.
    pub offence: Offence,
}

impl fmt::Display for Offender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: limiter {} ", self.phase, self.limiter)?;
        match &self.offence {
            Offence::Generation { held: Some(held), source } => {
                write!(f, "holds generation {held}, the source {source}")
            }
            Offence::Generation { held: None, source } => {
                write!(f, "has no list, the source generation {source}")
            }
            Offence::Servers => f.write_str("holds other servers than the source in the same generation"),
            Offence::SilentlyStale { age_ms, bound_ms } => {
                write!(f, "used a list for {age_ms:.0} ms after its confirmation without saying so, {bound_ms:.0} allowed")
            }
            Offence::NotTold { told, source } => {
                write!(f, "was told generation {told}, the source has {source}")
            }
            Offence::Missing => f.write_str("does not follow discovery"),
        }
    }
}

/// What is expected of the limiters of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Checker {
    /// Hollow limiters.
    pub hollow: usize,
    /// Real limiters that follow discovery itself.
    pub real: usize,
    /// A list may be used for so long after its last confirmation without a word.
    pub stale_bound_ms: f64,
}

impl Checker {
    /// The limiters that do not hold the list of the source.
    pub fn unsettled(
        &self,
        phase: &str,
        source: &DiscoveryStatus,
        limiters: &[LimiterStatus],
    ) -> Vec<Offender> {
        let offender = |limiter, offence| Offender { phase: phase.to_owned(), limiter, offence };
        let mut offenders: Vec<_> = limiters
            .iter()
            .filter_map(|status| Some(offender(status.number, difference(source, status)?)))
            .collect();
        let missing = limiters.len()..self.hollow;
        offenders.extend(missing.map(|number| offender(number as u32, Offence::Missing)));
        let real = self.real_offences(source);
        offenders.extend(real.map(|(index, offence)| offender((self.hollow + index) as u32, offence)));
        offenders
    }

    fn real_offences<'a>(
        &'a self,
        source: &'a DiscoveryStatus,
    ) -> impl Iterator<Item = (usize, Offence)> + 'a {
        let children = source.regions.get(REAL_REGION).map_or(&[][..], |region| &region.children);
        (0..self.real).filter_map(move |index| match children.get(index) {
            None => Some((index, Offence::Missing)),
            Some(child) if child.generation != source.generation => {
                Some((index, Offence::NotTold { told: child.generation, source: source.generation }))
            }
            Some(_) => None,
        })
    }

    /// The limiters that used an old list without saying so.
    pub fn silently_stale(&self, phase: &str, limiters: &[LimiterStatus]) -> Vec<Offender> {
        let bound_ms = self.stale_bound_ms;
        let stale = limiters.iter().filter(|status| status.longest_silent_age_ms > bound_ms);
        stale
            .map(|status| Offender {
                phase: phase.to_owned(),
                limiter: status.number,
                offence: Offence::SilentlyStale { age_ms: status.longest_silent_age_ms, bound_ms },
            })
            .collect()
    }
}

fn difference(source: &DiscoveryStatus, status: &LimiterStatus) -> Option<Offence> {
    if let Some(service) = status.service {
        // Generations that change nothing of its service reach it with the next digest: its servers are what counts.
        return (source.service_digests.get(service) != Some(&status.digest)).then_some(Offence::Servers);
    }
    if status.generation != Some(source.generation) {
        return Some(Offence::Generation { held: status.generation, source: source.generation });
    }
    (status.digest != source.digest).then_some(Offence::Servers)
}
