//! Assignment of shards to members by rendezvous hashing: the member with the highest hash of its name and the shard owns the
//! shard, so that a member that joins or leaves moves its own shards and no others.
//!
//! Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking, 1998.
//! Members of different versions must agree: a change of the hash, or of what is hashed, moves shards.

use crate::Shard;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Separates the name from the key; this byte never occurs in UTF-8 text.
const SEPARATOR: u8 = 0xff;
const MIX_FIRST: u64 = 0xff51_afd7_ed55_8ccd;
const MIX_SECOND: u64 = 0xc4ce_b9fe_1a85_ec53;
const MIX_SHIFT: u32 = 33;

/// The hash of a member and a key: FNV-1a, with the finalizer of `MurmurHash3` for a better spread. The same in every process
/// and version.
pub fn weight(member: &str, key: &[u8]) -> u64 {
    let bytes = member.bytes().chain([SEPARATOR]).chain(key.iter().copied());
    let hash = bytes.fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    let hash = (hash ^ (hash >> MIX_SHIFT)).wrapping_mul(MIX_FIRST);
    let hash = (hash ^ (hash >> MIX_SHIFT)).wrapping_mul(MIX_SECOND);
    hash ^ (hash >> MIX_SHIFT)
}

/// The member that a shard is assigned to; `None` if there are no members. Of equal weights the lexicographically smaller name
/// wins.
pub fn owner<'a>(shard: Shard, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let key = shard.to_be_bytes();
    members.max_by(|a, b| weight(a, &key).cmp(&weight(b, &key)).then_with(|| b.cmp(a)))
}

/// The shard of a name, of `shards` in total.
pub fn shard_of(name: &str, shards: u16) -> Shard {
    (weight("", name.as_bytes()) % u64::from(shards.max(1))) as Shard
}
