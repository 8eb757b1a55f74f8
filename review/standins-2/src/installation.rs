//! What the cases have in common: the settings of a small deployment, its limiters, and the entries of its servers.

use crate::case::Case;
use crate::counter;
use crate::discovery::Entry;
use crate::limiter::{free_address, Limiter, Setup};
use crate::node::Node;
use std::net::SocketAddr;

/// The keyed class of a deployment; the class that is safe to repeat is the same everywhere.
#[derive(Clone, Copy, Debug)]
pub struct KeyedClass {
    /// Which servers drop repeats of a request: `all`, `zone` or `cell`.
    pub group: &'static str,
    /// For how long they do, in seconds.
    pub window_s: f64,
    /// How long a client waits in all, in seconds.
    pub deadline_s: f64,
}

/// As in the operators' example.
pub const USUAL_KEYED_CLASS: KeyedClass = KeyedClass { group: "all", window_s: 10.0, deadline_s: 5.0 };

/// The settings of one of `peers` limiters.
pub fn settings(me: usize, peers: usize, keyed: KeyedClass) -> String {
    let KeyedClass { group, window_s, deadline_s } = keyed;
    format!(
        r#"{{"me":{me},"peers-total":{peers},"zone":"room-a","areas":["room-a","room-b"],"period-s":0.002,"discovery":"pushed",
"classes":[{{"name":"price-quote","aim-s":0.75,"deadline-s":2.0,"worth":2.0,"late-share":0.0,"effect":"read_like","group":"all","window-s":10.0,"streaming":false}},
{{"name":"bind-policy","aim-s":1.2,"deadline-s":{deadline_s},"worth":5.0,"late-share":0.2,"effect":"idempotency_key","group":"{group}","window-s":{window_s},"streaming":false}}],
"tariffs":[{{"name":"network","rate":200.0,"depth":400.0,"open":0,"pays":1.6,"extra-worth":0.0,"excess-cost":0.6,"hard-rate":0.0,"hard-burst":0.0,"cap-slack":0.0}}],
"family-info":{{"has-counter":true,"count-limit-s":0.05,"max-units":4,"post-paid":false}},
"invariants":{{"drain-grace-s":0.25,"fall-multiple":3.0,"grace-to-answer-s":0.008,"must-ask-in-s":10.0,"overload-for-s":2.0,"ramp-time-s":18.0,"start-capacity":0.21}},
"limits":{{"cancel":true,"connect-timeout-s":0.25,"idle-close-s":15.0,"max-attempts":5,"max-open":20000,"max-retry-after-s":2.0,"may-probe":true,"retry-after":true,"second-copies":false}}}}"#
    )
}

/// The entry of a server that is in service.
pub fn in_service(node: &Node) -> Entry {
    Entry { id: node.id.clone(), address: node.address }
}

/// Starts two limiters, which share a counter, with this operator's file if there is one.
pub fn start_two_limiters(
    case: &Case,
    keyed: KeyedClass,
    discovery: SocketAddr,
    operator: Option<&str>,
) -> Result<Vec<Limiter>, String> {
    let counter = counter::start().map_err(|error| error.to_string())?;
    let mut limiters = Vec::new();
    for me in 0..2 {
        let setup = Setup {
            name: format!("n{me}"),
            listen: free_address().map_err(|error| error.to_string())?,
            discovery,
            counter,
            settings: settings(me, 2, keyed),
            operator: operator.map(str::to_string),
            options: "",
        };
        limiters.push(Limiter::start(&setup, &case.folder, &case.record)?);
    }
    Ok(limiters)
}

/// Writes the limiters' logs to the record. Fails if one has ended by itself.
pub fn finish(case: &Case, limiters: &mut [Limiter]) -> Result<(), String> {
    for limiter in limiters {
        if limiter.has_ended() {
            return Err(format!("limiter {} has ended by itself: {}", limiter.name, limiter.log_text()));
        }
        case.record.line(format!("log of {}:\n{}", limiter.name, limiter.log_text()));
    }
    Ok(())
}
