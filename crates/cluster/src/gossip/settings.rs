//! The settings of failure detection.

use foca::PeriodicParams;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// Members that receive gossip in each round.
const GOSSIP_FANOUT: usize = 3;
/// Members that receive an announcement in each round.
const ANNOUNCE_FANOUT: usize = 1;
/// Members declared failed that receive an announcement in each round.
const ANNOUNCE_TO_DOWN_FANOUT: usize = 2;

/// Timing of failure detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipSettings {
    /// Time between two probes; each probes one member.
    pub probe_period: Duration,
    /// A member that has not replied within this time is probed indirectly, through other members. At most half of the
    /// period.
    pub probe_timeout: Duration,
    /// How long a suspected member has to refute the suspicion before it is declared failed.
    pub suspicion_timeout: Duration,
    /// Expected size of the cluster; the larger it is, the more often each update is sent.
    pub expected_members: u32,
}

impl GossipSettings {
    /// The library's configuration, for gossip of at most `max_bytes` and at a local health score.
    pub(super) fn foca_config(self, max_bytes: usize, health_score: u32) -> foca::Config {
        let expected = NonZeroU32::new(self.expected_members.max(2)).unwrap_or(NonZeroU32::MIN);
        let periodic = |frequency, members| {
            let num_members = NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN);
            Some(PeriodicParams { frequency, num_members })
        };
        foca::Config {
            probe_period: self.probe_period,
            probe_rtt: self.probe_timeout,
            suspect_to_down_after: self.suspicion_timeout * (1 + health_score),
            max_packet_size: NonZeroUsize::new(max_bytes).unwrap_or(NonZeroUsize::MIN),
            // A member that was declared failed is told so by the members that it contacts, and rejoins.
            notify_down_members: true,
            // A reply lists about thirty members, so hundreds of members know each other within tens of periods.
            periodic_announce: periodic(self.probe_period * 2, ANNOUNCE_FANOUT),
            periodic_announce_to_down_members: periodic(self.probe_period * 4, ANNOUNCE_TO_DOWN_FANOUT),
            periodic_gossip: periodic(self.probe_period / 4, GOSSIP_FANOUT),
            ..foca::Config::new_lan(expected)
        }
    }
}
