//! The settings of the limiters of a fleet.

use super::arguments::DeliveryKind;
use liftrouter_decision::Settings;
use serde_json::{json, Value};

/// The class of the load generator's requests.
pub const CLASS: &str = "quote";
/// The plan of the load generator's customers.
pub const PLAN: &str = "roomy";

/// The settings of one limiter of so many, as the deployment words them.
pub fn wire_settings(me: u32, peers: u32, delivery: DeliveryKind) -> Value {
    let discovery = match delivery {
        DeliveryKind::Pushed => "pushed",
        DeliveryKind::OnRequest => "on_request",
    };
    json!({
        "me": me, "peers-total": peers, "zone": "room-a", "period-s": 0.002, "discovery": discovery,
        "classes": [{"name": CLASS, "aim-s": 0.4, "deadline-s": 2.0, "worth": 1.0, "late-share": 0.0,
            "effect": "read_like", "group": "all", "window-s": 10.0, "streaming": false}],
        "tariffs": [{"name": PLAN, "rate": 100_000.0, "depth": 200_000.0, "pays": 1.0}],
        "family-info": {"has-counter": true, "count-limit-s": 0.25, "max-units": 4.0, "post-paid": false},
        "invariants": {"start-capacity": 0.2, "ramp-time-s": 18.0, "fall-multiple": 3.0, "overload-for-s": 2.0,
            "must-ask-in-s": 6.0},
        "limits": {"cancel": true, "connect-timeout-s": 0.25, "idle-close-s": 15.0, "max-attempts": 5,
            "max-retry-after-s": 2.0, "may-probe": false, "retry-after": true, "second-copies": false},
    })
}

/// The same, read.
pub fn settings(me: u32, peers: u32, delivery: DeliveryKind) -> serde_json::Result<Settings> {
    serde_json::from_value(wire_settings(me, peers, delivery))
}
