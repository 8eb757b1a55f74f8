//! Who is alive, by gossip: SWIM as the library `foca` has it, with its timers kept here, and awareness of one's own slowness,
//! which it lacks.

use crate::Micros;
use foca::{Foca, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec, Runtime, State, Timer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// The longest name of a member, in bytes.
pub const LONGEST_NAME: usize = 64;
/// How slow it takes itself to be at most: so many times longer it waits before it takes a suspect for gone.
const SLOWEST: u32 = 8;
/// Members of an installation that are kept at most, gone ones among them: what is told of more is not taken in.
pub const MOST_MEMBERS: usize = 4_096;

/// One process of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// What the member is called: the same after a restart.
    pub name: String,
    /// Where it hears datagrams.
    pub address: SocketAddr,
    /// Drawn at each start: tells two processes of one name apart.
    pub instance: u64,
    /// Of two at one address the later: the start's Unix time in milliseconds, and one more with each return.
    pub stamp: u64,
}

impl foca::Identity for Process {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Process { stamp: self.stamp + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.stamp, self.instance) > (other.stamp, other.instance)
    }
}

/// How quickly members are missed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// One member is asked in each.
    pub period: Duration,
    /// An answer is late after this; others are asked to ask then. Under half of the period.
    pub late: Duration,
    /// A suspect is taken for gone after this.
    pub suspicion: Duration,
    /// Members that are expected: news are passed on the more often the more there are.
    pub expected: u32,
}

/// What becomes known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// A process is there.
    Up(Process),
    /// It is gone, by the word of all.
    Down(Process),
    /// All took this one for gone: it is back under a later stamp.
    Returned(Process),
}

/// What a member is taken to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// It answers.
    Alive,
    /// Somebody did not hear from it in time; it may still say otherwise.
    Suspect,
    /// It has left, or did not say otherwise in time.
    Gone,
}

impl Seen {
    /// In a word: `alive`, `suspect` or `gone`.
    pub fn name(self) -> &'static str {
        match self {
            Seen::Alive => "alive",
            Seen::Suspect => "suspect",
            Seen::Gone => "gone",
        }
    }
}

/// What is asked of the world.
#[derive(Default)]
struct Wishes {
    send: Vec<(SocketAddr, Vec<u8>)>,
    heard: Vec<Heard>,
    timers: Vec<(Duration, Timer<Process>)>,
}

