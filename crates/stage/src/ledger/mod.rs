//! The ledger: accounts for every request of a history, and judges it by the five rules. Pure; it knows the
//! wire and nothing of the limiter or of what the kit meant to do.

mod book;
mod quota;
mod rules;
mod service;
pub mod stores;

pub use quota::Kept;
pub use rules::{Break, Doubt};
pub use service::{Adoption, Prices, Second, Service};

use crate::history::{Entry, Event};
use crate::scenario::{Effect, Scenario};
use crate::schedule::{micros, Arrival, Micros, Schedule, MOST_UNITS};
use book::{Book, TryLog};
use serde::Serialize;
use stores::ColdRule;

/// Time limits are so much longer on sockets.
pub const ON_SOCKETS: Micros = 50_000;
/// Nothing new goes to a node later than this after the limiter was told that it drains or is gone.
pub const DRAIN_GRACE: Micros = 250_000;
/// A version of an inventory is read within the time that a drain leaves, and what was chosen just before goes out once
/// its connection stands, which may take as long again.
pub const VERSION_GRACE: Micros = 2 * DRAIN_GRACE;
/// An answer after its client's deadline still counts within this.
pub const ANSWER_GRACE: Micros = 8_000;
/// Attempts of a try, at most.
pub const MOST_ATTEMPTS: usize = 5;
/// A cold node falls over at this multiple of its present capacity, kept up for so long.
pub const FALL: (f64, Micros) = (3.0, 2_000_000);
/// And if at least this share of the work came from limiters that knew.
pub const FALL_TOLD: f64 = 2.0 / 3.0;
/// Share of a ceiling's burst that is slack, and what its rate gives in this time beside it.
pub const CEILING_SLACK: f64 = 0.1;
/// Seconds of the ceiling's rate that are slack beside it.
pub const CEILING_LATE_S: f64 = 0.15;
/// More than this share of the tries under whose connection an end came that proves nothing, and the run cannot be judged.
pub const MOST_UNSURE: f64 = 0.005;
/// More than this share of the notes on lateness above this, and the kit was too busy to judge.
pub const TOO_BUSY: (f64, Micros) = (0.02, 50_000);

/// What the judge has to know beside the history: figures that the limiters were told too, and what each
/// request asked.
pub struct Facts<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// What was asked.
    pub schedule: &'a Schedule,
}

impl Facts<'_> {
    /// The request and the number of the try that an id belongs to.
    pub fn request(&self, id: u64) -> Option<(&Arrival, usize)> {
        let (index, n) = Arrival::of_id(id)?;
        self.schedule.arrivals.get(index).map(|a| (a, n))
    }

    /// Room of the n-th limiter or node: both are dealt over the rooms in turn.
    pub fn room(&self, n: usize) -> usize {
        n % self.scenario.rooms.len().max(1)
    }

    /// Units that a plan's ceiling store holds, its rate and its slack; none without one.
    pub fn ceiling(&self, plan: usize) -> Option<(f64, f64, f64)> {
        ceiling(self.scenario, plan)
    }

    /// Units that a plan's quota lets through at once.
    pub fn depth(&self, plan: usize) -> f64 {
        depth(self.scenario, plan)
    }

    /// Attempts of a customer that may be out at once, slack included; none without a cap. Limiters that share only
    /// the keeper hold the cap by their shares of the demand or an even share, whichever is more, and one attempt
    /// each at least. No share is more than the whole, so that each holds the cap by itself; and shares of one moment
    /// sum to less than twice the cap, with one more for each limiter by rounding. One more is for an attempt whose end
    /// the kit notes after the next one's beginning.
    pub fn at_once(&self, plan: usize, spread: usize) -> Option<u32> {
        let (open, spread) = (self.scenario.plans[plan].open, spread as u32);
        (open > 0).then(|| (spread * open).min(2 * open + spread) + 1)
    }

    /// Figures of the rule on cold nodes; the slack is two of the largest usual requests.
    pub fn cold_rule(&self) -> ColdRule {
        cold_rule(self.scenario)
    }

    /// Seconds of work that a node does in a second when warm.
    pub fn capacity(&self, node: usize) -> f64 {
        self.scenario.nodes.cores as f64 * self.schedule.speeds.get(node).copied().unwrap_or(1.0)
    }
}

/// Units that a plan's quota lets through at once: two of the largest requests at least, four under a ceiling.
pub fn depth(s: &Scenario, plan: usize) -> f64 {
    let p = &s.plans[plan];
    let least = f64::from(MOST_UNITS) * if p.ceiling > 0.0 { 4.0 } else { 2.0 };
    (p.rate * p.burst_s).max(least)
}

