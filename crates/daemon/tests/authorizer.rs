//! The limiter's binary as the client of a fake authorizer that can send any HTTP/2 frames.
mod common;
#[path = "authorizer/connections.rs"]
mod connections;
#[path = "authorizer/unusable.rs"]
mod unusable;

use common::grpc::*;
use common::*;
use liftrouter_authz::frame;
use liftrouter_authz::messages::envoy::config::core::v3::{HeaderValue, HeaderValueOption};
use liftrouter_authz::messages::envoy::r#type::v3::HttpStatus;
use liftrouter_authz::messages::envoy::service::auth::v3::check_response::HttpResponse;
use liftrouter_authz::messages::envoy::service::auth::v3::{
    CheckResponse, DeniedHttpResponse, OkHttpResponse,
};
use liftrouter_authz::messages::google::rpc::Status;
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

fn response(code: i32, http_response: Option<HttpResponse>) -> CheckResponse {
    CheckResponse { status: Some(Status { code, message: String::new() }), http_response }
}

fn allow() -> CheckResponse {
    response(0, None)
}

fn header_option(key: &str, value: &str, append: bool) -> HeaderValueOption {
    let header = HeaderValue { key: key.into(), value: value.into(), raw_value: Vec::new() };
    HeaderValueOption { header: Some(header), append: Some(append), ..HeaderValueOption::default() }
}

fn authorizer_that_sends(message: CheckResponse) -> FakeAuthorizer {
    FakeAuthorizer::new(move |received| vec![Action::Write(answer(received.stream, &message))])
}

/// Without a usable decision, requests of class `quote` pass and those of class `bind` are refused.
fn operator_text(address: SocketAddr, more: &str) -> String {
    format!(
        "[[authoriser]]\nname = 'risk'\naddress = '{address}'\n\
         classes = {{ quote = 'pass', bind = 'refuse' }}\n{more}"
    )
}

fn limiter(authorizer: &FakeAuthorizer, more: &str, server: &Fake) -> Limiter {
    Limiter::with_operator_text(&operator_text(authorizer.address, more), settings(), &[server])
}

fn server() -> Fake {
    Fake::new(|message| {
        let lines: Vec<String> =
            message.headers.iter().map(|(name, value)| format!("{name}: {value}\n")).collect();
        ok(&lines.concat())
    })
}

/// HTTP statuses of one request of class `quote` and one of class `bind`.
fn ask_quote_and_bind(limiter: &Limiter) -> (u16, u16) {
    let mut client = limiter.client();
    (client.ask(&quote("roomy", 1_900)).status(), client.ask(&post("bind", "{}")).status())
}

#[test]
fn an_ok_response_changes_headers_but_never_the_limiters_own() {
    let ok = OkHttpResponse {
        headers: vec![
            header_option("X-Risk", "low", false),
            header_option("x-risk", "checked", true),
            header_option("content-type", "text/x-risk", false),
            header_option("x-correlation-id", "evil", false),
            header_option("Idempotency-Key", "evil", true),
            header_option("host", "evil", false),
            header_option("content-length", "7", false),
            header_option("x-contract", "evil", false),
            header_option("x-settled", "evil", true),
        ],
        headers_to_remove: vec!["x-time-left".into(), "x-correlation-id".into()],
        response_headers_to_add: vec![
            header_option("x-risk", "told", false),
            header_option("retry-after", "9", false),
        ],
    };
    let authorizer = authorizer_that_sends(response(0, Some(HttpResponse::OkResponse(ok))));
    let server = server();
    let limiter = limiter(&authorizer, "", &server);
    let answer = limiter.client().ask(&post("bind", "{}"));
    assert_eq!((answer.status(), answer.header("x-risk")), (200, Some("told")));
    assert_eq!(answer.header("retry-after"), None);
    let seen = server.seen().pop().expect("a request");
    let all = |name: &str| -> Vec<String> {
        seen.headers.iter().filter(|(n, _)| n == name).map(|(_, v)| v.clone()).collect()
    };
    assert_eq!(all("x-risk"), ["low", "checked"]);
    assert_eq!(all("content-type"), ["text/x-risk"]);
    assert_eq!(all("host"), [server.address.to_string()]);
    assert_eq!(all("content-length"), ["2"]);
    assert_eq!((all("x-contract"), all("x-settled")), (vec![], vec![]));
    for own in ["x-correlation-id", "idempotency-key", "x-time-left"] {
        assert!(matches!(all(own).as_slice(), [one] if one != "evil"), "{own}: {:?}", all(own));
    }
    // The check request describes the request.
    let check = authorizer.check_requests().pop().expect("a check request");
    let http = check.attributes.and_then(|a| a.request).and_then(|r| r.http).expect("a request");
    assert_eq!((http.method.as_str(), http.path.as_str()), ("POST", "/bind/00000000b4d65521"));
    assert_eq!((http.size, http.host.as_str(), http.protocol.as_str()), (2, "api.internal", "HTTP/1.1"));
    assert_eq!(http.headers.get("x-contract").map(String::as_str), Some("roomy"));
    assert_eq!(http.headers.get("x-correlation-id"), Some(&http.id));
}

