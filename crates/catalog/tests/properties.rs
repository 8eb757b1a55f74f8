//! Property tests of change logs and replicas against a reference model that keeps the list of every revision.

mod arbitrary;

use arbitrary::{any_lifecycle, config};
use liftrouter_catalog::{
    ApplyError, Change, ChangeLog, Digest, Instance, Lifecycle, Replica, Subscribers, Subscription, Update,
};
use proptest::prelude::*;
use proptest::sample::subsequence;
use std::collections::{BTreeMap, BTreeSet};

const SERVICES: [&str; 4] = ["a", "b", "c", "d"];
const SERVERS: u8 = 8;

type List = BTreeMap<String, Instance>;

fn instance(id: u8, service: usize, weight: u8, lifecycle: Lifecycle) -> Instance {
    arbitrary::instance(id, SERVICES[service], weight, lifecycle)
}

/// A change of one server at the root.
fn any_change() -> impl Strategy<Value = Instance> {
    (0..SERVERS, 0..SERVICES.len(), 0..3u8, any_lifecycle())
        .prop_map(|(id, service, weight, lifecycle)| instance(id, service, weight, lifecycle))
}

fn any_subscription() -> impl Strategy<Value = Subscription> {
    prop_oneof![
        1 => Just(Subscription::All),
        4 => subsequence(SERVICES.to_vec(), 0..=SERVICES.len()).prop_map(Subscription::services),
    ]
}

/// The next update of a relay: how many revisions it advances, and whether it is a whole list.
#[derive(Clone, Copy, Debug)]
struct Step {
    revisions: usize,
    reset: bool,
}

fn any_step() -> impl Strategy<Value = Step> {
    let reset = prop_oneof![4 => Just(false), 1 => Just(true)];
    (0..4usize, reset).prop_map(|(revisions, reset)| Step { revisions, reset })
}

/// The reference model: the list at every revision, starting with an empty one, and the changes between them.
struct Reference {
    lists: Vec<List>,
    changes: Vec<Instance>,
}

impl Reference {
    fn new(changes: Vec<Instance>) -> Self {
        let mut lists = vec![List::new()];
        for change in &changes {
            let mut list = lists.last().expect("a first list").clone();
            list.remove(&change.instance_id);
            if !change.is_terminated() {
                list.insert(change.instance_id.clone(), change.clone());
            }
            lists.push(list);
        }
        Reference { lists, changes }
    }

    fn last(&self) -> usize {
        self.changes.len()
    }

    fn list(&self, revision: usize, subscription: &Subscription) -> List {
        let entries = self.lists[revision].iter();
        let subscribed = entries.filter(|(_, instance)| subscription.includes(&instance.service));
        subscribed.map(|(id, instance)| (id.clone(), instance.clone())).collect()
    }

    fn whole(&self, revision: usize, subscription: &Subscription) -> Update {
        let instances = self.list(revision, subscription).into_values().collect();
        Update { revision: revision as u64, reset: true, instances, ..Update::default() }
    }

    /// The changes after one revision up to another.
    fn delta(&self, after: usize, revision: usize) -> Update {
        let instances = self.changes[after..revision].to_vec();
        Update { revision: revision as u64, instances, ..Update::default() }
    }

    fn next_update(&self, at: usize, step: Step) -> Update {
        let to = (at + step.revisions).min(self.last());
        if step.reset {
            self.whole(to, &Subscription::All)
        } else {
            self.delta(at, to)
        }
    }

    /// A replica with the subscribed servers of a revision.
    fn replica(&self, revision: usize, subscription: &Subscription) -> Replica {
        let mut replica = Replica::new();
        replica.apply(&self.whole(revision, subscription)).expect("a complete list");
        replica
    }
}

fn held(replica: &Replica) -> List {
    replica.instances().map(|instance| (instance.instance_id.clone(), instance.clone())).collect()
}

fn held_by_log(log: &ChangeLog, subscription: &Subscription) -> List {
    log.instances(subscription)
        .map(|instance| (instance.instance_id.clone(), Instance::clone(instance)))
        .collect()
}

