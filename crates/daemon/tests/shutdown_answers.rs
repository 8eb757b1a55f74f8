//! Graceful shutdown while accepted requests are not with the host yet: they wait for an authorizer, their bodies are
//! still arriving, or their connections are in the kernel's queue. Each gets one answer before the process is killed.
mod common;

use common::grpc::*;
use common::shutdown::{assert_clean_exit, killed_after};
use common::*;
use liftrouter_authz::frame;
use liftrouter_authz::messages::envoy::service::auth::v3::CheckResponse;
use liftrouter_authz::messages::google::rpc::Status;
use std::thread;
use std::time::Instant;

/// Deadline of classes whose requests live longer than a shutdown may last, in seconds.
const LONG_DEADLINE_S: f64 = 8.0;
/// Deadline of classes in tests that need no longer shutdown, in seconds.
const SHORT_DEADLINE_S: f64 = 0.8;
/// gRPC status UNAVAILABLE.
const UNAVAILABLE: u16 = 14;
/// A configured number of sockets of which one is left for clients.
const SOCKETS_FOR_ONE_CLIENT: u32 = 34;

/// An operator's file with a gRPC listener, and an authorizer whose answer is waited for longer than a shutdown lasts.
fn operator_text(authorizer: &FakeAuthorizer) -> String {
    format!(
        "[grpc]\nlisten = '127.0.0.1:0'\n[[authoriser]]\nname = 'risk'\naddress = '{}'\n\
         classes = {{ quote = 'pass', bind = 'refuse' }}\ntimeout_ms = 20000\n",
        authorizer.address
    )
}

/// Whether the response on a stream is complete before its connection ends.
fn is_answered(raw: &mut RawConnection, stream: u32) -> bool {
    let is_end = |f: &RawFrame| f.kind == HEADERS && f.flags & END_STREAM != 0 && f.stream == stream;
    raw.read_until(is_end).is_some()
}

/// Guards against requests that are lost at a planned restart while the authorizer is asked about them: over HTTP and
/// gRPC, whatever the fallback of their class, and although SIGTERM comes twice.
#[test]
fn requests_that_wait_for_an_authorizer_are_answered_before_the_process_ends() {
    let authorizer = FakeAuthorizer::new(|_| Vec::new());
    let server = Fake::new(|_| ok("served"));
    let text = operator_text(&authorizer);
    let mut limiter = Limiter::with_operator_text(&text, settings_with_deadline(LONG_DEADLINE_S), &[&server]);
    let mut clients = [limiter.client(), limiter.client(), limiter.client()];
    for (client, request) in
        clients.iter_mut().zip([quote("roomy", 8_000), post("bind", "x"), post("bind", "y")])
    {
        client.send(&request);
    }
    let grpc = limiter.grpc.expect("a gRPC listener");
    let message = frame(&check_request("bind", "roomy", 1));
    let call = thread::spawn(move || GrpcClient::new(grpc).send(GrpcClient::request(CHECK, &[], message)));
    wait_until("the authorizer is asked about all", || authorizer.count() == 4);
    limiter.terminate();
    let terminated = Instant::now();
    limiter.terminate();
    wait_until("the log counts them", || limiter.errors().contains("SIGTERM: finishing 4 requests\n"));
    for client in &mut clients {
        let answer = client.answer().expect("an answer, not a close");
        assert_eq!(answer.status(), 503, "nothing was forwarded: a retry does no harm");
    }
    let call = call.join().expect("a call").expect("an answer, not a close");
    assert_eq!(call.status, Some(UNAVAILABLE), "{call:?}");
    assert_clean_exit(&mut limiter, terminated, LONG_DEADLINE_S);
    assert_eq!(server.count(), 0, "nothing is forwarded");
}

