//! The endpoint list through a tree of real relays: notification by service, failover, repair, and staleness.
mod common;
#[path = "relays/regions.rs"]
mod regions;

use common::asked::timed_server::TimedServer;
use common::relays::limiter::{arrivals_after, FollowingLimiter, Load};
use common::relays::proxy::WatchProxy;
use common::relays::relay::Relay;
use common::relays::service_discovery::{after_param, ServiceDiscovery};
use common::relays::subscriber::{RawSubscriber, Received};
use common::relays::watch::watch_target;
use common::relays::{draining, server, unreachable_server, weighted, FIRST_REVISION, HEARTBEAT};
use common::*;
use liftrouter_catalog::{Instance, Update};
use liftrouter_discovery::HEARTBEAT_TIMEOUT_RELAYED;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A change is in force everywhere within this time.
const CHANGE_DEADLINE: Duration = Duration::from_secs(8);
/// How long after the notification of its drain a server may still receive requests.
const GRACE: Duration = Duration::from_millis(250);
/// How long a limiter waits for its first list before it uses the configured one.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(8_500);
/// Longer than the validity of a list from relays.
const OUTAGE: Duration = Duration::from_secs(9);
/// How long the test waits for a limiter to report that its list is stale.
const MAX_WAIT_UNTIL_STALE: Duration = Duration::from_secs(40);
/// A short heartbeat period of discovery, for tests that wait for several heartbeats.
const FAST_HEARTBEAT: Duration = Duration::from_millis(100);
/// One in this many heartbeats carries a digest.
const HEARTBEATS_PER_DIGEST: usize = 5;
/// How many revisions are published in a burst during which a relay is killed.
const BURST_REVISIONS: u64 = 100;
/// The revision of the burst at which a server begins to drain.
const DRAIN_AT_REVISION: u64 = 30;
/// The revision of the burst at which the relay is killed.
const KILL_AT_REVISION: u64 = 50;
/// How many changes of a service that a subscriber does not follow are published.
const FOREIGN_CHANGES: u32 = 100;
/// The pause between two revisions of a burst.
const BURST_PAUSE: Duration = Duration::from_millis(10);

/// Discovery, the root relay, and two zone relays behind proxies that record the calls of limiters.
struct Tree {
    discovery: ServiceDiscovery,
    root: Relay,
    zones: [Relay; 2],
    proxies: [WatchProxy; 2],
}

impl Tree {
    fn new(discovery: ServiceDiscovery) -> Tree {
        let root = Relay::root(&discovery);
        let zones = [1, 2].map(|seed| Relay::zone(&[root.address], seed));
        let proxies = [WatchProxy::new(zones[0].address), WatchProxy::new(zones[1].address)];
        Tree { discovery, root, zones, proxies }
    }

    fn with_servers(servers: &[Instance]) -> Tree {
        Tree::new(ServiceDiscovery::new(servers))
    }

    /// The addresses that limiters call.
    fn proxy_addresses(&self) -> [SocketAddr; 2] {
        [self.proxies[0].address, self.proxies[1].address]
    }

    fn limiter(&self, services: &[&str]) -> FollowingLimiter {
        FollowingLimiter::start(&self.proxy_addresses(), services)
    }

    /// The only zone that limiters have called.
    fn zone_in_use(&self) -> usize {
        let called: Vec<usize> = (0..2).filter(|zone| !self.proxies[*zone].targets().is_empty()).collect();
        assert_eq!(called.len(), 1, "the limiter uses one relay");
        called[0]
    }
}

fn ids(update: &Update) -> Vec<&str> {
    update.instances.iter().map(|instance| instance.instance_id.as_str()).collect()
}

