//! Updates of the endpoint list, and what they mean for attempts in flight.

use super::Host;
use crate::events::{AttemptResult, ListedEndpoint};
use crate::upstream::servers::ServerStatus;
use liftrouter_decision::{EndpointId, EndpointState, Event, Outcome, RequestId};
use std::collections::HashSet;

/// Endpoints that take no new work after an update.
#[derive(Default)]
struct Withdrawn {
    removed: HashSet<EndpointId>,
    draining: HashSet<EndpointId>,
}

/// An attempt in flight at an endpoint that was withdrawn.
struct LostAttempt {
    id: RequestId,
    number: u32,
    /// Whether it was written completely.
    sent: bool,
}

impl Host {
    /// Applies an update of the list. Attempts in flight at removed endpoints are aborted, and attempts at draining
    /// endpoints that are not written yet: neither may receive anything new.
    pub(super) fn update_endpoints(&mut self, complete: bool, listed: Vec<ListedEndpoint>) {
        let withdrawn = self.update_servers(complete, &listed);
        // The module first: it answers the results of aborted attempts with new ones.
        let entries = listed.into_iter().map(|endpoint| endpoint.entry).collect();
        self.dispatch(if complete { Event::EndpointList(entries) } else { Event::EndpointChanges(entries) });
        for LostAttempt { id, number, sent } in self.lost_attempts(&withdrawn) {
            // The result of an earlier one may have ended this one.
            if !self.abort_attempt(id, number) {
                continue;
            }
            let outcome = if sent { Outcome::Reset } else { Outcome::ConnectFailed };
            self.attempt_ended(id, number, AttemptResult::of(outcome));
            self.run_pending();
        }
    }

    fn update_servers(&self, complete: bool, listed: &[ListedEndpoint]) -> Withdrawn {
        let servers = &self.clients.servers;
        let mut withdrawn = Withdrawn::default();
        for ListedEndpoint { entry, address } in listed {
            servers.set_status(&entry.id, ServerStatus { address: *address, state: entry.state });
            match entry.state {
                EndpointState::InService => {}
                EndpointState::Draining => drop(withdrawn.draining.insert(entry.id.clone())),
                EndpointState::Removed => drop(withdrawn.removed.insert(entry.id.clone())),
            }
        }
        if complete {
            let named: HashSet<&EndpointId> = listed.iter().map(|endpoint| &endpoint.entry.id).collect();
            for id in servers.ids().into_iter().filter(|id| !named.contains(id)) {
                servers.remove(&id);
                withdrawn.removed.insert(id);
            }
        }
        withdrawn
    }

    /// Attempts that have to be aborted. One whose end is reported is left alone: its result comes next, and may be that
    /// it was served.
    fn lost_attempts(&self, withdrawn: &Withdrawn) -> Vec<LostAttempt> {
        let running = self.requests.iter().filter_map(|(id, open)| Some((*id, open.running.as_ref()?)));
        let lost = running.filter_map(|(id, running)| {
            let sent = running.attempt.sent();
            let removed = withdrawn.removed.contains(&running.endpoint);
            let draining = withdrawn.draining.contains(&running.endpoint);
            let lost = (removed || (draining && !sent)) && !running.attempt.is_reported();
            lost.then_some(LostAttempt { id, number: running.number, sent })
        });
        lost.collect()
    }
}
