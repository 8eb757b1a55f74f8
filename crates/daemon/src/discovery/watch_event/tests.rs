use super::*;
use proptest::prelude::*;

const LONGEST: usize = 4_096;

/// All that a stream says when it comes in pieces of these lengths, again and again.
fn signs(stream: &[u8], lengths: &[usize]) -> Result<Vec<Sign>, String> {
    let (mut splitter, mut signs, mut rest) = (Splitter::new(LONGEST), Vec::new(), stream);
    for length in lengths.iter().cycle() {
        let (piece, behind) = rest.split_at((*length).min(rest.len()));
        splitter.push(piece);
        while let Some(sign) = splitter.next_sign()? {
            signs.push(sign);
        }
        rest = behind;
        if rest.is_empty() {
            break;
        }
    }
    Ok(signs)
}

fn messages(signs: &[Sign]) -> Vec<serde_json::Value> {
    let texts = signs.iter().filter_map(|sign| match sign {
        Sign::Message(text) => Some(text),
        Sign::EmptyLine => None,
    });
    texts.map(|text| serde_json::from_slice(text).expect("JSON")).collect()
}

#[test]
fn half_a_message_and_spaces_are_no_sign_of_life() {
    for text in
        ["   ", "\t \r", "{", "{\n\n\n", "{\"generation\": 4,\n\n \"instances\": [{}],\n", "{\"a\":\"}\n\n"]
    {
        assert_eq!(signs(text.as_bytes(), &[1]), Ok(vec![]), "{text:?}");
    }
    assert_eq!(signs(b"\n \r\n", &[1]), Ok(vec![Sign::EmptyLine, Sign::EmptyLine]));
    // The end of a message's own line is no empty one.
    let alone = Sign::Message(Bytes::from_static(b"{}"));
    assert_eq!(signs(b" {} \n", &[1]), Ok(vec![alone]));
}

#[test]
fn what_is_no_object_or_too_long_ends_the_stream() {
    for text in ["x", "[]", "\"a\"", "{} 7"] {
        assert!(
            signs(text.as_bytes(), &[1]).is_err_and(|why| why.contains("expected an object")),
            "{text:?}"
        );
    }
    let long = format!("{{\"a\":\"{}\"}}", "x".repeat(LONGEST));
    assert!(signs(long.as_bytes(), &[100]).is_err_and(|why| why.contains("over 4096 bytes")));
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

    /// Indented or not, with empty lines between, split anywhere.
    #[test]
    fn every_layout_is_read(
        values in prop::collection::vec((value(), any::<bool>(), 0usize..3), 1..4),
        lengths in prop::collection::vec(1usize..9, 1..6),
    ) {
        let (mut stream, mut wanted, mut empty) = (String::new(), Vec::new(), 0);
        for (value, indented, lines) in values {
            let object = serde_json::json!({ "instances": value });
            let text = if indented { serde_json::to_string_pretty(&object) } else { serde_json::to_string(&object) };
            stream += &format!("{}\n{}", text.expect("JSON"), "\n".repeat(lines));
            empty += lines;
            wanted.push(object);
        }
        let found = signs(stream.as_bytes(), &lengths).expect("readable");
        prop_assert_eq!(messages(&found), wanted);
        prop_assert_eq!(found.iter().filter(|sign| **sign == Sign::EmptyLine).count(), empty);
    }
}