#[test]
fn a_limiter_sends_only_to_servers_of_its_services() {
    let (own, foreign) = (TimedServer::new("own"), TimedServer::new("foreign"));
    let foreign_instance = server("s-foreign", "service-2", foreign.fake.address);
    let tree =
        Tree::with_servers(&[server("s-own", "service-1", own.fake.address), foreign_instance.clone()]);
    let limiter = tree.limiter(&["service-1"]);
    let subscriber = RawSubscriber::follow(tree.zones[0].address, None, &["service-1"]);
    let other_subscriber = RawSubscriber::follow(tree.zones[0].address, None, &["service-2"]);
    let load = Load::start(&limiter);
    for step in 1..=20 {
        let revision = tree.discovery.put(weighted(&foreign_instance, 1.0 + f64::from(step)));
        other_subscriber.wait_for_revision(revision);
    }
    wait_until("requests were served", || load.statuses().len() >= 100);
    drop(load);
    assert_eq!(foreign.arrivals().len(), 0);
    assert!(own.arrivals().len() >= 100);
    assert_eq!(subscriber.ids(), ["s-own"]);
    let notified: Vec<String> = subscriber
        .received()
        .iter()
        .flat_map(|r| r.ids().into_iter().map(str::to_string).collect::<Vec<_>>())
        .collect();
    assert_eq!(notified, ["s-own"], "the subscriber is notified once, of its own server");
    assert_eq!(limiter.discovery.accepted(), 0, "discovery is not asked");
}

/// The whole list is larger than the longest message that a limiter accepts, 4 MiB: relays hold the list
/// of the whole fleet, which is longer than that of any limiter.
#[test]
fn a_list_beyond_the_message_limit_of_limiters_reaches_subscribers_by_service() {
    const SERVERS: usize = 30_000;
    const SERVICES: usize = 500;
    let servers: Vec<_> = (0..SERVERS)
        .map(|n| unreachable_server(&format!("server-{n:05}"), &format!("service-{}", n % SERVICES)))
        .collect();
    let discovery = ServiceDiscovery::new(&servers);
    let root = Relay::root(&discovery);
    let zone = Relay::zone(&[root.address], 1);
    let list = RawSubscriber::follow(zone.address, None, &["service-7"]).first();
    assert_eq!((list.reset, list.instances.len()), (true, SERVERS / SERVICES));
}

/// A subscriber whose services do not change gets only the heartbeats that are due, however many changes
/// other services have.
#[test]
fn a_change_of_another_service_sends_a_subscriber_no_message() {
    let own = unreachable_server("s-own", "service-1");
    let foreign = unreachable_server("s-foreign", "service-2");
    let tree = Tree::with_servers(&[own.clone(), foreign.clone()]);
    let subscriber = RawSubscriber::follow(tree.zones[0].address, None, &["service-1"]);
    let other_subscriber = RawSubscriber::follow(tree.zones[0].address, None, &["service-2"]);
    // Messages already in flight arrive before this change.
    subscriber.wait_for_revision(tree.discovery.put(weighted(&own, 2.0)));
    let (before, began) = (subscriber.received().len(), Instant::now());
    for step in 1..=FOREIGN_CHANGES {
        let revision = tree.discovery.put(weighted(&foreign, 1.0 + f64::from(step)));
        other_subscriber.wait_for_revision(revision);
    }
    let heartbeats_due = 1 + (began.elapsed().as_secs_f64() / HEARTBEAT.as_secs_f64()) as usize;
    let later: Vec<Received> = subscriber.received().split_off(before);
    assert!(later.iter().all(|received| received.ids().is_empty()), "{later:?}");
    let count = later.len();
    assert!(
        count <= heartbeats_due,
        "{count} messages for {FOREIGN_CHANGES} changes of another service, expected {heartbeats_due} at most"
    );
}

/// Discovery writes no empty lines while it publishes changes; the relay must still send heartbeats to
/// subscribers that these changes do not concern, or they would leave it as dead.
#[test]
fn a_subscriber_of_unchanged_services_gets_heartbeats_while_others_change() {
    let foreign = unreachable_server("s-foreign", "service-2");
    let tree = Tree::with_servers(&[unreachable_server("s-own", "service-1"), foreign.clone()]);
    let subscriber = RawSubscriber::follow(tree.zones[0].address, None, &["service-1"]);
    let began = Instant::now();
    let mut step = 1.0;
    while began.elapsed() < OUTAGE {
        step += 1.0;
        tree.discovery.put(weighted(&foreign, step));
        thread::sleep(BURST_PAUSE);
    }
    let ended = Instant::now();
    let moments: Vec<Instant> = subscriber.received().iter().map(|r| r.at).chain([ended]).collect();
    let longest = moments.windows(2).map(|pair| pair[1] - pair[0]).max().expect("heartbeats");
    assert!(longest < HEARTBEAT_TIMEOUT_RELAYED, "the subscriber got nothing for {longest:?}");
    assert!(!subscriber.has_ended());
}

