//! Measures clusters in simulated time: how soon a failure is detected and the shards are held again, how many live members are
//! declared down under loss, and what a member sends.
//!
//!     cargo run --release -p liftrouter-cluster --example measure

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Link, World, SECOND};
use liftrouter_cluster::Notification;

fn is_complete(world: &World) -> bool {
    let live = world.nodes.iter().filter(|n| n.member.is_some()).count();
    world.views().iter().all(|view| *view == live) && world.unheld_shards() == 0
}

fn cluster(count: usize, shards: u16, seed: u64) -> World {
    let mut world = World::new(count, 3, shards, seed);
    world.gossip.expected_members = count as u32;
    // Checking for two holders at each step costs members times shards.
    world.check = count <= 12;
    for n in 0..count {
        world.start(n);
        world.run(world.now + 20_000);
    }
    assert!(world.until(120 * SECOND, is_complete).is_some(), "{count} members did not find together");
    world
}

fn quantile(times: &mut [u64], share: f64) -> f64 {
    times.sort_unstable();
    let n = ((times.len() as f64 * share) as usize).min(times.len().saturating_sub(1));
    times.get(n).map_or(f64::NAN, |t| *t as f64 / 1e6)
}

/// Time until a failure is detected by all, and until all shards are held again; a minute if it takes longer.
fn measure_kill(world: &mut World, victim: usize) -> (u64, u64) {
    let count = world.nodes.len();
    world.kill(victim);
    let began = world.now;
    let (mut detected, mut held_again) = (None, None);
    while (detected.is_none() || held_again.is_none()) && world.now < began + 60 * SECOND {
        world.run(world.now + 10_000);
        let took = world.now - began;
        // The leases of the victim are valid for a while: no shard lacks a holder at first.
        let recovered = took > world.lease.duration + SECOND && world.unheld_shards() == 0;
        detected = detected.or((world.views().iter().all(|view| *view < count)).then_some(took));
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
        // Voters too: a third of the kills at three members, few at three hundred.
        let victim = kill % count;
        let times = measure_kill(&mut world, victim);
        detected.push(times.0);
        held_again.push(times.1);
        world.start(victim);
        world.until(120 * SECOND, is_complete);
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
    world.all = Link { loss, ..Link::default() };
    world.run(world.now + 60 * SECOND);
    let notifications = world.nodes.iter().flat_map(|node| &node.notifications);
    let wrong = notifications.filter(|(_, n)| matches!(n, Notification::MemberDown(_))).count();
    println!("{count:>7}  {loss:>4}  {wrong} ({:.4})", wrong as f64 / (count * count) as f64);
}

fn total(world: &World) -> (usize, usize) {
    world.nodes.iter().fold((0, 0), |(sent, bytes), node| (sent + node.sent, bytes + node.bytes))
}

fn main() {
    println!("period 0.5 s, late 0.15 s, suspicion 1.5 s, term 2 s, 64 slots, clocks 1 % apart");
    println!("members  kills  known by all s (median, 99 %)  held again s (median, 99 %)  sent a member: datagrams/s, bytes/s");
    for (count, kills) in [(3, 100), (12, 100), (50, 20), (300, 5)] {
        measure_kills(count, kills);
    }
    println!("members  loss  missed wrongly in 60 s, of members times members");
    for (count, loss) in [(12, 0.1), (12, 0.3), (50, 0.1), (50, 0.3), (300, 0.1)] {
        measure_loss(count, loss);
    }
}
