//! The receiving side of a watch: the choice of the upstream, reconnection and freshness of the list.

use super::topology::Node;
use super::{Micros, HEARTBEAT_TIMEOUT, MILLISECOND, SECOND};

pub type WatchId = u64;

/// The longest wait for the first message of a new watch.
const CONNECT_TIMEOUT: Micros = SECOND;

const INITIAL_BACKOFF: Micros = 50 * MILLISECOND;
const MAX_BACKOFF: Micros = 2 * SECOND;

/// A network action requested by a follower.
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

/// The connection state of a child. A silent watch is kept until a message from its replacement has been applied.
pub struct Follower {
    upstreams: Vec<Node>,
    position: usize,
    watch: Option<Watch>,
    /// The pending connection attempt and its deadline.
    attempt: Option<(Watch, Micros)>,
    next_attempt_at: Option<Micros>,
    failures: u32,
    /// When a message of a watch was last applied.
    last_message_at: Option<Micros>,
    /// The latest time at which the list is known to have been confirmed by the source.
    confirmed_at: Option<Micros>,
    /// Whether a digest mismatch showed that a change was lost. Connection attempts then request a whole list.
    needs_whole_list: bool,
}

impl Follower {
    /// Creates a follower that connects to its first upstream at `first_attempt_at`.
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

    /// Whether the list was confirmed at most `bound` ago.
    pub fn confirmed_within(&self, bound: Micros, now: Micros) -> bool {
        self.confirmed_at.is_some_and(|at| now - at <= bound)
    }

    /// Milliseconds since the list was last confirmed, rounded up; zero if it never was.
    pub fn confirmed_ago_ms(&self, now: Micros) -> u64 {
        self.confirmed_at.map_or(0, |at| (now - at).div_ceil(MILLISECOND))
    }

    pub fn is_active(&self, id: WatchId) -> bool {
        let attempted = self.attempt.is_some_and(|(attempt, _)| attempt.id == id);
        attempted || self.watch.is_some_and(|watch| watch.id == id)
    }

    /// The time of the next call of [`Follower::wake`].
    pub fn wake_at(&self) -> Option<Micros> {
        if let Some((_, deadline)) = self.attempt {
            return Some(deadline);
        }
        self.next_attempt_at.or_else(|| self.silence_deadline())
    }

    fn silence_deadline(&self) -> Option<Micros> {
        self.watch.and(self.last_message_at).map(|at| at + HEARTBEAT_TIMEOUT)
    }

    /// Abandons an attempt that timed out, and connects if an attempt is due or the watch has been silent.
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

    /// Schedules an attempt at the next upstream after an exponential backoff with jitter.
    fn schedule_retry(&mut self, now: Micros, random: &mut fastrand::Rng) {
        self.position += 1;
        let backoff = (INITIAL_BACKOFF << self.failures.min(10)).min(MAX_BACKOFF);
        self.failures += 1;
        self.next_attempt_at = Some(now + random.u64(backoff / 2..=backoff));
    }

    /// Records that a message of a watch was applied, and that its list was confirmed `ago_ms` before. Returns whether
    /// this was the first message of a new watch, which then replaces the previous one.
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

    /// Closes a watch or attempt that was refused or whose message could not be applied, and schedules a retry.
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

    /// Reconnects after a digest mismatch to get the whole list: at once and from the same upstream, or after a backoff
    /// from the next one if a whole list was already requested.
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
