//! What a limiter needs: requests, settings, the list of servers, and all control together.

use super::{
    need, Carries, Need, Page, Role, BY_SERVICE, LONGEST_MESSAGE, MILLISECOND_US, SETTINGS,
    SURVEYS_PER_SECOND, TODAY,
};
use crate::capacity::formula::Term;
use crate::capacity::records::RecordError;
use crate::table::number;

impl Page<'_> {
    pub(super) fn request_path(&self) -> Result<Vec<Need>, RecordError> {
        Ok([self.decisions()?, self.added_time()?].concat())
    }

    fn decisions(&self) -> Result<Vec<Need>, RecordError> {
        let most = self.budget.request.added_p99_ms * MILLISECOND_US;
        let today = (TODAY, Carries::Today);
        let role = Role::RequestPath;
        let pause = self.decision("survey.cpu_us")?.plus(self.decision("decision.cpu_us")?);
        let reading =
            self.term(("slope-list-bytes", "read_list.cpu_us", "servers"), self.budget.fleet.servers)?;
        let whole = reading.plus(self.decision("whole_list.cpu_us")?);
        let per_limiter = self.budget.fleet.requests_per_second / self.budget.fleet.limiters;
        let busy = self
            .decision("decision.cpu_us")?
            .times(per_limiter, &format!("{} requests a second", number(per_limiter)));
        Ok(vec![
            need(
                role,
                "a decision among all listed servers",
                "us",
                self.decision("decision.cpu_us")?,
                most,
                today,
            ),
            need(
                role,
                "a decision that waits for a survey (the host has one thread)",
                "us",
                pause,
                most,
                today,
            ),
            need(
                role,
                "a request that waits while a whole list is taken in: at a start or a reset, so not one in 100",
                "us",
                whole,
                None,
                today,
            ),
            need(role, "processor time of decisions, no control", "us/s", busy, None, today),
        ])
    }

    /// What a limiter adds to a request on loopback, by the size of the fleet and by that of the list.
    fn added_time(&self) -> Result<Vec<Need>, RecordError> {
        let fleet = &self.budget.fleet;
        let (today, by_service) = ((TODAY, Carries::Today), (BY_SERVICE, Carries::WhenTurnedOn));
        let added = |record, variable, size| self.term((record, "request.added_p99_ms", variable), size);
        let whole = added("whole-limiters", "limiters", fleet.limiters)?;
        let whole_list = added("whole-servers", "servers", fleet.servers)?;
        let service = added("service-limiters", "limiters", fleet.limiters)?;
        let service_list = added("service-servers", "servers", fleet.servers)?;
        let row = |what, term, mechanism| {
            let what = format!("added to a request for 99 in 100 on loopback, {what}");
            need(Role::RequestPath, what, "ms", term, self.budget.request.added_p99_ms, mechanism)
        };
        Ok(vec![
            row("whole lists, by limiters", whole, today),
            row("whole lists, by listed servers (100 limiters)", whole_list, today),
            row("lists by service, by limiters", service, by_service),
            row("lists by service, by listed servers (100 limiters)", service_list, by_service),
        ])
    }

    pub(super) fn routes(&self) -> Result<Vec<Need>, RecordError> {
        let routes = self.budget.fleet.routes;
        let of = |quantity| self.term(("slope-settings", quantity, "entries"), routes);
        let not_yet = (SETTINGS, Carries::NotYet);
        let cpu = self.budget.cpu_us_per_second();
        let survey = of("survey.cpu_us")?.times(SURVEYS_PER_SECOND, "20 surveys a second");
        let role = Role::Routes;
        Ok(vec![
            need(
                role,
                "memory, each route a class and a plan",
                "KB",
                of("settings.resident_kb")?,
                self.budget.memory_kb(),
                not_yet,
            ),
            need(role, "surveys, each route a class, 55 servers", "us/s", survey, cpu, not_yet),
            need(
                role,
                "a decision, each route a class, 55 servers",
                "us",
                of("decision.cpu_us")?,
                self.budget.request.added_p99_ms * MILLISECOND_US,
                not_yet,
            ),
            need(
                role,
                "settings sent whole at the allowance on a change",
                "s",
                self.at_allowance(of("settings.bytes")?),
                self.budget.configuration.in_force_s,
                not_yet,
            ),
        ])
    }

    pub(super) fn list_today(&self) -> Result<Vec<Need>, RecordError> {
        let (budget, servers) = (self.budget, self.budget.fleet.servers);
        let (role, today) = (Role::List, (TODAY, Carries::Today));
        let in_force = budget.configuration.in_force_s;
        let rate = budget.changes_per_second();
        let per_second = &self.words().changes;
        let memory = |quantity| self.term(("slope-list-memory", quantity, "servers"), servers);
        let kept = memory("limiter.resident_kb")?.plus(memory("catalog.resident_kb")?);
        let survey = self.decision("survey.cpu_us")?.times(SURVEYS_PER_SECOND, "20 surveys a second");
        let changes = self.decision("change.cpu_us")?.times(rate, per_second);
        let bytes = self.change_bytes()?.times(rate, per_second);
        let whole = self.list_bytes(servers)?;
        Ok(vec![
            need(
                role,
                "a whole list at the allowance (start, reset)",
                "s",
                self.at_allowance(whole.clone()),
                in_force,
                today,
            ),
            need(
                role,
                "a whole list in one message, against the longest that is taken",
                "B",
                whole,
                LONGEST_MESSAGE,
                today,
            ),
            need(role, "changes, the day's mean", "B/s", bytes, budget.limiter.bytes_per_second, today),
            need(role, "surveys of the list", "us/s", survey, budget.cpu_us_per_second(), today),
            need(
                role,
                "taking in changes, the day's mean",
                "us/s",
                changes,
                budget.cpu_us_per_second(),
                today,
            ),
            need(
                role,
                "memory at its peak while a whole list is taken in",
                "KB",
                memory("intake.peak_kb")?,
                budget.memory_kb(),
                today,
            ),
            need(role, "memory that stays: limiter and catalog", "KB", kept, budget.memory_kb(), today),
        ])
    }

    /// The same with lists by service: one service a limiter, and fifty.
    pub(super) fn list_by_service(&self) -> Result<Vec<Need>, RecordError> {
        let (budget, role, by_relays) = (self.budget, Role::List, (BY_SERVICE, Carries::WhenTurnedOn));
        let in_force = budget.configuration.in_force_s;
        let one = budget.servers_per_service().round();
        let some = one * budget.assumed.services_of_a_limiter;
        let survey = |record| move |size| self.term((record, "survey.cpu_us", "servers"), size);
        let surveys = |term: Term| term.times(SURVEYS_PER_SECOND, "20 surveys a second");
        let peak = self.term(("slope-list-memory", "intake.peak_kb", "servers"), some)?;
        let cpu = budget.cpu_us_per_second();
        Ok(vec![
            need(
                role,
                "by service, one service: whole list at the allowance",
                "s",
                self.at_allowance(self.list_bytes(one)?),
                in_force,
                by_relays,
            ),
            need(
                role,
                "by service, 50 services: whole lists at the allowance",
                "s",
                self.at_allowance(self.list_bytes(some)?),
                in_force,
                by_relays,
            ),
            need(
                role,
                "by service, one service: surveys",
                "us/s",
                surveys(survey("slope-decision-service")(one)?),
                cpu,
                by_relays,
            ),
            need(
                role,
                "by service, 50 services: surveys",
                "us/s",
                surveys(survey("slope-decision")(some)?),
                cpu,
                by_relays,
            ),
            need(
                role,
                "by service, 50 services: memory at its peak",
                "KB",
                peak,
                budget.memory_kb(),
                by_relays,
            ),
        ])
    }

    pub(super) fn control_in_all(&self) -> Result<Vec<Need>, RecordError> {
        let (budget, role, today) = (self.budget, Role::Limiter, (TODAY, Carries::Today));
        let servers = budget.fleet.servers;
        let rate = budget.changes_per_second();
        let survey = self.decision("survey.cpu_us")?.times(SURVEYS_PER_SECOND, "20 surveys a second");
        let cpu = survey.plus(self.decision("change.cpu_us")?.times(rate, &self.words().changes));
        let changes = self.change_bytes()?.times(rate, &self.words().changes);
        let wide = &self.spreads()[1];
        let calls = self.term((wide.record, "counter.bytes_per_s", "tenants"), wide.tenants)?;
        let peak = self.term(("slope-list-memory", "intake.peak_kb", "servers"), servers)?;
        let tenants = self.term((wide.record, "tenants.resident_kb", "tenants"), wide.tenants)?;
        let all = &self.spreads()[2];
        let all_tenants = self.term((all.record, "tenants.resident_kb", "tenants"), all.tenants)?;
        let on_loopback = |quantity| self.term(("whole-servers", quantity, "servers"), servers);
        let behind_relays = |quantity| self.term(("service-servers", quantity, "servers"), servers);
        let by_relays = (BY_SERVICE, Carries::WhenTurnedOn);
        let percent = budget.limiter.core_share * 100.0;
        let (most_memory, most_bytes) = (budget.memory_kb(), budget.limiter.bytes_per_second);
        Ok(vec![
            need(role, "processor time: surveys and changes", "us/s", cpu, budget.cpu_us_per_second(), today),
            need(
                role,
                "bytes: changes and counter calls, tenants through 64",
                "B/s",
                changes.plus(calls),
                most_bytes,
                today,
            ),
            need(
                role,
                "memory: list at its peak and tenants through 64, without the process itself",
                "KB",
                peak.clone().plus(tenants),
                most_memory,
                today,
            ),
            need(
                role,
                "memory: list at its peak and tenants through all, without the process itself",
                "KB",
                peak.plus(all_tenants),
                most_memory,
                today,
            ),
            need(
                role,
                "processor time of a hollow limiter on loopback, by listed servers (100 limiters)",
                "% of a core",
                on_loopback("limiter.cpu_percent")?,
                percent,
                today,
            ),
            need(
                role,
                "memory of a hollow limiter on loopback, by listed servers",
                "KB",
                on_loopback("limiter.rss_kb")?,
                most_memory,
                today,
            ),
            need(
                role,
                "processor time of a hollow limiter on loopback, lists by service, by listed servers (100 limiters)",
                "% of a core",
                behind_relays("limiter.cpu_percent")?,
                percent,
                by_relays,
            ),
            need(
                role,
                "memory of a hollow limiter on loopback, lists by service, by listed servers",
                "KB",
                behind_relays("limiter.rss_kb")?,
                most_memory,
                by_relays,
            ),
        ])
    }
}