#[test]
fn a_denial_is_the_final_answer_and_uses_no_server_and_no_quota() {
    let denied = DeniedHttpResponse {
        status: Some(HttpStatus { code: 451 }),
        headers: vec![header_option("x-why", "law", false), header_option("content-length", "99", false)],
        body: "not here\n".into(),
    };
    let denying = Arc::new(AtomicBool::new(true));
    let rule = denying.clone();
    let no = response(7, Some(HttpResponse::DeniedResponse(denied)));
    let authorizer = FakeAuthorizer::new(move |received| {
        let message = if rule.load(Ordering::SeqCst) { no.clone() } else { allow() };
        vec![Action::Write(answer(received.stream, &message))]
    });
    let server = server();
    let text = format!("[grpc]\nlisten = '127.0.0.1:0'\n{}", operator_text(authorizer.address, ""));
    let mut small = settings();
    small["family-info"]["has-counter"] = json!(false);
    small["tariffs"] = json!([{"name": "roomy", "rate": 0.0001, "depth": 4.0, "pays": 1.0}]);
    let limiter = Limiter::with_operator_text(&text, small, &[&server]);
    let mut client = limiter.client();
    for _ in 0..5 {
        let answer = client.ask(&quote("roomy", 1_900));
        assert_eq!((answer.status(), answer.text().as_str()), (451, "not here\n"));
        assert_eq!(answer.header("x-why"), Some("law"));
    }
    let grpc_client = GrpcClient::new(limiter.grpc.expect("a gRPC listener"));
    let (denied, code) = grpc_client.check(&check_request("quote", "roomy", 4)).denied().expect("denied");
    assert_eq!((denied.status.map(|s| s.code), code, denied.body.as_str()), (Some(451), 7, "not here\n"));
    assert_eq!(server.count(), 0);
    // The denied requests took nothing from the bucket: it still holds four units.
    denying.store(false, Ordering::SeqCst);
    assert!(grpc_client.permitted(&check_request("quote", "roomy", 4)));
    assert_eq!(client.ask(&quote("roomy", 1_900)).status(), 429);
}

#[test]
fn a_silent_authorizer_delays_a_request_by_at_most_its_timeout() {
    let authorizer = FakeAuthorizer::new(|_| Vec::new());
    let server = server();
    let limiter = limiter(&authorizer, "timeout_ms = 50\n", &server);
    assert_eq!(ask_quote_and_bind(&limiter), (200, 429));
    wait_until("both check requests are reset", || authorizer.resets().len() == 2);
    // The deadline of the request comes before the timeout: it is answered once and not forwarded later.
    let slow = FakeAuthorizer::new(|_| Vec::new());
    let limiter = self::limiter(&slow, "timeout_ms = 5000\n", &server);
    let sent = server.count();
    assert_eq!(limiter.client().ask(&quote("roomy", 200)).status(), 429);
    assert_eq!(server.count(), sent);
}

#[test]
fn a_client_disconnect_resets_its_check_request_and_a_late_response_is_ignored() {
    let authorizer = FakeAuthorizer::new(|received| {
        let late = Action::Wait(Duration::from_millis(if received.index == 0 { 300 } else { 0 }));
        vec![late, Action::Write(answer(received.stream, &allow()))]
    });
    let server = server();
    let mut small = settings();
    small["family-info"]["has-counter"] = json!(false);
    small["tariffs"] = json!([{"name": "roomy", "rate": 0.0001, "depth": 1.0, "pays": 1.0}]);
    let text = operator_text(authorizer.address, "timeout_ms = 5000\n");
    let limiter = Limiter::with_operator_text(&text, small, &[&server]);
    let mut leaving = limiter.client();
    leaving.send(&quote("roomy", 1_900));
    wait_until("the check request is received", || authorizer.count() == 1);
    leaving.close();
    wait_until("the check request is reset", || !authorizer.resets().is_empty());
    assert_eq!(server.count(), 0);
    // The only unit of the bucket is still there, and the connection is still usable.
    assert_eq!(limiter.client().ask(&quote("roomy", 1_900)).status(), 200);
    assert_eq!((server.count(), authorizer.connections()), (1, 1));
}

