//! The operator's own file: what the platform does not tell. TOML, checked whole at the start; without it the
//! limiter is as the platform wants it.

mod relays;

use crate::fronts::grpc::Limits;
use crate::group::Setup;
use crate::membership::file::Source;
use crate::peers::authoriser::{Asked, WhenUnsure};
use liftrouter_authz::{BreakerPolicy, FrameLimits, Mapping, Rules};
use liftrouter_decision::Settings;
use liftrouter_inventory::{Form, Policy};
use liftrouter_keeper::{Order, Pace as CallPace, Terms};
use liftrouter_members::swim::Pace;
pub use relays::Relays;
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct File {
    inventory: Option<Spanned<Inventory>>,
    grpc: Option<GrpcFile>,
    #[serde(default)]
    authoriser: Vec<AuthoriserFile>,
    keeper: Option<KeeperFile>,
    members: Option<Spanned<MembersFile>>,
    relays: Option<Spanned<relays::RelaysFile>>,
}

/// `[members]`: this limiter and the others know of each other.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MembersFile {
    name: String,
    listen: Spanned<String>,
    join: Vec<Spanned<String>>,
    #[serde(default)]
    voters: Vec<Spanned<String>>,
    expected: Option<Spanned<u64>>,
    slots: Option<Spanned<u64>>,
    period_ms: Option<Spanned<u64>>,
    late_ms: Option<Spanned<u64>>,
    suspicion_ms: Option<Spanned<u64>>,
    term_ms: Option<Spanned<u64>>,
    drift: Option<Spanned<f64>>,
    ask: Option<PathBuf>,
    probe_ms: Option<Spanned<u64>>,
    via: Option<Spanned<String>>,
}

/// `[keeper]`: what the keeper says is judged by calls of the limiter's own.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeeperFile {
    every_ms: Option<Spanned<u64>>,
    roll_ms: Option<Spanned<u64>>,
    misses: Option<Spanned<u64>>,
    sure: Option<Spanned<u64>>,
    #[serde(default)]
    others: Vec<Spanned<String>>,
    patience_ms: Option<Spanned<u64>>,
    settle_s: Option<Spanned<u64>>,
    most_settle_s: Option<Spanned<u64>>,
    jitter_ms: Option<Spanned<u64>>,
    calls_per_s: Option<Spanned<u64>>,
    rise_ms: Option<Spanned<u64>>,
}

/// How keepers are judged and followed.
pub struct Judged {
    /// Who judges is still to be told.
    pub terms: Terms,
    /// When the keeper is changed.
    pub order: Order,
    /// The keepers behind the one that the configuration names, in order.
    pub others: Vec<SocketAddr>,
    /// Calls a second that a keeper takes, if stated, and the seconds over which they come back after a silence.
    calls_per_s: Option<f64>,
    rise: f64,
}

impl Judged {
    /// How calls are spread by each of so many limiters, if they are.
    pub fn pace(&self, limiters: u32) -> Option<CallPace> {
        let calls_per_s = self.calls_per_s?;
        // What judges call is not spread: a call each time, and little beside customers'.
        let judging = f64::from(limiters.max(1)) / self.terms.every;
        let calls_per_s = (calls_per_s - judging).max(0.1 * calls_per_s);
        Some(CallPace { calls_per_s, limiters: limiters.max(1), rise: self.rise })
    }
}

/// Keepers behind the first, at most.
const MOST_OTHERS: usize = 7;

/// `[[authoriser]]`: a service that is asked about requests of some classes first.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AuthoriserFile {
    name: String,
    address: Spanned<String>,
    classes: BTreeMap<Spanned<String>, Spanned<String>>,
    connections: Option<Spanned<u64>>,
    questions: Option<Spanned<u64>>,
    timeout_ms: Option<Spanned<u64>>,
    message_kb: Option<Spanned<u64>>,
    failures: Option<Spanned<u64>>,
    rest_ms: Option<Spanned<u64>>,
    most_rest_ms: Option<Spanned<u64>>,
}

/// `[inventory]`: the nodes come from this file, and discovery is not asked.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Inventory {
    csv: Option<PathBuf>,
    yaml: Option<PathBuf>,
    quiet_ms: Option<Spanned<u64>>,
    most_removed: Option<Spanned<f64>>,
    poll_ms: Option<Spanned<u64>>,
}

