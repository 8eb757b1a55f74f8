//! Compares replicas with the source. Periodic samples compare digests at the replica's revision; the comparison after
//! a fault compares whole lists.

use super::source::Source;
use super::world::ReplicaNode;
use super::{Micros, MAX_REVISION_AGE};
use liftrouter_catalog::Digest;

/// A broken guarantee of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// It missed a change of its services for longer than [`MAX_REVISION_AGE`] without reporting itself stale.
    StaleRevision { replica: usize, at: Micros, revision: u64 },
    /// Its list differed from that of its revision for longer than [`MAX_REVISION_AGE`] without it reporting itself
    /// stale.
    ListMismatch { replica: usize, at: Micros, revision: u64 },
    /// It still reports itself stale after the fault.
    StaleAtEnd { replica: usize },
    /// It does not have the source's revision after the fault.
    RevisionAtEnd { replica: usize, held: Option<u64>, source: u64 },
    /// Its list differs from the source's after the fault.
    ListAtEnd { replica: usize },
}

/// Checks one replica while the tree is running.
pub fn sample(source: &Source, index: usize, node: &mut ReplicaNode, now: Micros) -> Option<Violation> {
    let Some(revision) = node.replica.revision().filter(|_| !node.stale(now)) else {
        node.mismatch_since = None;
        return None;
    };
    if is_behind(source, node, revision, now) {
        return Some(Violation::StaleRevision { replica: index, at: now, revision });
    }
    if node.replica.digest() == expected_digest(source, node, revision) {
        node.mismatch_since = None;
        return None;
    }
    let since = *node.mismatch_since.get_or_insert(now);
    (now - since > MAX_REVISION_AGE).then_some(Violation::ListMismatch { replica: index, at: now, revision })
}

/// Whether the replica has missed a change of its services for longer than [`MAX_REVISION_AGE`].
fn is_behind(source: &Source, node: &ReplicaNode, revision: u64, now: Micros) -> bool {
    let missed = |service: &String| source.revisions_after(service, revision).first();
    node.services.iter().filter_map(missed).any(|revision| now - revision.at > MAX_REVISION_AGE)
}

fn expected_digest(source: &Source, node: &ReplicaNode, revision: u64) -> Digest {
    let mut digest = Digest::default();
    for service in &node.services {
        digest.merge(source.digest_at(service, revision));
    }
    digest
}

/// Compares a replica with the source once changes have stopped and had time to propagate.
pub fn compare(source: &Source, index: usize, node: &ReplicaNode, now: Micros) -> Option<Violation> {
    if node.stale(now) {
        return Some(Violation::StaleAtEnd { replica: index });
    }
    let held = node.replica.revision();
    if held != Some(source.revision()) {
        return Some(Violation::RevisionAtEnd { replica: index, held, source: source.revision() });
    }
    let mut expected: Vec<_> = node.services.iter().flat_map(|service| source.service(service)).collect();
    expected.sort_by(|a, b| a.instance_id.cmp(&b.instance_id));
    let is_equal = node.replica.instances().eq(expected);
    (!is_equal).then_some(Violation::ListAtEnd { replica: index })
}