#[test]
fn a_subscriber_gets_a_delta_or_the_whole_list_by_its_revision() {
    let own = unreachable_server("s-1", "service-1");
    let still = unreachable_server("s-2", "service-1");
    let tree = Tree::with_servers(&[own.clone(), still, unreachable_server("s-3", "service-2")]);
    let zone = tree.zones[0].address;
    let follower = RawSubscriber::follow(zone, None, &["service-1"]);
    let first_change = tree.discovery.put(weighted(&own, 2.0));
    follower.wait_for_revision(first_change);
    let second_change = tree.discovery.put(weighted(&own, 3.0));
    follower.wait_for_revision(second_change);

    let delta = RawSubscriber::follow(zone, Some(first_change), &["service-1"]).first();
    assert_eq!((delta.reset, delta.revision, ids(&delta)), (false, second_change, vec!["s-1"]));
    let nothing_new = RawSubscriber::follow(zone, Some(second_change), &["service-1"]).first();
    assert_eq!((nothing_new.reset, ids(&nothing_new)), (false, vec![]));
    // No revision, one older than the relay's first list, and one that does not exist yet.
    for after in [None, Some(1), Some(second_change + 1_000)] {
        let whole = RawSubscriber::follow(zone, after, &["service-1"]).first();
        assert_eq!((whole.reset, ids(&whole)), (true, vec!["s-1", "s-2"]), "after {after:?}");
        assert_eq!(whole.revision, second_change);
    }
    let elsewhere = follower.resume(tree.zones[1].address, &["service-1"]);
    wait_until("the other relay answers", || !elsewhere.received().is_empty());
    assert!(!elsewhere.first().reset, "the other relay accepts the revision too");
    assert_eq!(elsewhere.digest_mismatches(), Vec::<u64>::new());
}

#[test]
fn a_relay_without_upstream_heartbeats_sends_none_and_refuses_subscribers() {
    let own = unreachable_server("s-1", "service-1");
    let discovery = ServiceDiscovery::with_heartbeat(FAST_HEARTBEAT, std::slice::from_ref(&own));
    let root = Relay::root(&discovery);
    let subscriber = RawSubscriber::follow(root.address, None, &["service-1"]);
    wait_until("heartbeats come", || {
        subscriber.received().iter().filter(|r| r.update.is_none()).count() >= 3
    });
    discovery.stop_heartbeats();
    let last = discovery.put(weighted(&own, 2.0));
    subscriber.wait_for_revision(last);
    let change = subscriber
        .received()
        .iter()
        .position(|r| r.ids() == ["s-1"] && !r.update.as_ref().is_some_and(|u| u.reset));
    let change = change.expect("the change");
    wait_until("the relay is stale", || root.up() == 503);
    let later = subscriber.received().split_off(change + 1);
    // The change itself counts as a heartbeat, and its digest may follow it.
    assert!(
        later.len() <= 1 && later.iter().all(|r| r.digest().is_some()),
        "the relay sent heartbeats without upstream: {later:?}"
    );
    let refused = RawSubscriber::open(root.address, None, &["service-1"]);
    assert_eq!(refused.head.status(), 503);
    assert!(refused.head.header("retry-after").is_some());
    wait_until("the reason is in the log", || root.log().contains("stale: upstream gave no sign of life"));
}

#[test]
fn the_root_becomes_stale_when_discovery_falls_silent() {
    let discovery = ServiceDiscovery::new(&[unreachable_server("s-1", "service-1")]);
    let root = Relay::root(&discovery);
    discovery.cut_off();
    wait_until("the relay is stale", || root.up() == 503);
}

