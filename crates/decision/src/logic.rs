//! The decision module; its interface is in `interface.rs`.
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

// ===== settings: every tuned value, with its unit =====

/// Least seconds between two counter calls for a customer.
const PERIOD: f64 = 0.5;
/// Seconds that share one name on the counter; lost or doubled adds are forgotten with the name.
const NAME_TIME: f64 = 20.0;
/// Demand and use are averaged over this many mean gaps between calls, and this share of a name's time at
/// most; and the weight of one gap in their mean.
const MEMORY: (f64, f64) = (4.0, 0.5);
const GAP_GAIN: f64 = 0.3;
/// Requests of even demand that every weight starts with, so that one request of many is no share.
const PRIOR: f64 = 2.0;
/// Names after which totals count as missing while the counter answers.
const STALE: f64 = 2.0;
/// Unanswered calls in a row after which the counter is taken to be down.
const COUNTER_MISSES: u32 = 3;
/// Share of the tries that call the counter: at first, at least, and gained or kept by an answer within
/// or over that share of its time-out.
const CALLS: (f64, f64) = (0.5, 0.03);
const CALLS_STEP: (f64, f64, f64) = (0.02, 0.85, 0.2);
/// Seconds unseen after which a customer whose bucket is full may be forgotten, and between looks for them.
const AGE_OUT: f64 = 60.0;
/// Steps of a counter total below PACK are units used, those above units refused (seven digits are exact).
const PACK: f64 = 2_000.0;
const PACK_REFUSED: f64 = 4_999.0;
/// As far as the quota is idle: share of the plan's burst that a bucket of under one request may borrow, and
/// share of its own that any other may.
const LOAN: (f64, f64) = (0.7, 0.3);
/// A further attempt is considered after this many mean answers, within these shares of the aim.
const PATIENCE: (f64, f64, f64) = (6.0, 0.5, 0.8);
/// Further attempts earned by each request, the most saved up, and the part of one that is earned back when
/// it is answered in time: where they help, more go out.
const RETRY: (f64, f64, f64) = (0.1, 10.0, 0.8);
/// Share of a keyed request's window in which it may be sent again.
const KEYED_SHARE: f64 = 0.9;
/// Failures in a row that eject a server, the first ejection in aims, its most doublings, the share of all
/// that may be ejected (half may be cut off), and late answers in a row that call an attempt off.
const EJECT: (u32, f64, u32, f64, u32) = (3, 3.0, 3, 0.6, 2);
/// How much each late attempt of a class counts against its server for it, and for how many aims.
const LATE: (f64, f64) = (4.0, 8.0);
/// A class's mean answer before any is measured, in aims.
const FIRST_MEAN: f64 = 0.2;
/// Periods between two ticks from which the limiter itself stood still.
const STALL: f64 = 0.5;
/// Weight of one answer in a server's slowness, where all before is forgotten, and in a class's mean.
const SLOW_GAIN: f64 = 0.15;
const SLOW_RARE: f64 = 0.5;
const MEAN_GAIN: f64 = 0.02;
/// Aims after which slowness without news is mostly forgotten.
const SLOW_FORGET: f64 = 8.0;
/// Attempts a server may have out: at first and at least from all limiters together (a share below one:
/// one in so many answer times), and at most from this one.
const WINDOW: (f64, f64, f64) = (4.0, 4.0, 64.0);
/// Least share of the aim that the work itself takes, and the weight of one answer in what it takes.
const REST: (f64, f64) = (0.09, 0.03);
/// A mean answer under the first multiple of that opens the window, over the second closes it by the third.
const WINDOW_LAG: (f64, f64, f64) = (1.1, 2.8, 0.7);
/// Weight of one try in the share that finds the fleet full, and how far that sheds classes of less worth.
const PRESS: (f64, f64) = (0.05, 4.0);
/// Limiters that use a server in turn, and the fewest servers one uses: evidence of many servers is thin.
const COVER: f64 = 48.0;
const SUBSET: f64 = 8.0;
/// Mean answer of the fleet, as such a multiple, up to which its window opens, the steps, and the bounds.
const OPEN_LAG: f64 = 2.0;
const OPEN_STEP: (f64, f64) = (1.02, 0.97);
const OPEN: (f64, f64) = (0.3, 6.0);
/// Slowness that a server shows by turning work away.
const FULL_SLOW: f64 = 10.0;
/// Share of a cold server's allowance that is used, and its sends in an overload window without warm ones.
const COLD_SHARE: f64 = 0.6;
const COLD_LEAST: f64 = 4.0;
/// Servers of another zone, and those tried before, are taken to be this much slower; chance breaks ties.
const CROSS_ZONE: f64 = 1.1;
const TRIED: f64 = 10.0;
const JITTER: f64 = 0.05;
/// The golden ratio's part, whose multiples spread evenly.
const GOLDEN: f64 = 0.618_033_988_75;

const T_TICK: u64 = 0;
const T_DUE: u64 = 1;
const T_PATIENCE: u64 = 2;

fn fresh(mean: f64, sample: f64, gain: f64) -> f64 {
    mean + (sample - mean) * gain
}