/// `[grpc]`: external authorisation is answered here.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GrpcFile {
    listen: Spanned<String>,
    streams: Option<Spanned<u64>>,
    connections: Option<Spanned<u64>>,
    message_kb: Option<Spanned<u64>>,
    header_list_kb: Option<Spanned<u64>>,
    idle_s: Option<Spanned<u64>>,
    age_s: Option<Spanned<u64>>,
    resets_per_s: Option<Spanned<u64>>,
    control_per_s: Option<Spanned<u64>>,
    hold_ms: Option<Spanned<u64>>,
    #[serde(default)]
    mapping: BTreeMap<Spanned<String>, Spanned<String>>,
    #[serde(default)]
    add: BTreeMap<String, Spanned<String>>,
}

/// What the operator has chosen.
#[derive(Default)]
pub struct Operator {
    /// The inventory file, in place of discovery.
    pub inventory: Option<Source>,
    /// The gRPC front.
    pub grpc: Option<Grpc>,
    /// Who is asked first; their classes are still to be checked.
    pub authorisers: Vec<Asked>,
    /// How keepers are judged and followed, if they are.
    pub keeper: Option<Judged>,
    /// How this limiter is a member of a group, if it is.
    pub members: Option<Setup>,
    /// The relays that the list comes through, in place of discovery.
    pub relays: Option<Relays>,
    /// Where each class of an authoriser stands.
    places: Vec<(String, String)>,
}

impl Operator {
    /// Whether every class that names an authoriser exists.
    ///
    /// # Errors
    /// `file:line:column`, what was found and what was expected.
    pub fn check(&self, settings: &Settings) -> Result<(), String> {
        let known = |class: &str| settings.classes.iter().any(|c| c.name == class);
        let Some((class, place)) = self.places.iter().find(|(class, _)| !known(class)) else { return Ok(()) };
        let names: Vec<&str> = settings.classes.iter().map(|c| c.name.as_str()).collect();
        Err(format!("{place}: classes has {class:?}, expected one of {}", names.join(", ")))
    }
}

/// The gRPC front; its mapping is still to be checked against classes and plans.
pub struct Grpc {
    pub limits: Limits,
    rules: Rules,
    /// Where each rule stands, by its key.
    places: BTreeMap<String, String>,
    name: String,
}

impl Grpc {
    /// The mapping, where it fits the settings.
    ///
    /// # Errors
    /// `file:line:column`, what was found and what was expected.
    pub fn mapping(&self, settings: &Settings) -> Result<Mapping, String> {
        let classes: Vec<&str> = settings.classes.iter().map(|c| c.name.as_str()).collect();
        let plans: Vec<&str> = settings.plans.iter().map(|p| p.name.as_str()).collect();
        Mapping::new(&self.rules, &classes, &plans).map_err(|fault| {
            let place = self.places.get(fault.key).unwrap_or(&self.name);
            format!("{place}: {fault}")
        })
    }
}

const POLL_MS: u64 = 50;

/// Reads the file and checks it.
///
/// # Errors
/// `file:line:column`, what was found and what was expected.
pub fn read(path: &Path) -> Result<Operator, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot be read: {e}"))?;
    parse(&name.to_string(), &text)
}

fn parse(name: &str, text: &str) -> Result<Operator, String> {
    let place = Place { name, text };
    let file: File = toml::from_str(text)
        .map_err(|e| place.fault(e.span().map_or(0, |s| s.start), e.message().to_string()))?;
    let mut places = Vec::new();
    let relays = file.relays.map(|r| relays::check(&place, r, file.inventory.is_some())).transpose()?;
    let authorisers = file.authoriser.into_iter().map(|a| authoriser(&place, a, &mut places));
    Ok(Operator {
        authorisers: authorisers.collect::<Result<_, _>>()?,
        places,
        keeper: file.keeper.map(|k| keeper(&place, k)).transpose()?,
        members: file.members.map(|m| members(&place, m)).transpose()?,
        inventory: file.inventory.map(|i| inventory(&place, i)).transpose()?,
        grpc: file.grpc.map(|g| grpc(&place, g)).transpose()?,
        relays,
    })
}

/// The file, for the places of its faults.
struct Place<'a> {
    name: &'a str,
    text: &'a str,
}

