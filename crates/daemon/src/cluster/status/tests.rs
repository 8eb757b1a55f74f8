//! Operators and their programs read the status: its JSON and its table must not change by accident.

use super::*;

const JSON: &str = concat!(
    r#"{"members":[{"name":"n0","address":"127.0.0.1:7100","instance":"00000000000004d2","seen":"alive","for_s":1.5,"#,
    r#""slots":12}],"held":[[3,17],[300,18]],"slowness":2}"#
);

fn report() -> StatusReport {
    let member = MemberEntry {
        name: "n0".into(),
        address: "127.0.0.1:7100".into(),
        instance: "00000000000004d2".into(),
        state: "alive".into(),
        since_change_s: 1.5,
        assigned_shards: 12,
    };
    StatusReport { members: vec![member], leases: vec![(3, 17), (300, 18)], health_score: 2 }
}

#[test]
fn the_json_status_keeps_its_form() {
    assert_eq!(serde_json::to_string(&report()).expect("encoded"), JSON);
    assert_eq!(serde_json::from_str::<StatusReport>(JSON).expect("decoded"), report());
}

#[test]
fn the_status_table_keeps_its_form() {
    let expected = "\
member               address                instance                         for  slots
n0                   127.0.0.1:7100         00000000000004d2 alive         1.5 s     12
holds 2 slots: 3 300
timers ran late recently: suspicion timeouts are 3 times as long
";
    assert_eq!(report().to_table(), expected);
}