#[test]
fn a_stream_reset_during_a_decision_uses_no_quota() {
    let silent = Arc::new(AtomicBool::new(true));
    let rule = silent.clone();
    let authorizer = FakeAuthorizer::new(move |received| {
        let answers = !rule.load(Ordering::SeqCst);
        answers.then(|| Action::Write(answer(received.stream, &allow()))).into_iter().collect()
    });
    let server = server();
    let mut small = settings();
    small["family-info"]["has-counter"] = json!(false);
    small["tariffs"] = json!([{"name": "roomy", "rate": 0.0001, "depth": 4.0, "open": 1, "pays": 1.0}]);
    let text = operator_text(authorizer.address, "timeout_ms = 10000\n");
    let text = format!("[grpc]\nlisten = '127.0.0.1:0'\n{text}");
    let limiter = Limiter::with_operator_text(&text, small, &[&server]);
    let address = limiter.grpc.expect("a gRPC listener");
    let mut raw = RawConnection::new(address, &[]);
    for n in 0..3 {
        let stream = 2 * n + 1;
        raw.send_check(stream, &check_request("quote", "roomy", 4));
        wait_until("the check request is received", || authorizer.count() == n as usize + 1);
        raw.send_frame(RST_STREAM, 0, stream, &CANCEL.to_be_bytes());
        wait_until("the check request is reset", || authorizer.resets().len() == n as usize + 1);
    }
    // The same when the client closes the connection.
    raw.send_check(7, &check_request("quote", "roomy", 4));
    wait_until("the check request is received", || authorizer.count() == 4);
    drop(raw);
    wait_until("the check request is reset", || authorizer.resets().len() == 4);
    silent.store(false, Ordering::SeqCst);
    // The units and the one open request that the plan permits have been given back.
    assert!(GrpcClient::new(address).permitted(&check_request("quote", "roomy", 4)));
}

#[test]
fn a_request_id_is_not_open_twice_while_the_authorizer_decides() {
    let authorizer = FakeAuthorizer::new(|_| Vec::new());
    let server = server();
    let text = operator_text(authorizer.address, "timeout_ms = 10000\n");
    let text = format!("[grpc]\nlisten = '127.0.0.1:0'\n{text}");
    let limiter = Limiter::with_operator_text(&text, settings(), &[&server]);
    let mut raw = RawConnection::new(limiter.grpc.expect("a gRPC listener"), &[]);
    let q = check_request("quote", "roomy", 1);
    raw.send_check(1, &q);
    wait_until("the check request is received", || authorizer.count() == 1);
    let http = q.attributes.and_then(|a| a.request).and_then(|r| r.http).expect("a request");
    let text = quote("roomy", 500);
    let own =
        text.split("X-Correlation-Id: ").nth(1).and_then(|rest| rest.split("\r\n").next()).expect("an id");
    let copy = text.replace(own, &http.headers["x-correlation-id"]);
    assert_eq!(limiter.client().ask(&copy).status(), 409);
    assert_eq!(authorizer.count(), 1);
}

#[test]
fn the_circuit_breaker_opens_for_a_failing_authorizer_and_closes_again() {
    let down = Arc::new(AtomicBool::new(true));
    let rule = down.clone();
    let authorizer = FakeAuthorizer::new(move |received| {
        if rule.load(Ordering::SeqCst) {
            return vec![Action::Write(
                [answer_head(received.stream), answer_status(received.stream, "14")].concat(),
            )];
        }
        vec![Action::Write(answer(received.stream, &allow()))]
    });
    let server = server();
    let more = "failures = 3\nrest_ms = 2000\nmost_rest_ms = 2000\ntimeout_ms = 5000\n";
    let limiter = limiter(&authorizer, more, &server);
    let mut client = limiter.client();
    for n in 0..20 {
        let refused = client.ask(&post("bind", "{}"));
        assert_eq!(refused.status(), 429);
        // While the breaker is open, clients get the time until the next trial.
        assert_eq!(refused.header("retry-after").is_some(), n >= 3, "{n}: {:?}", refused.headers);
    }
    assert_eq!(authorizer.count(), 3);
    down.store(false, Ordering::SeqCst);
    wait_until("a trial succeeds", || client.ask(&post("bind", "{}")).status() == 200);
    assert!(limiter.errors().contains("authoriser: risk: circuit breaker open: grpc-status 14, expected 0"));
}

