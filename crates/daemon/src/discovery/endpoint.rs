//! Conversion of discovered server instances to the endpoints used by the rest of the limiter.

use crate::events::ListedEndpoint;
use crate::log;
use liftrouter_catalog::{Instance, Lifecycle, Update};
use liftrouter_decision::{EndpointEntry, EndpointState};

const MILLISECONDS_PER_SECOND: f64 = 1_000.0;

/// Converts a server instance to an endpoint, whose state follows from the lifecycle of the instance.
pub fn listed_endpoint(instance: &Instance) -> ListedEndpoint {
    ListedEndpoint { entry: entry(instance), address: instance.host_port }
}

/// Converts a server instance to an endpoint in the given state, whatever the lifecycle of the instance.
pub fn listed_endpoint_in_state(state: EndpointState, instance: &Instance) -> ListedEndpoint {
    let mut listed = listed_endpoint(instance);
    listed.entry.state = state;
    listed
}

fn entry(instance: &Instance) -> EndpointEntry {
    EndpointEntry {
        id: instance.instance_id.as_str().into(),
        address: Some(instance.host_port),
        zone: instance.zone.as_str().into(),
        machine_type: instance.machine_type.as_str().into(),
        cell: instance.cell,
        state: match instance.lifecycle {
            Lifecycle::InService => EndpointState::InService,
            Lifecycle::Terminating => EndpointState::Draining,
            Lifecycle::Terminated => EndpointState::Removed,
        },
        weight: instance.weight.unwrap_or(1.0),
        started_at: instance.started_at_ms.filter(|at| *at > 0.0).map(|at| at / MILLISECONDS_PER_SECOND),
    }
}

/// Logs the parse errors of the entries that were skipped in an update.
pub fn log_unreadable_entries(update: &Update) {
    for reason in &update.unreadable {
        log("discovery", format_args!("skipped an invalid entry of the list of servers: {reason}"));
    }
}
