//! Tests of the limiter binary's gRPC listener: external authorization, health checks and reflection.
mod common;

use bytes::Bytes;
use common::grpc::*;
use common::*;
use liftrouter_authz::messages::grpc::health::v1::{HealthCheckRequest, HealthCheckResponse};
use liftrouter_authz::messages::grpc::reflection::v1::server_reflection_request::MessageRequest;
use liftrouter_authz::messages::grpc::reflection::v1::server_reflection_response::MessageResponse;
use liftrouter_authz::messages::grpc::reflection::v1::{ServerReflectionRequest, ServerReflectionResponse};
use liftrouter_authz::{frame, Message, MessageDecoder};
use serde_json::{json, Value};

/// The part of the operator's file that enables the gRPC listener.
const GRPC_SECTION: &str = "[grpc]\nlisten = '127.0.0.1:0'\n";

/// Starts a limiter with `more` after the `[grpc]` section's first key, and connects a gRPC client to it.
fn start_with_grpc(more: &str, settings: Value, servers: &[&Fake]) -> (Limiter, GrpcClient) {
    let limiter = Limiter::with_operator_text(&format!("{GRPC_SECTION}{more}"), settings, servers);
    let grpc_client = GrpcClient::new(limiter.grpc.expect("a gRPC listener"));
    (limiter, grpc_client)
}

/// Settings without a counter. Plan `roomy` has a burst of `depth` units that does not noticeably refill while a test
/// runs, and permits `open` concurrent requests, or any number if that is 0.
fn settings_without_refill(depth: f64, open: f64) -> Value {
    let mut settings = settings();
    settings["family-info"]["has-counter"] = json!(false);
    settings["tariffs"] =
        json!([{"name": "roomy", "rate": 0.0001, "depth": depth, "open": open, "pays": 1.0}]);
    settings
}

#[test]
fn checks_within_the_quota_are_permitted_and_the_rest_denied() {
    let server = Fake::new(|_| ok("quoted"));
    let add = "[grpc.add]\nX-Permitted-By = 'value:limiter'\nx-of = 'path:2'\nx-none = 'label:none'\n";
    let (_limiter, grpc_client) = start_with_grpc(add, settings(), &[&server]);
    // Plan `small` has a burst of 4 units and refills 1 unit a second.
    let allowed = grpc_client.check(&check_request("quote", "small", 4)).allowed().expect("permitted");
    let header_options =
        allowed.headers.iter().map(|o| (o.header.clone().unwrap_or_default(), o.append, o.append_action));
    let header_options: Vec<_> =
        header_options.map(|(h, append, action)| (h.key, h.value, append, action)).collect();
    assert_eq!(
        header_options,
        [
            ("x-permitted-by".to_string(), "limiter".to_string(), Some(false), 2),
            ("x-of".to_string(), "00000000b4d65521".to_string(), Some(false), 2),
        ]
    );
    let (denied, code) = grpc_client.check(&check_request("quote", "small", 4)).denied().expect("denied");
    // RESOURCE_EXHAUSTED (8) is the gRPC code for HTTP status 429.
    assert_eq!((denied.status.map(|s| s.code), code), (Some(429), 8));
    assert_eq!(denied.body, "refused: trying again is harmless\n");
    for option in denied.headers {
        let header = option.header.expect("a header");
        assert_eq!(header.key, "retry-after");
        assert!(header.value.parse::<f64>().is_ok_and(|s| s > 0.0 && s <= 2.0), "{}", header.value);
    }
    assert_eq!(server.count(), 0, "a check request sends nothing to the servers");
}

#[test]
fn the_same_requests_get_the_same_answers_over_any_mix_of_listeners() {
    let decisions = |grpc_percent: u64| -> Vec<bool> {
        let server = Fake::new(|_| ok("quoted"));
        let (limiter, grpc_client) = start_with_grpc("", settings_without_refill(60.0, 0.0), &[&server]);
        let mut client = limiter.client();
        let permitted = (0..40u64).map(|n| {
            let units = 1 + (n % 4) as u32;
            if n * 37 % 100 < grpc_percent {
                return grpc_client.permitted(&check_request("quote", "roomy", units));
            }
            let text = quote("roomy", 1_500).replace("units=1", &format!("units={units}"));
            match client.ask(&text).status() {
                200 => true,
                429 => false,
                other => panic!("status {other}"),
            }
        });
        permitted.collect()
    };
    let http_only = decisions(0);
    // The burst of 60 units covers the first 24 requests, which use 2.5 units on average. Later ones are permitted only
    // if what is left covers them.
    assert!(http_only[..24].iter().all(|permitted| *permitted) && http_only.contains(&false));
    for grpc_percent in [1, 10, 25, 50, 75, 90, 100] {
        assert_eq!(decisions(grpc_percent), http_only, "{grpc_percent} % over gRPC");
    }
}

