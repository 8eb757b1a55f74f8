//! Scenario files: what is installed, what is asked of it, and what goes wrong when.
//!
//! A scenario is TOML. It is read and checked whole before anything starts; every fault of the file names the
//! line and column, what was found and what was expected. What is left open in it (a range, a victim) is drawn
//! from the seed by [`crate::schedule`].

mod check;
mod faults;

pub use check::Problem;
pub use faults::{Kind, Victim, KINDS};

use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use toml::Spanned;

/// A number or a range `[least, most]` from which the seed draws one.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Range {
    /// Always this.
    One(f64),
    /// Drawn evenly from between.
    Two([f64; 2]),
}

impl Range {
    /// Least and most.
    pub fn ends(self) -> (f64, f64) {
        match self {
            Range::One(n) => (n, n),
            Range::Two([a, b]) => (a, b),
        }
    }

    /// The middle.
    pub fn mean(self) -> f64 {
        let (a, b) = self.ends();
        (a + b) / 2.0
    }
}

/// A checked scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Short name, for reports.
    pub name: String,
    /// What it shows, in a sentence.
    #[serde(default)]
    pub about: String,
    /// Everything that is drawn is drawn from this, unless the command line names another.
    #[serde(default)]
    pub seed: u64,
    /// For how long clients ask, in seconds.
    pub length_s: f64,
    /// Rooms, by name; limiters, nodes and keepers are dealt over them in turn. List and authoriser stand in the first.
    #[serde(default = "rooms")]
    pub rooms: Vec<String>,
    /// The limiters.
    pub limiters: Limiters,
    /// The quote nodes.
    pub nodes: Nodes,
    /// The keeper of counts.
    #[serde(default)]
    pub keeper: Keeper,
    /// The list of servers.
    #[serde(default)]
    pub list: List,
    /// A service that limiters ask about requests of some classes first.
    pub authoriser: Option<Authoriser>,
    /// What clients ask, and how they behave.
    pub load: Load,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Customers' plans.
    #[serde(rename = "plan")]
    pub plans: Vec<Plan>,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Spanned<Fault>>,
}

fn rooms() -> Vec<String> {
    vec!["room-a".into(), "room-b".into()]
}

/// The limiters and what each may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limiters {
    /// How many.
    pub count: usize,
    /// Memory limit told to each, in MB; the report says how much was used.
    #[serde(default = "memory")]
    pub memory_mb: u64,
    /// Limit on descriptors told to each.
    #[serde(default = "sockets")]
    pub sockets: u64,
}

fn memory() -> u64 {
    192
}

fn sockets() -> u64 {
    1_024
}

/// The quote nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// How many.
    pub count: usize,
    /// Cores of each: so many requests are worked on at once.
    #[serde(default = "cores")]
    pub cores: usize,
    /// Speed of each, drawn once: work takes its time divided by this.
    #[serde(default = "speed")]
    pub speed: Range,
    /// Requests that may wait for each core; beyond that they are turned away unseen.
    #[serde(default = "queue")]
    pub queue_per_core: usize,
    /// Share of its capacity that a node starts with, and seconds until it is warm.
    #[serde(default = "cold_from")]
    pub cold_from: f64,
    /// Seconds from a start until the node is warm.
    #[serde(default = "cold_s")]
    pub cold_s: f64,
    /// Connections that a node holds; requests on further ones are turned away.
    #[serde(default = "connections")]
    pub connections: usize,
    /// What a new connection costs: the first request on it waits so long, and so much work is done.
    #[serde(default = "handshake")]
    pub handshake_ms: f64,
    /// Idle connections are closed after this time.
    #[serde(default = "idle")]
    pub idle_s: f64,
    /// For how long a node drops repeats of a key; all nodes share that memory.
    #[serde(default = "key_memory")]
    pub key_memory_s: f64,
}

fn cores() -> usize {
    3
}
fn speed() -> Range {
    Range::Two([0.85, 1.1])
}
fn queue() -> usize {
    20
}
fn cold_from() -> f64 {
    0.25
}
fn cold_s() -> f64 {
    12.0
}
fn connections() -> usize {
    1_500
}
fn handshake() -> f64 {
    1.0
}
fn idle() -> f64 {
    15.0
}
fn key_memory() -> f64 {
    10.0
}

