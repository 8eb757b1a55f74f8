//! Membership and failure detection by gossip: SWIM as implemented by the library `foca`. The library leaves timers to its
//! caller and lacks the local health score of Lifeguard; this module adds both.
//!
//! Sources: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group membership protocol",
//! 2002; Dadgar, Phillips and Currey, "Lifeguard: local health awareness for more accurate failure detection", 2018.

mod runtime;
mod settings;

pub use settings::GossipSettings;

use crate::{Micros, MAX_DATAGRAM_BYTES};
use foca::{Foca, NoCustomBroadcast, PostcardCodec, State, Timer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use runtime::Effects;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// The longest name of a member, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The limit on known members, including those that have left. Once it is reached, received gossip is rejected.
pub const MAX_MEMBERS: usize = 4_096;
/// The largest gossip, in bytes: the first byte of a datagram is its kind.
const MAX_GOSSIP_BYTES: usize = MAX_DATAGRAM_BYTES - 1;
/// The largest local health score.
const MAX_HEALTH_SCORE: u32 = 8;
/// The local health score falls by one after this number of probe periods without a late timer.
const RECOVERY_PERIODS: Micros = 20;
/// A rejoin within this number of probe periods after the previous one is a repeated one.
const REPEATED_REJOIN_PERIODS: Micros = 20;
/// The most by which one rejoin raises the incarnation, in milliseconds: about two years.
const MAX_REJOIN_STEP_MS: u64 = 1 << 36;

/// Identifies one process of a member. The order of the fields is the format on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// Name of the member: the same after a restart.
    pub name: String,
    /// Address on which it receives datagrams.
    pub address: SocketAddr,
    /// Random number drawn at each start; distinguishes processes with the same name.
    pub instance: u64,
    /// Unix time of the start in milliseconds, plus one or more for each rejoin. Of two identities at one address, the one with the
    /// higher incarnation is the newer.
    pub incarnation: u64,
}

impl foca::Identity for MemberIdentity {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(MemberIdentity { incarnation: self.incarnation + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.incarnation, self.instance) > (other.incarnation, other.instance)
    }
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipEvent {
    /// A process has joined.
    Up(MemberIdentity),
    /// A process has left or failed.
    Down(MemberIdentity),
    /// Other members had declared this process failed; it has rejoined with a higher incarnation.
    Rejoined(MemberIdentity),
}

/// The state of a member as gossip reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It replies to probes.
    Alive,
    /// It did not reply to a probe in time, and may still refute the suspicion.
    Suspect,
    /// It has left, or did not refute a suspicion in time.
    Down,
}

impl MemberState {
    /// The state as operators see it: `alive`, `suspect` or `gone`.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Down => "gone",
        }
    }
}

impl From<State> for MemberState {
    fn from(state: State) -> MemberState {
        match state {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspect,
            State::Down => MemberState::Down,
        }
    }
}

/// Why gossip was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum GossipError {
    /// [`MAX_MEMBERS`] is reached.
    #[error("{known} members are known, expected {MAX_MEMBERS} at most")]
    TooManyMembers {
        /// Number of known members, including those that have left.
        known: usize,
    },
    /// `foca` rejected it.
    #[error("{cause}")]
    Rejected {
        /// Message of the `foca` error, kept as text because the error itself can be neither cloned nor compared.
        cause: String,
    },
}

/// Gossip to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingGossip {
    /// The receiver.
    pub to: SocketAddr,
    /// The encoded gossip.
    pub bytes: Vec<u8>,
}

/// The results of one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipOutput {
    /// Gossip to send, in order.
    pub outgoing: Vec<OutgoingGossip>,
    /// Changes of the membership, in order.
    pub events: Vec<GossipEvent>,
}

/// Membership and failure detection of one process.
pub struct Gossip {
    foca: Foca<MemberIdentity, PostcardCodec, SmallRng, NoCustomBroadcast>,
    identity: MemberIdentity,
    settings: GossipSettings,
    /// Keyed by due time and a sequence number, which keeps timers that are due at the same time in order.
    timers: BTreeMap<(Micros, u64), Timer<MemberIdentity>>,
    last_timer: u64,
    health_score: u32,
    /// When the health score last changed or timers were last postponed.
    health_changed_at: Micros,
    /// When this process last rejoined.
    rejoined_at: Option<Micros>,
    /// By how much the latest rejoin raised the incarnation.
    rejoin_step_ms: u64,
}

impl Gossip {
    /// Creates the state of a process that knows no other members yet. The seed is for the random choice of members.
    pub fn new(identity: MemberIdentity, settings: GossipSettings, seed: u64) -> Gossip {
        let rng = SmallRng::seed_from_u64(seed);
        let config = settings.foca_config(MAX_GOSSIP_BYTES, 0);
        let foca = Foca::new(identity.clone(), config, rng, PostcardCodec);
        Gossip {
            foca,
            identity,
            settings,
            timers: BTreeMap::new(),
            last_timer: 0,
            health_score: 0,
            health_changed_at: 0,
            rejoined_at: None,
            rejoin_step_ms: 1,
        }
    }

    /// This process, as others know it.
    pub fn identity(&self) -> &MemberIdentity {
        &self.identity
    }

    /// The local health score of Lifeguard: 0 while timers run on time, higher after late ones. The suspicion timeout is
    /// multiplied by 1 + score.
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    /// The live processes, this one first.
    pub fn alive(&self) -> impl Iterator<Item = &MemberIdentity> {
        std::iter::once(&self.identity).chain(self.foca.iter_members().map(foca::Member::id))
    }

