//! A limiter that follows two regions, each with its own discovery and relay. While one region is cut off,
//! changes of the other one take effect; the changes of the region that was cut off arrive as deltas afterwards.

use crate::common::asked::timed_server::TimedServer;
use crate::common::relays::limiter::{arrivals_after, FollowingLimiter, Load};
use crate::common::relays::proxy::WatchProxy;
use crate::common::relays::relay::Relay;
use crate::common::relays::service_discovery::{after_param, ServiceDiscovery};
use crate::common::relays::watch::watch_target;
use crate::common::relays::{draining, server, FIRST_REVISION};
use crate::common::*;
use liftrouter_catalog::Instance;
use serde_json::json;
use std::time::{Duration, Instant};

/// A change is in force everywhere within this time.
const CHANGE_DEADLINE: Duration = Duration::from_secs(8);
/// How long after the announcement of its drain a server may still receive requests.
const GRACE: Duration = Duration::from_millis(250);
/// How long a limiter waits for the first list of each region.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(8_500);
/// How many requests show that a server is in use. The first one shows that a list is: the limiter prefers servers that it
/// has seen to be fast, so the others may come much later.
const MIN_REQUESTS: usize = 20;
/// No more than two servers take at once from a limiter that does not know them, or finds both slow.
const SENDERS: usize = 2;
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// One region: discovery, a relay, and the proxy at which limiters call.
struct Region {
    name: &'static str,
    discovery: ServiceDiscovery,
    _relay: Relay,
    proxy: WatchProxy,
}

impl Region {
    fn new(name: &'static str, servers: &[Instance]) -> Region {
        let discovery = ServiceDiscovery::new(servers);
        let relay = Relay::root(&discovery);
        let proxy = WatchProxy::new(relay.address);
        Region { name, discovery, _relay: relay, proxy }
    }
}

/// Starts a limiter that follows these regions.
fn follow(regions: [&Region; 2], known: Option<serde_json::Value>) -> FollowingLimiter {
    FollowingLimiter::of_regions(&regions.map(|region| (region.name, region.proxy.address)), known)
}

/// A server that takes its time, so that requests overlap.
fn busy_server(name: &'static str) -> TimedServer {
    let server = TimedServer::new(name);
    server.set_service_time(SERVICE_TIME);
    server
}

fn wait_until_used(servers: [&TimedServer; 2]) {
    wait_until("both servers are in use", || {
        servers.iter().all(|server| server.arrivals().len() >= MIN_REQUESTS)
    });
}

/// How many requests reached these servers later than the grace after this moment.
fn served_after(servers: [&TimedServer; 2], moment: Instant) -> usize {
    servers.map(|server| arrivals_after(server, moment + GRACE)).iter().sum()
}

fn server_instance(timed: &TimedServer, id: &str) -> Instance {
    server(id, "", timed.fake.address)
}

