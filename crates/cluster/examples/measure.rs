//! Measures clusters in simulated time: how soon a failure is detected and the shards are held again, how many live members are
//! declared down under loss, and how much each member sends.
//!
//!     cargo run --release -p liftrouter-cluster --example measure

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Link, World, SECOND};
use liftrouter_cluster::Notification;

fn is_complete(world: &World) -> bool {
    let live = world.nodes.iter().filter(|n| n.member.is_some()).count();
    world.live_counts().iter().all(|known| *known == live) && world.unheld_shards() == 0
}

fn cluster(count: usize, shards: u16, seed: u64) -> World {
    let mut world = World::new(count, 3, shards, seed);
    world.gossip.expected_members = count as u32;
    // Looking for double holders at each step takes time proportional to members times shards.
    world.check = count <= 12;
    for n in 0..count {
        world.start(n);
        world.run(world.now + 20_000);
    }
    assert!(world.run_until(120 * SECOND, is_complete).is_some(), "{count} members did not form a cluster");
    world
}

fn quantile(times: &mut [u64], ratio: f64) -> f64 {
    times.sort_unstable();
    let n = ((times.len() as f64 * ratio) as usize).min(times.len().saturating_sub(1));
    times.get(n).map_or(f64::NAN, |t| *t as f64 / 1e6)
}

/// Time until all members have detected a failure, and until all shards are held again; each is a minute at most.
fn measure_kill(world: &mut World, victim: usize) -> (u64, u64) {
    let count = world.nodes.len();
    world.kill(victim);
    let began = world.now;
    let (mut detected, mut held_again) = (None, None);
    while (detected.is_none() || held_again.is_none()) && world.now < began + 60 * SECOND {
        world.run(world.now + 10_000);
        let took = world.now - began;
        // The leases of the victim stay valid for a while: before they expire, no other member can hold its shards.
        let recovered = took > world.lease.duration + SECOND && world.unheld_shards() == 0;
        detected = detected.or((world.live_counts().iter().all(|known| *known < count)).then_some(took));
        held_again = held_again.or(recovered.then_some(took));
    }
    (detected.unwrap_or(60 * SECOND), held_again.unwrap_or(60 * SECOND))
}

fn measure_kills(count: usize, kills: usize) {
    let mut world = cluster(count, 64, 7);
    let (sent, bytes) = total(&world);
    world.run(world.now + 10 * SECOND);
    let (sent_after, bytes_after) = total(&world);
    let rate = |after: usize, before: usize| (after - before) as f64 / 10.0 / count as f64;
    let (datagram_rate, byte_rate) = (rate(sent_after, sent), rate(bytes_after, bytes));
    let (mut detected, mut held_again) = (Vec::new(), Vec::new());
    for kill in 0..kills {
        // The first three members are voters, so that voters are killed, too.
        let victim = kill % count;
        let times = measure_kill(&mut world, victim);
        detected.push(times.0);
        held_again.push(times.1);
        world.start(victim);
        world.run_until(120 * SECOND, is_complete);
        world.run(world.now + 137_000 * (kill as u64 % 11));
    }
    assert!(world.double_holders.is_empty(), "{:?}", world.double_holders.first());
    println!(
        "{count:>7}  {kills:>5}  {:>14.2} {:>12.2}  {:>16.2} {:>9.2}  {datagram_rate:>22.1} {byte_rate:>9.0}",
        quantile(&mut detected, 0.5),
        quantile(&mut detected, 0.99),
        quantile(&mut held_again, 0.5),
        quantile(&mut held_again, 0.99),
    );
}

fn measure_loss(count: usize, loss: f64) {
    let mut world = cluster(count, 64, 9);
    world.nodes.iter_mut().for_each(|node| node.notifications.clear());
    world.all_links = Link { loss, ..Link::default() };
    world.run(world.now + 60 * SECOND);
    let notifications = world.nodes.iter().flat_map(|node| &node.notifications);
    let false_downs = notifications.filter(|(_, n)| matches!(n, Notification::MemberDown(_))).count();
    println!("{count:>7}  {loss:>4}  {false_downs} ({:.4})", false_downs as f64 / (count * count) as f64);
}

fn total(world: &World) -> (usize, usize) {
    world.nodes.iter().fold((0, 0), |(sent, bytes), node| (sent + node.sent, bytes + node.bytes))
}

fn main() {
    println!("probe period 0.5 s, probe timeout 0.15 s, suspicion timeout 1.5 s, lease 2 s, 64 shards, clock drift 1 %");
    println!("members  kills  detected by all s (p50, p99)  held again s (p50, p99)  sent per member: datagrams/s, bytes/s");
    for (count, kills) in [(3, 100), (12, 100), (50, 20), (300, 5)] {
        measure_kills(count, kills);
    }
    println!("members  loss  false MemberDown in 60 s (divided by members squared)");
    for (count, loss) in [(12, 0.1), (12, 0.3), (50, 0.1), (50, 0.3), (300, 0.1)] {
        measure_loss(count, loss);
    }
}
