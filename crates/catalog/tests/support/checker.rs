//! Compares replicas with the source. Samples compare digests at the replica's revision; the comparison at the
//! end of a fault goes through the lists server by server.

use super::source::Source;
use super::world::ReplicaNode;
use super::{Micros, OLDEST_REVISION};
use liftrouter_catalog::Digest;

/// What a replica did that it must not do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// It acted on a revision that was too old without saying that it is stale.
    OldRevision { replica: usize, at: Micros, revision: u64 },
    /// For too long its list was not that of its revision, and it did not say that it is stale.
    WrongList { replica: usize, at: Micros, revision: u64 },
    /// At the end of a fault it says that it is stale.
    StaleAtEnd { replica: usize },
    /// At the end of a fault it does not hold the revision of the source.
    RevisionAtEnd { replica: usize, held: Option<u64>, source: u64 },
    /// At the end of a fault its list is not that of the source.
    ListAtEnd { replica: usize },
}

/// Looks at one replica now and then.
pub fn sample(source: &Source, index: usize, node: &mut ReplicaNode, now: Micros) -> Option<Violation> {
    let Some(revision) = node.replica.revision().filter(|_| !node.stale(now)) else {
        node.wrong_since = None;
        return None;
    };
    if behind(source, node, revision, now) {
        return Some(Violation::OldRevision { replica: index, at: now, revision });
    }
    if node.replica.digest() == expected_digest(source, node, revision) {
        node.wrong_since = None;
        return None;
    }
    let since = *node.wrong_since.get_or_insert(now);
    (now - since > OLDEST_REVISION).then_some(Violation::WrongList { replica: index, at: now, revision })
}

/// Whether a change that the replica does not know is too old.
fn behind(source: &Source, node: &ReplicaNode, revision: u64, now: Micros) -> bool {
    let missed = |service: &String| source.revisions_after(service, revision).first();
    node.services.iter().filter_map(missed).any(|revision| now - revision.at > OLDEST_REVISION)
}

fn expected_digest(source: &Source, node: &ReplicaNode, revision: u64) -> Digest {
    let mut digest = Digest::default();
    for service in &node.services {
        digest.merge(source.digest_at(service, revision));
    }
    digest
}

/// Compares a replica with the source when all is quiet again.
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
    let same = node.replica.instances().eq(expected);
    (!same).then_some(Violation::ListAtEnd { replica: index })
}
