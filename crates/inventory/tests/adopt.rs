//! Adoption of inventory versions: a complete and valid version is adopted once, any other is refused once.
use liftrouter_inventory::{diff, read, Change, Decision, Effect, Format, Inventory, Policy, Refusal, Watch};
use proptest::prelude::*;
use std::time::Duration;

const QUIET: Duration = Duration::from_millis(100);

fn text(version: Option<u64>, nodes: &[&str], more: &str) -> String {
    let mut text = version.map(|v| format!("# version: {v}\n")).unwrap_or_default();
    text.push_str(more);
    text.push_str("id,address,zone,kind,cell,state,weight,started_ms\n");
    for node in nodes {
        let n: u16 = node[2..].parse().expect("a number");
        text.push_str(&format!("{node},10.0.0.1:{},a,std,1,in_service,1,\n", n + 1));
    }
    text
}

fn ids(count: usize) -> Vec<&'static str> {
    ["s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7", "s-8"][..count].to_vec()
}

fn observe(watch: &mut Watch, ms: u64, text: &str) -> Decision {
    watch.observe(Duration::from_millis(ms), text.as_bytes(), |bytes| read("n.csv", Format::Csv, bytes))
}

fn adopted(decision: &Decision) -> Option<usize> {
    match decision {
        Decision::Adopt(inventory) => Some(inventory.nodes.len()),
        _ => None,
    }
}

fn refused(decision: Decision) -> Refusal {
    match decision {
        Decision::Refuse(why) => why,
        other => panic!("{other:?}"),
    }
}

/// A watch that has adopted eight nodes.
fn watch(version: Option<u64>, more: &str) -> Watch {
    let mut watch = Watch::new(Policy::default());
    observe(&mut watch, 0, &text(version, &ids(8), more));
    observe(&mut watch, 100, &text(version, &ids(8), more));
    assert_eq!(watch.adopted().map(|i| i.nodes.len()), Some(8));
    watch
}

#[test]
fn a_file_that_is_not_closed_is_adopted_after_the_quiet_period() {
    let mut watch = Watch::new(Policy::default());
    let (part, whole) = (text(None, &ids(3), ""), text(None, &ids(8), ""));
    assert_eq!(observe(&mut watch, 0, &part), Decision::Wait(QUIET));
    assert_eq!(observe(&mut watch, 60, &part), Decision::Wait(Duration::from_millis(40)));
    // The file has grown, so the quiet period starts over.
    assert_eq!(observe(&mut watch, 90, &whole), Decision::Wait(QUIET));
    assert_eq!(adopted(&observe(&mut watch, 190, &whole)), Some(8));
    assert_eq!(observe(&mut watch, 500, &whole), Decision::Keep);
}

#[test]
fn a_closed_file_is_adopted_at_once_and_half_of_one_never() {
    let mut watch = Watch::new(Policy::default());
    let eight = text(Some(1), &ids(8), "# count: 8\n");
    assert_eq!(adopted(&observe(&mut watch, 0, &eight)), Some(8));
    // A half-written file with fewer rows than its count, whose writer stalls for longer than the quiet period.
    let next = text(Some(2), &ids(8), "# count: 8\n").replace("s-8,10.0.0.1:9", "s-8,10.0.0.1:99");
    let half = &next[..next.find("s-5").expect("the row s-5")];
    assert_eq!(observe(&mut watch, 1_000, half), Decision::Wait(QUIET));
    assert!(matches!(refused(observe(&mut watch, 5_000, half)), Refusal::Faults(_)));
    assert_eq!(observe(&mut watch, 6_000, half), Decision::Keep, "refused only once");
    assert_eq!(adopted(&observe(&mut watch, 6_001, &next)), Some(8));
}

#[test]
fn a_version_that_is_not_closed_is_refused_after_a_closed_one() {
    let mut watch = watch(Some(1), "");
    let end = text(Some(2), &ids(8), "") + "# end\n";
    assert_eq!(adopted(&observe(&mut watch, 1_000, &end)), Some(8));
    let open = text(Some(3), &ids(7), "");
    observe(&mut watch, 2_000, &open);
    assert_eq!(refused(observe(&mut watch, 2_100, &open)), Refusal::NotClosed);
}

#[test]
fn a_lower_reused_or_missing_version_number_is_refused() {
    for (version, nodes, expected) in [
        (Some(6), 8, Some(Refusal::VersionTooLow { found: 6, adopted: 7 })),
        (Some(7), 7, Some(Refusal::VersionReused(7))),
        (None, 8, Some(Refusal::VersionMissing(7))),
        (Some(8), 7, None),
    ] {
        let mut watch = watch(Some(7), "");
        let new = text(version, &ids(nodes), "");
        observe(&mut watch, 1_000, &new);
        let decision = observe(&mut watch, 1_100, &new);
        match expected {
            Some(why) => assert_eq!(refused(decision), why),
            None => assert_eq!(adopted(&decision), Some(nodes)),
        }
    }
}