/// Malformed bodies, each with the expected status and a part of the expected message.
const MALFORMED_FRAMES: [(&[u8], u16, &str); 7] = [
    (b"", 3, "the stream ended without a message"),
    (b"\0\0\0\0\x05\x0a", 3, "the stream ended within a message"),
    (b"\0\0\0\0\x01\x0a", 3, "the message is malformed"),
    (b"\0\0\0\0\0\0\0\0\0\0", 3, "a second message, expected one"),
    (b"\x02\0\0\0\0", 3, "the message's first byte is 2, expected 0"),
    (b"\x01\0\0\0\0", 13, "the message is compressed, expected none to be"),
    (b"\0\x7f\0\0\0", 8, "the message announces 2130706432 bytes, expected 65536 at most"),
];

#[test]
fn malformed_check_requests_get_an_error_status_and_use_no_quota() {
    let server = Fake::new(|_| ok("quoted"));
    let (_limiter, grpc_client) = start_with_grpc("", settings_without_refill(4.0, 0.0), &[&server]);
    let request_with = |change: &dyn Fn(&mut std::collections::HashMap<String, String>, &mut String)| {
        let mut request = check_request("quote", "roomy", 1);
        let http = request.attributes.as_mut().and_then(|a| a.request.as_mut()).and_then(|r| r.http.as_mut());
        let http = http.expect("a request");
        change(&mut http.headers, &mut http.path);
        request
    };
    let request_with_header = |name: &'static str, value: &'static str| {
        request_with(&move |headers, _| drop(headers.insert(name.into(), value.into())))
    };
    let long_id: &'static str = Box::leak("x".repeat(129).into_boxed_str());
    for (request, expected) in [
        (request_with(&|_, path| *path = "/".into()), "the question has no class"),
        (request_with(&|_, path| *path = "/qoute/00000000b4d65521".into()), "the class is unknown"),
        (request_with(&|_, path| *path = "/quote/7".into()), "the customer is malformed"),
        (request_with(&|_, path| *path = "/quote/ffffffffffffffff".into()), "the customer is malformed"),
        (request_with_header("x-contract", "rommy"), "the plan is unknown"),
        (request_with_header("x-metering", "units=0,spread=1"), "the units are malformed"),
        (request_with_header("x-metering", "units=5,spread=1"), "the units are malformed"),
        (request_with_header("x-metering", "units=1e0,spread=1"), "the units are malformed"),
        (request_with_header("x-metering", "units=1,spread=3"), "the width is malformed"),
        (request_with_header("x-metering", "units=1,spread=1.5"), "the width is malformed"),
        (request_with_header("x-correlation-id", "a\r\nb"), "the id is malformed"),
        (request_with_header("x-correlation-id", long_id), "the id is malformed"),
        (request_with_header("x-time-left", "-5m"), "the time left is malformed"),
        (
            request_with(&|headers, path| {
                *path = "/bind/00000000b4d65521".into();
                headers.remove("idempotency-key");
            }),
            "the key is missing or malformed",
        ),
    ] {
        let result = grpc_client.check(&request);
        assert_eq!((result.status, result.message.as_str()), (Some(3), expected));
    }
    for (body, status, expected) in MALFORMED_FRAMES {
        let result = grpc_client.check_raw(body);
        assert_eq!(result.status, Some(status), "{body:?}");
        assert!(result.message.contains(expected), "{:?} does not contain {expected:?}", result.message);
    }
    // None of them used any units: the burst of 4 is still available.
    assert!(grpc_client.permitted(&check_request("quote", "roomy", 4)));
    assert!(!grpc_client.permitted(&check_request("quote", "roomy", 1)));
    assert_eq!(server.count(), 0);
}

#[test]
fn unknown_methods_encodings_and_protocols_get_an_error_status() {
    let server = Fake::new(|_| ok("quoted"));
    let (_limiter, grpc_client) = start_with_grpc("", settings(), &[&server]);
    let body = || frame(&check_request("quote", "roomy", 1));
    let send = |request| grpc_client.send(request).expect("an answer");
    for path in ["/envoy.service.auth.v3.Authorization/Chek", "/x", "/", "/grpc.health.v1.Health/"] {
        assert_eq!(send(GrpcClient::request(path, &[], body())).status, Some(12), "{path}");
    }
    // Version 2 of the protocol, whose service name is obsolete, is not supported.
    let v2 = "/envoy.service.auth.v2.Authorization/Check";
    assert_eq!(send(GrpcClient::request(v2, &[], body())).status, Some(12));
    let compressed = send(GrpcClient::request(CHECK, &[("grpc-encoding", "gzip")], body()));
    assert_eq!(compressed.status, Some(12));
    assert_eq!(
        compressed.headers.get("grpc-accept-encoding").map(hyper::header::HeaderValue::as_bytes),
        Some(&b"identity"[..])
    );
    let mut json = GrpcClient::request(CHECK, &[], body());
    json.headers_mut().insert("content-type", "application/json".parse().expect("a value"));
    assert_eq!(send(json).http_status, 415);
    let mut get = GrpcClient::request(CHECK, &[], Bytes::new());
    *get.method_mut() = hyper::Method::GET;
    assert_eq!(send(get).http_status, 405);
}

