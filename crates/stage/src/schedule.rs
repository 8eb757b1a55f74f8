//! What will happen in a rehearsal, drawn from its scenario and one seed alone: customers and what they ask,
//! and each fault with its time and victim. Pure; the same seed gives the same schedule.

use crate::scenario::{Effect, Fault, Kind, Range, Scenario, Victim};
use fastrand::Rng;

/// Microseconds since the rehearsal began.
pub type Micros = u64;

/// The most units that a request counts.
pub const MOST_UNITS: u32 = 4;
/// How a request's units are spread: the share with 1, 2, 3 and 4.
const UNIT_SHARES: [f64; 4] = [0.5, 0.25, 0.15, 0.1];
/// A guess is off by one with this chance, either way.
const GUESS_OFF: f64 = 0.25;
/// Share of the customers that use nearly all of their quota.
const FULL: f64 = 0.15;
/// Use of a quota by calm and full customers, in times the rate; spiky ones are calm between bursts.
const CALM_USE: (f64, f64) = (0.15, 0.45);
const FULL_USE: (f64, f64) = (0.8, 0.95);
const SPIKE_USE: (f64, f64) = (2.0, 7.0);
/// Seconds that a burst lasts, and between two of them.
const SPIKE_S: (f64, f64) = (0.5, 4.0);
const SPIKE_EVERY_S: (f64, f64) = (10.0, 25.0);
/// Seconds after which other limiters of its set get most of a customer's requests.
const SHIFT_S: (f64, f64) = (5.0, 24.0);

/// Seconds to microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

/// Microseconds to seconds.
pub fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

/// A customer, and the limiters its requests come through.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Its number, as in the path.
    pub number: u64,
    /// Index of its plan.
    pub plan: usize,
    /// First limiter of its set, and how many in a row.
    pub first: usize,
    /// Limiters in its set.
    pub spread: usize,
}

/// One try of a request: which limiter of the set it goes to, and the pause before it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Try {
    /// Place in the customer's set.
    pub place: usize,
    /// Pause after the try before it failed, if no other was advised.
    pub backoff: Micros,
}

/// A request with all its possible tries.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When the first try is sent.
    pub at: Micros,
    /// Index of its customer.
    pub customer: usize,
    /// Index of its class.
    pub class: usize,
    /// The units that it takes in truth.
    pub units: u32,
    /// The units that it says it takes.
    pub guess: u32,
    /// Work at speed 1.
    pub work: Micros,
    /// The first try and those that may follow.
    pub tries: Vec<Try>,
    /// Whether its client heeds advice to stay away.
    pub heeds: bool,
    /// Its client leaves this long after it has sent the first try.
    pub leaves: Option<Micros>,
    /// Its client asks permission over gRPC, and would send it itself.
    pub permission: Option<Permission>,
}

/// How permission is asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permission {
    /// The first try's stream is reset so long after it has been opened.
    pub resets: Option<Micros>,
}

impl Arrival {
    /// The id of a try: unique in the rehearsal, and never 0.
    pub fn id(index: usize, n: usize) -> u64 {
        ((index as u64 + 1) << 4) | n as u64
    }

    /// The index of the request that an id belongs to, and the number of the try.
    pub fn of_id(id: u64) -> Option<(usize, usize)> {
        let index = (id >> 4).checked_sub(1)?;
        Some((usize::try_from(index).ok()?, (id & 15) as usize))
    }
}

/// The other end of links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// The keeper, the list and every node.
    All,
    /// The keeper.
    Keeper,
    /// The list.
    List,
    /// The authoriser.
    Authoriser,
    /// A node.
    Node(usize),
}

/// A fault with its time and victim.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// Unique; what is undone is what was done under this number, and nothing else.
    pub id: u32,
    /// What happens.
    pub kind: Kind,
    /// When it begins.
    pub at: Micros,
    /// When it is undone; none where it does not last.
    pub until: Option<Micros>,
    /// Index of the node, limiter or room.
    pub victim: usize,
    /// The other end, for faults of links.
    pub peer: Peer,
    /// How strong it is.
    pub size: f64,
}