#[test]
fn removing_most_nodes_is_refused_unless_the_file_allows_it() {
    let allowed = "# removal: allowed\n";
    for (left, more, expected) in [
        (4, "", None),
        (3, "", Some(Refusal::TooManyRemoved { removed: 5, serving: 8 })),
        (3, allowed, None),
        (0, allowed, None),
    ] {
        let mut watch = watch(None, "");
        let new = text(None, &ids(left), more);
        observe(&mut watch, 1_000, &new);
        let decision = observe(&mut watch, 1_100, &new);
        match expected {
            Some(why) => assert_eq!(refused(decision), why),
            None => assert_eq!(adopted(&decision), Some(left)),
        }
    }
    // Nodes in state terminated count as removed, draining ones do not.
    for (state, refused) in [("terminated", true), ("terminating", false)] {
        let mut watch = watch(None, "");
        let new = text(None, &ids(8), "").replace("in_service", state);
        observe(&mut watch, 1_000, &new);
        assert_eq!(matches!(observe(&mut watch, 1_100, &new), Decision::Refuse(_)), refused, "{state}");
    }
}

#[test]
fn a_missing_file_changes_nothing_and_is_refused_once() {
    let mut watch = watch(None, "");
    assert_eq!(refused(watch.read_failed(Refusal::FileMissing)), Refusal::FileMissing);
    assert_eq!(watch.read_failed(Refusal::FileMissing), Decision::Keep);
    assert_eq!(watch.adopted().map(|i| i.nodes.len()), Some(8));
    // The file reappears with the adopted content.
    observe(&mut watch, 2_000, &text(None, &ids(8), ""));
    assert_eq!(observe(&mut watch, 2_200, &text(None, &ids(8), "")), Decision::Keep);
}

#[test]
fn diff_lists_the_effects_on_each_node() {
    let parse = |rows: &str| -> Inventory {
        let text = format!("id,address,zone,kind,cell,state,weight,started_ms\n{rows}");
        read("n.csv", Format::Csv, text.as_bytes()).expect("good")
    };
    let old = parse(
        "s-1,10.0.0.1:1,a,std,1,in_service,1,\ns-2,10.0.0.2:1,a,std,1,in_service,1,\n\
         s-3,10.0.0.3:1,a,std,1,in_service,1,\ns-4,10.0.0.4:1,a,std,1,in_service,1,\n\
         s-5,10.0.0.5:1,a,std,1,terminating,1,\ns-6,10.0.0.6:1,a,std,1,in_service,1,\n",
    );
    let new = parse(
        "s-1,10.0.0.9:1,a,std,1,in_service,1,77\ns-2,10.0.0.2:1,b,std,1,in_service,2,\n\
         s-3,10.0.0.3:1,a,std,1,in_service,0,\ns-7,10.0.0.4:1,a,std,1,in_service,1,\n\
         s-5,10.0.0.5:1,a,std,1,in_service,1,\ns-6,10.0.0.6:1,a,std,1,terminated,1,\n",
    );
    let change = |id: &str, effects: Vec<Effect>| Change { id: id.into(), effects };
    assert_eq!(
        diff(&old, &new),
        [
            change("s-1", vec![Effect::Moved, Effect::Restarted]),
            change("s-2", vec![Effect::WeightChanged, Effect::AttributesChanged]),
            change("s-3", vec![Effect::Drained, Effect::WeightChanged]),
            change("s-7", vec![Effect::Added, Effect::AddressTakenOver { from: "s-4".into() }]),
            change("s-5", vec![Effect::Resumed]),
            change("s-4", vec![Effect::Removed]),
            change("s-6", vec![Effect::Removed]),
        ]
    );
    assert!(diff(&new, &new).is_empty());
}

proptest! {
    /// Whatever part of a file is observed and whenever, only a complete version is adopted: here one of the complete
    /// files, each of which states its number of nodes.
    #[test]
    fn only_complete_versions_are_adopted(
        steps in proptest::collection::vec((1usize..9, 0usize..700, 0u64..400), 1..60),
    ) {
        let mut watch = Watch::new(Policy { quiet_period: QUIET, max_removed_ratio: 1.0 });
        let mut at = 0;
        for (version, (nodes, cut, pause)) in steps.into_iter().enumerate() {
            let whole = text(Some(version as u64 + 1), &ids(nodes.min(8)), &format!("# count: {}\n", nodes.min(8)));
            let seen = &whole[..cut.min(whole.len())];
            at += pause;
            if let Decision::Adopt(inventory) = observe(&mut watch, at, seen) {
                prop_assert_eq!(inventory.version, Some(version as u64 + 1));
                prop_assert_eq!(inventory.nodes.len(), nodes.min(8));
                // The newline after the last row may be missing, but no part of a value.
                prop_assert!(seen.len() + 1 >= whole.len(), "{} of {}", seen.len(), whole.len());
            }
        }
    }
}
