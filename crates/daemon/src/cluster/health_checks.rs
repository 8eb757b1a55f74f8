//! Shared health checks: each endpoint is checked by the limiter that holds its shard, which sends the result to all others.

use super::ClusterService;
use crate::events::{EventQueue, HostEvent};
use crate::upstream::servers::Servers;
use liftrouter_decision::{EndpointId, LoadReport, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

#[cfg(test)]
mod tests;

/// How often per interval the endpoints are examined for due health checks.
const POLLS_PER_INTERVAL: u32 = 20;
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The result of a health check, as members send it. The order of the fields is the format on the wire.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct SharedHealthCheck {
    endpoint: String,
    outcome: SharedOutcome,
    load: SharedLoad,
}

/// The outcome of a health check. The order of the variants is the format on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum SharedOutcome {
    Ok,
    Overloaded,
    Timeout,
    ConnectFailed,
}

/// The load report of an endpoint; `None` for what it did not report. The order of the fields is the format on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct SharedLoad {
    in_flight: Option<f64>,
    queued: Option<f64>,
    utilization: Option<f64>,
    latency: Option<f64>,
    request_rate: Option<f64>,
    error_rate: Option<f64>,
}

impl From<Outcome> for SharedOutcome {
    fn from(outcome: Outcome) -> SharedOutcome {
        match outcome {
            Outcome::Ok => SharedOutcome::Ok,
            Outcome::Overloaded => SharedOutcome::Overloaded,
            Outcome::Timeout => SharedOutcome::Timeout,
            _ => SharedOutcome::ConnectFailed,
        }
    }
}

impl From<SharedOutcome> for Outcome {
    fn from(outcome: SharedOutcome) -> Outcome {
        match outcome {
            SharedOutcome::Ok => Outcome::Ok,
            SharedOutcome::Overloaded => Outcome::Overloaded,
            SharedOutcome::Timeout => Outcome::Timeout,
            SharedOutcome::ConnectFailed => Outcome::ConnectFailed,
        }
    }
}

impl From<&LoadReport> for SharedLoad {
    fn from(report: &LoadReport) -> SharedLoad {
        SharedLoad {
            in_flight: report.in_flight,
            queued: report.queued,
            utilization: report.utilization,
            latency: report.latency_s,
            request_rate: report.requests_per_s,
            error_rate: report.errors_per_s,
        }
    }
}

impl From<SharedLoad> for LoadReport {
    /// Values that are not finite count as not reported.
    fn from(load: SharedLoad) -> LoadReport {
        let finite = |value: Option<f64>| value.filter(|value| value.is_finite());
        LoadReport {
            in_flight: finite(load.in_flight),
            queued: finite(load.queued),
            utilization: finite(load.utilization),
            latency_s: finite(load.latency),
            requests_per_s: finite(load.request_rate),
            errors_per_s: finite(load.error_rate),
        }
    }
}

impl SharedHealthCheck {
    fn new(endpoint: &EndpointId, outcome: Outcome, report: &LoadReport) -> SharedHealthCheck {
        SharedHealthCheck { endpoint: endpoint.to_string(), outcome: outcome.into(), load: report.into() }
    }

    fn into_event(self) -> HostEvent {
        HostEvent::HealthChecked {
            endpoint: self.endpoint.as_str().into(),
            outcome: self.outcome.into(),
            report: self.load.into(),
        }
    }
}

/// Handles a health check result from the limiter that holds the endpoint's shard. A payload that cannot be decoded is
/// ignored.
pub(super) fn receive(events: &EventQueue, payload: &[u8]) {
    if let Ok(check) = postcard::from_bytes::<SharedHealthCheck>(payload) {
        events.push(check.into_event());
    }
}

/// Health-checks the endpoints whose shards this limiter holds, each once per interval.
pub(super) async fn run(cluster: Rc<ClusterService>, servers: Rc<Servers>, interval: Duration) {
    let mut checked_at: HashMap<EndpointId, Instant> = HashMap::new();
    let poll_interval = (interval / POLLS_PER_INTERVAL).max(MIN_POLL_INTERVAL);
    loop {
        sleep_until(Instant::now() + poll_interval).await;
        let endpoints = servers.ids();
        checked_at.retain(|endpoint, _| endpoints.contains(endpoint));
        for endpoint in endpoints {
            let due = checked_at.get(&endpoint).is_none_or(|at| at.elapsed() >= interval);
            if !due || servers.process(&endpoint).is_none() || cluster.held_shard_of(&endpoint).is_none() {
                continue;
            }
            checked_at.insert(endpoint.clone(), Instant::now());
            spawn_local(check_and_share(cluster.clone(), servers.clone(), endpoint));
        }
    }
}

async fn check_and_share(cluster: Rc<ClusterService>, servers: Rc<Servers>, endpoint: EndpointId) {
    let (outcome, report) = servers.check_health(cluster.events.clone(), endpoint.clone()).await;
    let check = SharedHealthCheck::new(&endpoint, outcome, &report);
    if let Ok(payload) = postcard::to_stdvec(&check) {
        cluster.send_as_holder_of(&endpoint, &payload);
    }
}