#[test]
fn one_heartbeat_in_five_carries_a_digest_of_what_the_subscriber_holds() {
    let own = unreachable_server("s-1", "service-1");
    let servers =
        [own.clone(), unreachable_server("s-2", "service-2"), unreachable_server("s-3", "service-3")];
    let root = Relay::root(&ServiceDiscovery::with_heartbeat(FAST_HEARTBEAT, &servers));
    let idle = RawSubscriber::follow(root.address, None, &["service-1", "service-3"]);
    wait_until("heartbeats come", || idle.received().len() >= 6 * HEARTBEATS_PER_DIGEST);
    for run in idle.received().windows(HEARTBEATS_PER_DIGEST) {
        assert!(run.iter().any(|received| received.digest().is_some()), "no digest in {run:?}");
    }
    assert_eq!(idle.digest_mismatches(), Vec::<u64>::new());
}

#[test]
fn digests_match_a_list_that_changes() {
    let own = unreachable_server("s-1", "service-1");
    let discovery = ServiceDiscovery::with_heartbeat(FAST_HEARTBEAT, std::slice::from_ref(&own));
    let root = Relay::root(&discovery);
    let subscriber = RawSubscriber::follow(root.address, None, &["service-1"]);
    for step in 1..=20 {
        let revision = discovery.put_all([
            weighted(&own, 1.0 + f64::from(step)),
            unreachable_server(&format!("s-new-{step}"), "service-1"),
            unreachable_server(&format!("s-other-{step}"), "service-2"),
        ]);
        subscriber.wait_for_revision(revision);
    }
    let seen = subscriber.received().len();
    let has_digest = || subscriber.received()[seen..].iter().any(|received| received.digest().is_some());
    wait_until("a digest comes", has_digest);
    assert_eq!(subscriber.digest_mismatches(), Vec::<u64>::new());
    assert_eq!(subscriber.ids().len(), 21);
}

#[test]
fn a_limiter_whose_relay_is_killed_in_a_burst_ends_on_the_last_revision() {
    let [steady, drained, late] = ["steady", "drained", "late"].map(TimedServer::new);
    let steady_instance = server("s-steady", "service-1", steady.fake.address);
    let drained_instance = server("s-drained", "service-1", drained.fake.address);
    let late_instance = server("s-late", "service-1", late.fake.address);
    let servers = [steady_instance.clone(), drained_instance.clone(), draining(&late_instance)];
    let mut tree = Tree::with_servers(&servers);
    let limiter = tree.limiter(&["service-1"]);
    let load = Load::start(&limiter);
    wait_until("both servers get work", || !steady.arrivals().is_empty() && !drained.arrivals().is_empty());
    let zone = tree.zone_in_use();
    let mut drained_at = Instant::now();
    let mut last = FIRST_REVISION;
    for step in 1..=BURST_REVISIONS {
        let change = match step {
            DRAIN_AT_REVISION => draining(&drained_instance),
            BURST_REVISIONS => late_instance.clone(),
            _ => weighted(&steady_instance, 1.0 + step as f64 / 1_000.0),
        };
        if step == DRAIN_AT_REVISION {
            drained_at = Instant::now();
        }
        last = tree.discovery.put(change);
        if step == KILL_AT_REVISION {
            tree.zones[zone].kill();
        }
        thread::sleep(BURST_PAUSE);
    }
    let changed_at = Instant::now();
    wait_until("the server of the last revision gets work", || !late.arrivals().is_empty());
    let first = late.arrivals()[0].at;
    assert!(first <= changed_at + CHANGE_DEADLINE, "the last revision came {:?} late", first - changed_at);
    let other = &tree.proxies[1 - zone];
    assert_eq!(other.last_revision(), Some(last));
    let resumed = other.targets().first().and_then(|target| after_param(target));
    assert_eq!(resumed, tree.proxies[zone].last_revision(), "the limiter resumes from its revision");
    assert!(resumed.is_some_and(|after| after > FIRST_REVISION && after < last), "{resumed:?}");
    wait_until("the drain is in force", || drained_at.elapsed() > CHANGE_DEADLINE + GRACE + GRACE);
    assert_eq!(arrivals_after(&drained, drained_at + CHANGE_DEADLINE + GRACE), 0);
    assert!(load.statuses().iter().all(|status| *status == 200), "requests failed");
}

