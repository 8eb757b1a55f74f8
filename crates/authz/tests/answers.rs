//! What an authoriser's answer means, what it may do to headers, and when it is left alone.

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

/// APPEND_IF_EXISTS_OR_ADD and so on, as the published enumeration numbers them.
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

/// The headers after an OK, sorted as `name: value`, and the names that were left alone.
fn after(response: CheckResponse, before: &[(&'static str, &'static str)]) -> (Vec<String>, Vec<String>) {
    let Ok(Verdict::Allow(changes)) = parse_verdict(response) else { panic!("not allowed") };
    let mut headers = HeaderMap::new();
    for (name, value) in before {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    let own = [HeaderName::from_static("x-correlation-id")];
    let left = changes.apply(&mut headers, &own);
    let mut lines: Vec<_> =
        headers.iter().map(|(n, v)| format!("{n}: {}", v.to_str().unwrap_or("?"))).collect();
    lines.sort();
    (lines, left.iter().map(ToString::to_string).collect())
}

#[test]
fn headers_are_appended_overwritten_and_removed_as_the_protocol_says() {
    let before = &[("x-a", "1")];
    for (append, action, there, absent) in [
        (Some(true), 0, &["x-a: 1", "x-a: 2"][..], &["x-a: 2"][..]),
        (Some(false), 0, &["x-a: 2"], &["x-a: 2"]),
        // Neither given: "by leaving append as false, the filter will either add a new header, or override".
        (None, 0, &["x-a: 2"], &["x-a: 2"]),
        (None, ADD_IF_ABSENT, &["x-a: 1"], &["x-a: 2"]),
        (None, OVERWRITE_IF_EXISTS_OR_ADD, &["x-a: 2"], &["x-a: 2"]),
        (None, OVERWRITE_IF_EXISTS, &["x-a: 2"], &[]),
        // An action of a later version is taken as overwriting, the default.
        (None, 99, &["x-a: 2"], &["x-a: 2"]),
    ] {
        let response = ok(vec![option("X-A", "2", append, action)], &[]);
        assert_eq!(after(response.clone(), before).0, there, "{append:?} {action}");
        assert_eq!(after(response, &[]).0, absent, "{append:?} {action}, absent before");
    }
    assert_eq!(after(ok(vec![], &["x-a"]), before).0, Vec::<String>::new());
    // Removed first, then set.
    assert_eq!(after(ok(vec![option("x-a", "2", Some(true), 0)], &["x-a"]), before).0, ["x-a: 2"]);
}

#[test]
fn headers_for_the_answer_are_set_on_the_answer_alone() {
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
    assert_eq!(after(response.clone(), &[("x-a", "1")]).0, ["x-a: 1"]);
    let Ok(Verdict::Allow(changes)) = parse_verdict(response) else { panic!("not allowed") };
    let mut headers = HeaderMap::new();
    headers.insert("x-a", HeaderValue::from_static("1"));
    let left = changes.apply_to_response(&mut headers, &[http::header::RETRY_AFTER]);
    assert_eq!(left, ["retry-after", "connection"]);
    let all: Vec<_> = headers.iter().map(|(n, v)| format!("{n}: {}", v.to_str().unwrap_or("?"))).collect();
    assert_eq!(all, ["x-a: 1", "x-a: 2", "x-b: 2"]);
    // And for a platform that asked the limiter, they are passed on.
    assert_eq!(changes.to_ok_response(&[]).response_headers_to_add.len(), 3);
}

#[test]
fn the_limiters_own_headers_and_those_of_one_hop_are_left_alone() {
    let names = ["x-correlation-id", "host", "content-length", "transfer-encoding", "connection"];
    for name in names {
        let set = after(ok(vec![option(name, "evil", None, 0)], &[]), &[("x-correlation-id", "1")]);
        assert_eq!(set, (vec!["x-correlation-id: 1".into()], vec![name.into()]));
        let removed = after(ok(vec![], &[name]), &[("x-correlation-id", "1")]);
        assert_eq!(removed, (vec!["x-correlation-id: 1".into()], vec![name.into()]));
    }
}

#[test]
fn answers_that_cannot_be_meant_are_errors_not_grants() {
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
        (ok(vec![option("x-a", "1\r\nx-b: 2", None, 0)], &[]), "the value of x-a holds bytes"),
        (ok(vec![HeaderValueOption::default()], &[]), "a header without name and value"),
        (ok(vec![option("x-a", &"1".repeat(8_190), None, 0)], &[]), "headers of 8193 bytes, expected 8192"),
        (ok(vec![option("x-a", "1", None, 0); 65], &[]), "65 headers, expected 64 at most"),
    ] {
        let found = parse_verdict(response).err().unwrap_or_default();
        assert!(found.contains(expected), "{found:?} holds no {expected:?}");
    }
}

