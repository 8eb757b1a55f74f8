//! Message framing, timeouts and status messages as "gRPC over HTTP/2" specifies them, and malformed input.

use liftrouter_authz::messages::grpc::health::v1::HealthCheckRequest;
use liftrouter_authz::{
    frame, parse_timeout, Code, FrameError, Message, MessageDecoder, Status, UnaryDecoder,
};
use proptest::prelude::*;
use std::time::Duration;

fn unary(pieces: &[&[u8]]) -> Result<Vec<u8>, FrameError> {
    let mut decoder = UnaryDecoder::new(100);
    for piece in pieces {
        decoder.push(piece)?;
    }
    decoder.finish().map(|message| message.to_vec())
}

#[test]
fn the_prefix_is_a_flag_and_four_bytes_of_length_in_network_order() {
    let message = HealthCheckRequest { service: "ab".into() };
    // Field 1, length-delimited: 0x0a, two bytes.
    assert_eq!(frame(&message).as_ref(), b"\0\0\0\0\x04\x0a\x02ab");
    assert_eq!(unary(&[b"\0\0\0\0\x04\x0a\x02ab"]), Ok(message.encode_to_vec()));
    assert_eq!(unary(&[b"\0\0\0\0\0"]), Ok(vec![]));
}

#[test]
fn malformed_streams_give_the_matching_error() {
    for (pieces, expected) in [
        (&[b"\x01\0\0\0\x01a".as_slice()][..], FrameError::Compressed),
        (&[b"\x07\0\0\0\x01a"], FrameError::Flag(7)),
        (&[b"\0\xff\xff\xff\xff"], FrameError::TooLarge { found: 0xffff_ffff, max: 100 }),
        (&[b"\0\0\0\0\x65"], FrameError::TooLarge { found: 101, max: 100 }),
        (&[b"\0\0\0\0\x03ab"], FrameError::Truncated),
        (&[b"\0\0\0"], FrameError::Truncated),
        (&[], FrameError::NoMessage),
        (&[b""], FrameError::NoMessage),
        (&[b"\0\0\0\0\x01ab"], FrameError::MultipleMessages),
        (&[b"\0\0\0\0\x01a", b"\0\0\0\0\x01a"], FrameError::MultipleMessages),
        (&[b"\0\0\0\0\x01a", b"\0"], FrameError::MultipleMessages),
    ] {
        assert_eq!(unary(pieces), Err(expected), "{pieces:?}");
    }
}

#[test]
fn timeouts_are_parsed_as_specified() {
    for (text, expected) in [
        ("1H", Some(Duration::from_secs(3_600))),
        ("2M", Some(Duration::from_secs(120))),
        ("3S", Some(Duration::from_secs(3))),
        ("4m", Some(Duration::from_millis(4))),
        ("5u", Some(Duration::from_micros(5))),
        ("6n", Some(Duration::from_nanos(6))),
        ("99999999H", Some(Duration::from_secs(99_999_999 * 3_600))),
        ("0m", Some(Duration::ZERO)),
        ("100000000n", None),
        ("", None),
        ("m", None),
        ("5", None),
        ("-5m", None),
        ("+5m", None),
        ("5 m", None),
        ("5ms", None),
        ("5s", None),
        ("5é", None),
    ] {
        assert_eq!(parse_timeout(text), expected, "{text:?}");
    }
}

#[test]
fn status_messages_are_percent_encoded() {
    let encoded = |text: &'static str| Status::new(Code::Internal, text).encoded_message();
    assert_eq!(encoded("plain text, ~ too"), "plain text, ~ too");
    assert_eq!(encoded("100%\n\u{e9}"), "100%25%0A%C3%A9");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn messages_do_not_depend_on_how_the_stream_is_split(
        messages in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6),
        cuts in prop::collection::vec(1usize..9, 1..80),
    ) {
        let mut stream = Vec::new();
        for message in &messages {
            stream.push(0);
            stream.extend_from_slice(&(message.len() as u32).to_be_bytes());
            stream.extend_from_slice(message);
        }
        let mut decoder = MessageDecoder::new(40);
        let mut found = Vec::new();
        let mut rest = stream.as_slice();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            decoder.push(piece);
            rest = after;
            while let Some(message) = decoder.next_message().expect("well-formed") {
                found.push(message.to_vec());
            }
        }
        prop_assert_eq!(found, messages);
        prop_assert!(decoder.is_empty());
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300)
    ) {
        let mut decoder = UnaryDecoder::new(64);
        if decoder.push(&bytes).is_ok() {
            let _ = decoder.finish();
        }
        let _ = liftrouter_authz::messages::envoy::service::auth::v3::CheckRequest::decode(bytes.as_slice());
        let _ = parse_timeout(&String::from_utf8_lossy(&bytes));
    }
}
