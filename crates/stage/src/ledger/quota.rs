//! Quotas held against the error that is stated for them: what came to nodes beyond a customer's quota, and what was
//! refused inside it, beside the bounds of [`liftrouter_counter::ErrorBound`] for the faults that were played.

use super::book::Book;
use super::stores::Store;
use super::{fate, Facts, Fate};
use crate::scenario::Kind;
use crate::schedule::{seconds, Arrival, Customer, Micros, Peer, Planned, MOST_UNITS};
use liftrouter_counter::{ErrorBound, Fault, Quota, Timing};
use serde::Serialize;
use std::collections::{HashMap, HashSet};

/// How a plan's quota was kept. Of each pair the customer that came nearest to its bound.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Kept {
    /// The plan.
    pub plan: String,
    /// Its customers that asked.
    pub customers: usize,
    /// The most units, over all stretches of time, by which what came to nodes exceeded burst and rate.
    pub over: f64,
    /// The bound that is stated for that customer and the faults that were played.
    pub over_bound: f64,
    /// Those of its customers that never asked beyond their quota.
    pub inside: usize,
    /// Units that such a customer was refused at the first try, for whatever reason.
    pub under: f64,
    /// The bound that is stated for it.
    pub under_bound: f64,
}

/// A customer that left the error that is stated for it.
pub struct Beyond {
    /// The try with which it did.
    pub id: u64,
    pub at: Micros,
    pub customer: usize,
    pub over: f64,
    pub bound: f64,
}

/// One customer's account.
struct Account {
    sent: Store,
    over: f64,
    asked: Store,
    beyond: bool,
    refused: f64,
}

/// Bounds of a customer over the whole rehearsal.
pub fn bound(facts: &Facts, c: &Customer) -> (Quota, ErrorBound) {
    let (s, plan) = (facts.scenario, &facts.scenario.plans[c.plan]);
    let quota = Quota {
        rate: plan.rate,
        burst: facts.depth(c.plan),
        max_request_units: f64::from(MOST_UNITS),
        instance_count: c.spread as u32,
        hard_limit_factor: plan.ceiling,
    };
    let timing = Timing { timeout_s: s.keeper.timeout_ms / 1e3, ..Timing::default() };
    let mut bound = ErrorBound::under(&quota, &timing, Fault::None);
    for fault in &facts.schedule.faults {
        for reckoned in reckoned(facts, c, fault) {
            bound = match reckoned {
                Reckoned::Fault(fault) => bound.with_fault(&quota, &timing, fault),
                Reckoned::Start => bound.with_restarts(&quota, &timing, 1),
            };
        }
    }
    // What is out when shares change is settled later, by a request's guess at most.
    (quota, ErrorBound { overshoot: bound.overshoot + quota.max_request_units, ..bound })
}

enum Reckoned {
    Fault(Fault),
    Start,
}

/// What a fault that is played means for a customer's quota.
fn reckoned(facts: &Facts, c: &Customer, fault: &Planned) -> Vec<Reckoned> {
    let keeper = &facts.scenario.keeper;
    let lasts = seconds(fault.until.unwrap_or(fault.at).saturating_sub(fault.at));
    // Where limiters judge, what they cannot see by themselves they see by two rolls.
    let rolls = 2.0 * keeper.roll_ms as f64 / 1e3;
    let unseen = if keeper.judged { lasts.min(rolls) } else { lasts };
    let count = facts.scenario.limiters.count.max(1);
    let set: Vec<usize> = (0..c.spread).map(|n| (c.first + n) % count).collect();
    let held = set.contains(&fault.victim);
    let of_keeper = |fault: Fault| vec![Reckoned::Fault(fault)];
    let cut = |limiters: usize| match limiters {
        0 => Vec::new(),
        n if n == c.spread => of_keeper(Fault::Unavailable { duration_s: lasts }),
        n => of_keeper(Fault::Partitioned { instances: n as u32, duration_s: unseen }),
    };
    // Another keeper is changed to, and back from: each time some have changed before the others.
    let changes = |fault: Fault| {
        let change = || Reckoned::Fault(Fault::SplitBrain { partitions: 2, duration_s: rolls });
        let mut all = of_keeper(fault);
        if keeper.count > 1 {
            all.extend([change(), change()]);
        }
        all
    };
    match fault.kind {
        Kind::KeeperSilent | Kind::KeeperRefusing | Kind::KeeperSlow if fault.victim == 0 => {
            changes(Fault::Unavailable { duration_s: lasts })
        }
        Kind::KeeperForgets | Kind::KeeperSwapped if fault.victim == 0 => changes(Fault::CountsLost),
        Kind::KeeperStale if fault.victim == 0 => changes(Fault::Stale { duration_s: unseen }),
        Kind::KeeperDoubled if fault.victim == 0 => changes(Fault::DoubleCounted { duration_s: lasts }),
        // A standby's faults count while it is called, which the first one's fault has brought.
        Kind::KeeperSilent | Kind::KeeperRefusing | Kind::KeeperSlow | Kind::KeeperForgets => {
            changes(Fault::CountsLost)
        }
        Kind::KeeperSwapped | Kind::KeeperStale | Kind::KeeperDoubled => changes(Fault::CountsLost),
        Kind::KeeperSplit => {
            let seconds = if keeper.judged { rolls } else { lasts };
            of_keeper(Fault::SplitBrain { partitions: 2, duration_s: seconds })
        }
        Kind::RoomCut => {
            // The first keeper stands in the first room.
            let away = |l: &&usize| (facts.room(**l) == fault.victim) != (fault.victim == 0);
            let mut all = cut(set.iter().filter(away).count());
            if keeper.count > 1 {
                all.extend(of_keeper(Fault::SplitBrain { partitions: 2, duration_s: rolls }));
                all.extend(of_keeper(Fault::SplitBrain { partitions: 2, duration_s: rolls }));
            }
            all
        }
        Kind::LinkCut | Kind::LinkHeld | Kind::LinkDropping | Kind::LinkSlow | Kind::LinkReset
            if held && matches!(fault.peer, Peer::All | Peer::Keeper) =>
        {
            cut(1)
        }
        // It acts on what it knew before, until it has heard.
        Kind::LimiterPaused if held => cut(1),
        Kind::LimiterKilled | Kind::LimiterTerminated if held => vec![Reckoned::Start],
        _ => Vec::new(),
    }
}

