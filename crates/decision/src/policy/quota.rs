//! Quota and keeper: buckets, the demand told to the counter and learned from its totals, ceilings and caps.

use super::{fresh, hash, View};
use crate::interface::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Least seconds between two counter calls for a customer.
pub const PERIOD: f64 = 0.5;
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
pub const AGE_OUT: f64 = 60.0;
/// Seconds in which the joint store is steered to the plan's burst, where a limiter's own share of it is
/// less than a unit: a full store bears what goes out before anybody has news of it.
const STEER: f64 = 1.0;
/// Readings of a plan's customers that its mean part is averaged over.
const READINGS: f64 = 30.0;
/// Steps of a counter total below PACK are units used, those above units refused (seven digits are exact).
const PACK: f64 = 2_000.0;
const PACK_REFUSED: f64 = 4_999.0;
/// As far as the quota is idle: share of the plan's burst that a bucket of under one request may borrow, and
/// share of its own that any other may.
const LOAN: (f64, f64) = (0.7, 0.3);

/// The shared totals of a customer, as this limiter last learned them, in units a second.
#[derive(Clone, Copy, Default)]
struct Totals {
    own: f64,
    all: f64,
    used: f64,
    at: f64,
    /// Seconds over which they are averaged.
    memory: f64,
    /// Share of the averages that was read so far: the rest is the nothing that they began with.
    read: f64,
}

#[derive(Default)]
struct Customer {
    plan: usize,
    width: f64,
    tokens: f64,
    filled: f64,
    ceiling: f64,
    out: u32,
    /// What the last news left in the store that all limiters draw from, overdrawn by one burst at most.
    store: f64,
    /// News for the counter: units used and refused.
    used: f64,
    refused: f64,
    calling: bool,
    next_call: f64,
    /// Time of the answer before, and mean seconds between calls.
    called: f64,
    gap: f64,
    /// The name last answered, with its steps used and refused then.
    base: (i64, f64, f64),
    totals: Option<Totals>,
    /// The counter lost counts, and no difference has come since: totals are missing.
    lost: bool,
}

/// The design's limit: the quota by weight, raised towards the fallback by what is left unused. Where only a
/// part of the limiters shares the totals, they divide as much of the quota.
fn limit(quota: f64, share: f64, width: f64, request: f64, totals: Option<Totals>) -> f64 {
    let fallback = quota / width.max(1.0);
    let quota = quota * share;
    let Some(t) = totals.filter(|t| t.all > 0.0) else { return fallback };
    let prior = PRIOR * request;
    let weight = (t.own * t.memory + prior / width.max(1.0)) / (t.all * t.memory + prior);
    let weighted = quota * weight.clamp(0.0, 1.0);
    weighted.max(fallback.min(weighted + (quota - t.used).max(0.0)))
}

impl Customer {
    /// The totals, unless they are missing.
    fn known(&self) -> Option<Totals> {
        self.totals.filter(|_| !self.lost)
    }

    /// The totals that a share of the quota is divided by: not old, and of a counter that is believed.
    fn believed(&self, share: f64, now: f64) -> Option<Totals> {
        self.known().filter(|t| share > 0.0 && now - t.at <= STALE * NAME_TIME)
    }

    /// Whether this limiter's even share of the plan's burst is less than a unit.
    fn thin(&self, plan: &Plan) -> bool {
        plan.burst < self.width
    }

    /// The share of the tries that goes through where each limiter sees few of them: the quota by all demand,
    /// and what the joint store has over or under what it is steered to. That is the design's limit, on the
    /// mean. A bucket of one request loses what it can't hold, and passes on what others have used up.
    fn part(&self, plan: &Plan, share: f64, t: Totals) -> f64 {
        (plan.rate * share + (self.store - plan.burst) / STEER) * t.read / t.all.max(1e-6)
    }

    /// Takes in what all drew since the reading before, or since the name began, which may be later: evenly,
    /// as far as anyone can tell.
    fn learn_store(&mut self, plan: &Plan, rate: f64, drew: f64, (before, start, now): (f64, f64, f64)) {
        // What was drawn under the last name after its reading is not known; it was as it had been.
        let used = self.totals.map_or(rate, |t| t.used / t.read.max(1e-6));
        let unseen = (rate - used) * (start - before).max(0.0);
        let left = (self.store + unseen).min(plan.burst) + rate * (now - before.max(start)) - drew;
        self.store = left.clamp(-plan.burst, plan.burst);
    }