#[test]
fn a_denial_without_a_status_is_403_and_an_answer_without_anything_allows() {
    let Ok(Verdict::Deny(plain)) = parse_verdict(answer(7, None)) else { panic!("allowed") };
    assert_eq!((plain.status, plain.code), (403, 7));
    // Proto3: an absent status is code 0, which is OK.
    assert!(matches!(parse_verdict(CheckResponse::default()), Ok(Verdict::Allow(_))));
}

#[test]
fn what_the_limiter_answers_it_also_reads() {
    let denial = Denial {
        status: 429,
        code: 8,
        headers: vec![("retry-after".into(), "0.250".into())],
        body: "refused\n".into(),
    };
    assert_eq!(parse_verdict(denied_response(denial.clone())), Ok(Verdict::Deny(denial)));
    assert_eq!(
        after(ok_response(&HeaderChanges::default(), &[], vec![("x-a".into(), "1".into())]), &[("x-a", "0")])
            .0,
        ["x-a: 1"]
    );
}

#[test]
fn what_is_passed_on_does_to_headers_what_the_first_answer_does() {
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
    let own = [HeaderName::from_static("x-correlation-id")];
    let second = ok_response(&changes, &own, Vec::new());
    for before in [
        &[][..],
        &[("x-a", "1"), ("x-b", "1"), ("x-c", "1"), ("x-d", "1"), ("x-e", "1"), ("x-correlation-id", "1")],
    ] {
        assert_eq!(after(second.clone(), before).0, after(first.clone(), before).0);
    }
    // What is not its own to give is not passed on at all.
    assert_eq!(after(second, &[]).1, Vec::<String>::new());
}

fn breaker() -> Breaker {
    Breaker::new(BreakerPolicy { failure_threshold: 3, open_s: 1.0, max_open_s: 4.0 })
}

fn fail(b: &mut Breaker, now: f64) {
    let permit = b.acquire(now).expect("a permit");
    b.release(now, permit, Some(false));
}

#[test]
fn it_opens_after_failures_in_a_row_and_lets_one_try() {
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
    let try_it = b.acquire(1.0).expect("a try");
    assert!(b.acquire(1.0).is_err(), "one at a time");
    b.release(1.1, try_it, Some(false));
    assert_eq!(b.acquire(1.1).err().map(|s| (s * 10.0).round()), Some(20.0), "twice as long");
    let try_it = b.acquire(3.2).expect("a try");
    b.release(3.2, try_it, None);
    let try_it = b.acquire(3.2).expect("nothing was learnt: another try");
    b.release(3.2, try_it, Some(true));
    assert!(b.is_closed());
    (0..3).for_each(|_| fail(&mut b, 4.0));
    assert_eq!(b.acquire(4.0).err(), Some(1.0), "the rest begins anew");
}

#[test]
fn answers_to_questions_of_before_change_nothing() {
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

    /// Whatever happens, an open breaker lets one question out at a time, and after the longest rest with
    /// nothing out there is leave again: it never sticks.
    #[test]
    fn it_never_sticks(steps in prop::collection::vec((0u8..5, 0.0f64..3.0), 1..60)) {
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
