//! The settings that limiters are told, in the words of the deployment.

use crate::ledger;
use crate::scenario::{Effect, Scenario};
use crate::schedule::MOST_UNITS;
use serde_json::{json, Value};

/// Those of one limiter, by its number.
pub fn settings(s: &Scenario, limiter: usize) -> Value {
    let classes = s.classes.iter().map(|c| {
        let effect = match c.effect {
            Effect::Safe => "read_like",
            Effect::Keyed => "idempotency_key",
            Effect::Unsafe => "non_idempotent",
        };
        json!({"name": c.name, "aim-s": c.aim_ms / 1e3, "deadline-s": c.deadline_ms / 1e3, "worth": c.worth,
            "late-share": 0.0, "effect": effect, "group": "all", "window-s": s.nodes.key_memory_s,
            "streaming": false})
    });
    let plans = s.plans.iter().enumerate().map(|(n, p)| {
        let (burst, rate, slack) = ledger::ceiling(s, n).unwrap_or_default();
        json!({"name": p.name, "rate": p.rate, "depth": ledger::depth(s, n), "open": p.open, "pays": p.price,
            "extra-worth": 0.0, "excess-cost": p.over_cost, "hard-rate": rate, "hard-burst": burst,
            "cap-slack": slack})
    });
    json!({
        "me": limiter, "peers-total": s.limiters.count, "zone": s.rooms[limiter % s.rooms.len()],
        "areas": s.rooms, "period-s": 0.002, "discovery": "pushed", "kinds": ["std"],
        "classes": classes.collect::<Vec<_>>(), "tariffs": plans.collect::<Vec<_>>(),
        "family-info": {"has-counter": true, "count-limit-s": s.keeper.timeout_ms / 1e3,
            "max-units": MOST_UNITS, "post-paid": true},
        "invariants": {"drain-grace-s": ledger::DRAIN_GRACE as f64 / 1e6, "fall-multiple": ledger::FALL.0,
            "grace-to-answer-s": ledger::ANSWER_GRACE as f64 / 1e6, "must-ask-in-s": 10.0,
            "overload-for-s": ledger::FALL.1 as f64 / 1e6, "ramp-time-s": s.nodes.cold_s,
            "start-capacity": s.nodes.cold_from},
        "limits": {"cancel": true, "connect-timeout-s": 0.25, "idle-close-s": s.nodes.idle_s,
            "max-attempts": ledger::MOST_ATTEMPTS, "max-open": 20_000, "max-retry-after-s": 2.0,
            "may-probe": true, "retry-after": true, "second-copies": false, "streams-per-conn": 1},
        "load-report": {"names": ["busy"], "via": "pull"},
    })
}