impl Planned {
    /// What it is called in reports: its kind and victim.
    pub fn label(&self, s: &Scenario) -> String {
        let about = self.kind.about();
        let victim = match about.victim {
            Victim::None => String::new(),
            Victim::Node => format!(" s-{}", self.victim),
            Victim::Limiter => format!(" n{}", self.victim),
            Victim::Room => format!(" {}", s.rooms[self.victim]),
            Victim::Keeper if s.keeper.count == 1 => String::new(),
            Victim::Keeper => format!(" k{}", self.victim),
        };
        let peer = match (about.peer, self.peer) {
            (true, Peer::Keeper) => " to the keeper".into(),
            (true, Peer::List) => " to the list".into(),
            (true, Peer::Authoriser) => " to the authoriser".into(),
            (true, Peer::Node(n)) => format!(" to s-{n}"),
            _ => String::new(),
        };
        format!("{}{victim}{peer}", about.name)
    }

    /// Seconds from its beginning to its end, for what lasts.
    pub fn lasts(&self) -> Option<f64> {
        self.until.map(|until| seconds(until.saturating_sub(self.at)))
    }
}

/// All that will happen.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// The seed it was drawn from.
    pub seed: u64,
    /// Speed of each node.
    pub speeds: Vec<f64>,
    /// Who asks.
    pub customers: Vec<Customer>,
    /// What they ask, by time.
    pub arrivals: Vec<Arrival>,
    /// What goes wrong, by time.
    pub faults: Vec<Planned>,
    /// When clients stop asking.
    pub end: Micros,
}

/// What of a request must come to a node as its client sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wire {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// `Idempotency-Key`, where it has one.
    pub key: Option<String>,
    /// Body.
    pub body: String,
}

impl Schedule {
    /// A request as its client sends it, with each try.
    pub fn wire(&self, scenario: &Scenario, index: usize) -> Option<Wire> {
        let arrival = self.arrivals.get(index)?;
        let class = &scenario.classes[arrival.class];
        let target = format!("/{}/{:016x}", class.name, self.customers[arrival.customer].number);
        Some(match class.effect {
            Effect::Safe => Wire { method: "GET", target, key: None, body: String::new() },
            _ => Wire {
                method: "POST",
                target,
                key: Some(format!("{index:032x}")),
                body: format!("{{\"trip\":{index}}}"),
            },
        })
    }
}

/// A source of draws of its own for each part, so that a change in one leaves the others as they are.
fn rng(seed: u64, part: &str) -> Rng {
    let mix =
        part.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ mix)
}

fn within(rng: &mut Rng, (least, most): (f64, f64)) -> f64 {
    least + (most - least) * rng.f64()
}

/// An exponential draw of mean 1.
fn exponential(rng: &mut Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}

/// An index drawn by weights; they sum to more than 0.
fn weighted(rng: &mut Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = rng.f64() * weights.clone().sum::<f64>();
    let mut last = 0;
    for (n, weight) in weights.enumerate() {
        if weight > 0.0 {
            last = n;
            if left < weight {
                return n;
            }
        }
        left -= weight;
    }
    last
}

/// Mean units of a request.
pub fn mean_units() -> f64 {
    UNIT_SHARES.iter().enumerate().map(|(n, share)| (n + 1) as f64 * share).sum()
}