impl Place<'_> {
    /// `file:line:column` of a byte.
    fn at(&self, at: usize) -> String {
        let before = self.text.get(..at).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        format!("{}:{line}:{column}", self.name)
    }

    fn fault(&self, at: usize, what: String) -> String {
        format!("{}: {what}", self.at(at))
    }

    /// An address with its port; what it is said to be the value of: `listen is`, `others has`.
    fn address(&self, key: &str, found: &Spanned<String>) -> Result<SocketAddr, String> {
        let what = || format!("{key} {:?}, expected an address and a port", found.get_ref());
        found.get_ref().parse().map_err(|_| self.fault(found.span().start, what()))
    }

    /// A whole number within its range, or the default.
    fn number(
        &self,
        value: Option<Spanned<u64>>,
        (key, unit): (&str, &str),
        range: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64, String> {
        match value {
            Some(v) if !range.contains(v.get_ref()) => {
                let (found, least, most) = (v.get_ref(), range.start(), range.end());
                Err(self
                    .fault(v.span().start, format!("{key} is {found}, expected {least} to {most} {unit}")))
            }
            Some(v) => Ok(v.into_inner()),
            None => Ok(default),
        }
    }
}

fn inventory(place: &Place, inventory: Spanned<Inventory>) -> Result<Source, String> {
    let (at, i) = (inventory.span().start, inventory.into_inner());
    let (path, form) = match (i.csv, i.yaml) {
        (Some(path), None) => (path, Form::Csv),
        (None, Some(path)) => (path, Form::Yaml),
        (Some(_), Some(_)) => {
            let what = "inventory names csv and yaml, expected one: they could disagree";
            return Err(place.fault(at, what.into()));
        }
        (None, None) => {
            return Err(place.fault(at, "inventory names no file, expected csv or yaml".into()));
        }
    };
    let ms = |value, key, default: u64, least: u64| {
        place.number(value, (key, "milliseconds"), least..=10_000, default).map(Duration::from_millis)
    };
    let default = Policy::default();
    let quiet = ms(i.quiet_ms, "quiet_ms", default.quiet.as_millis() as u64, 1)?;
    let poll = ms(i.poll_ms, "poll_ms", POLL_MS, 5)?;
    let most_removed = match i.most_removed {
        Some(v) if !(0.0..=1.0).contains(v.get_ref()) => {
            let found = v.get_ref();
            let what = format!("most_removed is {found}, expected a share from 0 to 1");
            return Err(place.fault(v.span().start, what));
        }
        Some(v) => v.into_inner(),
        None => default.most_removed,
    };
    Ok(Source { path, form, policy: Policy { quiet, most_removed }, poll })
}

fn keeper(place: &Place, k: KeeperFile) -> Result<Judged, String> {
    let at = k.roll_ms.as_ref().map_or(0, |r| r.span().start);
    let every = place.number(k.every_ms, ("every_ms", "milliseconds"), 50..=3_000, 1_000)?;
    let roll = place.number(k.roll_ms, ("roll_ms", "milliseconds"), 250..=15_000, 5 * every)?;
    if roll < 5 * every {
        // Each roll is called once and read once, with a canary between.
        let what = format!("roll_ms is {roll}, expected five times every_ms ({every}) at least");
        return Err(place.fault(at, what));
    }
    let terms = Terms {
        every: every as f64 / 1e3,
        stretch: roll as f64 / 1e3,
        misses: place.number(k.misses, ("misses", "calls in a row"), 1..=100, 3)? as u32,
        sure: place.number(k.sure, ("sure", "answers in a row"), 1..=100, 2)? as u32,
        ..Terms::default()
    };
    let mut others: Vec<SocketAddr> = Vec::new();
    for other in k.others {
        let address = place.address("others has", &other)?;
        let at = other.span().start;
        let found = other.into_inner();
        if others.contains(&address) {
            return Err(place.fault(at, format!("others has {found:?} twice, expected different keepers")));
        }
        if others.len() == MOST_OTHERS {
            return Err(place.fault(at, format!("others has more than {MOST_OTHERS} keepers")));
        }
        others.push(address);
    }
    let ms = |value, key, range, default| {
        place.number(value, (key, "milliseconds"), range, default).map(|ms| ms as f64 / 1e3)
    };
    let seconds =
        |value, key, default| place.number(value, (key, "seconds"), 1..=86_400, default).map(|s| s as f64);
    let settle = seconds(k.settle_s, "settle_s", 30)?;
    let order = Order {
        patience: ms(k.patience_ms, "patience_ms", 0..=600_000, roll)?,
        settle,
        most_settle: seconds(k.most_settle_s, "most_settle_s", 600)?.max(settle),
        jitter: ms(k.jitter_ms, "jitter_ms", 0..=60_000, every / 2)?,
        stretch: terms.stretch,
    };
    let calls_per_s = match k.calls_per_s {
        None => None,
        some => Some(place.number(some, ("calls_per_s", "calls a second"), 1..=10_000_000, 1)? as f64),
    };
    let rise = ms(k.rise_ms, "rise_ms", 0..=600_000, 5_000)?;
    Ok(Judged { terms, order, others, calls_per_s, rise })
}

