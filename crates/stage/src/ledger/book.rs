//! The book: every try and every attempt with all that is known of it, put together from the history.

use crate::history::{AttemptId, Body, Entry, Event, Over, Process, Ruling, TryId};
use crate::schedule::Micros;
use std::collections::{BTreeMap, HashMap};

/// A final answer as its client got it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reply {
    pub at: Micros,
    pub status: u16,
    pub advice: Option<Micros>,
    pub body: Body,
}

/// A try.
#[derive(Clone, Debug, Default)]
pub struct TryLog {
    /// When it was sent, its limiter, and when its client gives up.
    pub sent: Option<(Micros, u16, Micros)>,
    pub reply: Option<Reply>,
    pub unreached: Option<Micros>,
    pub lost: Option<(Micros, u32)>,
    pub unanswered: Option<Micros>,
    pub left: Option<Micros>,
    pub surplus: Option<(Micros, u32)>,
    /// An authoriser allowed it.
    pub allowed: bool,
    pub attempts: Vec<AttemptId>,
    /// Its events in the history.
    pub entries: Vec<usize>,
}

/// An attempt.
#[derive(Clone, Debug)]
pub struct AttemptLog {
    pub id: TryId,
    pub node: u16,
    pub limiter: u16,
    pub first: Micros,
    pub at: Micros,
    pub open: Vec<AttemptId>,
    pub over: Option<(Micros, Over)>,
    pub entries: Vec<usize>,
}

/// All of them, and what became of the limiters.
#[derive(Debug, Default)]
pub struct Book {
    pub tries: BTreeMap<TryId, TryLog>,
    pub attempts: HashMap<AttemptId, AttemptLog>,
    /// Attempts in the order in which they came.
    pub order: Vec<AttemptId>,
    pub processes: HashMap<u16, Vec<(Micros, Process)>>,
    /// How late the kit was, by time.
    late: Vec<(Micros, Micros)>,
}

impl Book {
    /// Reads a history, which goes by time.
    pub fn of(history: &[Entry]) -> Book {
        let mut book = Book::default();
        for (n, Entry { at, event }) in history.iter().enumerate() {
            book.enter(n, *at, event);
        }
        book
    }

    fn enter(&mut self, n: usize, at: Micros, event: &Event) {
        match event {
            Event::Sent { id, limiter, due } => self.of_try(*id, n).sent = Some((at, *limiter, *due)),
            Event::Resent { id, .. } => {
                self.of_try(*id, n);
            }
            Event::Unreached { id, .. } => self.of_try(*id, n).unreached = Some(at),
            Event::Answered { id, status, advice, body } => {
                let reply = Reply { at, status: *status, advice: *advice, body: *body };
                self.of_try(*id, n).reply = Some(reply);
            }
            Event::Lost { id, bytes } => self.of_try(*id, n).lost = Some((at, *bytes)),
            Event::Unanswered { id } => self.of_try(*id, n).unanswered = Some(at),
            Event::Left { id } => self.of_try(*id, n).left = Some(at),
            Event::Surplus { id, bytes } => self.of_try(*id, n).surplus = Some((at, *bytes)),
            Event::Arrived { attempt, id, node, limiter, first, open, .. } => {
                self.of_try(*id, n).attempts.push(*attempt);
                self.order.push(*attempt);
                let log = AttemptLog {
                    id: *id,
                    node: *node,
                    limiter: *limiter,
                    first: *first,
                    at,
                    open: open.clone(),
                    over: None,
                    entries: vec![n],
                };
                self.attempts.insert(*attempt, log);
            }
            Event::Over { attempt, how } => {
                if let Some(log) = self.attempts.get_mut(attempt) {
                    log.over = Some((at, *how));
                    log.entries.push(n);
                    let id = log.id;
                    self.of_try(id, n);
                }
            }
            // Questions that say nothing of a try are nobody's.
            Event::Questioned { id, ruling, .. } if *id != 0 => {
                self.of_try(*id, n).allowed |= *ruling == Ruling::Allowed;
            }
            Event::Limiter { limiter, what } => {
                self.processes.entry(*limiter).or_default().push((at, *what));
            }
            Event::Late { by } => self.late.push((at, *by)),
            _ => {}
        }
    }

    fn of_try(&mut self, id: TryId, entry: usize) -> &mut TryLog {
        let log = self.tries.entry(id).or_default();
        log.entries.push(entry);
        log
    }

    /// The most that the kit was late around a time: what it saw then may have happened so much earlier.
    pub fn lateness(&self, at: Micros) -> Micros {
        const AROUND: Micros = 500_000;
        let from = self.late.partition_point(|(t, _)| t + AROUND < at);
        self.late[from..].iter().take_while(|(t, _)| *t <= at + AROUND).map(|(_, by)| *by).max().unwrap_or(0)
    }

    /// The share of the notes on the kit's lateness that are over a bound, and the largest.
    pub fn late_share(&self, bound: Micros) -> (f64, Micros) {
        let over = self.late.iter().filter(|(_, by)| *by > bound).count();
        let most = self.late.iter().map(|(_, by)| *by).max().unwrap_or(0);
        (over as f64 / self.late.len().max(1) as f64, most)
    }

    /// The kit's lateness that this share of the notes stays under.
    pub fn late_quantile(&self, share: f64) -> Micros {
        let mut all: Vec<_> = self.late.iter().map(|(_, by)| *by).collect();
        all.sort_unstable();
        let n = (share * all.len() as f64) as usize;
        all.get(n.min(all.len().saturating_sub(1))).copied().unwrap_or(0)
    }

    /// Whether a limiter was killed by the kit while it held something from one time to another.
    pub fn killed_between(&self, limiter: u16, from: Micros, to: Micros) -> bool {
        // A killed process takes a moment to end, and its connections with it.
        const MOMENT: Micros = 250_000;
        self.during(limiter, from, to + MOMENT, MOMENT, Process::Killed)
    }

    /// Whether the kit had paused a limiter within a time.
    pub fn paused_between(&self, limiter: u16, from: Micros, to: Micros) -> bool {
        // From the pause to some time after it went on: then it works off what came meanwhile.
        const WORK_OFF: Micros = 500_000;
        let Some(all) = self.processes.get(&limiter) else { return false };
        let mut paused = None;
        for (at, what) in all {
            if *what == Process::Paused {
                paused = Some(*at);
            } else if *what == Process::Resumed
                && paused.take().is_some_and(|p| p <= to && at + WORK_OFF >= from)
            {
                return true;
            }
        }
        paused.is_some_and(|p| p <= to)
    }

    fn during(&self, limiter: u16, from: Micros, to: Micros, back: Micros, what: Process) -> bool {
        let all = self.processes.get(&limiter);
        all.is_some_and(|all| all.iter().any(|(at, w)| *w == what && at + back >= from && *at <= to))
    }
}