/// Draws all that will happen.
pub fn draw(scenario: &Scenario, seed: u64) -> Schedule {
    let mut nodes = rng(seed, "nodes");
    let speeds = (0..scenario.nodes.count).map(|_| within(&mut nodes, scenario.nodes.speed.ends())).collect();
    let customers = draw_customers(scenario, &mut rng(seed, "customers"));
    let mut load = rng(seed, "load");
    let mut arrivals: Vec<Arrival> =
        customers.iter().enumerate().flat_map(|(n, c)| draw_arrivals(scenario, n, c, &mut load)).collect();
    arrivals.sort_by_key(|a| (a.at, a.customer));
    draw_permissions(scenario, &mut arrivals, &mut rng(seed, "permissions"));
    let faults = draw_faults(scenario, &mut rng(seed, "faults"));
    Schedule { seed, speeds, customers, arrivals, faults, end: micros(scenario.length_s) }
}

fn draw_customers(s: &Scenario, rng: &mut Rng) -> Vec<Customer> {
    let all: f64 = s.plans.iter().map(|p| p.share).sum();
    let rest = (1.0 - FULL - s.load.heavy - s.load.spiky).max(0.0);
    let mid = |(a, b): (f64, f64)| (a + b) / 2.0;
    // What a customer asks within its quota in the mean.
    let use_inside = rest * mid(CALM_USE) + FULL * mid(FULL_USE) + s.load.heavy + s.load.spiky * 0.45;
    let mut customers = Vec::new();
    for (plan, p) in s.plans.iter().enumerate().filter(|(_, p)| p.share > 0.0) {
        let each = p.rate / mean_units() * use_inside.max(0.01);
        let count = (s.load.tries_per_s * p.share / all / each).round().max(1.0) as usize;
        let spread = p.spread.unwrap_or(s.load.spread).min(s.limiters.count).max(1);
        for _ in 0..count {
            let least = spread.min(2);
            let spread = if spread > least { rng.usize(least..=spread) } else { spread };
            let number = rng.u64(1..1 << 33);
            customers.push(Customer { number, plan, first: rng.usize(0..s.limiters.count), spread });
        }
    }
    customers
}

fn draw_arrivals(s: &Scenario, customer: usize, c: &Customer, rng: &mut Rng) -> Vec<Arrival> {
    let kind = rng.f64();
    let (heavy, spiky) = (s.load.heavy, s.load.heavy + s.load.spiky);
    let base = match kind {
        k if k < heavy => within(rng, s.load.heavy_use.ends()),
        k if k < spiky => within(rng, CALM_USE),
        k if k < spiky + FULL => within(rng, FULL_USE),
        _ => within(rng, CALM_USE),
    };
    // Bursts and shifts of the limiters, as times at which something changes.
    let mut spike = (f64::MAX, f64::MAX, 0.0);
    if (heavy..spiky).contains(&kind) {
        spike = next_spike(rng, rng.clone().f64() * SPIKE_EVERY_S.1);
    }
    let (mut shift, mut weights) = (0.0, Vec::new());
    let per_s = s.plans[c.plan].rate / mean_units();
    let peak = base.max(if spike.0 < f64::MAX { SPIKE_USE.1 } else { 0.0 }) * per_s;
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        // Thinned from the peak, which takes any course of the intensity below it.
        at += exponential(rng) / peak.max(1e-9);
        if at >= s.length_s {
            return arrivals;
        }
        while at > spike.1 {
            let pause = within(rng, SPIKE_EVERY_S);
            spike = next_spike(rng, spike.1 + pause);
        }
        while at >= shift {
            shift += within(rng, SHIFT_S);
            weights = (0..c.spread).map(|_| exponential(rng).powf(1.5) + 0.02).collect();
        }
        let now = if at >= spike.0 { spike.2 } else { base } * per_s;
        if rng.f64() * peak <= now {
            arrivals.push(draw_request(s, (customer, micros(at)), &weights, rng));
        }
    }
}

/// When the next burst begins and ends, and its use.
fn next_spike(rng: &mut Rng, from: f64) -> (f64, f64, f64) {
    (from, from + within(rng, SPIKE_S), within(rng, SPIKE_USE))
}