/// Burst, rate and slack of a plan's hard ceiling; none without one.
pub fn ceiling(s: &Scenario, plan: usize) -> Option<(f64, f64, f64)> {
    let p = &s.plans[plan];
    let burst = depth(s, plan) * p.ceiling;
    (p.ceiling > 0.0).then(|| (burst, p.rate * p.ceiling, (CEILING_SLACK * burst).max(f64::from(MOST_UNITS))))
}

/// Figures of the rule on cold nodes.
pub fn cold_rule(s: &Scenario) -> ColdRule {
    let largest = s.classes.iter().map(|c| c.work_ms).fold(0.0, f64::max) * 5.0 / 1e3;
    ColdRule { multiple: FALL.0, window: FALL.1, slack: 2.0 * largest }
}

/// What became of the tries; each is counted once.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Requests whose first try was due to be sent.
    pub requests: usize,
    /// Tries, repeats of clients included.
    pub tries: usize,
    /// Answered 200 with a node's own body.
    pub served: usize,
    /// Refused, and told when to come back.
    pub refused_advised: usize,
    /// Refused without advice.
    pub refused: usize,
    /// Denied by an authoriser.
    pub denied: usize,
    /// Any other answer.
    pub failed: usize,
    /// The limiter could not be reached: never taken.
    pub unreached: usize,
    /// The client left first.
    pub left: usize,
    /// Held by a limiter that the scenario killed: the client's to repeat.
    pub held_by_killed: usize,
    /// Held by a limiter that the scenario paused.
    pub held_by_paused: usize,
    /// Lost by a limiter that ran.
    pub lost: usize,
    /// Still open when the rehearsal was broken off.
    pub open: usize,
    /// Attempts at nodes.
    pub attempts: usize,
    /// Those beyond the first of their try.
    pub resends: usize,
    /// Tries for which permission was asked over gRPC, and those of them that were permitted.
    pub permissions: usize,
    /// Permitted; they are among those served.
    pub permitted: usize,
    /// Tries that were sent once more since a kept connection ended under them, proven not to have been read.
    pub resent: usize,
    /// The same, where that is as likely as not.
    pub resent_unsure: usize,
    /// Questions that came to the authoriser.
    pub questions: usize,
    /// Calls of the keeper.
    pub keeper_calls: usize,
    /// Those that it answered.
    pub keeper_answers: usize,
    /// Probes of nodes.
    pub probes: usize,
}

/// The outcome of a try, for counts and timelines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Served,
    RefusedAdvised,
    Refused,
    Denied,
    Failed,
    Unreached,
    Left,
    HeldByKilled,
    HeldByPaused,
    Lost,
    Open,
}

/// What became of a try.
fn fate(book: &Book, log: &TryLog) -> Fate {
    if let Some(reply) = log.reply {
        return match (reply.status, reply.advice) {
            (200, _) => Fate::Served,
            (429 | 503, Some(_)) => Fate::RefusedAdvised,
            (429 | 503, None) => Fate::Refused,
            (403, _) => Fate::Denied,
            _ => Fate::Failed,
        };
    }
    if log.left.is_some() {
        return Fate::Left;
    }
    let Some((sent, limiter, _)) = log.sent else {
        return if log.unreached.is_some() { Fate::Unreached } else { Fate::Open };
    };
    let Some(ended) = log.lost.map(|(at, _)| at).or(log.unanswered) else {
        return if log.unreached.is_some() { Fate::Unreached } else { Fate::Open };
    };
    if book.killed_between(limiter, sent, ended) {
        Fate::HeldByKilled
    } else if book.paused_between(limiter, sent, ended) {
        Fate::HeldByPaused
    } else {
        Fate::Lost
    }
}

/// The five rules, in a few words.
pub const RULES: [&str; 5] = [
    "each request that was taken gets exactly one final answer before its deadline",
    "resends only as the class permits, and never two attempts at once",
    "nothing new to a node over 250 ms after the limiter was told that it drains or is gone",
    "cold nodes are not pushed over",
    "quotas, within their stated error, and ceilings hold over all limiters together",
];

/// What a rehearsal came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// All rules were kept.
    Kept,
    /// One was broken.
    Broken,
    /// It could not be judged.
    Unjudged,
}

/// The whole judgement.
#[derive(Clone, Debug, Serialize)]
pub struct Judgement {
    /// What it came to.
    pub verdict: Verdict,
    /// Why it could not be judged.
    pub unjudged: Option<String>,
    /// Breaks of rules, by time.
    pub breaks: Vec<Break>,
    /// What looks like a break, but may be the kit's own lateness.
    pub doubts: Vec<Doubt>,
    /// What became of the tries.
    pub counts: Counts,
    /// Service as operators count it.
    pub service: Service,
    /// How each plan's quota was kept.
    pub quotas: Vec<Kept>,
    /// The most calls that a second brought to the keepers.
    pub keeper_calls_peak: u32,
    /// Time from a try's last byte to its answer's, of those served: the median and the 99th percentile.
    pub answer_p50_us: Micros,
    /// The 99th percentile.
    pub answer_p99_us: Micros,
    /// How soon versions of inventory files were adopted, where there are any.
    pub adoption: Option<Adoption>,
    /// What happened in each second.
    pub seconds: Vec<Second>,
    /// The kit's own lateness: the 99th percentile of its notes and the largest.
    pub late_p99_us: Micros,
    /// The largest.
    pub late_max_us: Micros,
}