    /// Every process that is known, this one first.
    pub fn members(&self) -> impl Iterator<Item = (&MemberIdentity, MemberState)> {
        let others = self.foca.iter_membership_state().map(|member| (member.id(), member.state().into()));
        std::iter::once((&self.identity, MemberState::Alive))
            .chain(others.filter(|(identity, _)| identity.address != self.identity.address))
    }

    /// When the next timer is due.
    pub fn wake_at(&self) -> Option<Micros> {
        self.timers.keys().next().map(|(due, _)| *due)
    }

    /// Schedules the timers of one step and appends its other effects to the output.
    fn apply(&mut self, now: Micros, effects: Effects, output: &mut GossipOutput) {
        for (delay, timer) in effects.timers {
            self.last_timer += 1;
            self.timers.insert((now + delay.as_micros() as Micros, self.last_timer), timer);
        }
        let rejoined = effects.events.iter().rev().find_map(|event| match event {
            GossipEvent::Rejoined(identity) => Some(identity.clone()),
            _ => None,
        });
        output.outgoing.extend(effects.outgoing);
        output.events.extend(effects.events);
        if let Some(identity) = rejoined {
            self.identity = identity;
            self.raise_incarnation(now, output);
        }
    }

    /// Raises the incarnation further after repeated rejoins, by twice as much each time. Otherwise a process whose wall
    /// clock was set back since an earlier process at its address started would rejoin once for each millisecond of that.
    fn raise_incarnation(&mut self, now: Micros, output: &mut GossipOutput) {
        let repeated_within = REPEATED_REJOIN_PERIODS * self.settings.probe_period.as_micros() as Micros;
        let is_repeated = self.rejoined_at.is_some_and(|at| now <= at + repeated_within);
        self.rejoined_at = Some(now);
        if !is_repeated {
            self.rejoin_step_ms = 1;
            return;
        }
        self.rejoin_step_ms = (self.rejoin_step_ms * 2).min(MAX_REJOIN_STEP_MS);
        let incarnation = self.identity.incarnation.saturating_add(self.rejoin_step_ms);
        let identity = MemberIdentity { incarnation, ..self.identity.clone() };
        let mut effects = Effects::default();
        // The library only rejects an identity that is not new.
        if self.foca.change_identity(identity.clone(), &mut effects).is_ok() {
            self.identity = identity;
            self.apply(now, effects, output);
        }
    }

    /// Announces this process to an address where a member may listen.
    pub fn join(&mut self, now: Micros, address: SocketAddr, outgoing: &mut Vec<OutgoingGossip>) {
        let mut effects = Effects::default();
        // The identity at the address is not known; an announcement is answered whatever identity it names.
        let unknown = MemberIdentity { name: String::new(), address, instance: 0, incarnation: 0 };
        if address != self.identity.address && self.foca.announce(unknown, &mut effects).is_ok() {
            let mut output = GossipOutput::default();
            self.apply(now, effects, &mut output);
            outgoing.append(&mut output.outgoing);
        }
    }

    /// Handles received gossip.
    ///
    /// # Errors
    /// The bytes are not valid gossip, or too many members are known.
    pub fn handle(
        &mut self,
        now: Micros,
        bytes: &[u8],
        output: &mut GossipOutput,
    ) -> Result<(), GossipError> {
        let known = self.foca.iter_membership_state().len();
        if known >= MAX_MEMBERS {
            return Err(GossipError::TooManyMembers { known });
        }
        let mut effects = Effects::default();
        let result = self.foca.handle_data(bytes, &mut effects);
        self.apply(now, effects, output);
        result.map_err(|error| GossipError::Rejected { cause: error.to_string() })
    }

    /// Runs the timers that are due. If this process was paused, replies may have arrived that it has not read yet: after a
    /// late wake-up the timers are postponed so that it can read them, and the health score rises, which extends the
    /// suspicion timeout.
    pub fn wake(&mut self, now: Micros, output: &mut GossipOutput) {
        let delay = self.wake_at().map_or(0, |due| now.saturating_sub(due));
        let probe_timeout = self.settings.probe_timeout.as_micros() as Micros;
        if delay > probe_timeout / 2 && now > self.health_changed_at + probe_timeout {
            self.health_changed_at = now;
            self.set_health_score((self.health_score + 1).min(MAX_HEALTH_SCORE));
            self.postpone_timers(now + probe_timeout / 2);
            return;
        }
        let recovery = RECOVERY_PERIODS * self.settings.probe_period.as_micros() as Micros;
        if now > self.health_changed_at + recovery && self.health_score > 0 {
            self.health_changed_at = now;
            self.set_health_score(self.health_score - 1);
        }
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = entry.remove();
            let mut effects = Effects::default();
            // Errors report timers that are no longer expected; the library ignores these.
            let _ = self.foca.handle_timer(timer, &mut effects);
            self.apply(now, effects, output);
        }
    }

    fn postpone_timers(&mut self, earliest: Micros) {
        let timers = std::mem::take(&mut self.timers);
        self.timers =
            timers.into_iter().map(|((due, number), timer)| ((due.max(earliest), number), timer)).collect();
    }

    fn set_health_score(&mut self, score: u32) {
        self.health_score = score;
        // The library only rejects a change of the probe period, which is constant.
        let _ = self.foca.set_config(self.settings.foca_config(MAX_GOSSIP_BYTES, score));
    }

    /// Tells other members that this process leaves, and drops all timers.
    pub fn leave(&mut self, now: Micros, outgoing: &mut Vec<OutgoingGossip>) {
        let mut effects = Effects::default();
        let _ = self.foca.leave_cluster(&mut effects);
        let mut output = GossipOutput::default();
        self.apply(now, effects, &mut output);
        outgoing.append(&mut output.outgoing);
        self.timers.clear();
    }
}