fn members(place: &Place, m: Spanned<MembersFile>) -> Result<Setup, String> {
    let (at, m) = (m.span().start, m.into_inner());
    let all = |key: &str, found: &[Spanned<String>]| {
        found.iter().map(|f| place.address(key, f)).collect::<Result<Vec<_>, _>>()
    };
    let ms = |value, key, default| place.number(value, (key, "milliseconds"), 1..=3_600_000, default);
    let period = ms(m.period_ms, "period_ms", 1_000)?;
    let pace = Pace {
        period: Duration::from_millis(period),
        late: Duration::from_millis(ms(m.late_ms, "late_ms", period * 3 / 10)?),
        suspicion: Duration::from_millis(ms(m.suspicion_ms, "suspicion_ms", 3 * period)?),
        expected: place.number(m.expected, ("expected", "members"), 1..=4_096, 8)? as u32,
    };
    let terms = liftrouter_members::lease::Terms {
        term: 1_000 * ms(m.term_ms, "term_ms", 4 * period)?,
        drift: m.drift.map_or(0.01, Spanned::into_inner),
    };
    let probe = m.probe_ms.map(|v| ms(Some(v), "probe_ms", 1)).transpose()?.map(Duration::from_millis);
    let settings = liftrouter_members::Settings {
        name: m.name,
        address: place.address("listen has", &m.listen)?,
        join: all("join has", &m.join)?,
        voters: all("voters has", &m.voters)?,
        slots: place.number(m.slots, ("slots", "slots"), 1..=1_024, 64)? as u16,
        pace,
        terms,
    };
    settings.check().map_err(|problems| {
        let what: Vec<String> = problems.iter().map(ToString::to_string).collect();
        place.fault(at, what.join("; "))
    })?;
    if let Some(via) = m.via.as_ref().filter(|_| !cfg!(debug_assertions)) {
        let what = "via is given, but only builds for tests take it: it lets another one play the links";
        return Err(place.fault(via.span().start, what.into()));
    }
    let via = m.via.map(|via| place.address("via has", &via)).transpose()?;
    Ok(Setup { settings, ask: m.ask, probe, via })
}

fn authoriser(place: &Place, a: AuthoriserFile, places: &mut Vec<(String, String)>) -> Result<Asked, String> {
    let address = place.address("address is", &a.address)?;
    let mut classes = HashMap::new();
    for (class, unsure) in a.classes {
        let at = class.span().start;
        let class = class.into_inner();
        if let Some((_, other)) = places.iter().find(|(name, _)| *name == class) {
            let what = format!("classes has {class:?}, which names an authoriser at {other}, expected one");
            return Err(place.fault(at, what));
        }
        let when = match unsure.get_ref().as_str() {
            "pass" => WhenUnsure::Pass,
            "refuse" => WhenUnsure::Refuse,
            found => {
                let what = format!("{class} is {found:?}, expected pass or refuse");
                return Err(place.fault(unsure.span().start, what));
            }
        };
        places.push((class.clone(), place.at(at)));
        classes.insert(class, when);
    }
    let ms = |value, key, default| place.number(value, (key, "milliseconds"), 1..=600_000, default);
    let rest = ms(a.rest_ms, "rest_ms", 500)?;
    Ok(Asked {
        name: a.name,
        address,
        connections: place.number(a.connections, ("connections", "connections"), 1..=64, 1)? as usize,
        questions: place.number(a.questions, ("questions", "questions"), 1..=10_000, 100)? as usize,
        timeout: Duration::from_millis(ms(a.timeout_ms, "timeout_ms", 100)?),
        message: 1_024 * place.number(a.message_kb, ("message_kb", "kilobytes"), 1..=1_024, 64)? as usize,
        breaker: BreakerPolicy {
            failures: place.number(a.failures, ("failures", "failures in a row"), 1..=1_000, 5)? as u32,
            rest: rest as f64 / 1e3,
            most_rest: ms(a.most_rest_ms, "most_rest_ms", 10_000)?.max(rest) as f64 / 1e3,
        },
        classes,
    })
}

