//! Random sequences of faults in simulated time.
mod common;

use common::{Link, World, SECOND};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// During any faults of processes and links no shard has two holders, and after they end the cluster recovers.
    #[test]
    fn no_shard_ever_has_two_holders(
        seed: u64,
        count in 3usize..9,
        faults in proptest::collection::vec((0u64..9, 0usize..9, 0usize..9, 100u64..4_000), 1..25),
    ) {
        let mut world = World::new(count, if count >= 5 { 5 } else { 3 }, 6, seed);
        (0..count).for_each(|n| world.start(n));
        world.run(6 * SECOND);
        for (kind, one, other, ms) in faults {
            let (one, other) = (one % count, other % count);
            match kind {
                0 => world.kill(one),
                1 => world.pause(one),
                2 => world.resume(one),
                3 => world.cut(one, other, true),
                4 => (0..count).for_each(|n| world.cut(one, n, true)),
                5 => world.all_links = Link { loss: 0.3, duplicated: 0.2, max_delay: 300_000, ..Link::default() },
                6 => world.links.clear(),
                7 if world.nodes[one].member.is_none() => world.start(one),
                _ => world.leave(one),
            }
            world.run(world.now + ms * 1_000);
            prop_assert!(world.double_holders.is_empty(), "{:?}", world.double_holders);
        }
        world.heal();
        let healed = world.run_until(90 * SECOND, |w| w.live_counts().iter().all(|v| *v == count) && w.unheld_shards() == 0);
        prop_assert!(healed.is_some(), "{:?}, {} shards without a holder", world.live_counts(), world.unheld_shards());
        prop_assert!(world.double_holders.is_empty(), "{:?}", world.double_holders);
        prop_assert!(world.token_regressions.is_empty(), "fencing tokens decreased: {:?}", world.token_regressions);
    }
}
