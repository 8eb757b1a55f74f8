//! Property tests of the merged list of several regions against a reference model with one map per region.

mod arbitrary;

use arbitrary::{any_lifecycle, config, instance};
use liftrouter_catalog::{ApplyError, Change, Instance, Lifecycle, RegionLists, Update};
use proptest::prelude::*;
use std::collections::BTreeMap;

const REGIONS: usize = 3;
const SERVERS: u8 = 6;

type List = BTreeMap<String, Instance>;

fn in_service(id: u8) -> Instance {
    instance(id, "", 1, Lifecycle::InService)
}

fn any_instance() -> impl Strategy<Value = Instance> {
    (0..SERVERS, 0..3u8, any_lifecycle()).prop_map(|(id, weight, state)| instance(id, "", weight, state))
}

/// An update of one region: a delta or a whole list.
#[derive(Clone, Debug)]
struct RegionUpdate {
    region: usize,
    reset: bool,
    instances: Vec<Instance>,
}

fn any_region_update() -> impl Strategy<Value = RegionUpdate> {
    let reset = prop_oneof![3 => Just(false), 1 => Just(true)];
    (0..REGIONS, reset, prop::collection::vec(any_instance(), 0..4))
        .prop_map(|(region, reset, instances)| RegionUpdate { region, reset, instances })
}

/// The reference model. If several regions list the same server, the entry of the first of these regions is used.
#[derive(Default)]
struct Reference {
    regions: [List; REGIONS],
}

impl Reference {
    fn apply(&mut self, region_update: &RegionUpdate) {
        let list = &mut self.regions[region_update.region];
        if region_update.reset {
            list.clear();
        }
        for instance in &region_update.instances {
            list.remove(&instance.instance_id);
            if !instance.is_terminated() {
                list.insert(instance.instance_id.clone(), instance.clone());
            }
        }
    }

    fn merged(&self) -> List {
        let mut merged = List::new();
        for (id, instance) in self.regions.iter().flatten() {
            merged.entry(id.clone()).or_insert_with(|| instance.clone());
        }
        merged
    }
}

/// Applies returned changes to a list, as a consumer that sees only the changes does.
fn apply_changes(list: &mut List, changes: &[Change]) {
    for change in changes {
        match change {
            Change::Listed(instance) => drop(list.insert(instance.instance_id.clone(), instance.clone())),
            Change::Removed(instance) => drop(list.remove(&instance.instance_id)),
        }
    }
}

fn update(revision: u64, reset: bool, instances: Vec<Instance>) -> Update {
    Update { revision, reset, instances, ..Update::default() }
}

proptest! {
    #![proptest_config(config())]

    /// The merged list and a list built from the returned changes both match the reference model, and each region has
    /// revisions of its own.
    #[test]
    fn the_merged_list_matches_the_regions(history in prop::collection::vec(any_region_update(), 0..40)) {
        let (mut lists, mut reference, mut followed) =
            (RegionLists::new(REGIONS), Reference::default(), List::new());
        let mut revisions = [None; REGIONS];
        for region_update in &history {
            // The first update of a region must be a whole list.
            let region_update = RegionUpdate { reset: region_update.reset || revisions[region_update.region].is_none(), ..region_update.clone() };
            let revision = revisions[region_update.region].map_or(region_update.region as u64 * 100, |held| held + 1);
            revisions[region_update.region] = Some(revision);
            let message = update(revision, region_update.reset, region_update.instances.clone());
            let changes = lists.apply(region_update.region, &message).expect("the update fits the list");
            reference.apply(&region_update);
            apply_changes(&mut followed, &changes);
            let merged: List =
                lists.instances().map(|listed| (listed.instance_id.clone(), listed.clone())).collect();
            prop_assert_eq!(&merged, &reference.merged());
            prop_assert_eq!(&followed, &reference.merged());
        }
        for (region, revision) in revisions.into_iter().enumerate() {
            prop_assert_eq!(lists.revision(region), revision);
            let held = lists.instances_of(region).count();
            prop_assert_eq!(held, reference.regions[region].len());
        }
    }
}

#[test]
fn a_complete_list_of_one_region_removes_nothing_of_another() {
    let mut lists = RegionLists::new(2);
    lists.apply(0, &update(5, true, vec![in_service(1)])).expect("a first list");
    let changes = lists.apply(1, &update(90, true, vec![in_service(2)])).expect("a first list");
    assert_eq!(changes, [Change::Listed(in_service(2))]);
    let changes = lists.apply(1, &update(91, true, Vec::new())).expect("a whole list");
    assert_eq!(changes, [Change::Removed(in_service(2))]);
    assert_eq!(lists.instances().collect::<Vec<_>>(), [&in_service(1)]);
}

#[test]
fn a_rejected_update_changes_nothing() {
    let mut lists = RegionLists::new(2);
    lists.apply(0, &update(5, true, vec![in_service(1)])).expect("a first list");
    let older = lists.apply(0, &update(4, true, Vec::new()));
    assert_eq!(older, Err(ApplyError::Older { held: 5, got: 4 }));
    assert_eq!(lists.apply(1, &update(5, false, Vec::new())), Err(ApplyError::NoList { got: 5 }));
    assert_eq!((lists.revision(0), lists.revision(1)), (Some(5), None));
    lists.forget_revision(0);
    assert_eq!(lists.apply(0, &update(4, true, Vec::new())), Ok(vec![Change::Removed(in_service(1))]));
}