#[test]
fn a_limiter_fails_over_from_a_suspended_relay() {
    let [steady, drained] = ["steady", "drained"].map(TimedServer::new);
    let drained_instance = server("s-drained", "service-1", drained.fake.address);
    let tree =
        Tree::with_servers(&[server("s-steady", "service-1", steady.fake.address), drained_instance.clone()]);
    let limiter = tree.limiter(&["service-1"]);
    let load = Load::start(&limiter);
    wait_until("the server gets work", || !drained.arrivals().is_empty());
    let zone = tree.zone_in_use();
    tree.zones[zone].pause();
    let drained_at = Instant::now();
    let last = tree.discovery.put(draining(&drained_instance));
    let other = &tree.proxies[1 - zone];
    wait_until("the limiter follows the other relay", || other.last_revision() == Some(last));
    assert_eq!(other.targets().first().and_then(|target| after_param(target)), Some(FIRST_REVISION));
    tree.zones[zone].resume();
    wait_until("the drain is in force", || drained_at.elapsed() > CHANGE_DEADLINE + GRACE + GRACE);
    assert_eq!(arrivals_after(&drained, drained_at + CHANGE_DEADLINE + GRACE), 0);
    wait_until("the reason is in the log", || limiter.log().contains("the watch gave no sign of life for"));
    assert!(load.statuses().iter().all(|status| *status == 200), "requests failed");
}

#[test]
fn a_limiter_rejects_the_older_list_of_a_relay() {
    let [steady, drained, late] = ["steady", "drained", "late"].map(TimedServer::new);
    let drained_instance = server("s-drained", "service-1", drained.fake.address);
    let late_instance = server("s-late", "service-1", late.fake.address);
    let steady_instance = server("s-steady", "service-1", steady.fake.address);
    let discovery = ServiceDiscovery::with_heartbeat(
        FAST_HEARTBEAT,
        &[steady_instance, drained_instance.clone(), draining(&late_instance)],
    );
    let root = Relay::root(&discovery);
    let (held_back, passing) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(false)));
    let passes = passing.clone();
    let slow_upstream = WatchProxy::with_filter(root.address, move |update| {
        passes.load(Ordering::SeqCst) || update.is_none_or(|update| update.revision <= FIRST_REVISION)
    });
    let slow = Relay::zone(&[slow_upstream.address], 1);
    let mut current = Relay::zone(&[root.address], 2);
    // The limiter gets nothing from the slow relay until the current one has announced the drain.
    let closed = held_back.clone();
    let slow_proxy = WatchProxy::with_filter(slow.address, move |_| !closed.load(Ordering::SeqCst));
    let current_proxy = WatchProxy::new(current.address);
    let limiter = FollowingLimiter::start(&[current_proxy.address, slow_proxy.address], &["service-1"]);
    let load = Load::start(&limiter);
    let drain = discovery.put(draining(&drained_instance));
    wait_until("the limiter is notified", || current_proxy.last_revision() >= Some(drain));
    let notified_at = Instant::now();
    held_back.store(false, Ordering::SeqCst);
    let calls_before = slow_proxy.targets().len();
    current.kill();
    let refusals = || limiter.log().contains("the update is older than the list");
    wait_until("the older list is refused", || slow_proxy.targets().len() > calls_before && refusals());
    assert_eq!(slow_proxy.targets().last().and_then(|target| after_param(target)), Some(drain));
    passing.store(true, Ordering::SeqCst);
    discovery.put(late_instance);
    wait_until("the slow relay has caught up", || !late.arrivals().is_empty());
    assert_eq!(arrivals_after(&drained, notified_at + GRACE), 0);
    assert!(load.statuses().iter().all(|status| *status == 200), "requests failed");
}