#[test]
fn a_breaker_trial_whose_client_disconnects_does_not_delay_the_next() {
    let authorizer = FakeAuthorizer::new(|received| match received.index {
        0 => vec![Action::Write(wire::trailers_only(received.stream, "14"))],
        // The trial.
        1 => Vec::new(),
        _ => vec![Action::Write(answer(received.stream, &allow()))],
    });
    let server = server();
    let limiter = limiter(&authorizer, "failures = 1\nrest_ms = 100\ntimeout_ms = 60000\n", &server);
    let mut client = limiter.client();
    assert_eq!(client.ask(&post("bind", "{}")).status(), 429);
    // Requests are refused while the breaker is open; then one starts the trial, and its client disconnects.
    wait_until("the trial is sent", || {
        let mut leaving = limiter.client();
        leaving.send(&post("bind", "{}"));
        wait_until("the client is answered or the trial is sent", || {
            leaving.set_read_timeout(Duration::from_millis(20));
            leaving.has_input_or_eof() || authorizer.count() == 2
        });
        leaving.close();
        authorizer.count() == 2
    });
    wait_until("a trial succeeds", || client.ask(&post("bind", "{}")).status() == 200);
}

#[test]
fn an_unreachable_authorizer_is_treated_like_a_silent_one() {
    let free = TcpListener::bind("127.0.0.1:0").expect("bind").local_addr().expect("address");
    let server = server();
    let limiter =
        Limiter::with_operator_text(&operator_text(free, "timeout_ms = 100\n"), settings(), &[&server]);
    assert_eq!(ask_quote_and_bind(&limiter), (200, 429));
}

#[test]
fn check_requests_beyond_the_limit_are_not_sent() {
    let authorizer = FakeAuthorizer::new(|_| Vec::new());
    let server = server();
    let limiter = limiter(&authorizer, "timeout_ms = 60000\nquestions = 2\n", &server);
    let mut waiting: Vec<Client> = (0..2).map(|_| limiter.client()).collect();
    for client in &mut waiting {
        client.send(&quote("roomy", 1_900));
    }
    wait_until("both check requests are received", || authorizer.count() == 2);
    // Further requests are answered at once by their class's fallback, and do not count as failures.
    assert_eq!(ask_quote_and_bind(&limiter), (200, 429));
    assert_eq!(authorizer.count(), 2);
}

#[test]
fn a_limiter_that_is_its_own_authorizer_detects_the_loop() {
    let free = TcpListener::bind("127.0.0.1:0").expect("bind").local_addr().expect("address");
    let server = server();
    let text = operator_text(free, "timeout_ms = 5000\nfailures = 4\n");
    let text = format!("[grpc]\nlisten = '{free}'\n{text}");
    let limiter = Limiter::with_operator_text(&text, settings(), &[&server]);
    assert_eq!(limiter.grpc, Some(free));
    assert_eq!(ask_quote_and_bind(&limiter), (200, 429));
    assert_eq!(server.count(), 1);
    // The same for a check request from another client.
    let grpc_client = GrpcClient::new(free);
    assert!(grpc_client.permitted(&check_request("quote", "roomy", 1)));
    let refused = grpc_client.check(&check_request("bind", "roomy", 1)).denied().expect("denied");
    assert_eq!(refused.1, 8);
    // FAILED_PRECONDITION: the loop is detected by the limiter's name, not only by the id of the open request.
    wait_until("the breaker's error is logged", || limiter.errors().contains("grpc-status 9, expected 0"));
}

#[test]
fn one_limiter_may_authorize_for_another() {
    let server = server();
    let second = Limiter::with_operator_text("[grpc]\nlisten = '127.0.0.1:0'\n", settings(), &[&server]);
    let address = second.grpc.expect("a gRPC listener");
    let first =
        Limiter::with_operator_text(&operator_text(address, "timeout_ms = 5000\n"), settings(), &[&server]);
    // Both limiters apply their quotas; the bucket of plan `small` holds four units.
    let mut client = first.client();
    let statuses: Vec<u16> = (0..6).map(|_| client.ask(&quote("small", 1_900)).status()).collect();
    assert_eq!(statuses[..4], [200; 4]);
    assert!(statuses[4..].contains(&429), "{statuses:?}");
}

#[test]
fn graceful_shutdown_waits_for_the_authorizers_decision() {
    let authorizer = FakeAuthorizer::new(|received| {
        vec![Action::Wait(Duration::from_millis(900)), Action::Write(answer(received.stream, &allow()))]
    });
    let server = server();
    let text = format!(
        "[grpc]\nlisten = '127.0.0.1:0'\n{}",
        operator_text(authorizer.address, "timeout_ms = 5000\n")
    );
    let mut limiter = Limiter::with_operator_text(&text, settings(), &[&server]);
    let mut raw = RawConnection::new(limiter.grpc.expect("a gRPC listener"), &[]);
    let mut client = limiter.client();
    client.send(&quote("roomy", 9_000));
    raw.send_check(1, &check_request("bind", "roomy", 1));
    wait_until("a check request is received", || authorizer.count() >= 1);
    limiter.terminate();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    let trailers = |f: &RawFrame| f.kind == HEADERS && f.flags & END_STREAM != 0 && f.stream == 1;
    assert!(raw.read_until(trailers).is_some());
    assert!(limiter.wait().success());
}