/// Judges a history. `cut` says why it does not go to its end, if so.
pub fn judge(facts: &Facts, history: &[Entry], cut: Option<&str>) -> Judgement {
    let book = Book::of(history);
    let mut counts = Counts::default();
    for (id, log) in &book.tries {
        let Some((request, _)) = facts.request(*id) else { continue };
        counts.tries += 1;
        if request.permission.is_some() {
            counts.permissions += 1;
            counts.permitted += usize::from(fate(&book, log) == Fate::Served);
        }
        counts.attempts += log.attempts.len();
        counts.resends += log.attempts.len().saturating_sub(1);
        *match fate(&book, log) {
            Fate::Served => &mut counts.served,
            Fate::RefusedAdvised => &mut counts.refused_advised,
            Fate::Refused => &mut counts.refused,
            Fate::Denied => &mut counts.denied,
            Fate::Failed => &mut counts.failed,
            Fate::Unreached => &mut counts.unreached,
            Fate::Left => &mut counts.left,
            Fate::HeldByKilled => &mut counts.held_by_killed,
            Fate::HeldByPaused => &mut counts.held_by_paused,
            Fate::Lost => &mut counts.lost,
            Fate::Open => &mut counts.open,
        } += 1;
    }
    counts.requests = book.tries.keys().filter(|id| matches!(Arrival::of_id(**id), Some((_, 0)))).count();
    for entry in history {
        match &entry.event {
            Event::Called { answered, .. } => {
                counts.keeper_calls += 1;
                counts.keeper_answers += usize::from(*answered);
            }
            Event::Probed { .. } => counts.probes += 1,
            Event::Questioned { .. } => counts.questions += 1,
            Event::Resent { sure: true, .. } => counts.resent += 1,
            Event::Resent { sure: false, .. } => counts.resent_unsure += 1,
            _ => {}
        }
    }
    let (quotas, beyond) = quota::keep(facts, &book);
    let (breaks, doubts) = rules::find(facts, &book, history, &beyond, cut.is_some());
    let (service, seconds) = service::count(facts, &book, history, &counts);
    let (late_share, late_max_us) = book.late_share(TOO_BUSY.1);
    let busy = late_share > TOO_BUSY.0;
    let unjudged = match cut {
        Some(why) => Some(why.to_string()),
        None if busy => Some(format!(
            "the machine was too busy: the kit was over {} ms late in {:.1} % of its notes",
            TOO_BUSY.1 / 1_000,
            late_share * 100.0
        )),
        None if counts.resent_unsure as f64 > MOST_UNSURE * counts.tries as f64 + 1.0 => Some(format!(
            "{} of {} tries met the end of a kept connection that does not say whether they were read",
            counts.resent_unsure, counts.tries
        )),
        None if !doubts.is_empty() => {
            Some(format!("{} possible breaks lie within the kit's own lateness", doubts.len()))
        }
        None => None,
    };
    let verdict = match (breaks.is_empty(), &unjudged) {
        (false, _) => Verdict::Broken,
        (true, Some(_)) => Verdict::Unjudged,
        (true, None) => Verdict::Kept,
    };
    let adoption = service::adoption(history);
    let served =
        book.tries.values().filter_map(|t| Some((t.sent?.0, t.reply.filter(|r| r.status == 200)?.at)));
    let mut times: Vec<Micros> = served.map(|(sent, answered)| answered.saturating_sub(sent)).collect();
    times.sort_unstable();
    let part = |share: f64| times.get((share * times.len() as f64) as usize).copied().unwrap_or_default();
    let (answer_p50_us, answer_p99_us) = (part(0.5), part(0.99));
    let late_p99_us = book.late_quantile(0.99);
    Judgement {
        verdict,
        unjudged,
        breaks,
        doubts,
        counts,
        service,
        quotas,
        keeper_calls_peak: seconds.iter().map(|s| s.keeper_calls).max().unwrap_or_default(),
        answer_p50_us,
        answer_p99_us,
        adoption,
        seconds,
        late_p99_us,
        late_max_us,
    }
}

/// Whether a class lets a try be refused after an attempt that may have run.
fn may_refuse(effect: Effect) -> bool {
    effect != Effect::Unsafe
}

/// How long nodes drop repeats of a key.
fn key_window(s: &Scenario) -> Micros {
    micros(s.nodes.key_memory_s)
}
