//! Limits on frame rates, and server reflection as tools use it.

use liftrouter_authz::messages::grpc::reflection::v1::server_reflection_request::MessageRequest;
use liftrouter_authz::messages::grpc::reflection::v1::server_reflection_response::MessageResponse;
use liftrouter_authz::messages::grpc::reflection::v1::ServerReflectionRequest;
use liftrouter_authz::wire::{
    self, CONTINUATION, DATA, HEADERS, PING, PREFACE, RST_STREAM, SETTINGS, WINDOW_UPDATE,
};
use liftrouter_authz::{reflect, Flood, FrameLimits, FrameMeter, Message, AUTHORIZATION, SERVICES};
use prost_types::FileDescriptorProto;

const PRIORITY: u8 = 2;

fn raw(kind: u8, length: usize) -> Vec<u8> {
    wire::raw(kind, 0, 1, &vec![0; length])
}

fn meter() -> FrameMeter {
    let mut meter = FrameMeter::server(FrameLimits { resets_per_s: 10.0, control_per_s: 50.0 }, 0.0);
    meter.read(PREFACE, 0.0).expect("the preface");
    meter
}

/// How often `frames` can be received at time `now` before a limit is exceeded, and which limit that is.
fn count_allowed(meter: &mut FrameMeter, frames: &[u8], now: f64) -> (usize, Option<Flood>) {
    for n in 0..10_000 {
        if let Err(flood) = meter.read(frames, now) {
            return (n, Some(flood));
        }
    }
    (10_000, None)
}

#[test]
fn each_kind_of_flood_is_detected() {
    assert_eq!(count_allowed(&mut meter(), &raw(RST_STREAM, 4), 0.0), (20, Some(Flood::Resets)));
    // Rapid reset attack: each stream is reset as soon as it is opened (CVE-2023-44487).
    let rapid = [raw(HEADERS, 20), raw(RST_STREAM, 4)].concat();
    assert_eq!(count_allowed(&mut meter(), &rapid, 0.0), (20, Some(Flood::Resets)));
    for (kind, length) in [(SETTINGS, 0), (PING, 8), (PRIORITY, 5), (WINDOW_UPDATE, 4), (DATA, 0), (77, 9)] {
        let found = count_allowed(&mut meter(), &raw(kind, length), 0.0);
        assert_eq!(found, (100, Some(Flood::Control)), "{kind}");
    }
    assert_eq!(count_allowed(&mut meter(), &raw(CONTINUATION, 1), 0.0), (100, Some(Flood::Control)));
}

#[test]
fn ordinary_calls_are_not_a_flood() {
    let call = [raw(HEADERS, 40), raw(DATA, 300), raw(WINDOW_UPDATE, 4), raw(WINDOW_UPDATE, 4)].concat();
    assert_eq!(count_allowed(&mut meter(), &call, 0.0), (10_000, None));
}

#[test]
fn limits_apply_per_second_and_frames_may_arrive_in_pieces() {
    let mut meter = meter();
    let frame = raw(RST_STREAM, 4);
    for n in 0..1_000 {
        let now = f64::from(n) * 0.11;
        for byte in &frame {
            meter.read(std::slice::from_ref(byte), now).expect("about nine frames a second are allowed");
        }
    }
    assert_eq!(count_allowed(&mut meter, &frame, 1_000.0).0, 20);
}

#[test]
fn payloads_are_not_read_as_frames() {
    // The payload is a sequence of RST_STREAM frames.
    let mut data = raw(DATA, 16_000);
    for (n, byte) in data[9..].iter_mut().enumerate() {
        *byte = raw(RST_STREAM, 4)[n % 13];
    }
    assert_eq!(count_allowed(&mut meter(), &data, 0.0), (10_000, None));
}

fn ask(message: MessageRequest) -> MessageResponse {
    let request = ServerReflectionRequest { host: "h".into(), message_request: Some(message) };
    let answer = reflect(request.clone());
    assert_eq!((answer.valid_host.as_str(), answer.original_request), ("h", Some(request)));
    answer.message_response.expect("an answer")
}

#[test]
fn services_are_found_with_all_their_imports() {
    let MessageResponse::ListServicesResponse(list) = ask(MessageRequest::ListServices("*".into())) else {
        panic!("no list of services")
    };
    assert_eq!(list.service.iter().map(|s| s.name.as_str()).collect::<Vec<_>>(), SERVICES);
    for name in SERVICES {
        let MessageResponse::FileDescriptorResponse(found) =
            ask(MessageRequest::FileContainingSymbol(name.into()))
        else {
            panic!("{name} is not found")
        };
        let files = found.file_descriptor_proto.iter().map(Vec::as_slice);
        let files: Vec<_> = files.map(|f| FileDescriptorProto::decode(f).expect("a file")).collect();
        for file in &files {
            for import in &file.dependency {
                assert!(files.iter().any(|f| f.name() == import), "{name} lacks {import}");
            }
        }
    }
}

#[test]
fn symbols_of_every_kind_are_found_and_others_are_not() {
    let v3 = "envoy.service.auth.v3";
    for (symbol, exists) in [
        (format!("{AUTHORIZATION}.Check"), true),
        (format!("{v3}.CheckRequest"), true),
        (format!("{v3}.CheckRequest.attributes"), true),
        (format!("{v3}.AttributeContext.HttpRequest"), true),
        (format!("{v3}.AttributeContext.HttpRequest.headers"), true),
        ("grpc.health.v1.HealthCheckResponse.ServingStatus".into(), true),
        ("envoy.type.v3.StatusCode".into(), true),
        (format!("{AUTHORIZATION}.Chek"), false),
        (format!("{v3}.CheckRequests"), false),
        (format!("{v3}."), false),
        (String::new(), false),
        ("x".into(), false),
    ] {
        let answer = ask(MessageRequest::FileContainingSymbol(symbol.clone()));
        let found = matches!(answer, MessageResponse::FileDescriptorResponse(_));
        assert_eq!(found, exists, "{symbol:?}: {answer:?}");
    }
}

#[test]
fn unknown_files_extension_numbers_and_empty_requests_are_answered() {
    let MessageResponse::ErrorResponse(error) = ask(MessageRequest::FileByFilename("x.proto".into())) else {
        panic!("found")
    };
    assert_eq!((error.error_code, error.error_message.as_str()), (5, "\"x.proto\" is not known"));
    let numbers = ask(MessageRequest::AllExtensionNumbersOfType("google.rpc.Status".into()));
    assert!(
        matches!(numbers, MessageResponse::AllExtensionNumbersResponse(n) if n.extension_number.is_empty())
    );
    let nothing = reflect(ServerReflectionRequest::default()).message_response;
    assert!(matches!(nothing, Some(MessageResponse::ErrorResponse(e)) if e.error_code == 3));
}
