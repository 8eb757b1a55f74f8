//! Assignment of shards to members.

use liftrouter_cluster::sharding::{owner, shard_of, weight};
use std::collections::BTreeMap;

#[test]
fn a_member_that_leaves_moves_only_its_own_shards_and_shards_are_spread() {
    let names: Vec<String> = (0..12).map(|n| format!("n{n}")).collect();
    let all = |without: &str| -> BTreeMap<u16, String> {
        let left = || names.iter().map(String::as_str).filter(|name| *name != without);
        (0..600).filter_map(|shard| Some((shard, owner(shard, left())?.to_string()))).collect()
    };
    let (before, after) = (all(""), all("n4"));
    for (shard, owner) in &before {
        assert!(owner == "n4" || after[shard] == *owner, "shard {shard} moved from {owner}");
    }
    for name in &names {
        let count = before.values().filter(|owner| *owner == name).count();
        assert!((25..=80).contains(&count), "{name} has {count} of 600");
    }
    assert_eq!(owner(3, std::iter::empty()), None);
}

/// Members of different versions must assign shards alike, so neither the hash nor its input may change.
#[test]
fn weights_owners_and_shards_of_names_never_change() {
    assert_eq!(weight("limiter-a", &0u16.to_be_bytes()), 0x9e59_e497_8a22_f7ab);
    assert_eq!(weight("limiter-a", &300u16.to_be_bytes()), 0x40f3_da25_024a_a41d);
    let owners: Vec<&str> =
        (0..12).filter_map(|n| owner(n, ["limiter-a", "limiter-b", "limiter-c"].into_iter())).collect();
    let letters: String = owners.iter().filter_map(|name| name.chars().last()).collect();
    assert_eq!(letters, "accbccacabca");
    assert_eq!(["node-1", "node-2", "node-3"].map(|name| shard_of(name, 64)), [35, 6, 60]);
}