/// The keeper of counts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Keeper {
    /// Calls that it takes a second, from all limiters.
    pub calls_per_s: f64,
    /// What a call takes beside its turn.
    pub call_ms: f64,
    /// Limiters give a call up after this time.
    pub timeout_ms: f64,
    /// How many there are, in the order in which limiters prefer them. The first is counted at while it works.
    pub count: usize,
    /// Limiters judge what keepers say; needed for more than one.
    pub judged: bool,
    /// Limiters keep together to `calls_per_s`.
    pub paced: bool,
    /// Milliseconds between two calls of a judge, and that a roll is for.
    pub every_ms: u64,
    /// Milliseconds that a roll is for.
    pub roll_ms: u64,
    /// Seconds that an earlier keeper must work before it is returned to.
    pub settle_s: u64,
}

impl Default for Keeper {
    fn default() -> Self {
        Keeper {
            calls_per_s: 1_200.0,
            call_ms: 1.0,
            timeout_ms: 50.0,
            count: 1,
            judged: false,
            paced: false,
            every_ms: 100,
            roll_ms: 500,
            settle_s: 3,
        }
    }
}

/// The list of servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// Seconds until the list knows of a node that started, drains or died.
    pub notice_s: f64,
    /// And of one that says nothing any more.
    pub silent_notice_s: f64,
    /// How limiters come by it.
    pub through: Through,
    /// Nodes that drain and are never sent to, in each file beside those that there are.
    pub padding: usize,
}

/// How limiters come by the list of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Through {
    /// From the discovery agent, as the platform has it.
    #[default]
    Discovery,
    /// From an inventory file in CSV, rewritten with every change.
    Csv,
    /// The same in YAML.
    Yaml,
}

impl Default for List {
    fn default() -> Self {
        List { notice_s: 0.5, silent_notice_s: 8.0, through: Through::Discovery, padding: 0 }
    }
}

/// What becomes of a request about which the authoriser gave no answer to go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WhenUnsure {
    /// It goes on.
    Pass,
    /// It is refused.
    Refuse,
}

/// The authoriser. It stands in the first room.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Authoriser {
    /// The classes about which it is asked.
    pub classes: BTreeMap<String, WhenUnsure>,
    /// What an answer takes.
    pub call_ms: f64,
    /// Limiters give a question up after this time.
    pub timeout_ms: f64,
    /// Share of the tries that it denies.
    pub deny: f64,
    /// Connections of each limiter.
    pub connections: usize,
}

impl Default for Authoriser {
    fn default() -> Self {
        Authoriser { classes: BTreeMap::new(), call_ms: 2.0, timeout_ms: 100.0, deny: 0.0, connections: 1 }
    }
}

/// What clients ask, and how they behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First tries a second inside the quotas, about; what is asked beyond comes on top.
    pub tries_per_s: f64,
    /// Share of the customers who ask for several times their quota all along.
    #[serde(default = "heavy")]
    pub heavy: f64,
    /// What those ask, in times their quota.
    #[serde(default = "heavy_use")]
    pub heavy_use: Range,
    /// Share of those who do so in bursts of some seconds.
    #[serde(default = "spiky")]
    pub spiky: f64,
    /// How often a client asks again by itself, at most.
    #[serde(default = "retries")]
    pub retries: u32,
    /// Pause before that, doubled with each further try.
    #[serde(default = "backoff")]
    pub backoff_ms: Range,
    /// Share of the clients that heed `Retry-After`.
    #[serde(default = "honour")]
    pub honour: f64,
    /// Share of the requests whose client leaves before it is answered.
    #[serde(default)]
    pub leave: f64,
    /// Share of the requests for which a platform asks permission over gRPC, and which it would send itself.
    #[serde(default)]
    pub permissions: f64,
    /// Share of those whose stream is reset before it is answered.
    #[serde(default)]
    pub resets: f64,
    /// Seconds until the front notices that a limiter is dead.
    #[serde(default = "front")]
    pub front_notice_s: f64,
    /// Limiters that a customer's requests come through; as many as there are, at most.
    #[serde(default = "spread")]
    pub spread: usize,
}

fn heavy() -> f64 {
    0.1
}
fn heavy_use() -> Range {
    Range::Two([1.6, 4.8])
}
fn spiky() -> f64 {
    0.15
}
fn retries() -> u32 {
    2
}
fn backoff() -> Range {
    Range::Two([50.0, 200.0])
}
fn honour() -> f64 {
    0.6
}
fn front() -> f64 {
    2.0
}
fn spread() -> usize {
    3
}

/// How far a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// While the nodes remember its key.
    Keyed,
    /// Never, if it may have run.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// First part of the path.
    pub name: String,
    /// Share of the requests; shares are scaled to sum 1.
    pub share: f64,
    /// Mean work of a request at speed 1.
    pub work_ms: f64,
    /// The wanted time.
    pub aim_ms: f64,
    /// When the client gives up.
    pub deadline_ms: f64,
    /// Worth of a unit.
    pub worth: f64,
    /// How far it may be repeated.
    pub effect: Effect,
}