#[test]
fn an_expired_or_malformed_deadline_gets_an_error_status_and_uses_no_quota() {
    let server = Fake::new(|_| ok("quoted"));
    let (_limiter, grpc_client) = start_with_grpc("", settings_without_refill(4.0, 0.0), &[&server]);
    let check_with_timeout = |timeout: &str, units| {
        let body = frame(&check_request("quote", "roomy", units));
        grpc_client.send(GrpcClient::request(CHECK, &[("grpc-timeout", timeout)], body)).expect("an answer")
    };
    assert_eq!(check_with_timeout("0m", 1).status, Some(4));
    assert_eq!(check_with_timeout("1n", 1).status, Some(4));
    for malformed in ["", "5", "5s", "123456789m", "-1m"] {
        assert_eq!(check_with_timeout(malformed, 1).status, Some(3), "{malformed:?}");
    }
    // None of them used any units.
    assert!(check_with_timeout("10S", 4).allowed().is_some());
}

#[test]
fn permitted_calls_count_against_the_concurrency_limit_until_they_expire() {
    let server = Fake::new(|_| ok("quoted"));
    let (limiter, grpc_client) =
        start_with_grpc("hold_ms = 300\n", settings_without_refill(1_000.0, 1.0), &[&server]);
    assert!(grpc_client.permitted(&check_request("quote", "roomy", 1)));
    assert!(!grpc_client.permitted(&check_request("quote", "roomy", 1)));
    // A call permitted over gRPC also counts for the HTTP listener.
    assert_eq!(limiter.client().ask(&quote("roomy", 1_500)).status(), 429);
    wait_until("the permitted call expires", || grpc_client.permitted(&check_request("quote", "roomy", 1)));
}

#[test]
fn a_request_id_may_be_open_on_only_one_listener_at_a_time() {
    let server = Fake::new(|_| Reply::Silence);
    let (limiter, grpc_client) = start_with_grpc("", settings(), &[&server]);
    let mut client = limiter.client();
    let text = quote("roomy", 60_000);
    let id =
        text.split("X-Correlation-Id: ").nth(1).and_then(|rest| rest.split("\r\n").next()).expect("an id");
    client.send(&text);
    wait_until("the request has reached the server", || server.count() == 1);
    let mut request = check_request("quote", "roomy", 1);
    let http = request.attributes.as_mut().and_then(|a| a.request.as_mut()).and_then(|r| r.http.as_mut());
    http.expect("a request").headers.insert("x-correlation-id".into(), id.into());
    assert_eq!(grpc_client.check(&request).status, Some(6));
    client.close();
    wait_until("the id is no longer open", || grpc_client.check(&request).status == Some(0));
}

#[test]
fn health_checks_watches_and_reflection_are_answered() {
    let server = Fake::new(|_| ok("quoted"));
    let (mut limiter, grpc_client) = start_with_grpc("", settings(), &[&server]);
    let health = |service: &str| grpc_client.call(HEALTH, &HealthCheckRequest { service: service.into() });
    for service in ["", "envoy.service.auth.v3.Authorization", "grpc.health.v1.Health"] {
        assert_eq!(health(service).decode::<HealthCheckResponse>().status, 1, "{service}");
    }
    assert_eq!(health("other").status, Some(5));
    for version in ["v1", "v1alpha"] {
        let path = REFLECTION.replace("v1", version);
        let list_services = MessageRequest::ListServices(String::new());
        let request = ServerReflectionRequest { host: String::new(), message_request: Some(list_services) };
        let twice = [frame(&request), frame(&request)].concat();
        let result = grpc_client.send(GrpcClient::request(&path, &[], twice.into())).expect("an answer");
        assert_eq!(result.status, Some(0));
        let mut decoder = MessageDecoder::new(1 << 20);
        decoder.push(&result.body);
        for _ in 0..2 {
            let message = decoder.next_message().expect("well-formed").expect("a message");
            let answer = ServerReflectionResponse::decode(message).expect("an answer").message_response;
            let Some(MessageResponse::ListServicesResponse(list)) = answer else { panic!("{answer:?}") };
            assert_eq!(list.service.len(), 3);
        }
        assert!(decoder.is_empty());
    }
    // A watch reports the state at once and again when it changes, here from SERVING (1) to NOT_SERVING (2).
    let mut watch = grpc_client.open_stream(WATCH, &HealthCheckRequest::default());
    let first = watch.next_frame().expect("a state").expect("a message");
    assert_eq!(first, frame(&HealthCheckResponse { status: 1 }));
    limiter.terminate();
    assert_eq!(
        watch.next_frame().expect("a state").expect("a message"),
        frame(&HealthCheckResponse { status: 2 })
    );
    assert_eq!(watch.next_frame(), Some(Err(14)), "the watch ends with UNAVAILABLE");
    assert!(limiter.wait().success());
}

