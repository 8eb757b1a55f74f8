//! Applies updates of the endpoint list, and aborts the attempts in flight that they invalidate.

use super::Host;
use crate::events::{AttemptResult, ListedEndpoint};
use crate::upstream::servers::ServerStatus;
use liftrouter_decision::{EndpointId, EndpointState, Event, Outcome, RequestId};
use std::collections::HashSet;

/// Endpoints that accept no new requests after an update.
#[derive(Default)]
struct Withdrawn {
    removed: HashSet<EndpointId>,
    draining: HashSet<EndpointId>,
}

/// An attempt in flight that has to be aborted, because its endpoint was withdrawn.
struct InvalidatedAttempt {
    id: RequestId,
    number: u32,
    /// Whether the request was written completely.
    sent: bool,
}

impl Host {
    /// Applies an update of the list. Aborts the attempts in flight at removed endpoints, and those at draining
    /// endpoints whose request is not written completely: neither kind of endpoint may receive anything new.
    pub(super) fn update_endpoints(&mut self, complete: bool, listed: Vec<ListedEndpoint>) {
        let withdrawn = self.update_servers(complete, &listed);
        // The module gets the list first, because it reacts to the result of an aborted attempt by starting a new one.
        let entries = listed.into_iter().map(|endpoint| endpoint.entry).collect();
        self.dispatch(if complete { Event::EndpointList(entries) } else { Event::EndpointChanges(entries) });
        for InvalidatedAttempt { id, number, sent } in self.invalidated_attempts(&withdrawn) {
            // Handling the result of an earlier attempt in this loop may have ended this one.
            if !self.abort_attempt(id, number) {
                continue;
            }
            let outcome = if sent { Outcome::Reset } else { Outcome::ConnectFailed };
            self.attempt_ended(id, number, AttemptResult::without_response(outcome));
            self.run_pending();
        }
    }

    /// Updates the table of servers, and returns the endpoints that accept no new requests any more.
    fn update_servers(&self, complete: bool, listed: &[ListedEndpoint]) -> Withdrawn {
        let servers = &self.clients.servers;
        let mut withdrawn = Withdrawn::default();
        for ListedEndpoint { entry, address } in listed {
            let status = ServerStatus { address: *address, state: entry.state, started_at: entry.started_at };
            servers.set_status(&entry.id, status);
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

    /// The attempts that have to be aborted. An attempt whose result is in the event queue is left out, because that
    /// result may be a success.
    fn invalidated_attempts(&self, withdrawn: &Withdrawn) -> Vec<InvalidatedAttempt> {
        let running = self.requests.iter().filter_map(|(id, open)| Some((*id, open.running.as_ref()?)));
        let invalidated = running.filter_map(|(id, running)| {
            let sent = running.attempt.is_sent();
            let removed = withdrawn.removed.contains(&running.endpoint);
            let draining = withdrawn.draining.contains(&running.endpoint);
            let is_invalidated = (removed || (draining && !sent)) && !running.attempt.is_reported();
            is_invalidated.then_some(InvalidatedAttempt { id, number: running.number, sent })
        });
        invalidated.collect()
    }
}
