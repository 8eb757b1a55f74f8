//! Reading an authorizer's response, its header changes, and the circuit breaker.

use http::header::{HeaderMap, HeaderName, HeaderValue};
use liftrouter_authz::messages::envoy::config::core::v3::{HeaderValue as Pair, HeaderValueOption};
use liftrouter_authz::messages::envoy::r#type::v3::HttpStatus;
use liftrouter_authz::messages::envoy::service::auth::v3::check_response::HttpResponse;
use liftrouter_authz::messages::envoy::service::auth::v3::{
    CheckResponse, DeniedHttpResponse, OkHttpResponse,
};
use liftrouter_authz::messages::google::rpc::Status;
use liftrouter_authz::{
    denied_response, ok_response, parse_verdict, Breaker, BreakerPolicy, Denial, HeaderChanges, Verdict,
};
use proptest::prelude::*;

/// Values of `HeaderAppendAction`, as the published enumeration numbers them.
const ADD_IF_ABSENT: i32 = 1;
const OVERWRITE_IF_EXISTS_OR_ADD: i32 = 2;
const OVERWRITE_IF_EXISTS: i32 = 3;

fn option(key: &str, value: &str, append: Option<bool>, append_action: i32) -> HeaderValueOption {
    let header = Pair { key: key.into(), value: value.into(), raw_value: Vec::new() };
    HeaderValueOption { header: Some(header), append, append_action, keep_empty_value: false }
}

fn answer(code: i32, http_response: Option<HttpResponse>) -> CheckResponse {
    CheckResponse { status: Some(Status { code, message: String::new() }), http_response }
}

fn ok(headers: Vec<HeaderValueOption>, remove: &[&str]) -> CheckResponse {
    let headers_to_remove = remove.iter().map(ToString::to_string).collect();
    let ok = OkHttpResponse { headers, headers_to_remove, ..OkHttpResponse::default() };
    answer(0, Some(HttpResponse::OkResponse(ok)))
}

