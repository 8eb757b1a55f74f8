//! Customers whose requests name another plan than before: the quota of the new plan counts, over loopback.
mod common;

use common::*;

/// A request of another customer than that of [`quote`].
fn quote_of_another(plan: &str) -> String {
    quote(plan, 9_000).replace("/quote/00000000b4d65521", "/quote/00000000b4d65522")
}

/// Guards against a customer that keeps the quota of the plan that its first request named, for as long as it stays
/// active: too much after a change to a smaller plan, too little after one to a larger plan.
#[test]
fn a_customer_is_limited_by_the_plan_that_its_request_names() {
    let server = Fake::new(|_| ok("served"));
    let limiter = Limiter::with_servers(&[&server]);
    let mut client = limiter.client();
    for _ in 0..10 {
        assert_eq!(client.ask(&quote("roomy", 9_000)).status(), 200);
    }
    wait_until("the small plan is used up", || client.ask(&quote("small", 9_000)).status() == 429);
    wait_until("the small plan of another customer is used up", || {
        client.ask(&quote_of_another("small")).status() == 429
    });
    // Far more than the small plan permits in the time for which the test waits.
    let mut served = 0;
    wait_until("the larger plan serves many requests", || {
        served += usize::from(client.ask(&quote_of_another("roomy")).status() == 200);
        served >= 60
    });
}
