//! Customers whose requests name another plan than before.

use crate::support::*;
use liftrouter_decision::Plan;

/// Guards against a customer that keeps the limits, or the freedom, of the plan that its first request named.
#[test]
fn a_new_plan_counts_from_the_next_request_on() {
    let mut host = Host::new(settings());
    assert_eq!(host.drain_bucket("c", "free"), 200, "no limit");
    let admitted = host.drain_bucket("c", "plain");
    assert!(admitted <= 10, "{admitted} of a share of ten");
    host.now += 1.0;
    assert!(host.drain_bucket("c", "plain") >= 4, "it fills at the rate of the new plan");
    assert_eq!(host.drain_bucket("c", "free"), 200, "no limit");

    let mut host = Host::new(settings());
    let admitted = (0..4).filter(|_| sent_endpoint(&host.request("d", "free", "read", 1.0).1).is_some());
    assert_eq!(admitted.count(), 4);
    let (_, actions) = host.request("d", "capped", "read", 1.0);
    assert_eq!(rejections(&actions), 1, "the concurrency limit of the new plan is reached");
}

/// Guards against a burst with each change of the plan: quotas and hard limits hold whatever a customer is switched to.
#[test]
fn changes_of_the_plan_grant_no_units() {
    for other in ["capped", "hard", "free"] {
        let mut host = Host::new(settings());
        host.drain_bucket("c", "plain");
        for _ in 0..5 {
            host.serve("c", other, 1.0);
            assert!(!host.serve("c", "plain", 1.0), "{other}");
        }
    }
    for other in ["plain", "capped", "free"] {
        let mut host = Host::new(settings());
        host.now += 60.0;
        assert_eq!(host.drain_bucket("c", "hard"), 4);
        for _ in 0..5 {
            host.serve("c", other, 1.0);
            assert!(!host.serve("c", "hard", 1.0), "{other}");
        }
        host.now += 1.0;
        assert!(host.serve("c", "hard", 1.0), "it fills at its rate");
    }
}

/// Guards against a burst of the larger plan after a change to a smaller one.
#[test]
fn a_smaller_plan_keeps_no_more_than_it_can_hold() {
    let mut settings = settings();
    let plain = settings.plans.iter().find(|plan| &*plan.name == "plain").expect("the plan").clone();
    settings.plans.push(Plan { name: "large".into(), rate: 100.0, burst: 200.0, ..plain });
    let mut host = Host::new(settings);
    assert!(host.serve("c", "large", 1.0));
    assert_eq!(host.drain_bucket("c", "plain"), 10);
}