/// FNV-1a: the same at every limiter.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// One limiter's decisions.
pub struct Limiter {
    set: Settings,
    now: f64,
    born: f64,
    ticking: bool,
    /// Last tick, and until when what is late is this limiter's own fault, not the servers'.
    ticked: f64,
    stalled: f64,
    rng: fastrand::Rng,
    customers: BTreeMap<Arc<str>, Customer>,
    /// Counter calls that are out, by name: the customer, the name's number, the steps used and refused.
    calls: BTreeMap<String, (Arc<str>, i64, f64, f64)>,
    counter_misses: u32,
    counter_try: f64,
    /// Share of the tries that call the counter.
    call_share: f64,
    servers: BTreeMap<ServerId, Server>,
    fleet: Fleet,
    /// Mean answer time per class and unit.
    means: Vec<f64>,
    retry_saved: f64,
    requests: BTreeMap<RequestId, Open>,
    follow: bool,
    lost_list: bool,
}

// ===== quota: buckets, demand, totals =====

/// The shared totals of a customer, as this limiter last learned them, in units a second.
#[derive(Clone, Copy, Default)]
struct Totals {
    own: f64,
    all: f64,
    used: f64,
    at: f64,
    /// Seconds over which they are averaged.
    memory: f64,
}

#[derive(Default)]
struct Customer {
    plan: usize,
    width: f64,
    tokens: f64,
    filled: f64,
    ceiling: f64,
    out: u32,
    /// News for the counter: units used and refused.
    used: f64,
    refused: f64,
    calling: bool,
    next_call: f64,
    /// Time of the call before, and mean seconds between calls.
    called: f64,
    gap: f64,
    /// The name last answered, with its steps used and refused then.
    base: (i64, f64, f64),
    totals: Option<Totals>,
}

/// The design's limit: the quota by weight, raised towards the fallback by what is left unused.
fn limit(quota: f64, width: f64, request: f64, totals: Option<&Totals>) -> f64 {
    let fallback = quota / width.max(1.0);
    let Some(t) = totals.filter(|t| t.all > 0.0) else { return fallback };
    let prior = PRIOR * request;
    let weight = (t.own * t.memory + prior / width.max(1.0)) / (t.all * t.memory + prior);
    let weighted = quota * weight.clamp(0.0, 1.0);
    weighted.max(fallback.min(weighted + (quota - t.used).max(0.0)))
}

impl Customer {
    /// Refills the bucket and the ceiling's share; gives the limit and what the bucket may borrow.
    /// Tokens above a lowered depth are kept.
    fn refill(&mut self, plan: &Plan, units: f64, alive: bool, now: f64) -> (f64, f64) {
        let known = self.totals.as_ref().filter(|t| alive && now - t.at <= STALE * NAME_TIME);
        let limit = limit(plan.rate, self.width, units, known);
        let burst = limit * plan.depth / plan.rate.max(1e-9);
        let filled = self.tokens + limit * (now - self.filled);
        self.tokens = filled.min(burst.max(units).max(self.tokens));
        let (rate, most) = (plan.hard_rate / self.width, plan.hard_burst / self.width);
        self.ceiling = (self.ceiling + rate * (now - self.filled)).min(most);
        self.filled = now;
        // A bucket of less than one request refuses most however idle the quota (the third objection). Others
        // lag behind load that moves here, a restart and lost calls. Harms where many limiters lend the same
        // idle units within a period: that goes beyond the quota.
        let idle = known.map_or(0.0, |t| (1.0 - t.used / plan.rate.max(1e-9)).max(0.0));
        let most = if burst < units { LOAN.0 * plan.depth } else { LOAN.1 * burst };
        (limit, most * idle)
    }
}

impl Limiter {
    /// A limiter that knows nothing yet.
    pub fn new(set: Settings, seed: u64, now: f64) -> Self {
        Limiter {
            now,
            born: now,
            ticking: false,
            ticked: now,
            stalled: now,
            rng: fastrand::Rng::with_seed(seed),
            customers: BTreeMap::new(),
            calls: BTreeMap::new(),
            counter_misses: 0,
            counter_try: now,
            call_share: CALLS.0,
            servers: BTreeMap::new(),
            fleet: Fleet { lag: WINDOW_LAG.1 * REST.0, rest: REST.0, open: 1.0, ..Fleet::default() },
            means: set.classes.iter().map(|c| c.aim * FIRST_MEAN).collect(),
            retry_saved: RETRY.1,
            requests: BTreeMap::new(),
            follow: set.discovery_on_request,
            lost_list: false,
            set,
        }
    }

    fn customer(&mut self, key: &Arc<str>, plan: usize, width: u32, units: f64) {
        let (now, born) = (self.now, self.born);
        let p = &self.set.plans[plan];
        let width = f64::from(width.clamp(1, self.set.peers.max(1)));
        let c = self.customers.entry(key.clone()).or_insert_with(|| Customer {
            plan,
            tokens: (p.depth / width).max(units),
            filled: now,
            // A restart must not draw the ceiling's burst anew: the share starts empty with the instance.
            ceiling: (p.hard_rate / width * (now - born)).min(p.hard_burst / width),
            next_call: now,
            called: born,
            gap: PERIOD,
            base: (i64::MIN, 0.0, 0.0),
            ..Customer::default()
        });
        c.width = width;
    }

    /// Units one step of the packed number stands for: room for three times the quota in a name's time.
    fn grain(plan: &Plan) -> f64 {
        ((NAME_TIME * plan.rate * 3.0 + plan.depth) / PACK).max(1.0)
    }

