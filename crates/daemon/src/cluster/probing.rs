//! The first duty: each node is probed by the limiter that holds its slot, and by no other; what it learns comes to all.

use super::Group;
use crate::events::{EventQueue, HostEvent};
use crate::upstream::servers::Servers;
use liftrouter_decision::{EndpointId, LoadReport, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// What a holder tells of a node.
#[derive(Serialize, Deserialize)]
struct Told {
    server: String,
    outcome: Said,
    /// In flight, queue, busy, latency, rate, errors; none where the node did not say.
    load: [Option<f64>; 6],
}

#[derive(Clone, Copy, Serialize, Deserialize)]
enum Said {
    Answered,
    TurnedAway,
    Silent,
    Unreached,
}

impl Told {
    fn of(server: &EndpointId, outcome: Outcome, report: &LoadReport) -> Told {
        let outcome = match outcome {
            Outcome::Ok => Said::Answered,
            Outcome::Overloaded => Said::TurnedAway,
            Outcome::Timeout => Said::Silent,
            _ => Said::Unreached,
        };
        let r = report;
        Told {
            server: server.to_string(),
            outcome,
            load: [r.in_flight, r.queued, r.utilization, r.latency, r.request_rate, r.error_rate],
        }
    }

    fn news(self) -> HostEvent {
        let outcome = match self.outcome {
            Said::Answered => Outcome::Ok,
            Said::TurnedAway => Outcome::Overloaded,
            Said::Silent => Outcome::Timeout,
            Said::Unreached => Outcome::ConnectFailed,
        };
        // What is no number says nothing.
        let [in_flight, queue, busy, latency, rate, errors] = self.load.map(|v| v.filter(|v| v.is_finite()));
        let report = LoadReport {
            in_flight,
            queued: queue,
            utilization: busy,
            latency,
            request_rate: rate,
            error_rate: errors,
        };
        HostEvent::HealthChecked { endpoint: self.server.as_str().into(), outcome, report }
    }
}

/// Takes in what the holder of a node tells; what cannot be read says nothing.
pub fn told(events: &EventQueue, what: &[u8]) {
    if let Ok(told) = postcard::from_bytes::<Told>(what) {
        events.push(told.news());
    }
}

/// Looks again and again which nodes are held and due.
pub async fn run(group: Rc<Group>, servers: Rc<Servers>, every: Duration) {
    let mut last: HashMap<EndpointId, Instant> = HashMap::new();
    let look = (every / 20).max(Duration::from_millis(5));
    loop {
        sleep_until(Instant::now() + look).await;
        let ids = servers.ids();
        last.retain(|id, _| ids.contains(id));
        for id in ids {
            let due = last.get(&id).is_none_or(|at| at.elapsed() >= every);
            if !due || servers.address(&id).is_none() || group.slot_held(&id).is_none() {
                continue;
            }
            last.insert(id.clone(), Instant::now());
            let (group, servers) = (group.clone(), servers.clone());
            spawn_local(async move {
                let (outcome, report) = servers.check_health(group.events.clone(), id.clone()).await;
                group.tell(&id, outcome, &report);
            });
        }
    }
}

impl Group {
    /// The slot of a node, where it is held here now.
    fn slot_held(&self, id: &EndpointId) -> Option<u16> {
        let members = self.members.borrow();
        let slot = members.slot_of(id);
        members.holds(self.now(), slot).map(|_| slot)
    }

    /// Tells all others, if the node is still held here.
    fn tell(&self, id: &EndpointId, outcome: Outcome, report: &LoadReport) {
        let Ok(what) = postcard::to_stdvec(&Told::of(id, outcome, report)) else { return };
        let mut out = Vec::new();
        {
            let mut members = self.members.borrow_mut();
            let slot = members.slot_of(id);
            members.tell(self.now(), slot, &what, &mut out);
        }
        self.carry_out(out);
    }
}
