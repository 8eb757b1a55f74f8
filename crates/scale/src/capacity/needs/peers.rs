//! What a limiter needs for tenants, the counter, membership and probes.

use super::{need, Carries, Need, Page, Role, COUNTER, GOSSIP, MOST_MEMBERS, PROBE_NEWS_BYTES};
use crate::capacity::formula::Term;
use crate::capacity::records::RecordError;
use crate::table::number;

impl Page<'_> {
    pub(super) fn tenants(&self) -> Result<Vec<Need>, RecordError> {
        let budget = self.budget;
        let (role, today) = (Role::Tenants, (COUNTER, Carries::Today));
        let mut all = Vec::new();
        for spread in self.spreads() {
            let term = |quantity| self.term((spread.record, quantity, "tenants"), spread.tenants);
            let memory = format!("memory, tenants through {} limiters", spread.words);
            let calls = format!("counter calls, tenants through {} limiters", spread.words);
            all.push(need(role, memory, "KB", term("tenants.resident_kb")?, budget.memory_kb(), today));
            let bytes = budget.limiter.bytes_per_second;
            all.push(need(role, calls, "B/s", term("counter.bytes_per_s")?, bytes, today));
        }
        let quota = ("slope-quota", "quota.admitted_ratio", "limiters");
        for (width, words) in [(budget.assumed.tenant_width_narrow, "8"), (budget.fleet.limiters, "all")] {
            let what =
                format!("let through of what the quota allows, asked for twice, through {words} limiters");
            all.push(need(role, what, "times", self.term(quota, width)?, None, today));
        }
        Ok(all)
    }

    pub(super) fn membership(&self) -> Result<Vec<Need>, RecordError> {
        let budget = self.budget;
        let limiters = budget.fleet.limiters;
        let (role, off) = (Role::Membership, (GOSSIP, Carries::WhenTurnedOn));
        let of = |quantity| self.term(("slope-gossip", quantity, "members"), limiters);
        let known = Term::given(limiters, &self.words().limiters);
        Ok(vec![
            need(role, "members, against the most that one knows", "members", known, MOST_MEMBERS, off),
            need(
                role,
                "gossip sent",
                "B/s",
                of("gossip.sent_bytes_per_s")?,
                budget.limiter.bytes_per_second,
                off,
            ),
            need(
                role,
                "processor time, with that of the simulation",
                "us/s",
                of("gossip.cpu_us_per_s")?,
                budget.cpu_us_per_second(),
                off,
            ),
            need(role, "memory", "KB", of("gossip.resident_kb_per_member")?, budget.memory_kb(), off),
        ])
    }

    pub(super) fn probes(&self) -> Vec<Need> {
        let budget = self.budget;
        let rate = budget.fleet.servers / (budget.assumed.probe_ms / 1_000.0);
        let news = Term::given(
            rate * PROBE_NEWS_BYTES,
            &format!("{} probes a second × {PROBE_NEWS_BYTES} B told to every limiter", number(rate)),
        );
        let own = Term::given(
            rate / budget.fleet.limiters,
            &format!("{} probes a second / {}", number(rate), self.words().limiters),
        );
        let off = (GOSSIP, Carries::WhenTurnedOn);
        vec![
            need(
                Role::Probes,
                "news of probes, each server once a second",
                "B/s",
                news,
                budget.limiter.bytes_per_second,
                off,
            ),
            need(Role::Probes, "own probes, divided among all", "probes/s", own, None, off),
        ]
    }
}
