//! The limit of attempts in flight at all endpoints, for a limiter with little traffic.

use crate::support::*;
use liftrouter_decision::*;
use std::collections::VecDeque;

#[test]
fn one_of_hundreds_of_limiters_may_exceed_its_limit_in_peaks_while_responses_are_fast() {
    let in_service = EndpointState::InService;
    let capacity = |instances, endpoints, queued: u32| {
        let mut host = Host::new(Settings { instance_count: instances, ..settings() });
        host.event(Event::EndpointList(
            (0..endpoints).map(|n| endpoint(&format!("s{n}"), "east", in_service, None)).collect(),
        ));
        // Four fast responses, then some that were queued: responses are the only evidence of the load.
        for n in 0..4 + queued {
            let (id, _) = host.request("c", "free", "read", 1.0);
            let (elapsed_s, report) = (if n < 4 { 0.05 } else { 0.9 }, LoadReport::default());
            let (outcome, units) = (Outcome::Ok, None);
            host.event(Event::AttemptEnded {
                id,
                attempt: 0,
                request_finished: true,
                outcome,
                elapsed_s,
                units,
                report,
            });
        }
        (0..60)
            .filter(|n| sent_endpoint(&host.request(&format!("c{n}"), "free", "read", 1.0).1).is_some())
            .count()
    };
    // Four attempts for each endpoint over all limiters: on average 2.67 at this one, plus half the square
    // root of that for peaks.
    assert_eq!(capacity(300, 200, 0), 3);
    assert_eq!(
        capacity(300, 200, 2),
        1,
        "with queued responses peaks are not allowed, and the limit shrinks"
    );
    // Where the share of each limiter is at least one attempt per endpoint, peaks do not exceed the limit.
    assert_eq!(capacity(4, 4, 0), 4);
}

/// One of hundreds of limiters gets only a few responses a second, and its limit must follow the fleet within
/// a few of them.
#[test]
fn one_of_hundreds_of_limiters_adjusts_its_limit_within_a_few_responses() {
    let limit_after = |instances: u32, endpoints: u32, fast: u32, queued: u32| {
        let mut host = Host::new(Settings { instance_count: instances, ..settings() });
        let in_service = EndpointState::InService;
        let list = (0..endpoints).map(|n| endpoint(&format!("s{n}"), "east", in_service, None)).collect();
        host.event(Event::EndpointList(list));
        let mut in_flight = VecDeque::new();
        for n in 0..fast + queued {
            // Requests are sent until the limit is reached; then the oldest attempt ends.
            while let (id, Some(_)) = {
                let (id, a) = host.request(&format!("c{n}"), "free", "read", 1.0);
                (id, sent_endpoint(&a))
            } {
                in_flight.push_back(id);
            }
            let (id, elapsed_s) =
                (in_flight.pop_front().expect("an attempt in flight"), if n < fast { 0.05 } else { 0.9 });
            let (outcome, units, report) = (Outcome::Ok, None, LoadReport::default());
            host.event(Event::AttemptEnded {
                id,
                attempt: 0,
                request_finished: true,
                outcome,
                elapsed_s,
                units,
                report,
            });
        }
        in_flight.len()
    };
    let initial = limit_after(300, 200, 1, 0);
    assert!(initial <= 3, "{initial}");
    let grown = limit_after(300, 200, 16, 0);
    assert!(grown >= 2 * initial, "{grown} from {initial} within 16 responses");
    let shrunk = limit_after(300, 200, 16, 14);
    assert!(shrunk <= grown / 2, "{shrunk} from {grown} within 14 queued responses");
}
