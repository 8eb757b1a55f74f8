//! The operator's file, good and faulty.

use super::*;
use liftrouter_inventory::Form;
use std::time::Duration;

#[test]
fn nothing_is_chosen_by_an_empty_file() {
    assert!(parse("o.toml", "# nothing\n").expect("good").inventory.is_none());
}

#[test]
fn the_sample_can_be_read() {
    let sample = include_str!("../../../../deploy/sample-operator.toml");
    let source = parse("o.toml", sample).expect("good").inventory.expect("a file");
    assert_eq!((source.form, source.poll), (Form::Csv, Duration::from_millis(50)));
    let grpc = parse("o.toml", sample).expect("good").grpc.expect("a front");
    assert_eq!((grpc.limits.listen.port(), grpc.limits.streams), (9001, 100));
}

#[test]
fn a_class_that_does_not_exist_is_named_with_its_place() {
    let text = "[[authoriser]]\nname = 'a'\naddress = '[::1]:1'\nclasses = { qoute = 'pass' }\n";
    let settings: Settings =
        serde_json::from_str(r#"{"classes": [{"name": "quote"}, {"name": "bind"}]}"#).expect("settings");
    let found = parse("o.toml", text).expect("good").check(&settings).err().unwrap_or_default();
    assert_eq!(found, "o.toml:4:13: classes has \"qoute\", expected one of quote, bind");
}

#[test]
fn a_rule_that_does_not_fit_the_settings_names_its_place() {
    let text = "[grpc]\nlisten = '127.0.0.1:0'\n[grpc.mapping]\nclass = 'value:qoute'\n";
    let grpc = parse("o.toml", text).expect("good").grpc.expect("a front");
    let settings: Settings =
        serde_json::from_str(r#"{"classes": [{"name": "quote"}], "tariffs": [{"name": "roomy"}]}"#)
            .expect("settings");
    let found = grpc.mapping(&settings).err().unwrap_or_default();
    assert_eq!(found, "o.toml:4:9: class is \"value:qoute\", expected one of quote");
}

#[test]
fn faults_name_their_place_what_was_found_and_what_was_expected() {
    for (text, expected) in [
        ("[relays]\naddresses = []\n", "o.toml:1:1: relays names no address, expected one at least"),
        ("[relays]\naddresses = ['a']\n", "o.toml:2:14: addresses has \"a\", expected an address and a port"),
        (
            "[relays]\naddresses = ['127.0.0.1:1']\n[[relays.region]]\nname = 'w'\naddresses = ['127.0.0.1:2']\n",
            "o.toml:1:1: relays has addresses and regions, expected one of them",
        ),
        (
            "[[relays.region]]\nname = 'w'\naddresses = []\n",
            "o.toml:1:1: region names no address, expected one at least",
        ),
        (
            "[[relays.region]]\nname = ''\naddresses = ['127.0.0.1:1']\n",
            "o.toml:2:8: name is \"\", expected 1 to 64 letters, digits, or one of - . _ ~",
        ),
        (
            "[[relays.region]]\nname = 'w'\naddresses = ['127.0.0.1:1']\n\
             [[relays.region]]\nname = 'w'\naddresses = ['127.0.0.1:2']\n",
            "o.toml:5:8: name is \"w\" once more, expected another for each region",
        ),
        (
            "[relays]\naddresses = ['127.0.0.1:1']\nservices = ['a b']\n",
            "o.toml:3:13: services has \"a b\", expected 1 to 64 letters, digits, or one of - . _ ~",
        ),
        (
            "[inventory]\ncsv = 'a'\n[relays]\naddresses = ['127.0.0.1:1']\n",
            "o.toml:3:1: relays beside inventory, expected one: they could disagree",
        ),
        ("[inventory]\n", "o.toml:1:1: inventory names no file, expected csv or yaml"),
        ("[inventory]\ncsv = 'a'\nyaml = 'b'\n", "inventory names csv and yaml, expected one"),
        ("[inventory]\ncsv = 'a'\nquiet_ms = 0\n", "o.toml:3:12: quiet_ms is 0, expected 1 to 10000"),
        (
            "[inventory]\ncsv = 'a'\nmost_removed = 2.0\n",
            "o.toml:3:16: most_removed is 2, expected a share",
        ),
        ("[grpc]\n", "missing field `listen`"),
        ("[grpc]\nlisten = 'x'\n", "o.toml:2:10: listen is \"x\", expected an address and a port"),
        (
            "[grpc]\nlisten = '[::1]:1'\nstreams = 0\n",
            "o.toml:3:11: streams is 0, expected 1 to 10000 streams",
        ),
        (
            "[grpc]\nlisten = '[::1]:1'\nhold_ms = 0\n",
            "o.toml:3:11: hold_ms is 0, expected 1 to 600000 milliseconds",
        ),
        (
            "[grpc]\nlisten = '[::1]:1'\n[grpc.mapping]\nklass = 'id'\n",
            "o.toml:4:1: mapping has \"klass\", expected class,",
        ),
        (
            "[[authoriser]]\nname = 'a'\naddress = 'x'\nclasses = {}\n",
            "o.toml:3:11: address is \"x\", expected an address and a port",
        ),
        (
            "[[authoriser]]\nname = 'a'\naddress = '[::1]:1'\nclasses = { quote = 'open' }\n",
            "o.toml:4:21: quote is \"open\", expected pass or refuse",
        ),
        (
            "[[authoriser]]\nname = 'a'\naddress = '[::1]:1'\nclasses = { quote = 'pass' }\n\
             [[authoriser]]\nname = 'b'\naddress = '[::1]:1'\nclasses = { quote = 'pass' }\n",
            "o.toml:8:13: classes has \"quote\", which names an authoriser at o.toml:4:13, expected one",
        ),
        (
            "[keeper]\nothers = ['127.0.0.1:1', 'x']\n",
            "o.toml:2:26: others has \"x\", expected an address and a port",
        ),
        (
            "[keeper]\nothers = ['127.0.0.1:1', '127.0.0.1:1']\n",
            "o.toml:2:26: others has \"127.0.0.1:1\" twice",
        ),
        (
            "[members]\nname = 'n0'\nlisten = 'x'\njoin = []\n",
            "o.toml:3:10: listen has \"x\", expected an address and a port",
        ),
        (
            "[members]\nname = 'n0'\nlisten = '127.0.0.1:1'\njoin = ['10.0.0.1:1']\nvoters = ['127.0.0.1:1', '127.0.0.1:2']\n",
            "o.toml:1:1: join has 10.0.0.1:1, expected addresses of this machine: members talk on loopback only; \
             voters are 2, expected 1, 3, 5, 7 or 9",
        ),
        (
            "[members]\nname = 'n0'\nlisten = '127.0.0.1:1'\njoin = []\nlate_ms = 900\n",
            "late_ms is 900, expected 1 to half of period_ms, 500",
        ),
        ("[keeper]\ncalls_per_s = 0\n", "o.toml:2:15: calls_per_s is 0, expected 1 to"),
        ("[inventry]\n", "o.toml:1:2: unknown field `inventry`"),
        ("[inventory]\ncsv = \n", "o.toml:2:7"),
    ] {
        let found = parse("o.toml", text).err().unwrap_or_default();
        assert!(found.contains(expected), "{text:?}: {found:?} holds no {expected:?}");
    }
}