#[test]
fn one_revision_notifies_each_subscriber_of_its_own_services() {
    let services = ["service-1", "service-2", "service-3"];
    let servers = services.map(|service| unreachable_server(&format!("s-of-{service}"), service));
    let tree = Tree::with_servers(&servers);
    let zone = tree.zones[0].address;
    let subscribers = services.map(|service| RawSubscriber::follow(zone, None, &[service]));
    let both = RawSubscriber::follow(zone, None, &services[..2]);
    let last = tree.discovery.put_all(servers.iter().map(|server| weighted(server, 2.0)));
    for (subscriber, server) in subscribers.iter().zip(&servers) {
        subscriber.wait_for_revision(last);
        let delta = subscriber.received().into_iter().filter_map(|r| r.update).find(|update| !update.reset);
        assert_eq!(ids(&delta.expect("a delta")), [server.instance_id.as_str()]);
    }
    both.wait_for_revision(last);
    assert_eq!(both.ids(), ["s-of-service-1", "s-of-service-2"]);
}

#[test]
fn a_subscriber_with_an_old_revision_gets_the_whole_list_of_its_services() {
    let own = unreachable_server("s-1", "service-1");
    let tree = Tree::with_servers(&[own.clone(), unreachable_server("s-2", "service-2")]);
    let follower = RawSubscriber::follow(tree.zones[0].address, None, &["service-1"]);
    let last = tree.discovery.put(weighted(&own, 2.0));
    follower.wait_for_revision(last);
    let back = RawSubscriber::follow(tree.zones[0].address, Some(1), &["service-1"]).first();
    assert_eq!((back.reset, back.revision, ids(&back)), (true, last, vec!["s-1"]));
}

#[test]
fn a_lost_message_is_detected_by_a_digest_and_repaired() {
    let [steady, drained] = ["steady", "drained"].map(TimedServer::new);
    let drained_instance = server("s-drained", "service-1", drained.fake.address);
    let discovery = ServiceDiscovery::with_heartbeat(
        FAST_HEARTBEAT,
        &[server("s-steady", "service-1", steady.fake.address), drained_instance.clone()],
    );
    let root = Relay::root(&discovery);
    let zone = Relay::zone(&[root.address], 1);
    let (lost, to_lose) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(u64::MAX)));
    let (dropped, revision) = (lost.clone(), to_lose.clone());
    let proxy = WatchProxy::with_filter(zone.address, move |update| {
        let is_change = update.is_some_and(|update| {
            update.revision == revision.load(Ordering::SeqCst) && !update.instances.is_empty()
        });
        !is_change || dropped.swap(true, Ordering::SeqCst)
    });
    let limiter = FollowingLimiter::start(&[proxy.address], &["service-1"]);
    let load = Load::start(&limiter);
    wait_until("the server gets work", || !drained.arrivals().is_empty());
    assert_eq!(proxy.targets().len(), 1);
    to_lose.store(discovery.revision() + 1, Ordering::SeqCst);
    discovery.put(draining(&drained_instance));
    wait_until("the message is lost", || lost.load(Ordering::SeqCst));
    wait_until("the limiter asks for the whole list", || {
        proxy.targets().len() == 2 && proxy.last_revision() == Some(discovery.revision())
    });
    let repaired_at = Instant::now();
    assert_eq!(after_param(&proxy.targets()[1]), None);
    wait_until("the reason is in the log", || limiter.log().contains("differs from the list's"));
    wait_until("requests are served by the repaired list", || {
        arrivals_after(&steady, repaired_at + GRACE) >= 50
    });
    assert_eq!(arrivals_after(&drained, repaired_at + GRACE), 0);
    assert!(load.statuses().iter().all(|status| *status == 200), "requests failed");
}

#[test]
fn many_concurrent_subscribers_all_get_their_list() {
    const CHILDREN: usize = 200;
    const SERVICES: usize = 40;
    const FOLLOWED: usize = 20;
    let names: Vec<String> = (0..SERVICES).map(|n| format!("service-{n}")).collect();
    let servers: Vec<_> =
        (0..SERVICES * 5).map(|n| unreachable_server(&format!("s-{n}"), &names[n % SERVICES])).collect();
    let discovery = ServiceDiscovery::new(&servers);
    let root = Relay::root(&discovery);
    let start = std::sync::Barrier::new(CHILDREN);
    in_parallel(0..CHILDREN, |number| {
        let followed: Vec<&str> = (0..FOLLOWED).map(|n| names[(number + n) % SERVICES].as_str()).collect();
        let mut expected: Vec<String> = servers
            .iter()
            .filter(|server| followed.contains(&server.service.as_str()))
            .map(|server| server.instance_id.clone())
            .collect();
        expected.sort();
        start.wait();
        let subscriber = RawSubscriber::follow(root.address, None, &followed);
        assert_eq!(subscriber.ids(), expected);
        assert_eq!(subscriber.digest_mismatches(), Vec::<u64>::new());
    });
}