impl Runtime<Process> for Wishes {
    fn notify(&mut self, notification: Notification<'_, Process>) {
        match notification {
            Notification::MemberUp(process) => self.heard.push(Heard::Up(process.clone())),
            Notification::MemberDown(process) => self.heard.push(Heard::Down(process.clone())),
            Notification::Rename(before, after) if before.instance != after.instance => {
                self.heard.push(Heard::Down(before.clone()));
                self.heard.push(Heard::Up(after.clone()));
            }
            Notification::Rejoin(process) => self.heard.push(Heard::Returned(process.clone())),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Process, data: &[u8]) {
        self.send.push((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Process>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// Gossip of one process.
pub struct Swim {
    foca: Foca<Process, PostcardCodec, SmallRng, NoCustomBroadcast>,
    me: Process,
    pace: Pace,
    timers: BTreeMap<(Micros, u64), Timer<Process>>,
    next: u64,
    /// How slow it takes itself to be: 0 where it is in time.
    slow: u32,
    /// When it last came to its turn late, or was given the benefit of it.
    late_at: Micros,
}

fn config(pace: Pace, largest: usize, slow: u32) -> foca::Config {
    let expected = NonZeroU32::new(pace.expected.max(2)).unwrap_or(NonZeroU32::MIN);
    let one = NonZeroUsize::MIN;
    let spread = |frequency: Duration, n: usize| {
        Some(PeriodicParams { frequency, num_members: NonZeroUsize::new(n).unwrap_or(one) })
    };
    foca::Config {
        probe_period: pace.period,
        probe_rtt: pace.late,
        suspect_to_down_after: pace.suspicion * (1 + slow),
        max_packet_size: NonZeroUsize::new(largest).unwrap_or(one),
        // A member that was taken for gone hears of it from whoever it speaks to, and comes back.
        notify_down_members: true,
        // An answer names some thirty members: hundreds know of each other after some tens of periods.
        periodic_announce: spread(pace.period * 2, 1),
        periodic_announce_to_down_members: spread(pace.period * 4, 2),
        periodic_gossip: spread(pace.period / 4, 3),
        ..foca::Config::new_lan(expected)
    }
}

impl Swim {
    /// One that knows nobody yet. Datagrams are no larger than `largest`.
    pub fn new(me: Process, pace: Pace, largest: usize, seed: u64) -> Swim {
        let rng = SmallRng::seed_from_u64(seed);
        let foca = Foca::new(me.clone(), config(pace, largest, 0), rng, PostcardCodec);
        Swim { foca, me, pace, timers: BTreeMap::new(), next: 0, slow: 0, late_at: 0 }
    }

    /// This process, as others know it.
    pub fn me(&self) -> &Process {
        &self.me
    }

    /// How slow it takes itself to be; 0 where it is in time.
    pub fn slowness(&self) -> u32 {
        self.slow
    }

    /// The processes that are there, and this one.
    pub fn alive(&self) -> impl Iterator<Item = &Process> {
        std::iter::once(&self.me).chain(self.foca.iter_members().map(foca::Member::id))
    }

    /// Every process that is known of, this one first.
    pub fn all(&self) -> impl Iterator<Item = (&Process, Seen)> {
        let seen = |member: &foca::Member<Process>| match member.state() {
            State::Alive => Seen::Alive,
            State::Suspect => Seen::Suspect,
            State::Down => Seen::Gone,
        };
        let others = self.foca.iter_membership_state().map(move |member| (member.id(), seen(member)));
        std::iter::once((&self.me, Seen::Alive))
            .chain(others.filter(|(process, _)| process.address != self.me.address))
    }

    /// When it wants to be woken.
    pub fn wake_at(&self) -> Option<Micros> {
        self.timers.keys().next().map(|(at, _)| *at)
    }

    /// Takes up what one step asked of the world.
    fn take(
        &mut self,
        now: Micros,
        wishes: Wishes,
        send: &mut Vec<(SocketAddr, Vec<u8>)>,
        heard: &mut Vec<Heard>,
    ) {
        for (after, timer) in wishes.timers {
            self.next += 1;
            self.timers.insert((now + after.as_micros() as Micros, self.next), timer);
        }
        for news in &wishes.heard {
            if let Heard::Returned(process) = news {
                self.me = process.clone();
            }
        }
        send.extend(wishes.send);
        heard.extend(wishes.heard);
    }

    /// Asks a member that may be at an address to be let in.
    pub fn join(&mut self, now: Micros, at: SocketAddr, send: &mut Vec<(SocketAddr, Vec<u8>)>) {
        let mut wishes = Wishes::default();
        // Nobody's identity: an announcement is answered whatever it calls the one that hears it.
        let there = Process { name: String::new(), address: at, instance: 0, stamp: 0 };
        if at != self.me.address && self.foca.announce(there, &mut wishes).is_ok() {
            self.take(now, wishes, send, &mut Vec::new());
        }
    }

    /// Takes in a datagram.
    ///
    /// # Errors
    /// It is none of a member's, in the library's words; it has changed nothing.
    pub fn datagram(
        &mut self,
        now: Micros,
        bytes: &[u8],
        send: &mut Vec<(SocketAddr, Vec<u8>)>,
        heard: &mut Vec<Heard>,
    ) -> Result<(), String> {
        let known = self.foca.iter_membership_state().len();
        if known >= MOST_MEMBERS {
            return Err(format!("{known} members are known, expected {MOST_MEMBERS} at most"));
        }
        let mut wishes = Wishes::default();
        let done = self.foca.handle_data(bytes, &mut wishes);
        self.take(now, wishes, send, heard);
        done.map_err(|e| e.to_string())
    }

    /// Does what is due. One that comes late to its turn has not read what came meanwhile: what it would miss is put off until
    /// it has, and it takes itself for slow, so that it waits longer before it takes others for gone.
    pub fn wake(&mut self, now: Micros, send: &mut Vec<(SocketAddr, Vec<u8>)>, heard: &mut Vec<Heard>) {
        let late = self.wake_at().map_or(0, |at| now.saturating_sub(at));
        let patience = self.pace.late.as_micros() as Micros;
        if late > patience / 2 && now > self.late_at + patience {
            self.late_at = now;
            self.slower(true);
            let put_off = std::mem::take(&mut self.timers);
            self.timers = put_off
                .into_iter()
                .map(|((at, n), timer)| ((at.max(now + patience / 2), n), timer))
                .collect();
            return;
        }
        if now > self.late_at + 20 * self.pace.period.as_micros() as Micros && self.slow > 0 {
            self.late_at = now;
            self.slower(false);
        }
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = entry.remove();
            let mut wishes = Wishes::default();
            // What the library says of timers out of their turn changes nothing that it does.
            let _ = self.foca.handle_timer(timer, &mut wishes);
            self.take(now, wishes, send, heard);
        }
    }

    fn slower(&mut self, more: bool) {
        self.slow = if more { (self.slow + 1).min(SLOWEST) } else { self.slow - 1 };
        // Periods stay as they are: nothing that the library refuses to change.
        let _ = self.foca.set_config(config(self.pace, crate::LARGEST - 1, self.slow));
    }

    /// Tells the others that this one goes. Nothing more comes from it.
    pub fn leave(&mut self, now: Micros, send: &mut Vec<(SocketAddr, Vec<u8>)>) {
        let mut wishes = Wishes::default();
        let _ = self.foca.leave_cluster(&mut wishes);
        self.take(now, wishes, send, &mut Vec::new());
        self.timers.clear();
    }
}
