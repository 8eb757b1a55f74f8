//! What the coordinator and the other processes tell each other: one JSON object a line, commands on a process's
//! standard input and reports on its standard output.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a process is to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Hollow: start the limiters.
    Start,
    /// What is measured from now on belongs to this phase.
    Phase(String),
    /// Discovery: make so many changes a second.
    ChangeRate(f64),
    /// Discovery: make so many changes within one second.
    Burst(u32),
    /// Discovery: say nothing for so many milliseconds.
    Silence(u64),
    /// Discovery: close and refuse the connections of one region for so many milliseconds.
    CutRegion(u64),
    /// Hollow: start a tenth of the limiters anew.
    RestartTenth,
    /// Hollow: hold what discovery or relays tell the first limiter for so many milliseconds.
    DelayReading(u64),
    /// Report how things stand.
    Status,
}

/// What a process answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// It listens on these addresses, and can be told what to do.
    Ready(Vec<SocketAddr>),
    /// How discovery stands.
    Discovery(DiscoveryStatus),
    /// What a stand-in has counted.
    Traffic(Vec<Traffic>),
    /// How the hollow limiters of a process stand.
    Hollow(HollowStatus),
    /// What the load generator has measured.
    Load(LoadStatus),
}

/// What went over the connections to one address, from the start on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Connections that were accepted.
    pub connections: u64,
    /// Requests that were answered.
    pub requests: u64,
    /// Bytes that were read.
    pub bytes_in: u64,
    /// Bytes that were written.
    pub bytes_out: u64,
}

/// How discovery stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiscoveryStatus {
    /// The generation of its list.
    pub generation: u64,
    /// The digest of its list, see [`super::standin::list_digest`].
    pub digest: u64,
    /// The same of each service.
    pub service_digests: Vec<u64>,
    /// Changes that were made.
    pub changes: u64,
    /// Changes of a burst that are still to be made.
    pub pending: u32,
    /// By address: two regions of hollow limiters, then the real limiters.
    pub regions: Vec<RegionStatus>,
}

/// What one region of children was told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionStatus {
    /// What went over the connections.
    pub traffic: Traffic,
    /// Messages that were sent, without empty lines.
    pub messages: u64,
    /// The children that are connected now.
    pub children: Vec<ChildStatus>,
}

/// What one child was told on the watch that it has now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChildStatus {
    /// The generation that it was told last.
    pub generation: u64,
    /// Messages, without empty lines.
    pub messages: u64,
    /// Bytes of the lines.
    pub bytes: u64,
}

/// How the hollow limiters of a process stand.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HollowStatus {
    /// Each limiter.
    pub limiters: Vec<LimiterStatus>,
    /// From a change at the source to its being in force, by phase.
    pub lags: Vec<PhaseLag>,
}

/// How one hollow limiter stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimiterStatus {
    /// Its number in the fleet.
    pub number: u32,
    /// The generation of the list that it goes by.
    pub generation: Option<u64>,
    /// The digest of the list that it goes by.
    pub digest: u64,
    /// The number of the service that it follows; none where it follows all.
    pub service: Option<usize>,
    /// Bytes of lists that it received, without the framing of HTTP.
    pub list_bytes: u64,
    /// How often it was started anew.
    pub restarts: u32,
    /// Messages with servers in them.
    pub messages: u64,
    /// Changes in messages that were no whole lists.
    pub changes: u64,
    /// Whole lists.
    pub whole_lists: u64,
    /// From its start to its first list, in milliseconds.
    pub first_list_ms: Option<f64>,
    /// The time in which it did not have a change yet that the source had, in milliseconds.
    pub behind_ms: f64,
    /// It says now that its list is out of date or not followed.
    pub says_stale: bool,
    /// How often its list expired.
    pub expiries: u64,
    /// The longest time since a confirmation in which it did not say that the list is out of date.
    pub longest_silent_age_ms: f64,
    /// Counter calls that were answered.
    pub counter_answers: u64,
    /// Counter calls that failed.
    pub counter_failures: u64,
}

/// Lags of one phase.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PhaseLag {
    /// Name of the phase.
    pub phase: String,
    /// Lags in milliseconds, and how often each was seen.
    pub counts: Vec<LagCount>,
}

/// How often a lag was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LagCount {
    /// In milliseconds.
    pub lag_ms: u64,
    /// How often.
    pub count: u64,
}

/// What the load generator has measured since the phase began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadStatus {
    /// Requests that were served.
    pub served: u64,
    /// Requests that got another answer, or none.
    pub failed: u64,
    /// Median of the time that the limiter added, in milliseconds.
    pub added_p50_ms: f64,
    /// 99th percentile of it.
    pub added_p99_ms: f64,
}