#[test]
fn a_subscriber_that_never_reads_is_disconnected_without_effect_on_others() {
    /// Enough to fill the socket buffers and the subscriber's queue.
    const SERVERS: usize = 400;
    const MAX_REVISIONS: u32 = 400;
    let bulk: Vec<_> = (0..SERVERS).map(|n| unreachable_server(&format!("s-{n}"), "bulk")).collect();
    let small = unreachable_server("s-small", "small");
    let discovery = ServiceDiscovery::new(&[bulk.clone(), vec![small.clone()]].concat());
    let root = Relay::root(&discovery);
    let mut never_reads = Client::to(root.address);
    let target = watch_target(None, &["bulk"]);
    never_reads.send(&format!("GET {target} HTTP/1.1\r\nHost: relay\r\n\r\n"));
    let reader = RawSubscriber::follow(root.address, None, &["bulk"]);
    let bystander = RawSubscriber::follow(root.address, None, &["small"]);
    let disconnected = || root.log().contains("reads too slowly");
    for step in 1..=MAX_REVISIONS {
        if disconnected() {
            break;
        }
        let weight = 1.0 + f64::from(step);
        let revision = discovery.put_all(bulk.iter().map(|server| weighted(server, weight)));
        reader.wait_for_revision(revision);
    }
    wait_until("the subscriber is disconnected", disconnected);
    assert_eq!(root.log().matches("reads too slowly").count(), 1, "{}", root.log());
    let last = discovery.put_all([weighted(&small, 2.0), weighted(&bulk[0], 0.5)]);
    reader.wait_for_revision(last);
    bystander.wait_for_revision(last);
    assert!(!reader.has_ended() && !bystander.has_ended());
    assert_eq!((reader.digest_mismatches(), bystander.digest_mismatches()), (vec![], vec![]));
}

#[test]
fn a_tree_cut_off_from_discovery_keeps_serving_and_converges_afterwards() {
    let [first, second] = ["first", "second"].map(TimedServer::new);
    let first_instance = server("s-first", "service-1", first.fake.address);
    let second_instance = server("s-second", "service-1", second.fake.address);
    let tree = Tree::with_servers(&[first_instance.clone(), draining(&second_instance)]);
    let limiter = tree.limiter(&["service-1"]);
    let load = Load::start(&limiter);
    tree.discovery.cut_off();
    let cut_at = Instant::now();
    wait_until("the outage is long", || cut_at.elapsed() > OUTAGE);
    // Changes that cannot reach the relays yet.
    let last = tree.discovery.put_all([draining(&first_instance), second_instance]);
    wait_until("the limiter logs that its list is stale", || {
        limiter.log().contains("stale: going on by a list")
    });
    let stale_at = Instant::now();
    wait_until("the limiter keeps serving", || arrivals_after(&first, stale_at) >= 20);
    assert_eq!(second.arrivals().len(), 0);
    wait_until("the root is stale", || tree.root.up() == 503);
    tree.discovery.restore();
    let restored_at = Instant::now();
    wait_until("the new revision is in force", || !second.arrivals().is_empty());
    let served = second.arrivals()[0].at;
    assert!(served <= restored_at + CHANGE_DEADLINE, "the new revision came {:?} late", served - restored_at);
    wait_until("the list is confirmed", || limiter.log().contains("confirmed again"));
    assert!(tree.proxies.iter().any(|proxy| proxy.last_revision() == Some(last)));
    let confirmed_at = Instant::now();
    wait_until("more is served", || arrivals_after(&second, confirmed_at + GRACE) >= 20);
    assert_eq!(arrivals_after(&first, confirmed_at + GRACE), 0);
    assert!(load.statuses().iter().all(|status| *status == 200), "requests failed");
}