fn draw_request(s: &Scenario, (customer, at): (usize, Micros), weights: &[f64], rng: &mut Rng) -> Arrival {
    let class = weighted(rng, s.classes.iter().map(|c| c.share));
    let units = weighted(rng, UNIT_SHARES.iter().copied()) as u32 + 1;
    let off = rng.f64();
    let guess = match off {
        o if o < GUESS_OFF => units + 1,
        o if o < 2.0 * GUESS_OFF => units - 1,
        _ => units,
    };
    let size = f64::from(units) / mean_units();
    let work = s.classes[class].work_ms * size * (0.4 + 0.6 * exponential(rng)).min(5.0);
    let tries = (0..=s.load.retries).map(|n| {
        let pause = within(rng, s.load.backoff_ms.ends()) * f64::from(1u32 << n.saturating_sub(1).min(10));
        Try { place: weighted(rng, weights.iter().copied()), backoff: micros(pause / 1e3) }
    });
    let tries = tries.collect();
    let heeds = rng.f64() < s.load.honour;
    let leaves = (rng.f64() < s.load.leave).then(|| micros(s.classes[class].aim_ms / 1e3 * rng.f64()));
    Arrival {
        at,
        customer,
        class,
        units,
        guess: guess.clamp(1, MOST_UNITS),
        work: micros(work / 1e3),
        tries,
        heeds,
        leaves,
        permission: None,
    }
}

/// Which requests are asked about over gRPC, and which of those are reset. Drawn apart, so that all else is
/// as it would be without.
fn draw_permissions(s: &Scenario, arrivals: &mut [Arrival], rng: &mut Rng) {
    for arrival in arrivals {
        let (asked, reset, part) = (rng.f64(), rng.f64(), rng.f64());
        if asked < s.load.permissions {
            // Most decisions take less than a millisecond; with an authoriser, some.
            let resets = (reset < s.load.resets).then(|| micros(part * part * 0.01));
            arrival.permission = Some(Permission { resets });
        }
    }
}

fn draw_faults(s: &Scenario, rng: &mut Rng) -> Vec<Planned> {
    let mut planned = Vec::new();
    for fault in &s.faults {
        let fault = fault.get_ref();
        // Checked before: an unknown kind never gets here.
        let Some(kind) = Kind::named(fault.what.get_ref()) else { continue };
        let many = several(s, fault, kind, rng);
        for nth in 0..fault.times {
            match &many {
                Some(many) => draw_many(s, fault, kind, (nth, many), rng, &mut planned),
                None => draw_fault(s, fault, kind, nth, rng, &mut planned),
            }
        }
    }
    planned.sort_by_key(|p| p.at);
    for (n, p) in planned.iter_mut().enumerate() {
        p.id = n as u32 + 1;
    }
    planned
}

/// Those that a fault strikes where it strikes several, in the order in which it does, and how many at a time.
struct Several {
    order: Vec<usize>,
    at_a_time: usize,
}

fn several(s: &Scenario, f: &Fault, kind: Kind, rng: &mut Rng) -> Option<Several> {
    let count = match kind.about().victim {
        Victim::Node => s.nodes.count,
        Victim::Limiter => s.limiters.count,
        _ => return None,
    };
    if let Some(room) = f.victim.as_ref().and_then(|v| s.rooms.iter().position(|room| room == v.get_ref())) {
        let order: Vec<usize> = (0..count).filter(|n| n % s.rooms.len() == room).collect();
        let at_a_time = order.len();
        return Some(Several { order, at_a_time });
    }
    let share = *f.share.as_ref()?.get_ref();
    let mut order: Vec<usize> = (0..count).collect();
    rng.shuffle(&mut order);
    Some(Several { order, at_a_time: ((count as f64 * share).round() as usize).max(1) })
}