proptest! {
    #![proptest_config(config())]

    /// An update from any earlier revision gives a subscriber the list of its relay, even if the relay itself skipped
    /// revisions or received whole lists.
    #[test]
    fn a_subscriber_holds_the_list_after_any_revision(
        changes in prop::collection::vec(any_change(), 1..30),
        steps in prop::collection::vec(any_step(), 1..12),
        limit in 0..24usize,
        subscription in any_subscription(),
    ) {
        let reference = Reference::new(changes);
        let mut log = ChangeLog::with_history(limit);
        let mut at = 0;
        log.apply(reference.whole(at, &Subscription::All)).unwrap();
        for step in steps {
            let mut update = reference.next_update(at, step);
            at = update.revision as usize;
            update.digest = Some(Digest::of(reference.lists[at].values()));
            log.apply(update).unwrap();
            prop_assert!(log.history_len() <= limit);
            let expected = reference.list(at, &subscription);
            prop_assert_eq!(&held_by_log(&log, &subscription), &expected);
            prop_assert_eq!(log.digest(&subscription), Digest::of(expected.values()));
            for after in 0..=at {
                let mut subscriber = reference.replica(after, &subscription);
                let mut update = log.since(&subscription, Some(after as u64)).unwrap();
                update.digest = Some(log.digest(&subscription));
                subscriber.apply(&update).unwrap();
                prop_assert_eq!(&held(&subscriber), &expected, "after {}", after);
                prop_assert_eq!(subscriber.revision(), Some(at as u64));
            }
            // A subscriber with a later revision, or with none, must get the whole list.
            for after in [Some(at as u64 + 1), None] {
                let update = log.since(&subscription, after).unwrap();
                prop_assert!(update.reset);
                let named: List = update.instances.into_iter().map(|i| (i.instance_id.clone(), i)).collect();
                prop_assert_eq!(&named, &expected);
            }
        }
    }

    /// A log with all revisions in its history answers with deltas, which name only servers that changed.
    #[test]
    fn a_revision_in_the_history_is_answered_by_a_delta(
        changes in prop::collection::vec(any_change(), 1..30), subscription in any_subscription(),
    ) {
        let reference = Reference::new(changes);
        let mut log = ChangeLog::with_history(60);
        log.apply(reference.whole(0, &Subscription::All)).unwrap();
        for revision in 1..=reference.last() {
            log.apply(reference.delta(revision - 1, revision)).unwrap();
        }
        for after in 0..=reference.last() {
            let update = log.since(&subscription, Some(after as u64)).unwrap();
            prop_assert!(!update.reset);
            let changed: BTreeSet<&str> =
                reference.changes[after..].iter().map(|change| change.instance_id.as_str()).collect();
            let mut named = BTreeSet::new();
            for instance in &update.instances {
                prop_assert!(changed.contains(instance.instance_id.as_str()));
                prop_assert!(named.insert(instance.instance_id.as_str()), "named twice");
            }
        }
    }

    /// A whole list from upstream reaches subscribers as a delta that names only the servers that differ.
    #[test]
    fn a_reset_from_upstream_becomes_a_delta(
        changes in prop::collection::vec(any_change(), 2..30),
        from in 0..15usize,
        subscription in any_subscription(),
    ) {
        let reference = Reference::new(changes);
        let (from, to) = (from.min(reference.last() - 1), reference.last());
        let mut log = ChangeLog::new();
        log.apply(reference.whole(from, &Subscription::All)).unwrap();
        let applied = log.apply(reference.whole(to, &Subscription::All)).unwrap();
        let update = log.since(&subscription, Some(from as u64)).unwrap();
        prop_assert!(!update.reset);
        prop_assert_eq!(update.revision, to as u64);
        let (before, after) = (reference.list(from, &subscription), reference.list(to, &subscription));
        let ids: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
        let differing: BTreeSet<&str> =
            ids.into_iter().filter(|id| before.get(*id) != after.get(*id)).map(String::as_str).collect();
        let named: BTreeSet<&str> = update.instances.iter().map(|i| i.instance_id.as_str()).collect();
        prop_assert_eq!(&named, &differing);
        let mut services = BTreeSet::new();
        for id in &differing {
            services.extend(before.get(*id).map(|i| i.service.clone()));
            services.extend(after.get(*id).map(|i| i.service.clone()));
        }
        services.retain(|service| subscription.includes(service));
        prop_assert!(services.is_subset(&applied.services));
    }

    /// Digests are equal if and only if the lists are, regardless of order.
    #[test]
    fn digests_are_equal_only_for_equal_lists(
        first in prop::collection::vec(any_change(), 0..10),
        second in prop::collection::vec(any_change(), 0..10),
    ) {
        let (first, second) = (Reference::new(first), Reference::new(second));
        let (first, second) = (first.lists.last().unwrap(), second.lists.last().unwrap());
        prop_assert_eq!(Digest::of(first.values()) == Digest::of(second.values()), first == second);
        prop_assert_eq!(Digest::of(first.values()), Digest::of(first.values().rev()));
    }

    /// If a lost delta made a difference, the next digest detects it, the update is rejected without effect, and a
    /// whole list repairs the replica.
    #[test]
    fn a_lost_delta_is_detected_and_repaired(
        changes in prop::collection::vec(any_change(), 3..20),
        lost in 0..20usize,
        subscription in any_subscription(),
    ) {
        let reference = Reference::new(changes);
        let lost = 1 + lost % (reference.last() - 1);
        let mut log = ChangeLog::new();
        log.apply(reference.whole(0, &Subscription::All)).unwrap();
        let mut subscriber = reference.replica(0, &subscription);
        for revision in 1..=reference.last() {
            log.apply(reference.delta(revision - 1, revision)).unwrap();
            if revision == lost {
                continue;
            }
            let mut delta = log.since(&subscription, Some(revision as u64 - 1)).unwrap();
            delta.digest = Some(log.digest(&subscription));
            let mut expected = held(&subscriber);
            for instance in &delta.instances {
                expected.remove(&instance.instance_id);
                if !instance.is_terminated() {
                    expected.insert(instance.instance_id.clone(), instance.clone());
                }
            }
            let before = held(&subscriber);
            let matches_source = expected == reference.list(revision, &subscription);
            match subscriber.apply(&delta) {
                Ok(_) => prop_assert!(matches_source, "the loss was not detected"),
                Err(ApplyError::DigestMismatch { .. }) => {
                    prop_assert!(!matches_source);
                    prop_assert_eq!(held(&subscriber), before);
                    let mut whole = log.since(&subscription, None).unwrap();
                    whole.digest = Some(log.digest(&subscription));
                    subscriber.apply(&whole).unwrap();
                }
                Err(other) => prop_assert!(false, "{}", other),
            }
        }
        prop_assert_eq!(held(&subscriber), reference.list(reference.last(), &subscription));
    }

    /// The changes that a replica returns, applied to its previous list, give its new list.
    #[test]
    fn a_replica_returns_what_changed(
        changes in prop::collection::vec(any_change(), 1..20), reset: bool, after in 0..20usize,
    ) {
        let reference = Reference::new(changes);
        let after = after.min(reference.last());
        let mut subscriber = reference.replica(after, &Subscription::All);
        let mut list = held(&subscriber);
        let update =
            if reset { reference.whole(reference.last(), &Subscription::All) } else { reference.delta(after, reference.last()) };
        let mut seen = BTreeSet::new();
        for change in subscriber.apply(&update).unwrap() {
            let (Change::Listed(instance) | Change::Removed(instance)) = &change;
            prop_assert!(seen.insert(instance.instance_id.clone()), "returned twice");
            let before = match &change {
                Change::Listed(instance) => list.insert(instance.instance_id.clone(), instance.clone()),
                Change::Removed(instance) => list.remove(&instance.instance_id),
            };
            match change {
                Change::Listed(instance) => prop_assert_ne!(before, Some(instance)),
                Change::Removed(instance) => prop_assert_eq!(before, Some(instance)),
            }
        }
        prop_assert_eq!(&list, &reference.lists[reference.last()]);
        prop_assert_eq!(held(&subscriber), list);
    }

    /// Exactly the subscribers of a service are notified of its changes, each once.
    #[test]
    fn interested_subscribers_are_those_of_the_service(
        operations in prop::collection::vec((0..5u8, prop::option::of(any_subscription())), 0..20),
    ) {
        let mut subscribers = Subscribers::new();
        let mut reference = BTreeMap::new();
        for (subscriber, subscription) in operations {
            if let Some(subscription) = subscription {
                subscribers.subscribe(subscriber, subscription.clone());
                reference.insert(subscriber, subscription);
            } else {
                prop_assert_eq!(subscribers.unsubscribe(&subscriber), reference.remove(&subscriber));
            }
            prop_assert_eq!(subscribers.len(), reference.len());
            for service in SERVICES {
                let mut interested: Vec<u8> = subscribers.interested(service).copied().collect();
                interested.sort_unstable();
                let expected: Vec<u8> =
                    reference.iter().filter(|(_, s)| s.includes(service)).map(|(subscriber, _)| *subscriber).collect();
                prop_assert_eq!(&interested, &expected);
            }
            let any: BTreeSet<u8> = subscribers.interested_in_any(["a", "b"]);
            let follows = |s: &Subscription| s.includes("a") || s.includes("b");
            let expected: BTreeSet<u8> =
                reference.iter().filter(|(_, s)| follows(s)).map(|(subscriber, _)| *subscriber).collect();
            prop_assert_eq!(any, expected);
        }
    }
}

