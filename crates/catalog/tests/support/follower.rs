//! The child's end: which upstream it watches, and when it calls another.

use super::topology::Node;
use super::{Micros, HEARTBEAT_TIMEOUT, MILLISECOND, SECOND};

pub type WatchId = u64;

/// How long a call waits for the first sign.
const CALL_TIMEOUT: Micros = SECOND;

const FIRST_PAUSE: Micros = 50 * MILLISECOND;
const LONGEST_PAUSE: Micros = 2 * SECOND;

/// What the child wants done.
#[derive(Debug)]
pub enum Command {
    Connect { watch: WatchId, upstream: Node },
    Close { watch: WatchId, upstream: Node },
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    id: WatchId,
    upstream: Node,
}

/// A watch is kept until another has given a sign, however silent it is.
pub struct Follower {
    upstreams: Vec<Node>,
    position: usize,
    watch: Option<Watch>,
    call: Option<(Watch, Micros)>,
    next_call: Option<Micros>,
    failures: u32,
    /// When a watch last told something.
    last_sign: Option<Micros>,
    /// When the list was last confirmed by the source, as far as is known.
    confirmed: Option<Micros>,
    /// Something was lost: only a whole list will do.
    repairs: bool,
}

impl Follower {
    /// A child that calls its first upstream at a time.
    pub fn new(upstreams: Vec<Node>, first_call: Micros) -> Self {
        Follower {
            upstreams,
            position: 0,
            watch: None,
            call: None,
            next_call: Some(first_call),
            failures: 0,
            last_sign: None,
            confirmed: None,
            repairs: false,
        }
    }

    pub fn repairs(&self) -> bool {
        self.repairs
    }

    /// Whether the list was confirmed within a time.
    pub fn confirmed_within(&self, bound: Micros, now: Micros) -> bool {
        self.confirmed.is_some_and(|at| now - at <= bound)
    }

    /// How many milliseconds ago the list was confirmed, at most.
    pub fn confirmed_ago_ms(&self, now: Micros) -> u64 {
        self.confirmed.map_or(0, |at| (now - at).div_ceil(MILLISECOND))
    }

    pub fn knows(&self, id: WatchId) -> bool {
        let called = self.call.is_some_and(|(call, _)| call.id == id);
        called || self.watch.is_some_and(|watch| watch.id == id)
    }

    /// When [`Follower::wake`] has something to do.
    pub fn wake_at(&self) -> Option<Micros> {
        if let Some((_, deadline)) = self.call {
            return Some(deadline);
        }
        self.next_call.or_else(|| self.silent_at())
    }

    fn silent_at(&self) -> Option<Micros> {
        self.watch.and(self.last_sign).map(|at| at + HEARTBEAT_TIMEOUT)
    }

    /// Gives up a call that took too long, and makes the one that is due.
    pub fn wake(&mut self, now: Micros, random: &mut fastrand::Rng, commands: &mut Vec<Command>) {
        if let Some((call, deadline)) = self.call {
            if deadline <= now {
                self.call = None;
                commands.push(Command::Close { watch: call.id, upstream: call.upstream });
                self.call_later(now, random);
            }
        }
        let silent = self.silent_at().is_some_and(|at| at <= now);
        if self.call.is_none() && self.next_call.is_none() && silent {
            self.position += 1;
            self.next_call = Some(now);
        }
        if self.call.is_none() && self.next_call.is_some_and(|at| at <= now) {
            self.call(now, random, commands);
        }
    }

    fn call(&mut self, now: Micros, random: &mut fastrand::Rng, commands: &mut Vec<Command>) {
        let upstream = self.upstreams[self.position % self.upstreams.len()];
        let watch = Watch { id: random.u64(..), upstream };
        self.next_call = None;
        self.call = Some((watch, now + CALL_TIMEOUT));
        commands.push(Command::Connect { watch: watch.id, upstream });
    }

    /// The next upstream is called after a pause that grows.
    fn call_later(&mut self, now: Micros, random: &mut fastrand::Rng) {
        self.position += 1;
        let pause = (FIRST_PAUSE << self.failures.min(10)).min(LONGEST_PAUSE);
        self.failures += 1;
        self.next_call = Some(now + random.u64(pause / 2..=pause));
    }

    /// A watch told something that was taken in, of a list that was confirmed some milliseconds ago. Gives whether
    /// it was not the one that was followed.
    pub fn sign(&mut self, id: WatchId, now: Micros, ago_ms: u64, commands: &mut Vec<Command>) -> bool {
        let opened = self.call.filter(|(call, _)| call.id == id);
        let dropped = match opened {
            Some((call, _)) => self.watch.replace(call),
            None => self.call.map(|(call, _)| call),
        };
        if let Some(dropped) = dropped {
            commands.push(Command::Close { watch: dropped.id, upstream: dropped.upstream });
        }
        self.call = None;
        self.next_call = None;
        self.failures = 0;
        self.last_sign = Some(now);
        self.confirmed = self.confirmed.max(now.checked_sub(ago_ms * MILLISECOND));
        self.repairs = false;
        opened.is_some()
    }

    /// A watch or call was refused, ended, or told what could not be taken in.
    pub fn failed(
        &mut self,
        id: WatchId,
        now: Micros,
        random: &mut fastrand::Rng,
        commands: &mut Vec<Command>,
    ) {
        let called = self.call.filter(|(call, _)| call.id == id).map(|(call, _)| call);
        let watched = self.watch.filter(|watch| watch.id == id);
        let Some(ended) = called.or(watched) else { return };
        commands.push(Command::Close { watch: ended.id, upstream: ended.upstream });
        if called.is_some() {
            self.call = None;
        } else {
            self.watch = None;
        }
        if self.call.is_none() && self.next_call.is_none() {
            self.call_later(now, random);
        }
    }

    /// A watch told a digest that is not that of the list: the same upstream is asked for the whole list, and the
    /// next one where that does not help.
    pub fn repair(
        &mut self,
        id: WatchId,
        now: Micros,
        random: &mut fastrand::Rng,
        commands: &mut Vec<Command>,
    ) {
        let again = self.repairs;
        let position = self.position;
        self.failed(id, now, random, commands);
        self.repairs = true;
        if !again {
            self.position = position;
            self.next_call = self.next_call.map(|_| now);
        }
    }
}
