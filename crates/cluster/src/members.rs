//! Membership, leases and duties of one process together.

use crate::duties;
use crate::lease::{Change, Claim, Claims, Terms, Voter, Votes};
use crate::swim::{Heard, Pace, Process, Seen, Swim, LONGEST_NAME};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

/// The largest datagram that is sent or taken, in bytes.
pub const LARGEST: usize = 1_400;
/// Slots of one claim: what fits into a datagram, with the answer's words.
const SLOTS_AT_ONCE: usize = 60;
/// The most that a holder may tell at once, in bytes.
pub const LONGEST_TOLD: usize = 1_200;
/// Claims go out so many times in a term.
const CLAIMS: u64 = 4;
/// Nobody known: how often the addresses to join by are asked, in periods.
const JOIN_EVERY: u32 = 2;

/// How one member is set up.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// What it is called: the same after a restart, and nobody else's.
    pub name: String,
    /// Where it hears datagrams.
    pub address: SocketAddr,
    /// Members to join by.
    pub join: Vec<SocketAddr>,
    /// Members whose majority gives duties out, the same list at each member; may hold this one. Without any there are no duties.
    pub voters: Vec<SocketAddr>,
    /// Duties are dealt by slots, so many, the same at each member.
    pub slots: u16,
    /// How quickly members are missed.
    pub pace: Pace,
    /// How long duties are held without a word.
    pub terms: Terms,
}

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Which.
    pub key: &'static str,
    /// What was found, and what was expected.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.key, self.what)
    }
}

impl Settings {
    /// Whether they can be used.
    ///
    /// # Errors
    /// Every setting that cannot.
    pub fn check(&self) -> Result<(), Vec<Problem>> {
        let mut problems = Vec::new();
        let mut say = |key, what: String| problems.push(Problem { key, what });
        if self.name.is_empty() || self.name.len() > LONGEST_NAME {
            say("name", format!("has {} bytes, expected 1 to {LONGEST_NAME}", self.name.len()));
        }
        for (key, all) in [("join", &self.join), ("voters", &self.voters)] {
            if let Some(other) = all.iter().find(|a| !a.ip().is_loopback()) {
                say(
                    key,
                    format!("has {other}, expected addresses of this machine: members talk on loopback only"),
                );
            }
        }
        if !self.address.ip().is_loopback() {
            say("listen", format!("is {}, expected an address of this machine", self.address));
        }
        let distinct: BTreeSet<_> = self.voters.iter().collect();
        if distinct.len() != self.voters.len() {
            say("voters", "names one twice, expected different addresses".into());
        }
        if !self.voters.is_empty() && (self.voters.len().is_multiple_of(2) || self.voters.len() > 9) {
            say("voters", format!("are {}, expected 1, 3, 5, 7 or 9", self.voters.len()));
        }
        if !(1..=1_024).contains(&self.slots) {
            say("slots", format!("are {}, expected 1 to 1024", self.slots));
        }
        let (period, late) = (self.pace.period.as_millis(), self.pace.late.as_millis());
        if !(20..=60_000).contains(&period) {
            say("period_ms", format!("is {period}, expected 20 to 60000"));
        }
        if late == 0 || 2 * late > period {
            say("late_ms", format!("is {late}, expected 1 to half of period_ms, {}", period / 2));
        }
        if self.pace.suspicion < self.pace.period {
            let found = self.pace.suspicion.as_millis();
            say("suspicion_ms", format!("is {found}, expected period_ms, {period}, at least"));
        }
        if !(0.0..=0.2).contains(&self.terms.drift) {
            say("drift", format!("is {}, expected 0 to 0.2", self.terms.drift));
        }
        if !(50_000..=600_000_000).contains(&self.terms.term) {
            say("term_ms", format!("is {}, expected 50 to 600000", self.terms.term / 1_000));
        }
        if problems.is_empty() {
            Ok(())
        } else {
            Err(problems)
        }
    }
}

/// What comes in.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A datagram from an address.
    Datagram(SocketAddr, &'a [u8]),
    /// It is time: see [`Members::wake_at`]. Early ones do no harm.
    Wake,
    /// The process is asked to end: duties are given back, the others told. Nothing comes out of it afterwards.
    Leave,
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A datagram to an address.
    Send(SocketAddr, Vec<u8>),
    /// Something that others rely on.
    News(News),
}