/// A list may lack a change that discovery had right after its last heartbeat, so it becomes stale when
/// that change would have to be in force. What a relay sends to a later subscriber does
/// not extend the validity of its list.
#[test]
fn a_limiter_is_stale_a_fixed_time_after_the_last_heartbeat_of_discovery() {
    let only = TimedServer::new("only");
    let tree = Tree::with_servers(&[server("s-only", "service-1", only.fake.address)]);
    let limiter = tree.limiter(&["service-1"]);
    tree.discovery.cut_off();
    let last_heartbeat = tree.discovery.last_heartbeat();
    let is_stale = || limiter.log().contains("stale: going on by a list");
    // Waits beyond the limit, so that a failure shows how late the report came.
    while !is_stale() && last_heartbeat.elapsed() < MAX_WAIT_UNTIL_STALE {
        thread::sleep(BURST_PAUSE);
    }
    let (stale, took) = (is_stale(), last_heartbeat.elapsed());
    assert!(
        stale && took <= CHANGE_DEADLINE + GRACE,
        "stale: {stale}, {took:?} after the last heartbeat of discovery; calls: {:?} and {:?}",
        tree.proxies[0].targets(),
        tree.proxies[1].targets()
    );
}

#[test]
fn a_limiter_started_while_all_relays_are_stale_uses_its_configured_list() {
    let only = TimedServer::new("only");
    let instance = server("s-only", "service-1", only.fake.address);
    let tree = Tree::with_servers(std::slice::from_ref(&instance));
    tree.discovery.cut_off();
    wait_until("the relays are stale", || tree.zones.iter().all(|zone| zone.up() == 503));
    let known = json!({"generation": FIRST_REVISION, "reset": true, "instances": [instance]});
    let started = Instant::now();
    let limiter = FollowingLimiter::spawn(&tree.proxy_addresses(), &["service-1"], Some(known));
    wait_until("the limiter is up", || limiter.limiter.up());
    assert!(
        started.elapsed() >= FIRST_LIST_TIMEOUT,
        "the limiter was ready before the wait for a list ended"
    );
    assert_eq!(limiter.ask().text(), "only");
    wait_until("the reason is in the log", || {
        limiter.log().contains("no list came: going by the one in the configuration")
    });
    assert!(tree.proxies.iter().all(|proxy| !proxy.targets().is_empty()), "both relays were asked");
    assert_eq!(limiter.discovery.accepted(), 0, "discovery is not asked");
}

/// Without the section `[relays]` a limiter watches discovery itself, for the whole list of all services.
#[test]
fn without_relays_discovery_is_watched_for_all_services() {
    let [first, second] = ["first", "second"].map(TimedServer::new);
    let discovery = discovery(vec![
        json!(server("s-first", "service-1", first.fake.address)),
        json!(server("s-second", "service-2", second.fake.address)),
    ]);
    let limiter = Limiter::start(settings(), &discovery, counter().address);
    wait_until("both servers get work", || {
        assert_eq!(limiter.client().ask(&quote("roomy", 9_000)).status(), 200);
        !first.arrivals().is_empty() && !second.arrivals().is_empty()
    });
    let calls: Vec<String> = discovery.seen().into_iter().map(|call| call.start_line).collect();
    let watch = "GET /discovery/hosts?watch=1";
    assert!(!calls.is_empty() && calls.iter().all(|call| call.starts_with(watch)), "{calls:?}");
    assert!(calls.iter().all(|call| !call.contains("service=")), "{calls:?}");
}

#[test]
fn a_relay_exits_with_0_after_sigterm() {
    let discovery = ServiceDiscovery::new(&[unreachable_server("s-1", "service-1")]);
    let mut root = Relay::root(&discovery);
    let mut zone = Relay::zone(&[root.address], 1);
    let subscriber = RawSubscriber::follow(zone.address, None, &["service-1"]);
    assert_eq!(zone.terminate().code(), Some(0));
    wait_until("its subscriber is disconnected", || subscriber.has_ended());
    assert_eq!(root.terminate().code(), Some(0));
    wait_until("the signal is logged", || root.log().contains("SIGTERM: ending"));
}