/// Guards against a server that is told of more time than the shutdown leaves to a request.
#[test]
fn a_request_that_is_authorized_during_a_shutdown_has_no_more_time_than_that() {
    let gate = Gate::default();
    let held = gate.clone();
    let authorizer = FakeAuthorizer::new(move |received| {
        held.wait();
        let allow = CheckResponse { status: Some(Status::default()), http_response: None };
        vec![Action::Write(answer(received.stream, &allow))]
    });
    let server = Fake::new(|_| ok("served"));
    let text = operator_text(&authorizer);
    let mut limiter = Limiter::with_operator_text(&text, settings_with_deadline(LONG_DEADLINE_S), &[&server]);
    let mut client = limiter.client();
    client.send(&post("bind", "x"));
    wait_until("the authorizer is asked", || authorizer.count() == 1);
    limiter.terminate();
    let terminated = Instant::now();
    wait_until("the shutdown has begun", || limiter.errors().contains("SIGTERM: finishing 1 requests\n"));
    gate.open();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    let seen = server.seen();
    let time_left = seen[0].header("x-time-left").and_then(|text| text.strip_suffix('u')).expect("a time");
    let time_left_s = time_left.parse::<f64>().expect("microseconds") / 1e6;
    assert!(time_left_s < killed_after(LONG_DEADLINE_S).as_secs_f64(), "{time_left_s} s");
    assert_clean_exit(&mut limiter, terminated, LONG_DEADLINE_S);
}

/// Guards against a request that becomes whole just as the process ends: one whose body is still arriving then is refused.
#[test]
fn a_request_whose_body_is_still_arriving_is_refused_before_the_process_ends() {
    let server = Fake::new(|_| ok("served"));
    let mut limiter = Limiter::with_operator_text(
        "[grpc]\nlisten = '127.0.0.1:0'\n",
        settings_with_deadline(SHORT_DEADLINE_S),
        &[&server],
    );
    let mut raw = RawConnection::new(limiter.grpc.expect("a gRPC listener"), &[]);
    raw.send_check(1, &check_request("bind", "roomy", 1));
    assert!(is_answered(&mut raw, 1));
    let mut client = limiter.client();
    assert_eq!(client.ask(&quote("roomy", 700)).status(), 200);
    let request = post("bind", "a body");
    client.send(&request[..request.len() - 3]);
    let message = frame(&check_request("quote", "roomy", 1));
    raw.send_check_headers(3);
    raw.send_frame(DATA, 0, 3, &message[..7]);
    limiter.terminate();
    let terminated = Instant::now();
    let answer = client.answer().expect("an answer, not a close");
    assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
    assert!(is_answered(&mut raw, 3));
    assert_clean_exit(&mut limiter, terminated, SHORT_DEADLINE_S);
    assert_eq!(server.count_with_id(correlation_id(&request)), 0);
}

/// Guards against requests that are lost in the kernel's queue of connections: at the connection limit they wait there
/// until another connection closes, and the process must not end between the two.
#[test]
fn a_request_in_the_queue_of_connections_is_answered_before_the_process_ends() {
    in_parallel(0..8, |round| {
        let (gate, server) = gated_server(|_| ok("served"));
        let list = vec![instance("s-0", server.address, "in_service")];
        let settings = settings_with_deadline(SHORT_DEADLINE_S);
        let mut limiter = Limiter::with_descriptor_limit(
            SOCKETS_FOR_ONE_CLIENT,
            settings,
            &discovery(list),
            counter().address,
        );
        let mut first = limiter.client();
        first.send(&quote("roomy", 60_000));
        wait_until("the request is sent", || server.count() == 1);
        let mut queued = limiter.client();
        queued.send(&quote("roomy", 60_000));
        limiter.terminate();
        let terminated = Instant::now();
        first.answer().expect("an answer");
        gate.open();
        first.close();
        let answer = queued.answer();
        assert!(answer.is_some(), "round {round}: closed without an answer");
        assert_clean_exit(&mut limiter, terminated, SHORT_DEADLINE_S);
    });
}