    /// Refills the bucket and the ceiling's share; gives the limit and what the bucket may borrow.
    /// Tokens above a lowered depth are kept.
    fn refill(&mut self, plan: &Plan, units: f64, share: f64, known: Option<Totals>, now: f64) -> (f64, f64) {
        let limit = limit(plan.rate, share, self.width, units, known);
        let burst = limit * plan.burst / plan.rate.max(1e-9);
        let filled = self.tokens + limit * (now - self.filled);
        self.tokens = filled.min(burst.max(units).max(self.tokens));
        let (rate, most) = (plan.hard_limit_rate / self.width, plan.hard_limit_burst / self.width);
        self.ceiling = (self.ceiling + rate * (now - self.filled)).min(most);
        self.filled = now;
        // A bucket of less than one request refuses most however idle the quota (the third objection). Others
        // lag behind load that moves here, a restart and lost calls. Harms where many limiters lend the same
        // idle units within a period: that goes beyond the quota.
        let idle = known.map_or(0.0, |t| (share - t.used / plan.rate.max(1e-9)).max(0.0));
        let most = if burst < units { LOAN.0 * plan.burst } else { LOAN.1 * burst };
        (limit, most * idle)
    }
}

/// What is known of every customer's use, here and through all limiters.
pub struct Quota {
    born: f64,
    customers: BTreeMap<Arc<str>, Customer>,
    /// Counter calls that are out, by name: the customer, the name's number, the steps used and refused.
    calls: BTreeMap<String, (Arc<str>, i64, f64, f64)>,
    /// Share of each quota that totals may divide; 0 where they are not believed.
    pub view: f64,
    counter_misses: u32,
    counter_try: f64,
    /// Share of the tries that call the counter.
    call_share: f64,
    /// Per plan: the mean part of the customers read here, and how many were, for those not read yet.
    parts: Vec<(f64, f64)>,
}

impl Quota {
    pub fn new(now: f64) -> Self {
        Quota {
            born: now,
            customers: BTreeMap::new(),
            calls: BTreeMap::new(),
            view: 1.0,
            counter_misses: 0,
            counter_try: now,
            call_share: CALLS.0,
            parts: Vec::new(),
        }
    }

    /// Makes sure of a customer's account, and notes through how many limiters it comes.
    pub fn open(&mut self, View { set, now }: View, key: &Arc<str>, plan: usize, width: u32, units: f64) {
        let born = self.born;
        let p = &set.plans[plan];
        let width = f64::from(width.clamp(1, set.instance_count.max(1)));
        let c = self.customers.entry(key.clone()).or_insert_with(|| Customer {
            plan,
            tokens: (p.burst / width).max(units),
            filled: now,
            // A restart must not draw the ceiling's burst anew: the share starts empty with the instance.
            ceiling: (p.hard_limit_rate / width * (now - born)).min(p.hard_limit_burst / width),
            next_call: now,
            called: born,
            store: p.burst,
            gap: PERIOD,
            base: (i64::MIN, 0.0, 0.0),
            ..Customer::default()
        });
        c.width = width;
    }

    /// Draws a try's units from the bucket and the ceiling.
    pub fn take(&mut self, key: &Arc<str>, units: f64) {
        if let Some(c) = self.customers.get_mut(key) {
            (c.tokens, c.ceiling) = (c.tokens - units, c.ceiling - units);
        }
    }

    /// An attempt for a customer goes out.
    pub fn attempt_out(&mut self, key: &Arc<str>) {
        if let Some(c) = self.customers.get_mut(key) {
            c.out += 1;
        }
    }

    /// It has ended; a good answer may tell by how much the guess of its units was wrong.
    pub fn attempt_back(&mut self, View { now, .. }: View, key: &Arc<str>, correction: f64) {
        if let Some(c) = self.customers.get_mut(key) {
            c.out = c.out.saturating_sub(1);
            if correction != 0.0 {
                c.tokens -= correction;
                c.used = (c.used + if now < c.next_call { correction } else { 0.0 }).max(0.0);
            }
        }
    }

    /// Units one step of the packed number stands for: room for three times the quota in a name's time.
    fn grain(plan: &Plan) -> f64 {
        ((NAME_TIME * plan.rate * 3.0 + plan.burst) / PACK).max(1.0)
    }

