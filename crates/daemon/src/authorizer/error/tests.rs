use super::*;

#[test]
fn each_error_says_what_was_found_and_what_was_expected() {
    for (error, text) in [
        (CheckError::HttpStatus(503), "HTTP status 503, expected 200"),
        (
            CheckError::ContentType("text/html".into()),
            "content-type \"text/html\", expected application/grpc",
        ),
        (CheckError::Compressed, "the response is compressed, but no compression was offered"),
        (CheckError::GrpcStatus("14".into()), "grpc-status 14, expected 0"),
        (CheckError::NoGrpcStatus, "no grpc-status, expected 0"),
        (CheckError::Frame(FrameError::Truncated), "the stream ended within a message"),
        (CheckError::Malformed("buffer underflow".into()), "the response is malformed: buffer underflow"),
        (CheckError::RefusedTwice, "both attempts were refused before they were processed"),
        (CheckError::Timeout, "no response within the timeout"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn only_grpc_status_zero_is_a_success() {
    let status = |value: &'static str| {
        let mut headers = HeaderMap::new();
        headers.insert(GRPC_STATUS, HeaderValue::from_static(value));
        check_status(&headers)
    };
    assert!(status("0").is_ok());
    assert!(matches!(status("7"), Err(CheckError::GrpcStatus(found)) if found == "7"));
    assert!(matches!(status("00"), Err(CheckError::GrpcStatus(_))));
    assert!(matches!(check_status(&HeaderMap::new()), Err(CheckError::NoGrpcStatus)));
}
