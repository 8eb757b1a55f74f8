//! What each role needs at the operators' size, against its budget.

mod faults;
mod fleet;
mod limiter;
mod peers;

use super::formula::Term;
use super::records::{RecordError, Records};
use crate::budget::{Budget, Verdict};
use crate::table::number;

/// Surveys of the list a second: the decision module wakes itself each 50 ms.
const SURVEYS_PER_SECOND: f64 = 20.0;
/// The longest message of discovery that the program takes, `MAX_MESSAGE_BYTES` in `crates/daemon/src/discovery/upstream.rs`.
const LONGEST_MESSAGE: f64 = (4 << 20) as f64;
/// The most members that one knows, `MAX_MEMBERS` in `crates/cluster/src/gossip.rs`.
const MOST_MEMBERS: f64 = 4_096.0;
/// The fewest servers that a limiter uses, and limiters that share one: `MIN_SUBSET_SIZE` and `INSTANCES_PER_ENDPOINT` in
/// `crates/decision/src/endpoints/subset.rs`.
const MIN_SUBSET_SIZE: f64 = 8.0;
const INSTANCES_PER_ENDPOINT: f64 = 48.0;
/// Sockets of a limiter in `deploy/sample-config.json`.
const SOCKETS: f64 = 1_024.0;
/// Bytes that tell a member of one probe: the server's name, the outcome, and three load values.
const PROBE_NEWS_BYTES: f64 = 60.0;
const MILLISECOND_US: f64 = 1_000.0;

/// Who has the need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A limiter's request path.
    RequestPath,
    /// A limiter's settings: classes and plans.
    Routes,
    /// A limiter's list of servers.
    List,
    /// A limiter's tenants and its calls of the counter.
    Tenants,
    /// A limiter's membership by gossip.
    Membership,
    /// A limiter's probes of servers.
    Probes,
    /// All control of a limiter.
    Limiter,
    /// The discovery service and its agents.
    Discovery,
    /// The counter.
    Counter,
    /// The machines that are set aside for control, and relays on them.
    Control,
    /// Where configuration comes from.
    Source,
    /// The servers behind.
    Servers,
    /// A fault as load.
    Fault,
}

impl Role {
    /// As the page calls it.
    pub fn name(self) -> &'static str {
        match self {
            Role::RequestPath => "limiter: request path",
            Role::Routes => "limiter: routes",
            Role::List => "limiter: list of servers",
            Role::Tenants => "limiter: tenants and counter calls",
            Role::Membership => "limiter: membership",
            Role::Probes => "limiter: probes",
            Role::Limiter => "limiter: control in all",
            Role::Discovery => "discovery and its agents",
            Role::Counter => "counter",
            Role::Control => "control machines and relays",
            Role::Source => "configuration's source",
            Role::Servers => "servers",
            Role::Fault => "fault as load",
        }
    }
}

/// Whether the program serves by the part today.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carries {
    /// Every limiter does.
    Today,
    /// It is there, and off unless an operator turns it on.
    WhenTurnedOn,
    /// The program has no such thing; the row says what it would cost.
    NotYet,
}

impl Carries {
    /// As the page calls it.
    pub fn name(self) -> &'static str {
        match self {
            Carries::Today => "yes",
            Carries::WhenTurnedOn => "off by default",
            Carries::NotYet => "no",
        }
    }
}

/// One need.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// Who.
    pub role: Role,
    /// What, and under which assumption.
    pub what: String,
    /// Unit of need and budget.
    pub unit: &'static str,
    /// How much, and how that was worked out.
    pub term: Term,
    /// What it may be; none where the operators gave no figure.
    pub budget: Option<f64>,
    /// The mechanism that carries it.
    pub mechanism: &'static str,
    /// Whether it carries today's service.
    pub carries: Carries,
}

impl Need {
    /// Whether it holds.
    pub fn verdict(&self) -> Verdict {
        Verdict::of(self.term.value, self.budget, self.term.stretch)
    }

