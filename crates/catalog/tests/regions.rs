//! The lists of several regions as one, against a plain reference: a map for each region.

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

/// What a region tells next: changes, or a whole list.
#[derive(Clone, Debug)]
struct Told {
    region: usize,
    reset: bool,
    instances: Vec<Instance>,
}

fn any_told() -> impl Strategy<Value = Told> {
    let reset = prop_oneof![3 => Just(false), 1 => Just(true)];
    (0..REGIONS, reset, prop::collection::vec(any_instance(), 0..4))
        .prop_map(|(region, reset, instances)| Told { region, reset, instances })
}

/// The maps of the regions, and the list of all by the rule: the region that comes first counts.
#[derive(Default)]
struct Reference {
    regions: [List; REGIONS],
}

impl Reference {
    fn tell(&mut self, told: &Told) {
        let list = &mut self.regions[told.region];
        if told.reset {
            list.clear();
        }
        for instance in &told.instances {
            list.remove(&instance.instance_id);
            if !instance.is_terminated() {
                list.insert(instance.instance_id.clone(), instance.clone());
            }
        }
    }

    fn seen(&self) -> List {
        let mut seen = List::new();
        for (id, instance) in self.regions.iter().flatten() {
            seen.entry(id.clone()).or_insert_with(|| instance.clone());
        }
        seen
    }
}

/// A list that is kept by what changed alone.
fn commit(list: &mut List, changes: &[Change]) {
    for change in changes {
        match change {
            Change::Listed(instance) => drop(list.insert(instance.instance_id.clone(), instance.clone())),
            Change::Removed(instance) => drop(list.remove(&instance.instance_id)),
        }
    }
}

fn update(generation: u64, reset: bool, instances: Vec<Instance>) -> Update {
    Update { generation, reset, instances, ..Update::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Both the list as a whole and the one that follows the changes are what the regions tell, and each region
    /// counts its own generations.
    #[test]
    fn what_is_seen_is_what_the_regions_tell(history in prop::collection::vec(any_told(), 0..40)) {
        let (mut lists, mut reference, mut followed) =
            (RegionLists::new(REGIONS), Reference::default(), List::new());
        let mut generations = [None; REGIONS];
        for told in &history {
            // The first message of a region is a whole list.
            let told = Told { reset: told.reset || generations[told.region].is_none(), ..told.clone() };
            let generation = generations[told.region].map_or(told.region as u64 * 100, |held| held + 1);
            generations[told.region] = Some(generation);
            let message = update(generation, told.reset, told.instances.clone());
            let changes = lists.apply(told.region, message).expect("it fits");
            reference.tell(&told);
            commit(&mut followed, &changes);
            let seen: List =
                lists.instances().map(|listed| (listed.instance_id.clone(), listed.clone())).collect();
            prop_assert_eq!(&seen, &reference.seen());
            prop_assert_eq!(&followed, &reference.seen());
        }
        for (region, generation) in generations.into_iter().enumerate() {
            prop_assert_eq!(lists.generation(region), generation);
            let held = lists.instances_of(region).count();
            prop_assert_eq!(held, reference.regions[region].len());
        }
    }
}

#[test]
fn a_whole_list_of_one_region_takes_nothing_from_another() {
    let mut lists = RegionLists::new(2);
    lists.apply(0, update(5, true, vec![in_service(1)])).expect("a first list");
    let changes = lists.apply(1, update(90, true, vec![in_service(2)])).expect("a first list");
    assert_eq!(changes, [Change::Listed(in_service(2))]);
    let changes = lists.apply(1, update(91, true, Vec::new())).expect("a whole list");
    assert_eq!(changes, [Change::Removed(in_service(2))]);
    assert_eq!(lists.instances().collect::<Vec<_>>(), [&in_service(1)]);
}

#[test]
fn what_a_region_cannot_take_in_changes_nothing() {
    let mut lists = RegionLists::new(2);
    lists.apply(0, update(5, true, vec![in_service(1)])).expect("a first list");
    let older = lists.apply(0, update(4, true, Vec::new()));
    assert_eq!(older, Err(ApplyError::Older { held: 5, got: 4 }));
    assert_eq!(lists.apply(1, update(5, false, Vec::new())), Err(ApplyError::NoList { got: 5 }));
    assert_eq!((lists.generation(0), lists.generation(1)), (Some(5), None));
    lists.forget_generation(0);
    assert_eq!(lists.apply(0, update(4, true, Vec::new())), Ok(vec![Change::Removed(in_service(1))]));
}
