//! What the choice of an endpoint depends on.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn load_reports_do_not_influence_selection() {
    // A busy endpoint that stops reporting is not taken for idle: reports decide nothing here.
    let run = |reports: bool| {
        let mut host = Host::new(settings());
        let mut sent = Vec::new();
        for n in 0..200u32 {
            host.now += 0.02;
            let (id, actions) = host.request(&format!("c{n}"), "plain", "read", 1.0);
            sent.push(sent_endpoint(&actions));
            let busy = if reports { Some(f64::from(n % 10) / 10.0) } else { None };
            let report = LoadReport { utilization: busy, ..LoadReport::default() };
            let outcome = Outcome::Ok;
            let ended = Event::AttemptEnded {
                id,
                attempt: 0,
                request_finished: true,
                outcome,
                elapsed: 0.05,
                units: None,
                report,
            };
            host.event(ended);
        }
        sent
    };
    assert_eq!(run(true), run(false));
}