    /// Tells the counter of a try, off the request path. A share of the tries calls and stands for all, so
    /// that hundreds of limiters stay within what it can take; for a period after a call all is saved up.
    /// Refused ones go first: what their call brings decides the client's next try.
    fn tell(&mut self, key: &Arc<str>, units: f64, sent: bool, out: &mut Vec<Action>) {
        let (now, down) = (self.now, self.counter_misses >= COUNTER_MISSES);
        let Some(c) = self.customers.get_mut(key) else { return };
        let plan = &self.set.plans[c.plan];
        if !self.set.has_counter || plan.rate <= 0.0 {
            return;
        }
        let chance = if sent { self.call_share } else { (2.0 * self.call_share).min(1.0) };
        let wait = c.calling || now < c.next_call || (down && now < self.counter_try);
        if !wait && self.rng.f64() >= chance {
            return;
        }
        *(if sent { &mut c.used } else { &mut c.refused }) += if wait { units } else { units / chance };
        if wait {
            return;
        }
        // One call a period tells whether a silent counter is back.
        self.counter_try = now + PERIOD;
        let epoch = (now / NAME_TIME).floor() as i64;
        let base = if c.base.0 == epoch { (c.base.1, c.base.2) } else { (0.0, 0.0) };
        let (grain, draw) = (Self::grain(plan), self.rng.f64());
        // Guards against a spill: a call adds its part of half the digits at most, and nothing to those half
        // full: with a call from everyone on its way they still do not run over.
        let steps = |units: f64, base: f64, most: f64| {
            let room = if base > most / 2.0 { 0.0 } else { (most / 2.0 / c.width).floor().max(1.0) };
            (units / grain + if units % grain == 0.0 { 0.0 } else { draw }).floor().clamp(0.0, room)
        };
        let (used, refused) = (steps(c.used, base.0, PACK - 1.0), steps(c.refused, base.1, PACK_REFUSED));
        (c.used, c.refused, c.calling) = (0.0, 0.0, true);
        c.next_call = now + PERIOD * (0.9 + 0.2 * draw);
        let name = format!("{:016x}.{epoch}", hash(key));
        self.calls.insert(name.clone(), (key.clone(), epoch, used, refused));
        out.push(Action::Count { name, add: used + refused * PACK, lives: (NAME_TIME * 2.0).min(60.0) });
    }

    fn counted(&mut self, name: &str, outcome: Outcome, total: f64, took: f64) {
        let (now, ok) = (self.now, outcome == Outcome::Ok);
        let quick = ok && took <= CALLS_STEP.2 * self.set.counter_timeout;
        self.call_share = if quick { self.call_share + CALLS_STEP.0 } else { self.call_share * CALLS_STEP.1 };
        self.call_share = self.call_share.clamp(CALLS.1, 1.0);
        if outcome != Outcome::Full {
            self.counter_misses = if ok { 0 } else { self.counter_misses.saturating_add(1) };
        }
        let Some((key, epoch, own_used, own_refused)) = self.calls.remove(name) else { return };
        let Some(c) = self.customers.get_mut(&key) else { return };
        c.calling = false;
        let grain = Self::grain(&self.set.plans[c.plan]);
        if !ok {
            if outcome != Outcome::Timeout {
                c.used += own_used * grain;
                c.refused += own_refused * grain;
            }
            return;
        }
        let all = ((total % PACK).max(0.0), (total / PACK).floor().max(0.0));
        let base = if c.base.0 == epoch { (c.base.1, c.base.2) } else { (0.0, 0.0) };
        let last = c.totals.take();
        let since = last.map_or(f64::MIN, |t| t.at).max(epoch as f64 * NAME_TIME);
        c.base = (epoch, all.0, all.1);
        let (used, refused) = (all.0 - base.0, all.1 - base.1);
        if total < 0.0 || used < own_used || refused < own_refused {
            return; // Less than our own part: the counter lost its counts. Missing until the next difference.
        }
        // Own demand spreads over all the time since the call before, a part of which lies before the name:
        // else a rare request looks like a large share just after the name changed.
        let (span, own_span) = ((now - since).max(PERIOD / 4.0), (now - c.called).max(PERIOD / 4.0));
        c.called = now;
        c.gap = fresh(c.gap, own_span, GAP_GAIN);
        let memory = (MEMORY.0 * c.gap).clamp(MEMORY.0 * PERIOD, MEMORY.1 * NAME_TIME);
        let mean = |old, steps, span: f64| fresh(old, steps * grain / span, 1.0 - (-span / memory).exp());
        let t = last.unwrap_or_default();
        c.totals = Some(Totals {
            own: mean(t.own, own_used + own_refused, own_span),
            all: mean(t.all, used + refused, span),
            used: mean(t.used, used, span),
            at: now,
            memory,
        });
    }

    /// Forgets customers long unseen whose bucket and ceiling would be full: sooner, each got them full anew.
    fn age_out(&mut self) {
        self.customers.retain(|_, c| {
            let (plan, unseen) = (&self.set.plans[c.plan], self.now - c.filled);
            let missing = (plan.depth / c.width).max(self.set.max_units) - c.tokens;
            let full = unseen * plan.rate / c.width >= missing && unseen * plan.hard_rate >= plan.hard_burst;
            c.calling || c.out > 0 || unseen < AGE_OUT || (plan.rate.max(plan.hard_rate) > 0.0 && !full)
        });
    }