/// A customer's plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Its share of the use inside quotas; scaled to sum 1.
    pub share: f64,
    /// Units a second for each customer.
    pub rate: f64,
    /// Seconds' worth that may be used at once.
    pub burst_s: f64,
    /// Factor on the worth.
    pub price: f64,
    /// What a try beyond the quota costs, as a share of its worth.
    #[serde(default = "one")]
    pub over_cost: f64,
    /// Attempts out at once; 0: no cap.
    #[serde(default)]
    pub open: u32,
    /// Hard ceiling, in times the quota; 0: none.
    #[serde(default)]
    pub ceiling: f64,
    /// Limiters that its customers' requests come through; as `load.spread` where it is left out.
    pub spread: Option<usize>,
}

fn one() -> f64 {
    1.0
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Which kind, by its name in [`KINDS`].
    pub what: Spanned<String>,
    /// When it begins.
    pub at_s: Spanned<Range>,
    /// How long it lasts; needed for all that lasts.
    pub for_s: Option<Spanned<Range>>,
    /// The victim: a node (`s-0` ...), a limiter (`n0` ...) or a room. Drawn where it is left out. For faults of nodes and
    /// limiters a room stands for all of them in it.
    pub victim: Option<Spanned<String>>,
    /// In place of one victim, this share of all of them, drawn; each further time strikes the next ones, so that
    /// `share = 0.1` and `times = 10` strike each once.
    pub share: Option<Spanned<f64>>,
    /// Where there are several victims, the seconds over which their faults begin, evenly. All at once where it is left out.
    pub within_s: Option<Spanned<f64>>,
    /// For faults of links: the other end, `keeper`, `list` or a node. All of them where it is left out.
    pub peer: Option<Spanned<String>>,
    /// How strong it is; what it means goes with the kind.
    pub size: Option<Spanned<f64>>,
    /// How often it happens in all, `every_s` apart.
    #[serde(default = "once")]
    pub times: usize,
    /// Seconds between two beginnings.
    pub every_s: Option<Spanned<f64>>,
}

fn once() -> usize {
    1
}

impl Scenario {
    /// Reads and checks a file, and further faults from another that holds nothing else.
    ///
    /// # Errors
    /// Every problem that was found, with the file it lies in.
    pub fn read_with(path: &Path, also: &Path) -> Result<Scenario, Vec<Problem>> {
        let read = |path: &Path| {
            let name = path.display().to_string();
            let text = std::fs::read_to_string(path);
            text.map_err(|e| vec![Problem::whole(&name, format!("cannot be read: {e}"))]).map(|t| (name, t))
        };
        let ((name, text), (more, faults)) = (read(path)?, read(also)?);
        let lines = text.lines().count();
        Scenario::parse(&name, &format!("{}\n{faults}", text.trim_end_matches('\n'))).map_err(
            |mut problems| {
                for p in &mut problems {
                    if let Some((line, column)) = p.at.filter(|(line, _)| *line > lines) {
                        (p.file, p.at) = (more.clone(), Some((line - lines, column)));
                    }
                }
                problems
            },
        )
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    /// Every problem that was found, in the order of the file.
    pub fn read(path: &Path) -> Result<Scenario, Vec<Problem>> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Scenario::parse(&name, &text),
            Err(e) => Err(vec![Problem::whole(&name, format!("cannot be read: {e}"))]),
        }
    }

    /// Parses and checks a text; `file` is what problems are said to lie in.
    ///
    /// # Errors
    /// Every problem that was found, in the order of the text.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, Vec<Problem>> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| vec![Problem::of_toml(file, text, &e)])?;
        let problems = check::check(file, text, &scenario);
        if problems.is_empty() {
            Ok(scenario)
        } else {
            Err(problems)
        }
    }

    /// Names of the nodes, in order.
    pub fn node_names(&self) -> Vec<String> {
        (0..self.nodes.count).map(|n| format!("s-{n}")).collect()
    }

    /// Names of the limiters, in order.
    pub fn limiter_names(&self) -> Vec<String> {
        (0..self.limiters.count).map(|n| format!("n{n}")).collect()
    }

    /// Names of the keepers, in order.
    pub fn keeper_names(&self) -> Vec<String> {
        (0..self.keeper.count).map(|n| format!("k{n}")).collect()
    }

    /// The longest time that a client waits, in seconds.
    pub fn longest_deadline(&self) -> f64 {
        self.classes.iter().map(|c| c.deadline_ms / 1_000.0).fold(0.0, f64::max)
    }
}