    /// Nothing that was measured went in, or only a paper factor.
    pub fn is_paper(&self) -> bool {
        self.term.stretch == 0.0 && self.term.value.is_some()
    }
}

const TODAY: &str =
    "one flat list at every limiter (`Fleet` in `crates/decision`), whole lists and changes from discovery";
const BY_SERVICE: &str =
    "subscriptions by service through relays, with deltas and digests (`crates/catalog`)";
const COUNTER: &str = "calls of the counter by share of the tries (`Quota` in `crates/decision`)";
const GOSSIP: &str = "SWIM gossip among all limiters (`crates/cluster`)";
const SETTINGS: &str = "settings read once at start (`Settings` in `crates/decision`)";

/// All needs, in the order of the roles.
///
/// # Errors
/// A record that cannot be fitted.
pub fn needs(records: &Records, budget: &Budget) -> Result<Vec<Need>, RecordError> {
    let page = Page { records, budget };
    let mut all = page.request_path()?;
    all.extend(page.routes()?);
    all.extend(page.list_today()?);
    all.extend(page.list_by_service()?);
    all.extend(page.tenants()?);
    all.extend(page.membership()?);
    all.extend(page.probes());
    all.extend(page.control_in_all()?);
    all.extend(page.discovery()?);
    all.extend(page.counter()?);
    all.extend(page.control_machines()?);
    all.extend(page.source());
    all.extend(page.servers());
    all.extend(page.faults()?);
    Ok(all)
}

struct Page<'a> {
    records: &'a Records,
    budget: &'a Budget,
}

/// Builds one need; short for the many of them.
fn need(
    role: Role,
    what: impl Into<String>,
    unit: &'static str,
    term: Term,
    budget: impl Into<Option<f64>>,
    (mechanism, carries): (&'static str, Carries),
) -> Need {
    Need { role, what: what.into(), unit, term, budget: budget.into(), mechanism, carries }
}

/// Factors in words.
struct Words {
    allowance: String,
    changes: String,
    limiters: String,
    in_force: String,
}

impl Page<'_> {
    fn words(&self) -> Words {
        Words {
            allowance: format!("{} B/s", number(self.budget.limiter.bytes_per_second)),
            changes: format!("{} changes a second", number(self.budget.changes_per_second())),
            limiters: format!("{} limiters", number(self.budget.fleet.limiters)),
            in_force: format!("{} s", number(self.budget.configuration.in_force_s)),
        }
    }

    fn term(&self, key: (&str, &str, &str), size: f64) -> Result<Term, RecordError> {
        Term::measured(self.records, key, size)
    }

    /// A quantity of the record `slope-decision` at all servers.
    fn decision(&self, quantity: &str) -> Result<Term, RecordError> {
        self.term(("slope-decision", quantity, "servers"), self.budget.fleet.servers)
    }

    fn list_bytes(&self, servers: f64) -> Result<Term, RecordError> {
        self.term(("slope-list-bytes", "whole_list.bytes", "servers"), servers)
    }

    fn change_bytes(&self) -> Result<Term, RecordError> {
        self.term(("slope-list-bytes", "change.bytes", "servers"), self.budget.fleet.servers)
    }

    /// Seconds that bytes take at the limiter's allowance.
    fn at_allowance(&self, bytes: Term) -> Term {
        bytes.over(self.budget.limiter.bytes_per_second, &self.words().allowance)
    }

    fn spreads(&self) -> [Spread; 3] {
        let tenants = |width: f64| self.budget.tenants_per_limiter(width).round();
        let assumed = &self.budget.assumed;
        [
            Spread { record: "slope-tenants-w8", words: "8", tenants: tenants(assumed.tenant_width_narrow) },
            Spread { record: "slope-tenants-w64", words: "64", tenants: tenants(assumed.tenant_width_wide) },
            Spread { record: "slope-tenants-w7100", words: "all", tenants: self.budget.fleet.tenants },
        ]
    }
}

/// How tenants are spread over the limiters.
struct Spread {
    record: &'static str,
    words: &'static str,
    /// Tenants that come to one limiter.
    tenants: f64,
}