#[test]
fn graceful_shutdown_answers_calls_and_then_sends_goaway() {
    let server = Fake::new(|_| ok("quoted"));
    let (mut limiter, _) = start_with_grpc("", settings(), &[&server]);
    let address = limiter.grpc.expect("a gRPC listener");
    let mut early = RawConnection::new(address, &[]);
    early.send_check(1, &check_request("quote", "roomy", 1));
    early.read_until(|f| f.kind == HEADERS && f.flags & END_STREAM != 0).expect("trailers");
    // A call whose message is received only in part when the shutdown begins is still answered.
    let message = frame(&check_request("quote", "roomy", 1));
    early.send_check_headers(3);
    early.send_frame(DATA, 0, 3, &message[..7]);
    limiter.terminate();
    // Connections are still accepted for a short time: their calls are answered, and then they get GOAWAY.
    let mut late = RawConnection::new(address, &[]);
    late.send_check(1, &check_request("quote", "roomy", 1));
    assert!(late.read_until(|f| f.kind == HEADERS && f.flags & END_STREAM != 0).is_some());
    let goaway = early.read_until(|f| f.kind == GOAWAY).expect("GOAWAY");
    // The first GOAWAY has the highest stream id, so that calls already on their way are not lost (RFC 9113, section
    // 6.8), and the code NO_ERROR.
    assert_eq!(goaway.payload, [&0x7fff_ffff_u32.to_be_bytes()[..], &[0; 4]].concat());
    early.send_frame(DATA, END_STREAM, 3, &message[7..]);
    // A call that crosses the GOAWAY on the wire.
    early.send_check(5, &check_request("quote", "roomy", 1));
    let ping = early.read_until(|f| f.kind == PING && f.flags & ACK == 0);
    let is_trailers = |f: &RawFrame| f.kind == HEADERS && f.flags & END_STREAM != 0;
    // hyper may write its PING before or after the answers.
    let mut answered_streams = Vec::new();
    if let Some(ping) = ping {
        early.send_frame(PING, ACK, 0, &ping.payload);
    }
    while let Some(frame) = early.read_frame() {
        if is_trailers(&frame) {
            answered_streams.push(frame.stream);
        }
    }
    answered_streams.sort_unstable();
    assert_eq!(answered_streams, [3, 5], "both calls were answered");
    assert!(limiter.wait().success());
}

#[test]
fn a_check_request_through_too_many_limiters_is_refused() {
    let server = Fake::new(|_| ok("quoted"));
    let (_limiter, grpc_client) = start_with_grpc("", settings(), &[&server]);
    let status_via = |names: &str| {
        let body = frame(&check_request("quote", "roomy", 1));
        grpc_client
            .send(GrpcClient::request(CHECK, &[("liftrouter-via", names)], body))
            .expect("an answer")
            .status
    };
    assert_eq!(status_via("a, b,c,d,e,f,g,h"), Some(0));
    assert_eq!(status_via("a,b,c,d,e,f,g,h,i"), Some(9));
}

#[test]
fn a_full_limiter_answers_resource_exhausted() {
    let server = Fake::new(|_| Reply::Silence);
    let mut settings = settings();
    settings["limits"]["max-open"] = json!(1);
    let (limiter, grpc_client) = start_with_grpc("", settings, &[&server]);
    let mut client = limiter.client();
    client.send(&quote("roomy", 60_000));
    wait_until("the request has reached the server", || server.count() == 1);
    let result = grpc_client.check(&check_request("quote", "roomy", 1));
    assert_eq!((result.status, result.message.as_str()), (Some(8), "too many requests are open"));
    client.close();
    wait_until("another request may be open", || {
        grpc_client.check(&check_request("quote", "roomy", 1)).status == Some(0)
    });
}