fn grpc(place: &Place, g: GrpcFile) -> Result<Grpc, String> {
    let listen = place.address("listen is", &g.listen)?;
    let kilobytes = |n: u64| n as usize * 1_024;
    let limits = Limits {
        listen,
        streams: place.number(g.streams, ("streams", "streams"), 1..=10_000, 100)? as u32,
        connections: place.number(g.connections, ("connections", "connections"), 1..=10_000, 32)? as usize,
        message: kilobytes(place.number(g.message_kb, ("message_kb", "kilobytes"), 1..=1_024, 64)?),
        header_list: kilobytes(place.number(g.header_list_kb, ("header_list_kb", "kilobytes"), 1..=64, 16)?)
            as u32,
        idle: Duration::from_secs(place.number(g.idle_s, ("idle_s", "seconds"), 1..=86_400, 60)?),
        age: Duration::from_secs(place.number(g.age_s, ("age_s", "seconds"), 1..=86_400, 600)?),
        frames: FrameLimits {
            resets: place.number(g.resets_per_s, ("resets_per_s", "a second"), 1..=1_000_000, 100)? as f64,
            control: place.number(g.control_per_s, ("control_per_s", "a second"), 10..=1_000_000, 500)?
                as f64,
        },
        hold: match g.hold_ms {
            None => None,
            some => {
                let ms = place.number(some, ("hold_ms", "milliseconds"), 1..=600_000, 0)?;
                Some(Duration::from_millis(ms))
            }
        },
    };
    let mut rules = Rules::default();
    let mut places = BTreeMap::new();
    for (key, rule) in g.mapping {
        places.insert(key.get_ref().clone(), place.at(rule.span().start));
        let slot = match key.get_ref().as_str() {
            "class" => &mut rules.class,
            "customer" => &mut rules.customer,
            "plan" => &mut rules.plan,
            "units" => &mut rules.units,
            "width" => &mut rules.width,
            "id" => &mut rules.id,
            "key" => &mut rules.key,
            "time_left" => &mut rules.time_left,
            "repeat" => &mut rules.repeat,
            found => {
                let what = format!(
                    "mapping has {found:?}, expected class, customer, plan, units, width, id, key, time_left \
                     or repeat"
                );
                return Err(place.fault(key.span().start, what));
            }
        };
        *slot = rule.into_inner();
    }
    for (header, rule) in g.add {
        places.insert("add".into(), place.at(rule.span().start));
        rules.add.push((header, rule.into_inner()));
    }
    Ok(Grpc { limits, rules, places, name: place.name.to_string() })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_is_chosen_by_an_empty_file() {
        assert!(parse("o.toml", "# nothing\n").expect("good").inventory.is_none());
    }

    #[test]
    fn the_sample_can_be_read() {
        let sample = include_str!("../../../deploy/sample-operator.toml");
        let source = parse("o.toml", sample).expect("good").inventory.expect("a file");
        assert_eq!((source.form, source.poll), (Form::Csv, Duration::from_millis(50)));
        let grpc = parse("o.toml", sample).expect("good").grpc.expect("a front");
        assert_eq!((grpc.limits.listen.port(), grpc.limits.streams), (9001, 100));
    }

    #[test]
    fn a_class_that_does_not_exist_is_named_with_its_place() {
        let text = "[[authoriser]]\nname = 'a'\naddress = '[::1]:1'\nclasses = { qoute = 'pass' }\n";
        let settings: Settings =
            serde_json::from_str(r#"{"classes": [{"name": "quote"}, {"name": "bind"}]}"#).expect("settings");
        let found = parse("o.toml", text).expect("good").check(&settings).err().unwrap_or_default();
        assert_eq!(found, "o.toml:4:13: classes has \"qoute\", expected one of quote, bind");
    }

    #[test]
    fn a_rule_that_does_not_fit_the_settings_names_its_place() {
        let text = "[grpc]\nlisten = '127.0.0.1:0'\n[grpc.mapping]\nclass = 'value:qoute'\n";
        let grpc = parse("o.toml", text).expect("good").grpc.expect("a front");
        let settings: Settings =
            serde_json::from_str(r#"{"classes": [{"name": "quote"}], "tariffs": [{"name": "roomy"}]}"#)
                .expect("settings");
        let found = grpc.mapping(&settings).err().unwrap_or_default();
        assert_eq!(found, "o.toml:4:9: class is \"value:qoute\", expected one of quote");
    }

    #[test]
    fn faults_name_their_place_what_was_found_and_what_was_expected() {
        for (text, expected) in [
            ("[relays]\naddresses = []\n", "o.toml:1:1: relays names no address, expected one at least"),
            ("[relays]\naddresses = ['a']\n", "o.toml:2:14: addresses has \"a\", expected an address and a port"),
            (
                "[relays]\naddresses = ['127.0.0.1:1']\nservices = ['a b']\n",
                "o.toml:3:13: services has \"a b\", expected 1 to 64 letters, digits, or one of - . _ ~",
            ),
            (
                "[inventory]\ncsv = 'a'\n[relays]\naddresses = ['127.0.0.1:1']\n",
                "o.toml:3:1: relays beside inventory, expected one: they could disagree",
            ),
            ("[inventory]\n", "o.toml:1:1: inventory names no file, expected csv or yaml"),
            ("[inventory]\ncsv = 'a'\nyaml = 'b'\n", "inventory names csv and yaml, expected one"),
            ("[inventory]\ncsv = 'a'\nquiet_ms = 0\n", "o.toml:3:12: quiet_ms is 0, expected 1 to 10000"),
            (
                "[inventory]\ncsv = 'a'\nmost_removed = 2.0\n",
                "o.toml:3:16: most_removed is 2, expected a share",
            ),
            ("[grpc]\n", "missing field `listen`"),
            ("[grpc]\nlisten = 'x'\n", "o.toml:2:10: listen is \"x\", expected an address and a port"),
            (
                "[grpc]\nlisten = '[::1]:1'\nstreams = 0\n",
                "o.toml:3:11: streams is 0, expected 1 to 10000 streams",
            ),
            (
                "[grpc]\nlisten = '[::1]:1'\nhold_ms = 0\n",
                "o.toml:3:11: hold_ms is 0, expected 1 to 600000 milliseconds",
            ),
            (
                "[grpc]\nlisten = '[::1]:1'\n[grpc.mapping]\nklass = 'id'\n",
                "o.toml:4:1: mapping has \"klass\", expected class,",
            ),
            (
                "[[authoriser]]\nname = 'a'\naddress = 'x'\nclasses = {}\n",
                "o.toml:3:11: address is \"x\", expected an address and a port",
            ),
            (
                "[[authoriser]]\nname = 'a'\naddress = '[::1]:1'\nclasses = { quote = 'open' }\n",
                "o.toml:4:21: quote is \"open\", expected pass or refuse",
            ),
            (
                "[[authoriser]]\nname = 'a'\naddress = '[::1]:1'\nclasses = { quote = 'pass' }\n\
                 [[authoriser]]\nname = 'b'\naddress = '[::1]:1'\nclasses = { quote = 'pass' }\n",
                "o.toml:8:13: classes has \"quote\", which names an authoriser at o.toml:4:13, expected one",
            ),
            (
                "[keeper]\nothers = ['127.0.0.1:1', 'x']\n",
                "o.toml:2:26: others has \"x\", expected an address and a port",
            ),
            (
                "[keeper]\nothers = ['127.0.0.1:1', '127.0.0.1:1']\n",
                "o.toml:2:26: others has \"127.0.0.1:1\" twice",
            ),
            (
                "[members]\nname = 'n0'\nlisten = 'x'\njoin = []\n",
                "o.toml:3:10: listen has \"x\", expected an address and a port",
            ),
            (
                "[members]\nname = 'n0'\nlisten = '127.0.0.1:1'\njoin = ['10.0.0.1:1']\nvoters = ['127.0.0.1:1', '127.0.0.1:2']\n",
                "o.toml:1:1: join has 10.0.0.1:1, expected addresses of this machine: members talk on loopback only; \
                 voters are 2, expected 1, 3, 5, 7 or 9",
            ),
            (
                "[members]\nname = 'n0'\nlisten = '127.0.0.1:1'\njoin = []\nlate_ms = 900\n",
                "late_ms is 900, expected 1 to half of period_ms, 500",
            ),
            ("[keeper]\ncalls_per_s = 0\n", "o.toml:2:15: calls_per_s is 0, expected 1 to"),
            ("[inventry]\n", "o.toml:1:2: unknown field `inventry`"),
            ("[inventory]\ncsv = \n", "o.toml:2:7"),
        ] {
            let found = parse("o.toml", text).err().unwrap_or_default();
            assert!(found.contains(expected), "{text:?}: {found:?} holds no {expected:?}");
        }
    }
}
