//! The payloads in `fixtures` were sent by b315b5b: they must stay readable and be encoded again byte for byte. Postcard is
//! positional, so each value is compared as well.

use super::*;

const NO_LOAD: SharedLoad = SharedLoad {
    in_flight: None,
    queued: None,
    utilization: None,
    latency: None,
    request_rate: None,
    error_rate: None,
};

fn assert_encoding(payload: &[u8], outcome: SharedOutcome, load: SharedLoad) {
    let expected = SharedHealthCheck { endpoint: "node-1".into(), outcome, load };
    assert_eq!(postcard::from_bytes::<SharedHealthCheck>(payload).expect("decoded"), expected);
    assert_eq!(postcard::to_stdvec(&expected).expect("encoded"), payload);
}

#[test]
fn health_checks_of_every_outcome_keep_their_encoding() {
    let full = SharedLoad {
        in_flight: Some(1.0),
        queued: Some(2.0),
        utilization: Some(0.25),
        latency: Some(0.125),
        request_rate: Some(40.0),
        error_rate: Some(0.5),
    };
    let partial = SharedLoad { queued: Some(2.0), latency: Some(0.125), ..NO_LOAD };
    assert_encoding(
        include_bytes!("../../../tests/fixtures/health-check-answered.bin"),
        SharedOutcome::Ok,
        full,
    );
    assert_encoding(
        include_bytes!("../../../tests/fixtures/health-check-overloaded.bin"),
        SharedOutcome::Overloaded,
        partial,
    );
    assert_encoding(
        include_bytes!("../../../tests/fixtures/health-check-timeout.bin"),
        SharedOutcome::Timeout,
        NO_LOAD,
    );
    assert_encoding(
        include_bytes!("../../../tests/fixtures/health-check-unreachable.bin"),
        SharedOutcome::ConnectFailed,
        NO_LOAD,
    );
}

#[test]
fn load_values_that_are_not_finite_count_as_not_reported() {
    let load =
        SharedLoad { in_flight: Some(f64::NAN), latency: Some(f64::INFINITY), queued: Some(3.0), ..NO_LOAD };
    let report = LoadReport::from(load);
    assert_eq!((report.in_flight, report.latency_s, report.queued), (None, None, Some(3.0)));
}
