//! The limit of attempts in flight at all endpoints, for a limiter with little traffic.

use crate::support::*;
use liftrouter_decision::*;
use std::collections::VecDeque;

#[test]
fn one_of_hundreds_of_limiters_may_have_its_own_peaks_while_endpoints_are_idle() {
    let in_service = EndpointState::InService;
    let room = |instances, servers, late: u32| {
        let mut host = Host::new(Settings { instance_count: instances, ..settings() });
        host.event(Event::EndpointList(
            (0..servers).map(|n| endpoint(&format!("s{n}"), "east", in_service, None)).collect(),
        ));
        // Some quick responses, then some that waited: only those tell what endpoints are like.
        for n in 0..4 + late {
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
    // Four for each endpoint over all limiters: 2.67 here on the mean, and half a root of that by chance.
    assert_eq!(room(300, 200, 0), 3);
    assert_eq!(room(300, 200, 2), 1, "where answers wait there is no room for peaks, and the window closes");
    // Where each may have a whole attempt at each endpoint the limit holds as it is.
    assert_eq!(room(4, 4, 0), 4);
}

/// A limiter of hundreds gets some responses a second: its limit has to follow the fleet within some of them.
#[test]
fn one_of_hundreds_of_limiters_adjusts_its_limit_within_some_responses() {
    let after = |instances: u32, servers: u32, quick: u32, late: u32| {
        let mut host = Host::new(Settings { instance_count: instances, ..settings() });
        let in_service = EndpointState::InService;
        let list = (0..servers).map(|n| endpoint(&format!("s{n}"), "east", in_service, None)).collect();
        host.event(Event::EndpointList(list));
        let mut in_flight = VecDeque::new();
        for n in 0..quick + late {
            // As many attempts are in flight as may be; then the oldest is answered.
            while let (id, Some(_)) = {
                let (id, a) = host.request(&format!("c{n}"), "free", "read", 1.0);
                (id, sent_endpoint(&a))
            } {
                in_flight.push_back(id);
            }
            let (id, elapsed_s) =
                (in_flight.pop_front().expect("one is out"), if n < quick { 0.05 } else { 0.9 });
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
    let begins = after(300, 200, 1, 0);
    assert!(begins <= 3, "{begins}");
    let opened = after(300, 200, 16, 0);
    assert!(opened >= 2 * begins, "{opened} from {begins} within sixteen answers");
    let closed = after(300, 200, 16, 14);
    assert!(closed <= opened / 2, "{closed} from {opened} within fourteen answers that waited");
}