/// What becomes known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// A process is there.
    Up(Process),
    /// It is gone.
    Down(Process),
    /// The others took this one for gone; it is back.
    Returned,
    /// Two processes that are there call themselves alike.
    NameTaken {
        /// The name.
        name: String,
        /// Their instances.
        instances: [u64; 2],
    },
    /// A slot of duties is held here from now on, by this token.
    Held(u16, u64),
    /// It is no more.
    Lost(u16, u64),
    /// What the holder of a slot tells all; no holder before the latest that was heard of is listened to.
    Told {
        /// The slot.
        slot: u16,
        /// Its token.
        token: u64,
        /// What it tells.
        what: Vec<u8>,
    },
    /// A datagram that is none of a member's.
    Foreign {
        /// From where.
        from: SocketAddr,
        /// What is wrong with it.
        what: String,
    },
}

/// What goes by datagram beside gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Word {
    Claim(Claim),
    Votes(Votes),
    Released {
        holder: u64,
        slots: Vec<(u16, u64)>,
    },
    /// The slots are free now, for the one that ought to have them.
    Free(Vec<u16>),
    /// What the holder of a slot has to tell all.
    Told {
        slot: u16,
        token: u64,
        what: Vec<u8>,
    },
}

const GOSSIP: u8 = 1;
const WORD: u8 = 2;

/// A line of the table of members.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Who.
    pub process: Process,
    /// What it is taken to be.
    pub seen: Seen,
    /// Since when, by this process's clock.
    pub since: Micros,
    /// Slots that it ought to have. Whether it does, it alone knows.
    pub slots: usize,
}

/// What one member has of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// Slots that are held here now, with their tokens.
    pub held: Vec<(u16, u64)>,
    /// How slow it takes itself to be; 0 where it is in time.
    pub slowness: u32,
}

/// One process's part in it all.
pub struct Members {
    settings: Settings,
    swim: Swim,
    voter: Option<Voter>,
    claims: Claims,
    /// What new tokens are not under: Unix time in milliseconds at the start, and what has passed since.
    stamp: (u64, Micros),
    next_claim: Micros,
    next_join: Micros,
    /// Who ought to have which slot has to be looked at anew.
    moved: bool,
    /// By address: when it was last said to be there or gone.
    since: BTreeMap<SocketAddr, Micros>,
    alike: BTreeSet<(u64, u64)>,
    /// The latest token that was heard of, by slot.
    latest: BTreeMap<u16, u64>,
    left: bool,
}

impl Members {
    /// One that starts now. `instance` is drawn at each start, `unix_ms` the wall clock's time.
    ///
    /// # Errors
    /// Settings that cannot be used.
    pub fn new(
        settings: Settings,
        instance: u64,
        now: Micros,
        unix_ms: u64,
    ) -> Result<Members, Vec<Problem>> {
        settings.check()?;
        let (name, address) = (settings.name.clone(), settings.address);
        let me = Process { name, address, instance, stamp: unix_ms };
        let votes = settings.voters.contains(&address);
        Ok(Members {
            swim: Swim::new(me, settings.pace, LARGEST - 1, instance),
            voter: votes.then(|| Voter::new(settings.terms, settings.slots, now)),
            claims: Claims::new(instance, settings.terms, settings.voters.len()),
            stamp: (unix_ms, now),
            next_claim: now,
            next_join: now,
            moved: true,
            since: BTreeMap::new(),
            alike: BTreeSet::new(),
            latest: BTreeMap::new(),
            left: false,
            settings,
        })
    }

    /// This process, as others know it.
    pub fn me(&self) -> &Process {
        self.swim.me()
    }

    /// Processes that are there, this one among them.
    pub fn alive(&self) -> impl Iterator<Item = &Process> {
        self.swim.alive()
    }

    /// When it wants to be woken.
    pub fn wake_at(&self, now: Micros) -> Micros {
        let own = self.next_claim.min(self.next_join);
        let ends = self.claims.ends_at(now).unwrap_or(Micros::MAX);
        self.swim.wake_at().unwrap_or(Micros::MAX).min(own).min(ends)
    }

    /// The token by which a slot is held here now; none where it is not. To be asked before each thing that is done by it.
    pub fn holds(&self, now: Micros, slot: u16) -> Option<u64> {
        self.claims.holds(now, slot)
    }

    /// The slot that a thing by a name lies in.
    pub fn slot_of(&self, name: &str) -> u16 {
        duties::slot_of(name, self.settings.slots)
    }