/// The history stays within its limit however many changes and new services there are.
#[test]
fn the_memory_of_the_history_is_bounded() {
    const LIMIT: usize = 100;
    let mut log = ChangeLog::with_history(LIMIT);
    log.apply(Update { reset: true, ..Update::default() }).unwrap();
    let mut before: Option<Instance> = None;
    for revision in 1..20_000u64 {
        let mut next = instance((revision % 4) as u8, 0, 0, Lifecycle::InService);
        next.service = format!("service-{revision}");
        let terminated = before.replace(next.clone()).map(|instance| instance.terminated());
        let instances = terminated.into_iter().chain([next]).collect();
        log.apply(Update { revision: revision * 2, instances, ..Update::default() }).unwrap();
        assert!(log.history_len() <= LIMIT);
        assert!(log.history_services() <= LIMIT + 1, "{} services", log.history_services());
    }
    assert_eq!(log.history_len(), LIMIT);
}

/// Changes of one service do not push the history of another one out, so its subscribers still get deltas.
#[test]
fn an_unchanged_service_is_answered_by_a_delta() {
    let mut log = ChangeLog::with_history(10);
    let unchanged = instance(0, 0, 1, Lifecycle::InService);
    log.apply(Update { revision: 1, reset: true, instances: vec![unchanged], ..Update::default() }).unwrap();
    for revision in 2..1_000 {
        let changed = instance(1, 1, (revision % 2) as u8, Lifecycle::InService);
        log.apply(Update { revision, instances: vec![changed], ..Update::default() }).unwrap();
    }
    let update = log.since(&Subscription::services(["a"]), Some(1)).unwrap();
    assert_eq!(update, Update { revision: 999, ..Update::default() });
    assert!(log.since(&Subscription::services(["b"]), Some(1)).unwrap().reset);
}

