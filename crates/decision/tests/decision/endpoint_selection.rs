//! What the selection of an endpoint depends on.

use crate::support::*;
use liftrouter_decision::*;

#[test]
fn load_reports_do_not_influence_selection() {
    // Selection ignores load reports, so that a busy endpoint that stops reporting is not taken for idle.
    let run = |reports: bool| {
        let mut host = Host::new(settings());
        let mut sent = Vec::new();
        for n in 0..200u32 {
            host.now += 0.02;
            let (id, actions) = host.request(&format!("c{n}"), "plain", "read", 1.0);
            sent.push(sent_endpoint(&actions));
            let utilization = if reports { Some(f64::from(n % 10) / 10.0) } else { None };
            let report = LoadReport { utilization, ..LoadReport::default() };
            let outcome = Outcome::Ok;
            let ended = Event::AttemptEnded {
                id,
                attempt: 0,
                request_finished: true,
                outcome,
                elapsed_s: 0.05,
                units: None,
                report,
            };
            host.event(ended);
        }
        sent
    };
    assert_eq!(run(true), run(false));
}

#[test]
fn an_endpoint_with_slow_responses_gets_few_requests_until_its_latency_is_forgotten() {
    let mut host = Host::new(settings());
    let in_service = EndpointState::InService;
    host.event(Event::EndpointList(vec![
        endpoint(A, "east", in_service, None),
        endpoint(B, "east", in_service, None),
    ]));
    let mut at_a = 0;
    for n in 0..100 {
        host.now += 0.05;
        let (id, actions) = host.request("c", "free", "read", 1.0);
        let is_at_a = sent_endpoint(&actions).as_deref() == Some(A);
        at_a += u32::from(is_at_a && n >= 20);
        host.event(Event::AttemptEnded {
            id,
            attempt: 0,
            request_finished: true,
            outcome: Outcome::Ok,
            elapsed_s: if is_at_a { 0.6 } else { 0.05 },
            units: None,
            report: LoadReport::default(),
        });
    }
    assert!(at_a <= 8, "{at_a} of 80 at the slow endpoint");
    host.now += 120.0;
    host.event(Event::Timer { token: 0 });
    let sent: Vec<_> =
        (0..2).filter_map(|_| sent_endpoint(&host.request("c", "free", "read", 1.0).1)).collect();
    assert!(sent.iter().any(|id| &**id == A), "{sent:?}");
}
