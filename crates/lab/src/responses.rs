//! What is looked at in a play, as numbers.

use liftrouter_model::{play, Figures};
use liftrouter_stage::ledger::{judge, Facts, Judgement};
use liftrouter_stage::scenario::Scenario;
use liftrouter_stage::schedule::{draw, seconds, Schedule};
use std::collections::BTreeMap;

/// Every response, with its unit and meaning.
pub const RESPONSES: [(&str, &str); 19] = [
    ("service", "service figure of the ledger: its parts weighted, less the prices; 0 to 1"),
    ("whole", "worth answered in time over worth asked inside quotas, over the whole play; 0 to 1"),
    ("worst", "the same over the worst 10 s"),
    ("worst_plan", "the same of the plan that fares worst"),
    ("requests", "requests that were asked"),
    ("tries", "tries, repeats of clients included"),
    ("served", "share of the requests that were served"),
    ("refused", "share of the tries that were refused"),
    ("advised", "share of the refusals that came with Retry-After"),
    ("failed", "share of the tries that got another answer, none, or found no limiter"),
    ("resends", "attempts beyond the first of their try, for each try"),
    ("keeper_calls", "calls to the keeper a second"),
    ("over", "the worst overshoot of a quota by a partner, in units"),
    ("over_part", "the same as a share of the error that is stated for it"),
    ("under", "the most units that a partner inside its quota was refused at its first tries"),
    ("p50", "median time from a try to its answer, of those served, in milliseconds"),
    ("p99", "99th percentile of that"),
    (
        "recovery",
        "seconds from the end of the last fault until service is 0.9 or more for three seconds on end",
    ),
    ("breaks", "breaks of the five rules"),
];

/// Service from which on a second counts as recovered, and for how many on end.
const RECOVERED: f64 = 0.9;
const ON_END: usize = 3;

/// Plays a scenario with a seed; all responses by name.
///
/// # Errors
/// It cannot be modelled.
pub fn respond(scenario: &Scenario, figures: &Figures, seed: u64) -> Result<BTreeMap<String, f64>, String> {
    let schedule = draw(scenario, seed);
    let history = play(scenario, &schedule, figures)?;
    let judgement = judge(&Facts { scenario, schedule: &schedule }, &history, None);
    Ok(of(&judgement, &schedule))
}

/// The responses of a judged play, in whichever world it was.
pub fn of(j: &Judgement, schedule: &Schedule) -> BTreeMap<String, f64> {
    let c = &j.counts;
    let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
    let refusals = c.refused + c.refused_advised;
    let worst = |of: fn(&liftrouter_stage::ledger::Kept) -> f64| j.quotas.iter().map(of).fold(0.0, f64::max);
    let length = seconds(schedule.end).max(1e-6);
    let all = [
        ("service", j.service.figure),
        ("whole", j.service.whole),
        ("worst", j.service.worst_window),
        ("worst_plan", j.service.worst_plan),
        ("requests", c.requests as f64),
        ("tries", c.tries as f64),
        ("served", share(c.served, c.requests)),
        ("refused", share(refusals, c.tries)),
        ("advised", share(c.refused_advised, refusals)),
        ("failed", share(c.failed + c.unreached + c.lost + c.held_by_killed + c.held_by_paused, c.tries)),
        ("resends", share(c.resends, c.tries)),
        ("keeper_calls", c.keeper_calls as f64 / length),
        ("over", worst(|q| q.over)),
        ("over_part", worst(|q| if q.over_bound > 0.0 { q.over / q.over_bound } else { 0.0 })),
        ("under", worst(|q| q.under)),
        ("p50", j.answer_p50_us as f64 / 1e3),
        ("p99", j.answer_p99_us as f64 / 1e3),
        ("recovery", recovery(j, schedule)),
        ("breaks", j.breaks.len() as f64),
    ];
    all.into_iter().map(|(name, value)| (name.to_string(), value)).collect()
}

/// Until the end of the play where it does not recover; 0 without faults.
fn recovery(j: &Judgement, schedule: &Schedule) -> f64 {
    let Some(ended) = schedule.faults.iter().map(|f| f.until.unwrap_or(f.at)).max() else { return 0.0 };
    let well = |s: &liftrouter_stage::ledger::Second| s.asked <= 0.0 || s.answered >= RECOVERED * s.asked;
    let from = seconds(ended) as usize;
    let after = j.seconds.get(from..).unwrap_or_default();
    let at = (0..after.len()).find(|n| after[*n..].iter().take(ON_END).all(well));
    at.unwrap_or(after.len()) as f64
}
