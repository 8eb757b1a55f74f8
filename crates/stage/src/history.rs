//! What happened in a rehearsal, as clients, stand-ins and links saw it on the wire. The judge knows nothing
//! else, and nobody who writes it judges.

use crate::schedule::Micros;
use serde::Serialize;
use std::sync::Mutex;
use std::time::Instant;

/// The id of one try, as in `X-Correlation-Id`.
pub type TryId = u64;
/// The number of an attempt at a node, unique in the rehearsal.
pub type AttemptId = u32;

/// What a body said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Body {
    /// What a node made for this try.
    Own,
    /// Something else.
    Foreign,
}

/// What an authoriser made of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Ruling {
    /// Allowed.
    Allowed,
    /// Denied.
    Denied,
    /// Answered in a way that cannot be gone by, or not at all.
    Wrong,
    /// Told that it was not seen.
    Unseen,
}

/// How an attempt ended, as its node saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Over {
    /// Answered with this status.
    Answered(u16),
    /// Answered that it was not taken up: it never ran.
    Turned,
    /// Its connection ended first.
    Closed,
    /// The node broke off: it died, or spoilt its answer.
    Spoilt,
}

/// What became of a limiter's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Process {
    /// Started by the kit.
    Started,
    /// Answered `GET /up` with 200.
    Ready,
    /// About to get SIGKILL from the kit.
    Killed,
    /// About to get SIGTERM from the kit.
    Terminated,
    /// About to get SIGSTOP from the kit.
    Paused,
    /// Got SIGCONT from the kit.
    Resumed,
    /// Has ended; whether the kit asked for it, and the exit code if there was one.
    Ended(bool, Option<i32>),
}

/// State of a node in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Listed {
    /// Takes work.
    InService,
    /// Finishes what it has.
    Draining,
    /// Withdrawn.
    Gone,
}

/// What became of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum NodeNews {
    /// A process started; cold ones warm up.
    Started {
        /// Whether it begins cold.
        cold: bool,
    },
    /// Its process is gone.
    Down,
    /// It was pushed over while cold.
    Collapsed,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Event {
    /// A client wrote the last byte of a try to a connection that the limiter's machine accepted.
    Sent {
        /// The try.
        id: TryId,
        /// The limiter.
        limiter: u16,
        /// When its client gives up.
        due: Micros,
    },
    /// A kept connection ended before a byte of an answer: the same try goes out on a new one.
    Resent {
        /// The try.
        id: TryId,
        /// That it was not read is proven; else it is as likely as not.
        sure: bool,
    },
    /// A try found no limiter: refused, or never written whole.
    Unreached {
        /// The try.
        id: TryId,
        /// The limiter.
        limiter: u16,
    },
    /// A whole answer came.
    Answered {
        /// The try.
        id: TryId,
        /// Its status.
        status: u16,
        /// `Retry-After`, if it was given.
        advice: Option<Micros>,
        /// Whether a 200's body is a node's own.
        body: Body,
    },
    /// The connection ended with no whole answer.
    Lost {
        /// The try.
        id: TryId,
        /// Bytes of an answer that had come.
        bytes: u32,
    },
    /// The client waited past its deadline and stopped.
    Unanswered {
        /// The try.
        id: TryId,
    },
    /// The client left.
    Left {
        /// The try.
        id: TryId,
    },
    /// A limiter wrote on a client's connection what nobody asked for.
    Surplus {
        /// The try that was answered before.
        id: TryId,
        /// How much.
        bytes: u32,
    },
    /// An attempt came whole to a node.
    Arrived {
        /// The attempt.
        attempt: AttemptId,
        /// The try; 0 where no client sent it.
        id: TryId,
        /// The node and the number of its process.
        node: u16,
        /// Process of the node, from 0.
        life: u32,
        /// The limiter.
        limiter: u16,
        /// When its first byte came.
        first: Micros,
        /// Attempts of the same try whose connections were open then, by the kernel's word.
        open: Vec<AttemptId>,
        /// The version of the inventory by which the node was chosen, if the limiter says so.
        version: Option<u64>,
    },
    /// An inventory file has been written whole; the time is that of the last write's end.
    Written {
        /// The limiter that reads it.
        limiter: u16,
        /// Its version.
        version: u64,
        /// The nodes that take work by it.
        nodes: Vec<u16>,
    },
    /// An inventory file has been damaged or taken away: the version before cannot be read any more.
    Spoilt {
        /// The limiter that reads it.
        limiter: u16,
    },
    /// A request came to a node otherwise than its client had sent it.
    Altered {
        /// The try.
        id: TryId,
        /// What was found, and what was sent.
        what: String,
    },
    /// An attempt ended.
    Over {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        how: Over,
    },
    /// The list has written a node's state to a limiter.
    Told {
        /// The limiter.
        limiter: u16,
        /// The node.
        node: u16,
        /// Its process.
        life: u32,
        /// Its state.
        state: Listed,
    },
    /// What became of a node.
    Node {
        /// The node.
        node: u16,
        /// Its process.
        life: u32,
        /// What.
        what: NodeNews,
    },
    /// What became of a limiter.
    Limiter {
        /// The limiter.
        limiter: u16,
        /// What.
        what: Process,
    },
    /// A fault begins or is undone.
    Fault {
        /// Its number in the schedule.
        id: u32,
        /// Begins.
        on: bool,
    },
    /// A question came whole to the authoriser, and got this.
    Questioned {
        /// The limiter.
        limiter: u16,
        /// The try; 0 where the question does not say.
        id: TryId,
        /// What it got.
        ruling: Ruling,
    },
    /// A call came to the keeper.
    Called {
        /// The limiter.
        limiter: u16,
        /// Answered with a total.
        answered: bool,
    },
    /// A probe came to a node.
    Probed {
        /// The limiter.
        limiter: u16,
    },
    /// The kit itself was late by at most this much since the last such note.
    Late {
        /// How late.
        by: Micros,
    },
    /// What a limiter's process has used so far.
    Usage {
        /// The limiter.
        limiter: u16,
        /// CPU time since its start.
        cpu: Micros,
        /// Resident memory in kilobytes.
        memory_kb: u64,
        /// Open descriptors.
        descriptors: u32,
    },
    /// What the kit's own process has used so far.
    KitUsage {
        /// CPU time since the start.
        cpu: Micros,
    },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// When.
    pub at: Micros,
    /// What.
    pub event: Event,
}

/// Where events are written while a rehearsal runs.
pub struct Recorder {
    began: Instant,
    entries: Mutex<Vec<Entry>>,
}

impl Recorder {
    /// Begins now.
    pub fn new() -> Self {
        Recorder { began: Instant::now(), entries: Mutex::default() }
    }

    /// Microseconds since it began.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// The same for another time.
    pub fn at(&self, time: Instant) -> Micros {
        time.saturating_duration_since(self.began).as_micros() as Micros
    }

    /// The instant of a time.
    pub fn instant(&self, at: Micros) -> Instant {
        self.began + std::time::Duration::from_micros(at)
    }

    /// Writes what happened now.
    pub fn note(&self, event: Event) {
        self.note_at(self.now(), event);
    }

    /// Writes what happened then.
    pub fn note_at(&self, at: Micros, event: Event) {
        self.lock().push(Entry { at, event });
    }

    /// All so far, by time; events of one time stay in the order in which they were written.
    pub fn history(&self) -> Vec<Entry> {
        let mut entries = std::mem::take(&mut *self.lock());
        entries.sort_by_key(|e| e.at);
        entries
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Entry>> {
        // A writer that panicked has pushed whole entries or none.
        self.entries.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder::new()
    }
}