    /// Takes one thing in and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        let (mut send, mut heard) = (Vec::new(), Vec::new());
        match input {
            Input::Datagram(from, bytes) => self.datagram(now, from, bytes, &mut send, &mut heard, out),
            Input::Wake => self.swim.wake(now, &mut send, &mut heard),
            Input::Leave => {
                self.give_back(Vec::new(), out);
                self.swim.leave(now, &mut send);
                self.left = true;
            }
        }
        self.pass_on(send, out);
        self.take(now, heard, out);
        if !self.left {
            self.periodic(now, out);
        }
        for change in self.claims.changes(now) {
            out.push(Output::News(match change {
                Change::Held(slot, token) => News::Held(slot, token),
                Change::Lost(slot, token) => News::Lost(slot, token),
            }));
        }
    }

    fn pass_on(&self, send: Vec<(SocketAddr, Vec<u8>)>, out: &mut Vec<Output>) {
        for (to, mut bytes) in send {
            bytes.insert(0, GOSSIP);
            out.push(Output::Send(to, bytes));
        }
    }

    fn say(to: SocketAddr, word: &Word, out: &mut Vec<Output>) {
        if let Ok(bytes) = postcard::to_extend(word, vec![WORD]) {
            out.push(Output::Send(to, bytes));
        }
    }

    fn datagram(
        &mut self,
        now: Micros,
        from: SocketAddr,
        bytes: &[u8],
        send: &mut Vec<(SocketAddr, Vec<u8>)>,
        heard: &mut Vec<Heard>,
        out: &mut Vec<Output>,
    ) {
        let done = match bytes.split_first() {
            _ if bytes.len() > LARGEST => Err(format!("{} bytes, expected {LARGEST} at most", bytes.len())),
            Some((&GOSSIP, rest)) => self.swim.datagram(now, rest, send, heard),
            Some((&WORD, rest)) => match postcard::from_bytes(rest) {
                Ok(word) => {
                    self.word(now, from, word, out);
                    Ok(())
                }
                Err(e) => Err(format!("no word of a member: {e}")),
            },
            Some((kind, _)) => Err(format!("it begins with {kind}, expected {GOSSIP} or {WORD}")),
            None => Err("it is empty".into()),
        };
        if let Err(what) = done {
            out.push(Output::News(News::Foreign { from, what }));
        }
    }

    fn word(&mut self, now: Micros, from: SocketAddr, word: Word, out: &mut Vec<Output>) {
        match word {
            Word::Claim(claim) => {
                if let Some(voter) = &mut self.voter {
                    let votes = voter.vote(now, &claim);
                    Self::say(from, &Word::Votes(votes), out);
                }
            }
            Word::Votes(votes) => {
                let place = self.settings.voters.iter().position(|voter| *voter == from);
                let again = place.is_some_and(|place| self.claims.voted(now, place as u8, &votes));
                if again {
                    // Once: what is heard next is looked at when it comes.
                    self.claim(now, out);
                }
            }
            Word::Released { holder, slots } => {
                if let Some(voter) = &mut self.voter {
                    voter.released(holder, &slots);
                }
            }
            Word::Free(_) => self.next_claim = now,
            Word::Told { slot, token, what } => {
                let latest = self.latest.entry(slot).or_default();
                // One that was paused before it sent, or whose words were held back, is fenced by its successor's token.
                if slot < self.settings.slots && token >= *latest {
                    *latest = token;
                    out.push(Output::News(News::Told { slot, token, what }));
                }
            }
        }
    }

    /// Wants these slots from now on, and tells voters and those that ought to have them which others are free.
    fn give_back(&mut self, keep: Vec<u16>, out: &mut Vec<Output>) {
        let given_back = self.claims.want(keep.into_iter());
        let mut next: BTreeMap<SocketAddr, Vec<u16>> = BTreeMap::new();
        let me = self.swim.me().clone();
        let others: Vec<(String, SocketAddr)> = self
            .swim
            .alive()
            .filter(|p| p.instance != me.instance)
            .map(|p| (p.name.clone(), p.address))
            .collect();
        for (slot, _) in &given_back {
            let owner = duties::owner(*slot, others.iter().map(|(name, _)| name.as_str()));
            if let Some((_, address)) = others.iter().find(|(name, _)| Some(name.as_str()) == owner) {
                next.entry(*address).or_default().push(*slot);
            }
        }
        for slots in given_back.chunks(SLOTS_AT_ONCE) {
            let released = Word::Released { holder: me.instance, slots: slots.to_vec() };
            let others = self.settings.voters.iter().filter(|to| **to != me.address);
            others.for_each(|to| Self::say(*to, &released, out));
            if let Some(voter) = &mut self.voter {
                voter.released(me.instance, slots);
            }
        }
        for (to, slots) in next {
            Self::say(to, &Word::Free(slots), out);
        }
    }

    fn take(&mut self, now: Micros, heard: Vec<Heard>, out: &mut Vec<Output>) {
        for news in heard {
            self.moved = true;
            let news = match news {
                Heard::Up(process) => {
                    self.since.insert(process.address, now);
                    self.told_apart(&process, out);
                    News::Up(process)
                }
                Heard::Down(process) => {
                    self.since.insert(process.address, now);
                    News::Down(process)
                }
                Heard::Returned(_) => News::Returned,
            };
            out.push(Output::News(news));
        }
    }

    /// Two that call themselves alike are said once each.
    fn told_apart(&mut self, process: &Process, out: &mut Vec<Output>) {
        let twin = self.swim.alive().find(|p| p.name == process.name && p.instance != process.instance);
        let Some(twin) = twin.map(|twin| twin.instance) else { return };
        let instances = [twin.min(process.instance), twin.max(process.instance)];
        if self.alike.insert((instances[0], instances[1])) {
            out.push(Output::News(News::NameTaken { name: process.name.clone(), instances }));
        }
    }

    fn periodic(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now >= self.next_join {
            self.next_join = now + (self.settings.pace.period * JOIN_EVERY).as_micros() as Micros;
            // Whoever is not known is asked: one that was cut off from all others finds back so, however long it took.
            let known: BTreeSet<SocketAddr> = self.swim.alive().map(|p| p.address).collect();
            let mut send = Vec::new();
            for at in self.settings.join.iter().filter(|at| !known.contains(at)) {
                self.swim.join(now, *at, &mut send);
            }
            self.pass_on(send, out);
        }
        if std::mem::take(&mut self.moved) {
            self.deal(now, out);
        }
        if now >= self.next_claim {
            self.claim(now, out);
        }
    }

    /// What those are called that are there.
    fn names(&self) -> BTreeSet<&str> {
        self.swim.alive().map(|p| p.name.as_str()).collect()
    }

    /// Wants the slots that this one ought to have, and gives back the others. Of two of one name the later started has none.
    fn deal(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.settings.voters.is_empty() {
            return;
        }
        let me = self.swim.me().clone();
        let twin =
            self.swim.alive().any(|p| p.name == me.name && (p.stamp, p.instance) < (me.stamp, me.instance));
        let names = self.names();
        let own = |slot: &u16| !twin && duties::owner(*slot, names.iter().copied()) == Some(me.name.as_str());
        let wanted: Vec<u16> = (0..self.settings.slots).filter(own).collect();
        self.give_back(wanted, out);
        self.next_claim = now;
    }

    fn claim(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.next_claim = now + self.settings.terms.term / CLAIMS;
        let stamp = self.stamp.0 + now.saturating_sub(self.stamp.1) / 1_000;
        let Some(claim) = self.claims.claim(now, stamp) else { return };
        for slots in claim.slots.chunks(SLOTS_AT_ONCE) {
            let part = Claim { slots: slots.to_vec(), ..claim.clone() };
            for (place, to) in self.settings.voters.iter().enumerate() {
                match &mut self.voter {
                    Some(voter) if *to == self.settings.address => {
                        let votes = voter.vote(now, &part);
                        self.claims.voted(now, place as u8, &votes);
                    }
                    _ => Self::say(*to, &Word::Claim(part.clone()), out),
                }
            }
        }
    }

    /// Tells all others something by a slot that is held here. False, and nothing is told, where it is not, or where it is
    /// longer than [`LONGEST_TOLD`].
    pub fn tell(&mut self, now: Micros, slot: u16, what: &[u8], out: &mut Vec<Output>) -> bool {
        let Some(token) = self.holds(now, slot).filter(|_| what.len() <= LONGEST_TOLD) else { return false };
        let me = self.settings.address;
        let told = Word::Told { slot, token, what: what.to_vec() };
        let others: Vec<SocketAddr> = self.swim.alive().map(|p| p.address).filter(|to| *to != me).collect();
        others.into_iter().for_each(|to| Self::say(to, &told, out));
        true
    }

    /// Every process that is known of, this one first.
    pub fn table(&self, now: Micros) -> Vec<Row> {
        let names = self.names();
        let mut slots: BTreeMap<&str, usize> = BTreeMap::new();
        for slot in 0..self.settings.slots {
            if let Some(owner) = duties::owner(slot, names.iter().copied()) {
                *slots.entry(owner).or_default() += 1;
            }
        }
        let row = |(process, seen): (&Process, Seen)| {
            let since = self.since.get(&process.address).copied().unwrap_or(self.stamp.1);
            let there = seen != Seen::Gone;
            let slots = slots.get(process.name.as_str()).copied().filter(|_| there).unwrap_or(0);
            Row { process: process.clone(), seen, since: now.min(since), slots }
        };
        self.swim.all().map(row).collect()
    }

    /// What this process has of its own.
    pub fn standing(&self, now: Micros) -> Standing {
        let held = (0..self.settings.slots).filter_map(|slot| Some((slot, self.holds(now, slot)?)));
        Standing { held: held.collect(), slowness: self.swim.slowness() }
    }
}