#[test]
fn a_region_that_is_cut_off_is_served_from_its_last_list_and_resumes_by_deltas() {
    let [west_old, west_new, east_old, east_new] =
        ["west-old", "west-new", "east-old", "east-new"].map(busy_server);
    let instances = [
        server_instance(&west_old, "s-1"),
        server_instance(&west_new, "s-2"),
        server_instance(&east_old, "s-3"),
        server_instance(&east_new, "s-4"),
    ];
    let west = Region::new("west", &[instances[0].clone(), draining(&instances[1])]);
    let east = Region::new("east", &[instances[2].clone(), draining(&instances[3])]);
    let limiter = follow([&west, &east], None);
    wait_until("the limiter is up", || limiter.limiter.up());
    let load = Load::with_senders(&limiter, SENDERS);
    wait_until_used([&west_old, &east_old]);

    east.discovery.cut_off();
    wait_until("the limiter logs which list is stale", || {
        limiter.log().contains("region east: stale: going on by a list")
    });
    // Both regions publish changes; only those of the near region reach the limiter.
    west.discovery.put_all([draining(&instances[0]), instances[1].clone()]);
    let changed_at = Instant::now();
    let last_east = east.discovery.put_all([draining(&instances[2]), instances[3].clone()]);
    wait_until("the change of the near region is in force", || !west_new.arrivals().is_empty());
    assert!(west_new.arrivals()[0].at <= changed_at + CHANGE_DEADLINE);
    let arrived_at = west_new.arrivals()[0].at;
    wait_until("the far region's last list is in use", || {
        arrivals_after(&east_old, arrived_at + GRACE) > 0
            && served_after([&east_old, &west_new], arrived_at) >= 2 * MIN_REQUESTS
    });
    assert_eq!(arrivals_after(&west_old, arrived_at + GRACE), 0);
    assert_eq!(east_new.arrivals().len(), 0);
    assert!(!limiter.log().contains("region west: stale"), "{}", limiter.log());

    east.discovery.restore();
    let restored_at = Instant::now();
    wait_until("the changes of the far region are in force", || !east_new.arrivals().is_empty());
    let arrived_at = east_new.arrivals()[0].at;
    assert!(arrived_at <= restored_at + CHANGE_DEADLINE, "they came {:?} late", arrived_at - restored_at);
    wait_until("more is served", || served_after([&east_new, &west_new], arrived_at) >= 2 * MIN_REQUESTS);
    assert_eq!(arrivals_after(&east_old, arrived_at + GRACE), 0);
    assert_eq!(arrivals_after(&west_old, arrived_at + GRACE), 0);
    wait_until("the event is in the log", || {
        limiter.log().contains("region east: the list of servers is confirmed again")
    });
    assert_eq!(east.proxy.last_revision(), Some(last_east));
    let first_calls = [&west, &east].map(|region| after_param(&region.proxy.targets()[0]));
    assert_eq!(first_calls, [None, None]);
    let later = east.proxy.targets().split_off(1);
    assert!(!later.is_empty() && later.iter().all(|call| after_param(call).is_some()), "deltas: {later:?}");
    wait_until_used([&west_new, &east_new]);
    assert!(load.statuses().iter().all(|status| *status == 200), "requests failed");
}

#[test]
fn a_limiter_that_starts_while_a_region_is_cut_off_serves_without_it() {
    let [near, far, former] = ["near", "far", "former"].map(TimedServer::new);
    let west = Region::new("west", &[server_instance(&near, "s-1")]);
    let east = Region::new("east", &[server_instance(&far, "s-2")]);
    east.discovery.cut_off();
    let known = json!({"generation": FIRST_REVISION, "reset": true,
        "instances": [server_instance(&former, "s-3")]});
    let relay = east.proxy.address;
    wait_until("the relay of the far region is stale", || {
        Client::to(relay).ask(&format!("GET {} HTTP/1.1\r\n\r\n", watch_target(None, &[]))).status() == 503
    });
    let started = Instant::now();
    let limiter = follow([&west, &east], Some(known));
    wait_until("the limiter is up", || limiter.limiter.up());
    assert!(
        started.elapsed() >= FIRST_LIST_TIMEOUT,
        "the limiter was ready before the wait for the far region ended"
    );
    for _ in 0..MIN_REQUESTS {
        assert_eq!(limiter.ask().text(), "near");
    }
    wait_until("the event is in the log", || {
        limiter.log().contains("region east: no list came: going on without it")
    });
    east.discovery.restore();
    wait_until("the server of the far region gets work", || {
        assert_eq!(limiter.ask().status(), 200);
        !far.arrivals().is_empty()
    });
    let reached_at = Instant::now();
    wait_until("both are in use", || {
        assert_eq!(limiter.ask().status(), 200);
        arrivals_after(&near, reached_at) >= 1 && arrivals_after(&far, reached_at) >= 1
    });
    assert_eq!(former.arrivals().len(), 0, "the configured list is not used if one region answers");
}