    /// The bucket and the ceiling. `Err` is the time after which a refused client may come back.
    fn grant(&mut self, key: &Arc<str>, units: f64) -> Result<(), f64> {
        let alive = self.counter_misses < COUNTER_MISSES;
        let Some(c) = self.customers.get_mut(key) else { return Err(0.0) };
        let plan = &self.set.plans[c.plan];
        let (limit, loan) = c.refill(plan, units, alive, self.now);
        if plan.rate > 0.0 && c.tokens + loan < units {
            // Where the quota is idle, the next news of the totals is worth more than the wait for tokens.
            let wait = (units - c.tokens - loan) / limit.max(1e-3);
            let most = if loan > 0.0 { (c.next_call - self.now).max(0.0) } else { wait };
            return Err(if c.totals.is_none() { 0.0 } else { wait.min(most) });
        }
        if plan.hard_rate > 0.0 && c.ceiling < units {
            return Err((units - c.ceiling) / (plan.hard_rate / c.width));
        }
        Ok(())
    }

    /// Whether a customer has its share of the plan's cap out from here, one attempt at least.
    fn capped(&self, key: &Arc<str>) -> bool {
        let Some(c) = self.customers.get(key) else { return true };
        let (fair, open) = (1.0 / c.width, self.set.plans[c.plan].open);
        let weight = c.totals.filter(|t| t.all > 0.0).map_or(fair, |t| t.own / t.all);
        open > 0.0 && f64::from(c.out) >= (open * weight.max(fair)).round().max(1.0)
    }
}

// ===== servers: health, cold, choice =====

#[derive(Default)]
struct Server {
    zone: Arc<str>,
    cell: i64,
    weight: f64,
    state: ServerState,
    started: Option<f64>,
    slow: f64,
    slow_at: f64,
    out: u32,
    window: f64,
    cut_at: f64,
    /// Its last good answer.
    heard: f64,
    fails: u32,
    /// Per class: late attempts since it last answered that class, and the time of the last.
    late: Vec<(u32, f64)>,
    ejections: u32,
    ejected_until: f64,
    /// Sends of the last overload period, while cold.
    sent: Vec<f64>,
}

/// What is kept over all servers together.
#[derive(Default)]
struct Fleet {
    /// Servers in the order of their hashes, the same at every limiter.
    ring: Vec<ServerId>,
    /// Servers this limiter uses, and limiters that use one.
    subset: f64,
    cover: f64,
    /// How many more servers may be ejected, and the window over all others.
    spare: f64,
    room: f64,
    /// Mean answer time of all servers, the work's own part of it, both in aims; what opens their windows.
    lag: f64,
    rest: f64,
    open: f64,
    /// Share of the tries that find the fleet's window full.
    press: f64,
    /// Sends to warm servers in the last overload window, and the weight of those in use.
    sends: VecDeque<f64>,
    warm: f64,
    /// Attempts out at all servers.
    out: u32,
}

impl Server {
    fn new(e: &ServerEntry, peers: u32, out: u32) -> Self {
        Server {
            zone: e.zone.clone(),
            cell: e.cell,
            started: e.started,
            slow: 1.0,
            out,
            window: WINDOW.0 / f64::from(peers.max(1)),
            ejected_until: f64::MIN,
            ..Server::default()
        }
    }

    /// Share of its full capacity that a server has at least, by its age.
    fn warmth(&self, set: &Settings, now: f64) -> f64 {
        let age = self.started.map_or(1.0, |at| (now - at).max(0.0) / set.ramp_time.max(1e-9));
        set.start_capacity + (1.0 - set.start_capacity) * age.min(1.0)
    }
}

impl Limiter {
    fn aim(&self) -> f64 {
        self.set.classes.iter().map(|c| c.aim).fold(f64::MAX, f64::min).min(10.0)
    }

    fn listed(&mut self, entries: &[ServerEntry], whole: bool) {
        for (_, s) in self.servers.iter_mut().filter(|(id, _)| whole && !entries.iter().any(|e| e.id == **id))
        {
            s.state = ServerState::Gone;
        }
        for e in entries {
            let s = self.servers.entry(e.id.clone()).or_insert_with(|| Server::new(e, self.set.peers, 0));
            if s.started != e.started && e.started.is_some() {
                // A restarted process has nothing of its former self but what is still out.
                *s = Server::new(e, self.set.peers, s.out);
            }
            s.state = e.state;
            s.weight = if e.weight > 0.0 { e.weight } else { 1.0 };
        }
        self.servers.retain(|_, s| s.state != ServerState::Gone || s.out > 0);
        self.fleet.ring = self.servers.keys().cloned().collect();
        self.fleet.ring.sort_by_key(|id| hash(id));
        self.survey();
    }

