//! The child's end: which upstream it watches, and when it calls another.

use super::topology::Node;
use super::{Micros, HEARTBEAT_TIMEOUT, MILLISECOND, SECOND};

pub type WatchId = u64;

/// How long a call waits for the first sign.
const CONNECT_TIMEOUT: Micros = SECOND;

const INITIAL_BACKOFF: Micros = 50 * MILLISECOND;
const MAX_BACKOFF: Micros = 2 * SECOND;

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
    attempt: Option<(Watch, Micros)>,
    next_attempt_at: Option<Micros>,
    failures: u32,
    /// When a watch last told something.
    last_message_at: Option<Micros>,
    /// When the list was last confirmed by the source, as far as is known.
    confirmed_at: Option<Micros>,
    /// Something was lost: only a whole list will do.
    needs_whole_list: bool,
}

impl Follower {
    /// A child that calls its first upstream at a time.
    pub fn new(upstreams: Vec<Node>, first_attempt_at: Micros) -> Self {
        Follower {
            upstreams,
            position: 0,
            watch: None,
            attempt: None,
            next_attempt_at: Some(first_attempt_at),
            failures: 0,
            last_message_at: None,
            confirmed_at: None,
            needs_whole_list: false,
        }
    }

    pub fn needs_whole_list(&self) -> bool {
        self.needs_whole_list
    }

    /// Whether the list was confirmed within a time.
    pub fn confirmed_within(&self, bound: Micros, now: Micros) -> bool {
        self.confirmed_at.is_some_and(|at| now - at <= bound)
    }

    /// How many milliseconds ago the list was confirmed, at most.
    pub fn confirmed_ago_ms(&self, now: Micros) -> u64 {
        self.confirmed_at.map_or(0, |at| (now - at).div_ceil(MILLISECOND))
    }

    pub fn is_active(&self, id: WatchId) -> bool {
        let attempted = self.attempt.is_some_and(|(attempt, _)| attempt.id == id);
        attempted || self.watch.is_some_and(|watch| watch.id == id)
    }

    /// When [`Follower::wake`] has something to do.
    pub fn wake_at(&self) -> Option<Micros> {
        if let Some((_, deadline)) = self.attempt {
            return Some(deadline);
        }
        self.next_attempt_at.or_else(|| self.silence_deadline())
    }

    fn silence_deadline(&self) -> Option<Micros> {
        self.watch.and(self.last_message_at).map(|at| at + HEARTBEAT_TIMEOUT)
    }

    /// Gives up a call that took too long, and makes the one that is due.
    pub fn wake(&mut self, now: Micros, random: &mut fastrand::Rng, commands: &mut Vec<Command>) {
        if let Some((attempt, deadline)) = self.attempt {
            if deadline <= now {
                self.attempt = None;
                commands.push(Command::Close { watch: attempt.id, upstream: attempt.upstream });
                self.schedule_retry(now, random);
            }
        }
        let silent = self.silence_deadline().is_some_and(|at| at <= now);
        if self.attempt.is_none() && self.next_attempt_at.is_none() && silent {
            self.position += 1;
            self.next_attempt_at = Some(now);
        }
        if self.attempt.is_none() && self.next_attempt_at.is_some_and(|at| at <= now) {
            self.connect(now, random, commands);
        }
    }

    fn connect(&mut self, now: Micros, random: &mut fastrand::Rng, commands: &mut Vec<Command>) {
        let upstream = self.upstreams[self.position % self.upstreams.len()];
        let watch = Watch { id: random.u64(..), upstream };
        self.next_attempt_at = None;
        self.attempt = Some((watch, now + CONNECT_TIMEOUT));
        commands.push(Command::Connect { watch: watch.id, upstream });
    }

    /// The next upstream is called after a pause that grows.
    fn schedule_retry(&mut self, now: Micros, random: &mut fastrand::Rng) {
        self.position += 1;
        let backoff = (INITIAL_BACKOFF << self.failures.min(10)).min(MAX_BACKOFF);
        self.failures += 1;
        self.next_attempt_at = Some(now + random.u64(backoff / 2..=backoff));
    }

    /// A watch told something that was taken in, of a list that was confirmed some milliseconds ago. Gives whether
    /// it was not the one that was followed.
    pub fn message_applied(
        &mut self,
        id: WatchId,
        now: Micros,
        ago_ms: u64,
        commands: &mut Vec<Command>,
    ) -> bool {
        let opened = self.attempt.filter(|(attempt, _)| attempt.id == id);
        let superseded = match opened {
            Some((attempt, _)) => self.watch.replace(attempt),
            None => self.attempt.map(|(attempt, _)| attempt),
        };
        if let Some(superseded) = superseded {
            commands.push(Command::Close { watch: superseded.id, upstream: superseded.upstream });
        }
        self.attempt = None;
        self.next_attempt_at = None;
        self.failures = 0;
        self.last_message_at = Some(now);
        self.confirmed_at = self.confirmed_at.max(now.checked_sub(ago_ms * MILLISECOND));
        self.needs_whole_list = false;
        opened.is_some()
    }

    /// A watch or call was refused, ended, or told what could not be taken in.
    pub fn connection_failed(
        &mut self,
        id: WatchId,
        now: Micros,
        random: &mut fastrand::Rng,
        commands: &mut Vec<Command>,
    ) {
        let attempted = self.attempt.filter(|(attempt, _)| attempt.id == id).map(|(attempt, _)| attempt);
        let watched = self.watch.filter(|watch| watch.id == id);
        let Some(ended) = attempted.or(watched) else { return };
        commands.push(Command::Close { watch: ended.id, upstream: ended.upstream });
        if attempted.is_some() {
            self.attempt = None;
        } else {
            self.watch = None;
        }
        if self.attempt.is_none() && self.next_attempt_at.is_none() {
            self.schedule_retry(now, random);
        }
    }

    /// A watch told a digest that is not that of the list: the same upstream is asked for the whole list, and the
    /// next one where that does not help.
    pub fn request_whole_list(
        &mut self,
        id: WatchId,
        now: Micros,
        random: &mut fastrand::Rng,
        commands: &mut Vec<Command>,
    ) {
        let already_requested = self.needs_whole_list;
        let position = self.position;
        self.connection_failed(id, now, random, commands);
        self.needs_whole_list = true;
        if !already_requested {
            self.position = position;
            self.next_attempt_at = self.next_attempt_at.map(|_| now);
        }
    }
}