/// Keeps the accounts of all customers.
pub fn keep(facts: &Facts, book: &Book) -> (Vec<Kept>, Vec<Beyond>) {
    let mut accounts: HashMap<usize, Account> = HashMap::new();
    let of = |customer: usize| {
        let plan = facts.schedule.customers[customer].plan;
        let store = Store::new(facts.scenario.plans[plan].rate, facts.depth(plan));
        Account { sent: store.clone(), over: 0.0, asked: store, beyond: false, refused: 0.0 }
    };

    // What came to nodes, and what was permitted, which its client sends itself; each try once.
    let attempts = book.order.iter().filter_map(|a| book.attempts.get(a)).map(|a| (a.at, a.id));
    let permitted = book.tries.iter().filter_map(|(id, log)| {
        let asked = facts.request(*id)?.0.permission.is_some();
        log.reply.filter(|reply| asked && reply.status == 200).map(|reply| (reply.at, *id))
    });
    let mut sent: Vec<(Micros, u64)> = attempts.chain(permitted).collect();
    sent.sort_by_key(|(at, _)| *at);
    let mut seen = HashSet::new();
    let mut first_beyond: HashMap<usize, (Micros, u64)> = HashMap::new();
    let mut bounds: HashMap<usize, (Quota, ErrorBound)> = HashMap::new();
    for (at, id) in sent {
        let Some((request, _)) = facts.request(id).filter(|_| seen.insert(id)) else { continue };
        let customer = request.customer;
        let account = accounts.entry(customer).or_insert_with(|| of(customer));
        let left = account.sent.take(at, f64::from(request.units));
        account.over = account.over.max(-left);
        let (_, bound) =
            bounds.entry(customer).or_insert_with(|| bound(facts, &facts.schedule.customers[customer]));
        if account.over > bound.overshoot {
            first_beyond.entry(customer).or_insert((at, id));
        }
    }

    // What was asked, as one limiter that sees all would have it.
    for (index, request) in facts.schedule.arrivals.iter().enumerate() {
        let Some(first) = book.tries.get(&Arrival::id(index, 0)) else { continue };
        let customer = request.customer;
        let account = accounts.entry(customer).or_insert_with(|| of(customer));
        let units = f64::from(request.guess.max(request.units));
        account.beyond |= account.asked.take(request.at, units) < 0.0;
        if matches!(fate(book, first), Fate::Refused | Fate::RefusedAdvised) {
            account.refused += f64::from(request.units);
        }
    }

    let length = facts.scenario.length_s;
    let mut plans: Vec<Kept> =
        facts.scenario.plans.iter().map(|p| Kept { plan: p.name.clone(), ..Kept::default() }).collect();
    let mut beyond = Vec::new();
    let mut ordered: Vec<_> = accounts.into_iter().collect();
    ordered.sort_by_key(|(customer, _)| *customer);
    for (customer, account) in ordered {
        let c = &facts.schedule.customers[customer];
        let (quota, bound) = bound(facts, c);
        let kept = &mut plans[c.plan];
        kept.customers += 1;
        let nearer = |new: (f64, f64), old: (f64, f64)| old.1 <= 0.0 || new.0 / new.1 > old.0 / old.1;
        if nearer((account.over, bound.overshoot), (kept.over, kept.over_bound)) {
            (kept.over, kept.over_bound) = (account.over, bound.overshoot);
        }
        if !account.beyond {
            kept.inside += 1;
            let most = bound.undershoot_within(&quota, length);
            if nearer((account.refused, most), (kept.under, kept.under_bound)) {
                (kept.under, kept.under_bound) = (account.refused, most);
            }
        }
        if let Some((at, id)) = first_beyond.get(&customer) {
            beyond.push(Beyond { id: *id, at: *at, customer, over: account.over, bound: bound.overshoot });
        }
    }
    (plans, beyond)
}