    /// Looks over the servers once a tick, so that no request has to.
    fn survey(&mut self) {
        let (now, peers) = (self.now, f64::from(self.set.peers.max(1)));
        let (mut count, mut ejected, mut room) = (0.0f64, 0.0, 0.0);
        for s in self.servers.values().filter(|s| s.state == ServerState::InService) {
            let serves = f64::from(u8::from(s.ejected_until <= now));
            (count, ejected, room) = (count + 1.0, ejected + 1.0 - serves, room + serves * s.window);
        }
        (self.fleet.spare, self.fleet.room) = (count * EJECT.3 - ejected, room);
        self.fleet.subset = (count * COVER / peers).ceil().clamp(SUBSET.min(count), count);
        self.fleet.cover = (peers * self.fleet.subset / f64::max(count, 1.0)).max(1.0);
        let used = self.reach().take(self.fleet.subset as usize).map(|id| &self.servers[id]);
        self.fleet.warm = used.filter(|s| s.warmth(&self.set, now) >= 1.0).map(|s| s.weight).sum();
        self.fleet.sends.retain(|t| now - t <= self.set.overload_for);
    }

    /// The servers in this limiter's order: the limiters start evenly spread over the ring.
    fn reach(&self) -> impl Iterator<Item = &ServerId> {
        let start = (f64::from(self.set.me) * GOLDEN).fract() * self.fleet.ring.len() as f64;
        let start = (start as usize).min(self.fleet.ring.len());
        self.fleet.ring[start..].iter().chain(&self.fleet.ring[..start])
    }

    /// A failure shown by a server: too many in a row eject it for a while.
    fn strike(&mut self, id: &ServerId) {
        let (now, aim) = (self.now, self.aim());
        if let Some(s) = self.servers.get_mut(id) {
            s.fails += 1;
            if s.fails >= EJECT.0 && s.ejected_until <= now && self.fleet.spare >= 1.0 {
                s.ejected_until = now + EJECT.1 * aim * f64::from(1u32 << s.ejections.min(EJECT.2));
                s.ejections += 1;
                self.fleet.spare -= 1.0;
                self.fleet.room -= s.window;
            }
        }
    }

    /// Notes how long an attempt took against its usual time, answered or so far. Late ones count against the
    /// server for their class until it answers that class: it may serve the others as ever.
    fn slowness(&mut self, id: &ServerId, class: usize, ratio: f64, late: bool) {
        let (now, forget) = (self.now, SLOW_FORGET * self.aim());
        let Some(s) = self.servers.get_mut(id) else { return };
        // What is old weighs less against news: a server seen rarely is judged by its last answers.
        let kept = (-(now - s.slow_at) / forget).exp();
        let known = 1.0 + (s.slow - 1.0) * kept;
        s.slow = fresh(known, ratio.clamp(0.1, 30.0), SLOW_GAIN.max(SLOW_RARE * (1.0 - kept)));
        s.slow_at = now;
        s.late.resize(self.set.classes.len(), (0, now));
        s.late[class] = if late { (s.late[class].0 + 1, now) } else { (0, now) };
    }

    /// Bounds what may be out at a server by what it shows it can take.
    fn pace(&mut self, id: &ServerId, took: f64, aim: f64, failed: bool) {
        let (now, peers, f) = (self.now, f64::from(self.set.peers.max(1)), &mut self.fleet);
        let Some(s) = self.servers.get_mut(id) else { return };
        if !failed {
            // Answers alone tell how busy the fleet is: what stays unanswered may be lost, not waiting. Its
            // window grows only where it is used: at a limiter that more requests come to than to others.
            f.lag = fresh(f.lag, took / aim, SLOW_GAIN);
            // What answers take while the fleet is held back is the work, not waiting, and holding back more
            // mends it not. Guards against any reason for long work: large requests, a slow back end, tight
            // aims. Harms where others fill the fleet all along: their queue looks like work.
            if f.open < 1.0 || f.lag < f.rest {
                f.rest = fresh(f.rest, took / aim, REST.1).max(REST.0);
            }
            let full = f64::from(f.out + 2) > f.room * f.open || f.open < 1.0;
            let grow = if full { OPEN_STEP.0 } else { 1.0 };
            f.open *= if f.lag > OPEN_LAG * f.rest { OPEN_STEP.1 } else { grow };
            f.open = f.open.clamp(OPEN.0, OPEN.1);
        }
        let latency = f.lag / f.rest * s.slow;
        if failed || latency > WINDOW_LAG.1 {
            if now - s.cut_at > aim / 2.0 {
                s.window = (s.window * WINDOW_LAG.2).max(WINDOW.1 / peers);
                s.cut_at = now;
            }
        } else if latency < WINDOW_LAG.0 && f64::from(s.out + 2) > s.window {
            s.window = (s.window + 0.3 / s.window.max(4.0)).min(WINDOW.2);
        }
    }

    /// Whether a cold server may get one more send from here within the rule's window: what warm ones get,
    /// by its warmth. A part of one send goes out in that part of the windows, each limiter in its own turn.
    fn cold_room(&self, id: &ServerId, s: &Server) -> bool {
        let warmth = s.warmth(&self.set, self.now);
        if warmth >= 1.0 {
            return true;
        }
        let f = &self.fleet;
        let like_warm = if f.warm > 0.0 { f.sends.len() as f64 / f.warm * s.weight * warmth } else { 0.0 };
        let most = (like_warm * self.set.fall_multiple * COLD_SHARE).max(COLD_LEAST / f.cover);
        let span = self.set.overload_for.max(self.set.tick);
        let recent = s.sent.iter().filter(|t| self.now - **t <= span).count() as f64;
        let slot = hash(id) ^ u64::from(self.set.me) << 32 ^ (self.now / span) as u64;
        recent + 1.0 <= most || (recent < 1.0 && fastrand::Rng::with_seed(slot).f64() < most)
    }

