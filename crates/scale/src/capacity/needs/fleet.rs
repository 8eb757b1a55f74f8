//! What discovery, the counter, the control machines and the servers need.

use super::{
    need, Carries, Need, Page, Role, BY_SERVICE, COUNTER, INSTANCES_PER_ENDPOINT, MILLISECOND_US,
    MIN_SUBSET_SIZE, SOCKETS, TODAY,
};
use crate::capacity::formula::Term;
use crate::capacity::records::RecordError;
use crate::capacity::slope_list::{STUDY_LIMITERS, STUDY_WORK_S};
use crate::table::number;

impl Page<'_> {
    pub(super) fn discovery(&self) -> Result<Vec<Need>, RecordError> {
        let (budget, role, today) = (self.budget, Role::Discovery, (TODAY, Carries::Today));
        let limiters = budget.fleet.limiters;
        let work = STUDY_WORK_S * limiters / STUDY_LIMITERS;
        let told = self.term(("slope-discovery-calls", "last_told.s", "work_s"), work)?;
        let whole = self.list_bytes(budget.fleet.servers)?;
        let at_once = whole
            .times(limiters, &self.words().limiters)
            .over(budget.configuration.in_force_s, &self.words().in_force);
        let changes = self.change_bytes()?.times(limiters, &self.words().limiters);
        let changes = changes.times(budget.changes_per_second(), &self.words().changes);
        let in_force = budget.configuration.in_force_s;
        let reach = ("whole-limiters", "lag.p999_ms", "limiters");
        let by_size = ("whole-servers", "lag.p999_ms", "servers");
        let milliseconds = in_force * MILLISECOND_US;
        Ok(vec![
            need(
                role,
                "on request: the last limiter told after an outage, at 26.7 ms of the service a call",
                "s",
                told,
                in_force,
                today,
            ),
            need(role, "whole lists to all within 8 s", "B/s", at_once, None, today),
            need(role, "changes to all, the day's mean", "B/s", changes, None, today),
            need(
                role,
                "a change everywhere for 99.9 in 100, on loopback, by limiters",
                "ms",
                self.term(reach, limiters)?,
                milliseconds,
                today,
            ),
            need(
                role,
                "a change everywhere for 99.9 in 100, on loopback, by listed servers (100 limiters)",
                "ms",
                self.term(by_size, budget.fleet.servers)?,
                milliseconds,
                today,
            ),
        ])
    }

    pub(super) fn counter(&self) -> Result<Vec<Need>, RecordError> {
        let mut all = Vec::new();
        for spread in self.spreads() {
            let calls = self.term((spread.record, "counter.calls_per_s", "tenants"), spread.tenants)?;
            let calls = calls.times(self.budget.fleet.limiters, &self.words().limiters);
            let what = format!("calls, tenants through {} limiters", spread.words);
            all.push(need(Role::Counter, what, "calls/s", calls, None, (COUNTER, Carries::Today)));
        }
        Ok(all)
    }

    pub(super) fn control_machines(&self) -> Result<Vec<Need>, RecordError> {
        let (budget, role, by_relays) = (self.budget, Role::Control, (BY_SERVICE, Carries::WhenTurnedOn));
        let (limiters, machines) = (budget.fleet.limiters, budget.control.machines);
        let children = Term::given(
            limiters / machines,
            &format!("{} limiters / {} machines", number(limiters), number(machines)),
        );
        let changes = self.change_bytes()?.times(budget.changes_per_second(), &self.words().changes);
        let out = changes.times(
            limiters / machines,
            &format!("{} limiters that follow every service", number(limiters / machines)),
        );
        let reach = self.term(("service-limiters", "lag.p999_ms", "limiters"), limiters)?;
        let discovery = self.term(("whole-limiters", "discovery.cpu_percent", "limiters"), limiters)?;
        let relays = self.term(("service-limiters", "discovery.cpu_percent", "limiters"), limiters)?;
        let reach_by_servers =
            self.term(("service-servers", "lag.p999_ms", "servers"), budget.fleet.servers)?;
        let relays_cpu = self.term(("service-limiters", "relay.cpu_percent", "limiters"), limiters)?;
        let relay_memory =
            self.term(("service-servers", "relay.largest_rss_mb", "servers"), budget.fleet.servers)?;
        let all_cores = None;
        Ok(vec![
            need(role, "limiters that one machine serves", "limiters", children, None, by_relays),
            need(role, "changes sent on by one machine, at most", "B/s", out, None, by_relays),
            need(
                role,
                "a change everywhere for 99.9 in 100, lists by service",
                "ms",
                reach,
                budget.configuration.in_force_s * MILLISECOND_US,
                by_relays,
            ),
            need(
                role,
                "a change everywhere for 99.9 in 100, lists by service, by listed servers (100 limiters)",
                "ms",
                reach_by_servers,
                budget.configuration.in_force_s * MILLISECOND_US,
                by_relays,
            ),
            need(
                role,
                "processor time of all relays together",
                "% of a core",
                relays_cpu,
                all_cores,
                by_relays,
            ),
            need(role, "memory of the largest relay, by listed servers", "MB", relay_memory, None, by_relays),
            need(
                role,
                "discovery's processor time, whole lists",
                "% of a core",
                discovery,
                all_cores,
                (TODAY, Carries::Today),
            ),
            need(
                role,
                "discovery's processor time, lists by service",
                "% of a core",
                relays,
                all_cores,
                by_relays,
            ),
        ])
    }

    /// Messages of the source: to each limiter today, to each control machine with relays.
    pub(super) fn source(&self) -> Vec<Need> {
        let (budget, role) = (self.budget, Role::Source);
        let rate = budget.changes_per_second();
        let words = self.words();
        let machines = budget.control.machines;
        let today = Term::given(rate, &words.changes).times(budget.fleet.limiters, &words.limiters);
        let relays =
            Term::given(rate, &words.changes).times(machines, &format!("{} machines", number(machines)));
        vec![
            need(role, "changes to each limiter", "messages/s", today, None, (TODAY, Carries::Today)),
            need(
                role,
                "changes to each control machine",
                "messages/s",
                relays,
                None,
                (BY_SERVICE, Carries::WhenTurnedOn),
            ),
        ]
    }

    /// Connections by services of a limiter.
    pub(super) fn servers(&self) -> Vec<Need> {
        let fleet = &self.budget.fleet;
        let today = (fleet.servers * INSTANCES_PER_ENDPOINT / fleet.limiters).ceil().max(MIN_SUBSET_SIZE);
        let flat = Term::given(
            today,
            &format!(
                "{} servers × {INSTANCES_PER_ENDPOINT} / {} limiters, rounded up",
                number(fleet.servers),
                number(fleet.limiters)
            ),
        );
        let mut all = vec![need(
            Role::Servers,
            "servers that a limiter uses, one flat list",
            "connections",
            flat,
            SOCKETS,
            (TODAY, Carries::Today),
        )];
        for services in [1.0, self.budget.assumed.services_of_a_limiter, fleet.services] {
            let sharing = fleet.limiters * services / fleet.services;
            let of_service = self.budget.servers_per_service().round();
            let subset = (of_service * INSTANCES_PER_ENDPOINT / sharing)
                .ceil()
                .clamp(MIN_SUBSET_SIZE.min(of_service), of_service);
            let used = Term::given(subset * services, "services × the subset of each service's 55 servers");
            let seen =
                Term::given(sharing * subset / of_service, "limiters of the service × subset / 55 servers");
            let not_yet = (
                "subsets of servers by service (`INSTANCES_PER_ENDPOINT` 48, `MIN_SUBSET_SIZE` 8 in `crates/decision`)",
                Carries::NotYet,
            );
            let what = format!("servers that a limiter uses, {services} services a limiter");
            all.push(need(Role::Servers, what, "connections", used, SOCKETS, not_yet));
            let what = format!("limiters that use a server, {services} services a limiter");
            all.push(need(Role::Servers, what, "connections", seen, None, not_yet));
        }
        all
    }
}