/// When a fault begins for the nth time, and how long it lasts.
fn draw_times(f: &Fault, nth: usize, rng: &mut Rng) -> (f64, Option<f64>) {
    let range = |rng: &mut Rng, r: Range| within(rng, r.ends());
    let at = range(rng, *f.at_s.get_ref()) + nth as f64 * f.every_s.as_ref().map_or(0.0, |e| *e.get_ref());
    (at, f.for_s.as_ref().map(|r| range(rng, *r.get_ref())))
}

fn size_of(f: &Fault, kind: Kind) -> f64 {
    let default = kind.about().size.map(|(_, default, _, _)| default);
    f.size.as_ref().map(|s| *s.get_ref()).or(default).unwrap_or(0.0)
}

fn peer_of(s: &Scenario, f: &Fault) -> Peer {
    match f.peer.as_ref().map(|p| p.get_ref().as_str()) {
        None => Peer::All,
        Some("keeper") => Peer::Keeper,
        Some("list") => Peer::List,
        Some("authoriser") => Peer::Authoriser,
        Some(node) => Peer::Node(s.node_names().iter().position(|n| n == node).unwrap_or(0)),
    }
}

/// A fault at its time, so far as its file says; its number comes with all others.
fn planned_at(
    s: &Scenario,
    f: &Fault,
    kind: Kind,
    (at, lasts): (f64, Option<f64>),
    victim: usize,
) -> Planned {
    let until = lasts.map(|l| micros(at + l));
    Planned { id: 0, kind, at: micros(at), until, victim, peer: peer_of(s, f), size: size_of(f, kind) }
}

/// One time of a fault that strikes several.
fn draw_many(
    s: &Scenario,
    f: &Fault,
    kind: Kind,
    (nth, many): (usize, &Several),
    rng: &mut Rng,
    planned: &mut Vec<Planned>,
) {
    let (at, lasts) = draw_times(f, nth, rng);
    let step = f.within_s.as_ref().map_or(0.0, |w| *w.get_ref()) / many.at_a_time.max(1) as f64;
    let struck = many.order.iter().cycle().skip(nth * many.at_a_time).take(many.at_a_time);
    for (n, victim) in struck.enumerate() {
        planned.push(planned_at(s, f, kind, (at + n as f64 * step, lasts), *victim));
    }
}

fn draw_fault(s: &Scenario, f: &Fault, kind: Kind, nth: usize, rng: &mut Rng, planned: &mut Vec<Planned>) {
    let about = kind.about();
    let (at, lasts) = draw_times(f, nth, rng);
    let index = |names: &[String], rng: &mut Rng| {
        let drawn = rng.usize(0..names.len());
        let named = f.victim.as_ref().and_then(|v| names.iter().position(|n| n == v.get_ref()));
        named.unwrap_or(drawn)
    };
    let victim = match about.victim {
        Victim::Node => index(&s.node_names(), rng),
        Victim::Limiter => index(&s.limiter_names(), rng),
        Victim::Room => index(&s.rooms, rng),
        // The first where none is named: nothing is drawn.
        Victim::Keeper => {
            let named = f.victim.as_ref().map(|v| v.get_ref());
            s.keeper_names().iter().position(|name| Some(name) == named).unwrap_or(0)
        }
        Victim::None => 0,
    };
    let one = planned_at(s, f, kind, (at, lasts), victim);
    if kind != Kind::RollingDeploy {
        return planned.push(one);
    }
    // A deploy is its nodes' drains, one group after the other.
    let mut order: Vec<usize> = (0..s.nodes.count).collect();
    rng.shuffle(&mut order);
    let together = ((s.nodes.count as f64 * one.size) as usize).max(1);
    let slot = lasts.unwrap_or(0.0) / s.nodes.count.div_ceil(together) as f64;
    for (n, node) in order.into_iter().enumerate() {
        let begins = at + (n / together) as f64 * slot;
        let until = Some(micros(begins + slot * 0.8));
        planned.push(Planned {
            kind: Kind::NodeDraining,
            at: micros(begins),
            until,
            victim: node,
            ..one.clone()
        });
    }
}