    /// The best server for a request, or none where every one that may take it has enough.
    fn choose(&self, req: &Open, draw: f64) -> Option<ServerId> {
        let (now, forget) = (self.now, SLOW_FORGET * self.aim());
        let pooled = f64::from(self.fleet.out) + 1.0 <= (self.fleet.room * self.fleet.open).max(1.0);
        let (mut best, mut last) = (None::<(f64, &ServerId)>, None::<(f64, &ServerId)>);
        let mut looked = 0.0;
        let named = self.reach().map(|id| (id, &self.servers[id]));
        for (id, s) in named.filter(|(_, s)| s.state == ServerState::InService && self.in_group(req, s)) {
            if s.ejected_until > now {
                let sooner = s.out == 0 && last.is_none_or(|(t, _)| s.ejected_until < t);
                last = if sooner { Some((s.ejected_until, id)) } else { last };
                continue;
            }
            if looked >= self.fleet.subset {
                break;
            }
            looked += 1.0;
            let warmth = s.warmth(&self.set, now);
            let window = if s.fails >= EJECT.0 { 1.0 } else { s.window * warmth };
            // Many limiters with one attempt each can be too much: windows below one hold over all servers.
            let full = f64::from(s.out) + 1.0 > window.max(1.0) || (window < 1.0 && !pooled);
            if full || !self.cold_room(id, s) {
                continue;
            }
            let slow = 1.0 + (s.slow - 1.0) * (-(now - s.slow_at) / forget).exp();
            let mut score = slow * f64::from(s.out + 1) / (warmth * s.weight);
            score *= if *s.zone == *self.set.zone { 1.0 } else { CROSS_ZONE };
            if let Some((late, at)) = s.late.get(req.class).filter(|(late, _)| *late > 0) {
                let fade = LATE.1 * self.aim() * f64::from(*late);
                score *= 1.0 + LATE.0 * f64::from(*late) * (-(now - at) / fade).exp();
            }
            let tried = req.attempts.iter().any(|a| a.server == *id);
            score *= f64::from(1 + s.fails) * if tried { TRIED } else { 1.0 };
            score *= 1.0 + JITTER * (draw + GOLDEN * looked).fract();
            best = if best.is_none_or(|(b, _)| score < b) { Some((score, id)) } else { best };
        }
        // With every server ejected the least suspect still gets some: a wrong guess must not stop all.
        best.or(if looked > 0.0 { None } else { last }).map(|(_, id)| id.clone())
    }

    /// Whether a keyed request may go to a server: it stays with the group of the first that may have run it.
    fn in_group(&self, req: &Open, s: &Server) -> bool {
        let class = &self.set.classes[req.class];
        let first = req.attempts.iter().find(|a| a.may_have_run && class.effect == Effect::Keyed);
        first.is_none_or(|a| match class.scope {
            Scope::All => true,
            Scope::Zone => a.zone == s.zone,
            Scope::Cell => a.zone == s.zone && a.cell == s.cell,
        })
    }
}

// ===== requests: admit, attempts, finish =====

struct Attempt {
    server: ServerId,
    zone: Arc<str>,
    cell: i64,
    sent: f64,
    live: bool,
    /// Counted in its server's window.
    counted: bool,
    /// Until an outcome proves otherwise, an attempt may have run.
    may_have_run: bool,
}

#[derive(Default)]
struct Open {
    customer: Arc<str>,
    class: usize,
    units: f64,
    due: f64,
    streaming: bool,
    /// Answered; only the reports of its attempts are still to come.
    done: bool,
    attempts: Vec<Attempt>,
}

impl Open {
    fn live(&self) -> bool {
        self.attempts.iter().any(|a| a.live)
    }
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.may_have_run)
    }
}