/// A subscriber with a revision that the log skipped must get a whole list, even after many later revisions.
#[test]
fn a_skipped_revision_is_never_answered_by_a_delta() {
    let mut log = ChangeLog::new();
    let listed = instance(0, 0, 1, Lifecycle::InService);
    log.apply(Update { revision: 10, reset: true, instances: vec![listed], ..Update::default() }).unwrap();
    for step in 1..10_000 {
        log.apply(Update { revision: 10 + step * 2, ..Update::default() }).unwrap();
        assert!(log.since(&Subscription::All, Some(11)).unwrap().reset, "after {step} skipped revisions");
    }
}

/// A whole list that corrects the current revision must reach subscribers that already have this revision.
#[test]
fn a_list_corrected_within_its_revision_is_sent_whole() {
    let complete = [instance(0, 0, 1, Lifecycle::InService), instance(1, 0, 1, Lifecycle::InService)];
    let mut log = ChangeLog::new();
    log.apply(Update { revision: 5, reset: true, instances: complete[..1].to_vec(), ..Update::default() })
        .unwrap();
    let digest = Some(Digest::of(&complete));
    let rejected = log.apply(Update { revision: 5, digest, ..Update::default() });
    assert!(matches!(rejected, Err(ApplyError::DigestMismatch { revision: 5, .. })));
    log.apply(Update { revision: 5, reset: true, instances: complete.to_vec(), digest, ..Update::default() })
        .unwrap();
    let subscription = Subscription::services(["a"]);
    let update = log.since(&subscription, Some(5)).unwrap();
    assert!(update.reset);
    assert_eq!(update.instances.len(), 2);
    assert!(
        !log.since(&Subscription::services(["b"]), Some(5)).unwrap().reset,
        "subscribers of other services need no whole list"
    );
}

