//! Measures groups in simulated time: how soon a death is known and its duties are held again, who is missed wrongly under loss,
//! and what a member sends.
//!
//!     cargo run --release -p liftrouter-cluster --example measure

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Link, World, SECOND};
use liftrouter_cluster::News;

fn whole(world: &World) -> bool {
    let there = world.nodes.iter().filter(|n| n.members.is_some()).count();
    world.views().iter().all(|view| *view == there) && world.without() == 0
}

fn group(count: usize, slots: u16, seed: u64) -> World {
    let mut world = World::new(count, 3, slots, seed);
    world.pace.expected = count as u32;
    // Looking for duties that are held twice at each step costs members times slots.
    world.check = count <= 12;
    for n in 0..count {
        world.start(n);
        world.run(world.now + 20_000);
    }
    assert!(world.until(120 * SECOND, whole).is_some(), "{count} members did not find together");
    world
}

fn quantile(times: &mut [u64], share: f64) -> f64 {
    times.sort_unstable();
    let n = ((times.len() as f64 * share) as usize).min(times.len().saturating_sub(1));
    times.get(n).map_or(f64::NAN, |t| *t as f64 / 1e6)
}

fn main() {
    println!("period 0.5 s, late 0.15 s, suspicion 1.5 s, term 2 s, 64 slots, clocks 1 % apart");
    println!("members  kills  known by all s (median, 99 %)  held again s (median, 99 %)  sent a member: datagrams/s, bytes/s");
    for (count, kills) in [(3, 100), (12, 100), (50, 20), (300, 5)] {
        let mut world = group(count, 64, 7);
        let (sent, bytes, from) = (total(&world).0, total(&world).1, world.now);
        world.run(from + 10 * SECOND);
        let per = |now: usize, before: usize| (now - before) as f64 / 10.0 / count as f64;
        let rates = (per(total(&world).0, sent), per(total(&world).1, bytes));
        let (mut known, mut held) = (Vec::new(), Vec::new());
        for kill in 0..kills {
            // Voters too: a third of the kills at three members, few at three hundred.
            let victim = kill % count;
            world.kill(victim);
            let began = world.now;
            let (mut missed, mut again) = (None, None);
            while (missed.is_none() || again.is_none()) && world.now < began + 60 * SECOND {
                world.run(world.now + 10_000);
                let took = world.now - began;
                // Its leases run on for a while, so that nothing is missing at first.
                let over = took > world.terms.term + SECOND && world.without() == 0;
                missed = missed.or((world.views().iter().all(|view| *view < count)).then_some(took));
                again = again.or(over.then_some(took));
            }
            known.push(missed.unwrap_or(60 * SECOND));
            held.push(again.unwrap_or(60 * SECOND));
            world.start(victim);
            world.until(120 * SECOND, whole);
            world.run(world.now + 137_000 * (kill as u64 % 11));
        }
        assert!(world.twice.is_empty(), "{:?}", world.twice.first());
        println!(
            "{count:>7}  {kills:>5}  {:>14.2} {:>12.2}  {:>16.2} {:>9.2}  {:>22.1} {:>9.0}",
            quantile(&mut known, 0.5),
            quantile(&mut known, 0.99),
            quantile(&mut held, 0.5),
            quantile(&mut held, 0.99),
            rates.0,
            rates.1
        );
    }
    println!("members  loss  missed wrongly in 60 s, of members times members");
    for (count, loss) in [(12, 0.1), (12, 0.3), (50, 0.1), (50, 0.3), (300, 0.1)] {
        let mut world = group(count, 64, 9);
        world.nodes.iter_mut().for_each(|n| n.news.clear());
        world.all = Link { loss, ..Link::default() };
        world.run(world.now + 60 * SECOND);
        let wrong = world
            .nodes
            .iter()
            .flat_map(|n| &n.news)
            .filter(|(_, news)| matches!(news, News::Down(_)))
            .count();
        println!("{count:>7}  {loss:>4}  {wrong} ({:.4})", wrong as f64 / (count * count) as f64);
    }
}

fn total(world: &World) -> (usize, usize) {
    world.nodes.iter().fold((0, 0), |(sent, bytes), n| (sent + n.sent, bytes + n.bytes))
}