impl Limiter {
    /// Takes one event in and appends what is to be done, in order.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        // By a flag, not the time: a real clock has moved on since `new` when the first event comes.
        if !std::mem::replace(&mut self.ticking, true) {
            out.push(Action::SetTimer { at: now + PERIOD / 10.0, token: T_TICK });
        }
        if std::mem::take(&mut self.follow) {
            out.push(Action::FollowServers);
        }
        match event {
            Event::ServerList(entries) => self.listed(&entries, true),
            Event::ServerChanges(entries) => self.listed(&entries, false),
            Event::DiscoveryBroken => self.lost_list = true,
            Event::Request(r) => self.admit(r, out),
            Event::StreamStarted { id } => {
                self.requests.entry(id).and_modify(|r| r.streaming = true);
            }
            Event::AttemptEnded { id, attempt, finished, outcome, took, units, .. } => {
                self.ended(id, attempt, (finished, outcome, took, units.unwrap_or(0.0)), out);
            }
            Event::ClientGone { id } => self.finish(id, out),
            Event::Counted { name, outcome, total, took } => self.counted(&name, outcome, total, took),
            Event::Probed { .. } => {}
            Event::Timer { token } => match (token % 4, token / 4) {
                (T_TICK, _) => {
                    // Woken late, with all that came meanwhile: what looks late now is no server's fault.
                    self.stalled = if now - self.ticked > STALL * PERIOD { now } else { self.stalled };
                    if (now / AGE_OUT).floor() > (self.ticked / AGE_OUT).floor() {
                        self.age_out();
                    }
                    self.ticked = now;
                    self.survey();
                    // A broken subscription is asked for again, at the pace of the ticks.
                    self.follow |= std::mem::take(&mut self.lost_list);
                    out.push(Action::SetTimer { at: now + PERIOD / 10.0, token: T_TICK });
                }
                (T_DUE, id) if self.requests.get(&id).is_some_and(|r| !r.done && !r.streaming) => {
                    out.push(Action::Fail { id });
                    self.finish(id, out);
                }
                (_, id) => self.impatient(id, out),
            },
        }
    }

    /// Sends a client's request on if its quota and the servers allow, else refuses it at once.
    fn admit(&mut self, r: Request, out: &mut Vec<Action>) {
        let class = self.set.classes.iter().position(|c| *c.name == *r.class);
        let plan = self.set.plans.iter().position(|p| *p.name == *r.plan);
        let (Some(class), Some(plan)) = (class, plan) else { return self.refuse(r.id, 0.0, out) };
        let (units, key) = (r.units.max(0.0), &r.customer);
        self.retry_saved = (self.retry_saved + RETRY.0).min(RETRY.1);
        self.customer(key, plan, r.width, units);
        if let Err(wait) = self.grant(key, units) {
            if !r.repeat {
                // Refused again is the same demand, already counted where it first came.
                self.tell(key, units, false, out);
            }
            return self.refuse(r.id, wait, out);
        }
        let open = Open { customer: key.clone(), class, units, due: r.due, ..Open::default() };
        let draw = self.rng.f64();
        // Where the fleet is full, what is worth least for its work gives way. The quota has decided before.
        let pressed = f64::from(self.fleet.out) + 1.0 > (self.fleet.room * self.fleet.open).max(1.0);
        self.fleet.press = fresh(self.fleet.press, f64::from(u8::from(pressed)), PRESS.0);
        let value = |n: usize| self.set.classes[n].worth / self.means[n].max(1e-6);
        let best = (0..self.means.len()).map(value).fold(0.0, f64::max);
        let yields = PRESS.1 * self.fleet.press * (1.0 - value(class) / best.max(1e-9)) > self.rng.f64();
        let server = if yields || self.capped(key) { None } else { self.choose(&open, draw) };
        let Some(server) = server else { return self.refuse(r.id, 0.0, out) };
        self.customers
            .entry(key.clone())
            .and_modify(|c| (c.tokens, c.ceiling) = (c.tokens - units, c.ceiling - units));
        self.tell(key, units, true, out);
        self.requests.insert(r.id, open);
        out.push(Action::SetTimer { at: r.due - 2.0 * self.set.tick, token: r.id * 4 + T_DUE });
        self.send(r.id, server, out);
    }

    fn send(&mut self, id: RequestId, server: ServerId, out: &mut Vec<Action>) {
        let now = self.now;
        let (Some(r), Some(s)) = (self.requests.get_mut(&id), self.servers.get_mut(&server)) else { return };
        s.out += 1;
        self.fleet.out += 1;
        if s.warmth(&self.set, now) < 1.0 {
            s.sent.retain(|t| now - t <= self.set.overload_for);
            s.sent.push(now);
        } else {
            self.fleet.sends.push_back(now);
        }
        r.attempts.push(Attempt {
            server: server.clone(),
            zone: s.zone.clone(),
            cell: s.cell,
            sent: now,
            live: true,
            counted: true,
            may_have_run: true,
        });
        self.customers.entry(r.customer.clone()).and_modify(|c| c.out += 1);
        let class = &self.set.classes[r.class];
        let usual = PATIENCE.0 * self.means[r.class] * r.units.max(1.0);
        let wait = usual.clamp(PATIENCE.1 * class.aim, PATIENCE.2 * class.aim);
        if now + wait < r.due {
            out.push(Action::SetTimer { at: now + wait, token: id * 4 + T_PATIENCE });
        }
        out.push(Action::Send { id, server, timeout: 0.0 });
    }

    /// Whether the rules let a request go out once more.
    fn may_repeat(&self, r: &Open) -> bool {
        let class = &self.set.classes[r.class];
        let time_left = r.due - self.now > self.means[r.class];
        if r.done || r.streaming || r.attempts.len() as u32 >= self.set.max_attempts || !time_left {
            return false;
        }
        match class.effect {
            Effect::ReadLike => true,
            Effect::NonIdempotent => !r.may_have_run(),
            Effect::Keyed => {
                let ends = |a: &Attempt| a.sent + class.window * KEYED_SHARE - self.set.tick * 2.0;
                r.attempts.iter().find(|a| a.may_have_run).is_none_or(|a| self.now < ends(a))
            }
        }
    }

    /// Sends again within the retry budget; true if it did.
    fn send_again(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let draw = self.rng.f64();
        let allowed = self.requests.get(&id).filter(|r| self.retry_saved >= 1.0 && self.may_repeat(r));
        let Some(server) = allowed.and_then(|r| self.choose(r, draw)) else { return false };
        self.retry_saved -= 1.0;
        self.send(id, server, out);
        true
    }

    /// An answer is taking long: hold it against the server, and try another if allowed.
    fn impatient(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.done && !r.streaming) else { return };
        let Some(a) = r.attempts.last().filter(|a| a.live) else { return };
        let (class, aim, server) = (r.class, self.set.classes[r.class].aim, a.server.clone());
        let (n, late) = (r.attempts.len() as u32 - 1, self.now - a.sent);
        let again = self.may_repeat(r) && self.retry_saved >= 1.0;
        let usual = self.means[class] * r.units.max(1.0);
        let own_fault = self.now <= self.stalled + self.set.tick && a.sent < self.stalled;
        if late < PATIENCE.1 * aim {
            return;
        }
        let next = if own_fault { self.now + PERIOD / 10.0 } else { a.sent + aim + self.set.tick };
        if late >= aim {
            return self.write_off(id, n);
        }
        out.push(Action::SetTimer { at: next, token: id * 4 + T_PATIENCE });
        if own_fault {
            return;
        }
        // A server that answered others since is slow, not gone: ejected, its load would heap on the rest.
        if self.servers.get(&server).is_some_and(|s| s.heard < self.now - late) {
            self.strike(&server);
        }
        self.slowness(&server, class, late / usual.max(1e-6), true);
        // One late answer is no silence at a server seen rarely: called off, its work would run for nothing.
        let lost = self.servers.get(&server).is_some_and(|s| s.fails.max(s.late[class].0) >= EJECT.4);
        if again && lost && self.set.may_cancel {
            // Only one may be out: its outcome brings the next attempt.
            out.push(Action::Cancel { id, attempt: n });
        }
    }

    /// Takes an attempt off its server's window, once: answered, or so late that it may be lost or hang.
    fn write_off(&mut self, id: RequestId, n: u32) {
        let Some(a) = self.requests.get_mut(&id).and_then(|r| r.attempts.get_mut(n as usize)) else { return };
        if std::mem::take(&mut a.counted) {
            self.fleet.out = self.fleet.out.saturating_sub(1);
            if let Some(s) = self.servers.get_mut(&a.server) {
                s.out = s.out.saturating_sub(1);
            }
        }
    }

    /// How an attempt ended: whether the request is finished, the outcome, its time and its true units.
    fn ended(&mut self, id: RequestId, n: u32, how: (bool, Outcome, f64, f64), out: &mut Vec<Action>) {
        let (finished, outcome, took, actual) = how;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let (class, guess, key) = (r.class, r.units, r.customer.clone());
        let Some(a) = r.attempts.get_mut(n as usize).filter(|a| a.live) else { return };
        a.live = false;
        let server = a.server.clone();
        a.may_have_run = !matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
        let was_done = r.done;
        self.write_off(id, n);
        let aim = self.set.classes[class].aim;
        if let Some(c) = self.customers.get_mut(&key) {
            c.out = c.out.saturating_sub(1);
            if outcome == Outcome::Ok && actual > 0.0 && self.set.post_paid {
                c.tokens -= actual - guess;
                c.used = (c.used + if self.now < c.next_call { actual - guess } else { 0.0 }).max(0.0);
            }
        }
        match outcome {
            Outcome::Ok => {
                let each = took / guess.max(1.0);
                self.slowness(&server, class, each / self.means[class].max(1e-6), false);
                self.means[class] = fresh(self.means[class], each, MEAN_GAIN);
                if n > 0 && took < aim {
                    self.retry_saved = (self.retry_saved + RETRY.2).min(RETRY.1);
                }
                self.pace(&server, took, aim, false);
                if let Some(s) = self.servers.get_mut(&server) {
                    (s.heard, s.fails, s.ejections) = (self.now, 0, 0);
                }
            }
            Outcome::Full => {
                // It answers at once, and would else look like the least busy.
                self.slowness(&server, class, FULL_SLOW, false);
                self.pace(&server, took, aim, true);
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => self.strike(&server),
            Outcome::Timeout => self.pace(&server, took, aim, true),
            _ => {}
        }
        if finished || was_done {
            self.finish(id, out);
        } else if !self.requests.get(&id).is_some_and(Open::live) && !self.send_again(id, out) {
            self.give_up(id, out);
        }
    }

    /// The final answer where no attempt is left: refused if that promise may be given, else failed.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.done) else { return };
        let class = &self.set.classes[r.class];
        let shared = class.effect == Effect::Keyed && class.scope == Scope::All;
        if class.effect == Effect::ReadLike || shared || !r.may_have_run() {
            return self.refuse(id, 0.0, out);
        }
        out.push(Action::Fail { id });
        self.finish(id, out);
    }

    fn refuse(&mut self, id: RequestId, wait: f64, out: &mut Vec<Action>) {
        let advice = if self.set.may_advise { wait.clamp(0.0, self.set.max_advice.max(0.0)) } else { 0.0 };
        out.push(Action::Refuse { id, retry_after: advice });
        self.finish(id, out);
    }

    /// Marks a request answered, calls off what is still out, and forgets it once all has reported.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if !r.done && self.set.may_cancel && !r.streaming {
            for (n, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.live) {
                out.push(Action::Cancel { id, attempt: n as u32 });
            }
        }
        r.done = true;
        if !r.live() {
            self.requests.remove(&id);
        }
    }
}