/// Rejected updates leave the list and its revision unchanged.
#[test]
fn an_update_that_does_not_fit_is_rejected_with_its_reason() {
    let listed = instance(0, 0, 1, Lifecycle::InService);
    let whole =
        |revision| Update { revision, reset: true, instances: vec![listed.clone()], ..Update::default() };
    let mut log = ChangeLog::new();
    let mut replica = Replica::new();
    assert_eq!(log.since(&Subscription::All, None), None);
    assert_eq!(log.digest_message(&Subscription::All), None);
    let delta = Update { revision: 3, ..Update::default() };
    assert_eq!(log.apply(delta.clone()), Err(ApplyError::NoList { got: 3 }));
    assert_eq!(replica.apply(&delta), Err(ApplyError::NoList { got: 3 }));
    log.apply(whole(4)).unwrap();
    replica.apply(&whole(4)).unwrap();
    assert_eq!(log.apply(delta.clone()), Err(ApplyError::Older { held: 4, got: 3 }));
    assert_eq!(replica.apply(&delta), Err(ApplyError::Older { held: 4, got: 3 }));
    let empty = Update { revision: 9, reset: true, digest: Some(Digest::of([&listed])), ..Update::default() };
    assert!(matches!(log.apply(empty.clone()), Err(ApplyError::DigestMismatch { .. })));
    assert!(matches!(replica.apply(&empty), Err(ApplyError::DigestMismatch { .. })));
    assert_eq!((log.revision(), replica.revision()), (Some(4), Some(4)));
    assert_eq!(
        (log.digest(&Subscription::All), replica.digest()),
        (Digest::of([&listed]), Digest::of([&listed]))
    );
    let message = log.digest_message(&Subscription::All).unwrap();
    assert_eq!(replica.apply(&message), Ok(Vec::new()));
}

/// A root that restarts its numbering is accepted after the old revision is forgotten, and no subscriber is sent a
/// delta across the restart.
#[test]
fn a_root_that_restarts_its_numbering_is_followed() {
    let [old, new] = [1, 2].map(|weight| instance(0, 0, weight, Lifecycle::InService));
    let whole = |revision, listed: &Instance| Update {
        revision,
        reset: true,
        instances: vec![listed.clone()],
        ..Update::default()
    };
    let mut log = ChangeLog::new();
    let mut replica = Replica::new();
    log.apply(whole(100, &old)).unwrap();
    replica.apply(&log.since(&Subscription::All, None).unwrap()).unwrap();
    log.forget_revision();
    let applied = log.apply(whole(3, &new)).unwrap();
    assert_eq!((applied.revision, applied.changed), (3, 1));
    assert_eq!(applied.services, BTreeSet::from(["a".to_owned()]));
    for after in [2, 100] {
        assert!(log.since(&Subscription::All, Some(after)).unwrap().reset);
    }
    let update = log.since(&Subscription::All, replica.revision()).unwrap();
    assert_eq!(replica.apply(&update), Err(ApplyError::Older { held: 100, got: 3 }));
    replica.forget_revision();
    assert_eq!(replica.apply(&update), Ok(vec![Change::Listed(new)]));
}

/// With unreadable entries the digest can never match, so it is not checked.
#[test]
fn a_message_with_unreadable_entries_is_applied() {
    let listed = instance(0, 0, 1, Lifecycle::InService);
    let text = format!(
        r#"{{"generation":1,"reset":true,"digest":"00000000000000ff","instances":[{},{{"instanceId":"x"}}]}}"#,
        serde_json::to_string(&listed).unwrap()
    );
    let update: Update = serde_json::from_str(&text).unwrap();
    let mut log = ChangeLog::new();
    let mut replica = Replica::new();
    assert_eq!(log.apply(update.clone()).unwrap().changed, 1);
    assert_eq!(replica.apply(&update), Ok(vec![Change::Listed(listed)]));
}
