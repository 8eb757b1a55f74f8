//! Faults and bursts as load on a limiter.

use super::{need, Carries, Need, Page, Role, BY_SERVICE, TODAY};
use crate::budget::DAY;
use crate::capacity::formula::Term;
use crate::capacity::records::RecordError;
use crate::table::number;

impl Page<'_> {
    pub(super) fn faults(&self) -> Result<Vec<Need>, RecordError> {
        let (budget, role, today) = (self.budget, Role::Fault, (TODAY, Carries::Today));
        let in_force = budget.configuration.in_force_s;
        let cpu = budget.cpu_us_per_second();
        let allowance = budget.limiter.bytes_per_second;
        let restarts = budget.failures.restarts_per_day * budget.assumed.messages_per_restart / DAY;
        let changes_cpu = |count: f64, words: &str| -> Result<Term, RecordError> {
            Ok(self.decision("change.cpu_us")?.times(count, words).over(in_force, &self.words().in_force))
        };
        let changes_bytes = |count: f64, words: &str| -> Result<Term, RecordError> {
            Ok(self.change_bytes()?.times(count, words))
        };
        let zone = budget.fleet.servers / budget.fleet.zones;
        let missed = budget.changes_per_second() * budget.failures.regions_apart_s;
        let (burst, rack) = (budget.assumed.burst_changes, budget.assumed.servers_per_rack);
        let zone_bytes = self.at_allowance(self.list_bytes(zone.round())?);
        let apart =
            self.at_allowance(changes_bytes(missed, &format!("{} changes in an hour", number(missed)))?);
        let of_service = self.list_bytes((zone / budget.fleet.services).round())?;
        let by_relays = (BY_SERVICE, Carries::WhenTurnedOn);
        Ok(vec![
            need(
                role,
                "rolling restart, 12,000 a day: bytes",
                "B/s",
                changes_bytes(restarts, &format!("{} restart messages a second", number(restarts)))?,
                allowance,
                today,
            ),
            need(
                role,
                "rolling restart, 12,000 a day: processor time",
                "us/s",
                self.decision("change.cpu_us")?
                    .times(restarts, &format!("{} restart messages a second", number(restarts))),
                cpu,
                today,
            ),
            need(
                role,
                "100 changes in a second, spread over 8 s: bytes",
                "B/s",
                changes_bytes(burst, &number(burst))?.over(in_force, &self.words().in_force),
                allowance,
                today,
            ),
            need(
                role,
                "100 changes in a second, spread over 8 s: processor time",
                "us/s",
                changes_cpu(burst, &number(burst))?,
                cpu,
                today,
            ),
            need(
                role,
                "a rack of 40 servers, spread over 8 s: processor time",
                "us/s",
                changes_cpu(rack, &number(rack))?,
                cpu,
                today,
            ),
            need(
                role,
                "a zone returns, one change each, spread over 8 s: processor time",
                "us/s",
                changes_cpu(zone, &format!("{} servers", number(zone)))?,
                cpu,
                today,
            ),
            need(
                role,
                "a zone returns in one message, spread over 8 s: processor time of the list",
                "us/s",
                self.decision("whole_list.cpu_us")?.over(in_force, &self.words().in_force),
                cpu,
                today,
            ),
            need(role, "a zone returns: its servers at the allowance", "s", zone_bytes, in_force, today),
            need(
                role,
                "regions together again after an hour: what changed, at the allowance",
                "s",
                apart,
                in_force,
                today,
            ),
            need(
                role,
                "a zone returns, by service, one service a limiter: at the allowance",
                "s",
                self.at_allowance(of_service),
                in_force,
                by_relays,
            ),
        ])
    }
}