    /// Tells the counter of a try, off the request path. A share of the tries calls and stands for all, so
    /// that hundreds of limiters stay within what it can take; for a period after a call all is saved up.
    /// Refused ones go first: what their call brings decides the client's next try.
    pub fn tell(
        &mut self,
        View { set, now }: View,
        rng: &mut fastrand::Rng,
        (key, units, sent): (&Arc<str>, f64, bool),
        out: &mut Vec<Action>,
    ) {
        let down = self.counter_misses >= COUNTER_MISSES;
        let Some(c) = self.customers.get_mut(key) else { return };
        let plan = &set.plans[c.plan];
        if !set.has_counter || plan.rate <= 0.0 {
            return;
        }
        let chance = if sent { self.call_share } else { (2.0 * self.call_share).min(1.0) };
        let wait = c.calling || now < c.next_call || (down && now < self.counter_try);
        if !wait && rng.f64() >= chance {
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
        let (grain, draw) = (Self::grain(plan), rng.f64());
        // Guards against a spill: a call adds its part of half the digits that were free at the last reading:
        // with a call from everyone who makes one on its way they still do not run over.
        let steps = |units: f64, base: f64, most: f64| {
            let least = if base > most / 2.0 { 0.0 } else { 1.0 };
            let room = ((most - base) / 2.0 / (c.width * chance)).floor().max(least);
            (units / grain + if units % grain == 0.0 { 0.0 } else { draw }).floor().clamp(0.0, room)
        };
        let (used, refused) = (steps(c.used, base.0, PACK - 1.0), steps(c.refused, base.1, PACK_REFUSED));
        (c.used, c.refused, c.calling) = (0.0, 0.0, true);
        c.next_call = now + PERIOD * (0.9 + 0.2 * draw);
        let name = format!("{:016x}.{epoch}", hash(key));
        self.calls.insert(name.clone(), (key.clone(), epoch, used, refused));
        out.push(Action::IncrementCounter {
            key: name,
            increment: used + refused * PACK,
            ttl: (NAME_TIME * 2.0).min(60.0),
        });
    }

    pub fn counted(&mut self, View { set, now }: View, name: &str, outcome: Outcome, total: f64, took: f64) {
        let ok = outcome == Outcome::Ok;
        let quick = ok && took <= CALLS_STEP.2 * set.counter_timeout;
        self.call_share = if quick { self.call_share + CALLS_STEP.0 } else { self.call_share * CALLS_STEP.1 };
        self.call_share = self.call_share.clamp(CALLS.1, 1.0);
        if outcome != Outcome::Overloaded {
            self.counter_misses = if ok { 0 } else { self.counter_misses.saturating_add(1) };
        }
        let Some((key, epoch, own_used, own_refused)) = self.calls.remove(name) else { return };
        let Some(c) = self.customers.get_mut(&key) else { return };
        c.calling = false;
        let plan = &set.plans[c.plan];
        let grain = Self::grain(plan);
        if !ok {
            if outcome != Outcome::Timeout {
                c.used += own_used * grain;
                c.refused += own_refused * grain;
            }
            return;
        }
        let all = ((total % PACK).max(0.0), (total / PACK).floor().max(0.0));
        let base = if c.base.0 == epoch { (c.base.1, c.base.2) } else { (0.0, 0.0) };
        // What a counter that lost its counts has now was added since the last reading, not since it began.
        let start = epoch as f64 * NAME_TIME;
        let since = if c.base.0 == epoch { c.called } else { start };
        // Own demand spreads over all the time since the call before, a part of which lies before the name:
        // else a rare request looks like a large share just after the name changed.
        let (span, own_span) = ((now - since).max(PERIOD / 4.0), (now - c.called).max(PERIOD / 4.0));
        let before = std::mem::replace(&mut c.called, now);
        c.base = (epoch, all.0, all.1);
        let (used, refused) = (all.0 - base.0, all.1 - base.1);
        // Less than our own part: the counter lost its counts. Missing until the next difference, averaged
        // with those before: what the counter forgot has not changed what is asked.
        c.lost = total < 0.0 || used < own_used || refused < own_refused;
        if c.lost {
            return;
        }
        c.learn_store(plan, plan.rate * self.view, used * grain, (before, start, now));
        c.gap = fresh(c.gap, own_span, GAP_GAIN);
        let memory = (MEMORY.0 * c.gap).clamp(MEMORY.0 * PERIOD, MEMORY.1 * NAME_TIME);
        let gain = |span: f64| 1.0 - (-span / memory).exp();
        let mean = |old, steps, span| fresh(old, steps * grain / span, gain(span));
        let t = c.totals.unwrap_or_default();
        let t = Totals {
            own: mean(t.own, own_used + own_refused, own_span),
            all: mean(t.all, used + refused, span),
            used: mean(t.used, used, span),
            at: now,
            memory,
            read: fresh(t.read, 1.0, gain(span)),
        };
        c.totals = Some(t);
        self.parts.resize(set.plans.len(), (1.0, 0.0));
        let (mean, n) = &mut self.parts[c.plan];
        *n = (*n + 1.0).min(READINGS);
        *mean = fresh(*mean, c.part(plan, self.view, t).clamp(0.0, 1.0), 1.0 / *n);
    }

    /// Forgets customers long unseen whose bucket and ceiling would be full: sooner, each got them full anew.
    pub fn age_out(&mut self, View { set, now }: View) {
        self.customers.retain(|_, c| {
            let (plan, unseen) = (&set.plans[c.plan], now - c.filled);
            let missing = (plan.burst / c.width).max(set.max_request_units) - c.tokens;
            let full = unseen * plan.rate / c.width >= missing
                && unseen * plan.hard_limit_rate >= plan.hard_limit_burst;
            c.calling || c.out > 0 || unseen < AGE_OUT || (plan.rate.max(plan.hard_limit_rate) > 0.0 && !full)
        });
    }

    /// The bucket and the ceiling. `Err` is the time after which a refused client may come back.
    pub fn grant(
        &mut self,
        View { set, now }: View,
        rng: &mut fastrand::Rng,
        key: &Arc<str>,
        units: f64,
    ) -> Result<(), f64> {
        let share = if self.counter_misses < COUNTER_MISSES { self.view } else { 0.0 };
        let Some(c) = self.customers.get_mut(key) else { return Err(0.0) };
        let plan = &set.plans[c.plan];
        let known = c.believed(share, now);
        let (limit, loan) = c.refill(plan, units, share, known, now);
        // One request from each limiter is several bursts of a thin plan. Nothing is known of this customer,
        // so it has the chance that those of its plan have; its refusal asks the counter for its totals.
        let unread = share > 0.0 && c.totals.is_none() && plan.rate > 0.0 && c.thin(plan);
        if unread && self.parts.get(c.plan).is_some_and(|(mean, _)| rng.f64() >= *mean) {
            return Err(PERIOD);
        }
        if let Some(t) = known.filter(|_| plan.rate > 0.0 && c.thin(plan)) {
            if rng.f64() >= c.part(plan, share, t) {
                let missing = units + plan.burst - c.store;
                return Err((missing / (plan.rate * share)).max(PERIOD));
            }
            // The joint store covers it: the bucket, which serves while totals are missing, owes nothing.
            c.tokens = c.tokens.max(units);
        } else if plan.rate > 0.0 && c.tokens + loan < units {
            // Where the quota is idle, the next news of the totals is worth more than the wait for tokens.
            let wait = (units - c.tokens - loan) / limit.max(1e-3);
            let most = if loan > 0.0 { (c.next_call - now).max(0.0) } else { wait };
            return Err(if c.known().is_none() { 0.0 } else { wait.min(most) });
        }
        if plan.hard_limit_rate > 0.0 && c.ceiling < units {
            return Err((units - c.ceiling) / (plan.hard_limit_rate / c.width));
        }
        Ok(())
    }

    /// Whether a customer has its share of the plan's cap out from here, one attempt at least.
    pub fn capped(&self, set: &Settings, key: &Arc<str>) -> bool {
        let Some(c) = self.customers.get(key) else { return true };
        let (fair, open) = (1.0 / c.width, set.plans[c.plan].concurrency_limit);
        // Own demand is known from this limiter's start, all demand from the name's: the first may be larger.
        let weight = c.known().filter(|t| t.all > 0.0).map_or(fair, |t| (t.own / t.all).min(1.0));
        open > 0.0 && f64::from(c.out) >= (open * weight.max(fair)).round().max(1.0)
    }
}