/// Headers after the changes of an OK response, as sorted lines `name: value`, and the names that were not changed.
fn apply(response: CheckResponse, before: &[(&'static str, &'static str)]) -> (Vec<String>, Vec<String>) {
    let Ok(Verdict::Allow(changes)) = parse_verdict(response) else { panic!("not allowed") };
    let mut headers = HeaderMap::new();
    for (name, value) in before {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    let reserved = [HeaderName::from_static("x-correlation-id")];
    let skipped = changes.apply(&mut headers, &reserved);
    let mut lines: Vec<_> =
        headers.iter().map(|(n, v)| format!("{n}: {}", v.to_str().unwrap_or("?"))).collect();
    lines.sort();
    (lines, skipped.iter().map(ToString::to_string).collect())
}

#[test]
fn headers_are_appended_overwritten_and_removed_as_the_protocol_specifies() {
    let before = &[("x-a", "1")];
    for (append, action, present, absent) in [
        (Some(true), 0, &["x-a: 1", "x-a: 2"][..], &["x-a: 2"][..]),
        (Some(false), 0, &["x-a: 2"], &["x-a: 2"]),
        // Neither given: "by leaving append as false, the filter will either add a new header, or override".
        (None, 0, &["x-a: 2"], &["x-a: 2"]),
        (None, ADD_IF_ABSENT, &["x-a: 1"], &["x-a: 2"]),
        (None, OVERWRITE_IF_EXISTS_OR_ADD, &["x-a: 2"], &["x-a: 2"]),
        (None, OVERWRITE_IF_EXISTS, &["x-a: 2"], &[]),
        // An action of a later version of the protocol is treated as the default, overwriting.
        (None, 99, &["x-a: 2"], &["x-a: 2"]),
    ] {
        let response = ok(vec![option("X-A", "2", append, action)], &[]);
        assert_eq!(apply(response.clone(), before).0, present, "{append:?} {action}");
        assert_eq!(apply(response, &[]).0, absent, "{append:?} {action}, absent before");
    }
    assert_eq!(apply(ok(vec![], &["x-a"]), before).0, Vec::<String>::new());
    // Headers are removed first, then set.
    assert_eq!(apply(ok(vec![option("x-a", "2", Some(true), 0)], &["x-a"]), before).0, ["x-a: 2"]);
}

#[test]
fn headers_for_the_response_are_set_only_on_the_response() {
    let ok = OkHttpResponse {
        response_headers_to_add: vec![
            option("x-a", "2", Some(true), 0),
            option("x-b", "2", None, 0),
            option("retry-after", "2", None, 0),
            option("connection", "close", None, 0),
        ],
        ..OkHttpResponse::default()
    };
    let response = answer(0, Some(HttpResponse::OkResponse(ok)));
    assert_eq!(apply(response.clone(), &[("x-a", "1")]).0, ["x-a: 1"]);
    let Ok(Verdict::Allow(changes)) = parse_verdict(response) else { panic!("not allowed") };
    let mut headers = HeaderMap::new();
    headers.insert("x-a", HeaderValue::from_static("1"));
    let skipped = changes.apply_to_response(&mut headers, &[http::header::RETRY_AFTER]);
    assert_eq!(skipped, ["retry-after", "connection"]);
    let all: Vec<_> = headers.iter().map(|(n, v)| format!("{n}: {}", v.to_str().unwrap_or("?"))).collect();
    assert_eq!(all, ["x-a: 1", "x-a: 2", "x-b: 2"]);
    // A platform that asked the limiter for authorization gets them passed on.
    assert_eq!(changes.to_ok_response(&[]).response_headers_to_add.len(), 3);
}

#[test]
fn reserved_and_hop_by_hop_headers_are_not_changed() {
    let names = ["x-correlation-id", "host", "content-length", "transfer-encoding", "connection"];
    for name in names {
        let set = apply(ok(vec![option(name, "evil", None, 0)], &[]), &[("x-correlation-id", "1")]);
        assert_eq!(set, (vec!["x-correlation-id: 1".into()], vec![name.into()]));
        let removed = apply(ok(vec![], &[name]), &[("x-correlation-id", "1")]);
        assert_eq!(removed, (vec!["x-correlation-id: 1".into()], vec![name.into()]));
    }
}

#[test]
fn contradictory_or_invalid_responses_are_errors_and_do_not_allow() {
    let denied = |status| {
        let status = Some(HttpStatus { code: status });
        Some(HttpResponse::DeniedResponse(DeniedHttpResponse { status, ..DeniedHttpResponse::default() }))
    };
    for (response, expected) in [
        (answer(0, denied(403)), "denied_response beside status OK"),
        (answer(7, Some(HttpResponse::OkResponse(OkHttpResponse::default()))), "ok_response beside status 7"),
        (answer(7, denied(200)), "status 200, expected one from 400 to 599"),
        (answer(7, denied(-1)), "status -1, expected"),
        (ok(vec![option(":path", "/", None, 0)], &[]), "\":path\", expected a header's name"),
        (ok(vec![option("a b", "1", None, 0)], &[]), "\"a b\", expected a header's name"),
        (ok(vec![option("x-a", "1\r\nx-b: 2", None, 0)], &[]), "the value of x-a contains bytes"),
        (ok(vec![HeaderValueOption::default()], &[]), "a header without name and value"),
        (ok(vec![option("x-a", &"1".repeat(8_190), None, 0)], &[]), "headers of 8193 bytes, expected 8192"),
        (ok(vec![option("x-a", "1", None, 0); 65], &[]), "65 headers, expected 64 at most"),
    ] {
        let found = parse_verdict(response).err().unwrap_or_default();
        assert!(found.contains(expected), "{found:?} does not contain {expected:?}");
    }
}

#[test]
fn a_denial_without_an_http_status_is_403_and_an_empty_response_allows() {
    let Ok(Verdict::Deny(plain)) = parse_verdict(answer(7, None)) else { panic!("allowed") };
    assert_eq!((plain.status, plain.code), (403, 7));
    // In proto3 an absent status has code 0, which is OK.
    assert!(matches!(parse_verdict(CheckResponse::default()), Ok(Verdict::Allow(_))));
}

#[test]
fn the_limiter_reads_its_own_responses() {
    let denial = Denial {
        status: 429,
        code: 8,
        headers: vec![("retry-after".into(), "0.250".into())],
        body: "refused\n".into(),
    };
    assert_eq!(parse_verdict(denied_response(denial.clone())), Ok(Verdict::Deny(denial)));
    assert_eq!(
        apply(ok_response(&HeaderChanges::default(), &[], vec![("x-a".into(), "1".into())]), &[("x-a", "0")])
            .0,
        ["x-a: 1"]
    );
}

#[test]
fn changes_that_are_passed_on_have_the_same_effect_as_the_original_response() {
    let first = ok(
        vec![
            option("x-a", "2", Some(true), 0),
            option("x-b", "2", None, 0),
            option("x-c", "2", None, ADD_IF_ABSENT),
            option("x-d", "2", None, OVERWRITE_IF_EXISTS),
            option("host", "evil", None, 0),
        ],
        &["x-e", "x-correlation-id"],
    );
    let Ok(Verdict::Allow(changes)) = parse_verdict(first.clone()) else { panic!("not allowed") };
    let reserved = [HeaderName::from_static("x-correlation-id")];
    let second = ok_response(&changes, &reserved, Vec::new());
    for before in [
        &[][..],
        &[("x-a", "1"), ("x-b", "1"), ("x-c", "1"), ("x-d", "1"), ("x-e", "1"), ("x-correlation-id", "1")],
    ] {
        assert_eq!(apply(second.clone(), before).0, apply(first.clone(), before).0);
    }
    // Changes to reserved and hop-by-hop headers are not passed on.
    assert_eq!(apply(second, &[]).1, Vec::<String>::new());
}

fn breaker() -> Breaker {
    Breaker::new(BreakerPolicy { failure_threshold: 3, open_s: 1.0, max_open_s: 4.0 })
}

fn fail(b: &mut Breaker, now: f64) {
    let permit = b.acquire(now).expect("a permit");
    b.release(now, permit, Some(false));
}

#[test]
fn it_opens_after_consecutive_failures_and_permits_one_trial() {
    let mut b = breaker();
    fail(&mut b, 0.0);
    fail(&mut b, 0.0);
    let permit = b.acquire(0.0).expect("a permit");
    b.release(0.0, permit, Some(true));
    for _ in 0..3 {
        assert!(b.is_closed());
        fail(&mut b, 0.0);
    }
    assert_eq!(b.acquire(0.25).err(), Some(0.75));
    let trial = b.acquire(1.0).expect("a trial");
    assert!(b.acquire(1.0).is_err(), "one trial at a time");
    b.release(1.1, trial, Some(false));
    assert_eq!(b.acquire(1.1).err().map(|s| (s * 10.0).round()), Some(20.0), "the open time doubles");
    let trial = b.acquire(3.2).expect("a trial");
    b.release(3.2, trial, None);
    let trial = b.acquire(3.2).expect("another trial, as this one had no result");
    b.release(3.2, trial, Some(true));
    assert!(b.is_closed());
    (0..3).for_each(|_| fail(&mut b, 4.0));
    assert_eq!(b.acquire(4.0).err(), Some(1.0), "the open time starts again at its first value");
}

#[test]
fn results_from_before_the_breaker_opened_are_ignored() {
    let mut b = breaker();
    let old: Vec<_> = (0..2).map(|_| b.acquire(0.0).expect("a permit")).collect();
    (0..3).for_each(|_| fail(&mut b, 0.0));
    for permit in old {
        b.release(0.5, permit, Some(true));
    }
    assert!(b.acquire(0.5).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    /// After any sequence of results, a breaker that is not closed permits one check request at a time, and it permits
    /// one again when nothing is in flight and the longest open time has passed.
    #[test]
    fn it_always_permits_a_trial_again(steps in prop::collection::vec((0u8..5, 0.0f64..3.0), 1..60)) {
        let (mut b, mut now, mut out) = (breaker(), 0.0, Vec::new());
        for (step, passed) in steps {
            now += passed;
            match step {
                0 | 1 => {
                    let closed = b.is_closed();
                    if let Ok(permit) = b.acquire(now) {
                        out.push(permit);
                        prop_assert!(closed || b.acquire(now).is_err());
                    }
                }
                2 | 3 if !out.is_empty() => b.release(now, out.remove(0), Some(step == 3)),
                4 if !out.is_empty() => b.release(now, out.remove(0), None),
                _ => {}
            }
        }
        for permit in out.drain(..) {
            b.release(now, permit, Some(false));
        }
        prop_assert!(b.acquire(now + 4.0).is_ok());
    }
}
