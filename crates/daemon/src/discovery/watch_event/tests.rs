//! Tests of the framing of a watch, with objects in any layout and the stream split at any point.

use super::*;
use liftrouter_catalog::Update;
use proptest::prelude::*;

const MAX_LENGTH: usize = 4_096;

/// Decodes a stream that arrives in chunks, whose lengths repeat cyclically.
fn decode(stream: &[u8], lengths: &[usize]) -> Result<Vec<WatchEvent>, FramingError> {
    let (mut decoder, mut events, mut rest) = (WatchDecoder::new(MAX_LENGTH), Vec::new(), stream);
    for length in lengths.iter().cycle() {
        let (chunk, remaining) = rest.split_at((*length).min(rest.len()));
        decoder.push(chunk);
        while let Some(event) = decoder.next_event()? {
            events.push(event);
        }
        rest = remaining;
        if rest.is_empty() {
            break;
        }
    }
    Ok(events)
}

fn messages(events: &[WatchEvent]) -> Vec<serde_json::Value> {
    let texts = events.iter().filter_map(|event| match event {
        WatchEvent::Message(text) => Some(text),
        WatchEvent::EmptyLine => None,
    });
    texts.map(|text| serde_json::from_slice(text).expect("JSON")).collect()
}

#[test]
fn partial_messages_and_spaces_are_not_heartbeats() {
    for text in
        ["   ", "\t \r", "{", "{\n\n\n", "{\"generation\": 4,\n\n \"instances\": [{}],\n", "{\"a\":\"}\n\n"]
    {
        assert_eq!(decode(text.as_bytes(), &[1]), Ok(vec![]), "{text:?}");
    }
    assert_eq!(decode(b"\n \r\n", &[1]), Ok(vec![WatchEvent::EmptyLine, WatchEvent::EmptyLine]));
    // The line break right after a message does not end an empty line.
    let alone = WatchEvent::Message(Bytes::from_static(b"{}"));
    assert_eq!(decode(b" {} \n", &[1]), Ok(vec![alone]));
}

#[test]
fn a_non_object_or_an_oversized_message_is_a_framing_error() {
    for text in ["x", "[]", "\"a\"", "{} 7"] {
        assert!(
            decode(text.as_bytes(), &[1])
                .is_err_and(|error| error.to_string().contains("expected an object")),
            "{text:?}"
        );
    }
    let long = format!("{{\"a\":\"{}\"}}", "x".repeat(MAX_LENGTH));
    assert!(decode(long.as_bytes(), &[100]).is_err_and(|error| error.to_string().contains("over 4096 bytes")));
}

fn value() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<i32>().prop_map(serde_json::Value::from),
        r#"[a-z{}\[\]"\\\n :,]{0,12}"#.prop_map(serde_json::Value::from),
    ];
    leaf.prop_recursive(3, 12, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(serde_json::Value::from),
            prop::collection::btree_map(r#"[a-z"}]{1,4}"#, inner, 0..4)
                .prop_map(|map| serde_json::Value::Object(map.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed:
        proptest::test_runner::RngSeed::Fixed(37), ..ProptestConfig::default() })]

    /// Objects are indented or not, have empty lines between them, and are split at any point.
    #[test]
    fn every_layout_is_decoded(
        values in prop::collection::vec((value(), any::<bool>(), 0usize..3), 1..4),
        lengths in prop::collection::vec(1usize..9, 1..6),
    ) {
        let (mut stream, mut expected, mut empty) = (String::new(), Vec::new(), 0);
        for (value, indented, lines) in values {
            let object = serde_json::json!({ "instances": value });
            let text = if indented { serde_json::to_string_pretty(&object) } else { serde_json::to_string(&object) };
            stream.push_str(&text.expect("JSON"));
            stream.push('\n');
            stream.push_str(&"\n".repeat(lines));
            empty += lines;
            expected.push(object);
        }
        let found = decode(stream.as_bytes(), &lengths).expect("readable");
        prop_assert_eq!(messages(&found), expected);
        prop_assert_eq!(found.iter().filter(|event| **event == WatchEvent::EmptyLine).count(), empty);
    }
}

/// The stream that earlier versions of the relay send.
const RELAY_STREAM: &str = include_str!("../../../tests/fixtures/relay-all-services.stream");

#[test]
fn relay_streams_of_earlier_versions_are_decoded() {
    let events = decode(RELAY_STREAM.as_bytes(), &[7]).expect("readable");
    let described: Vec<String> = events
        .iter()
        .map(|event| match event {
            WatchEvent::EmptyLine => "empty line".to_owned(),
            WatchEvent::Message(text) => {
                let update: Update = serde_json::from_slice(text).expect("an update");
                assert!(update.unreadable.is_empty(), "{update:?}");
                let Update { revision, reset, instances, digest, confirmed_ago_ms, .. } = update;
                let has_digest = digest.is_some();
                format!("{revision} {reset} {} {has_digest} {confirmed_ago_ms}", instances.len())
            }
        })
        .collect();
    let empty = "empty line";
    assert_eq!(
        described,
        ["41 true 3 true 1200", "42 false 2 false 1200", empty, empty, empty, "42 false 0 true 0"]
    );
}
