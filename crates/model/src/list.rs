//! The list of servers: takes what happens and the time, and gives what the world is to carry out.

use liftrouter_decision::{EndpointEntry, EndpointId, EndpointState};
use liftrouter_stage::history::Listed;
use liftrouter_stage::node::cell;
use liftrouter_stage::schedule::{micros, Micros};
use std::collections::BTreeMap;

/// A watch that has been silent for so long is broken.
const WATCH_TIMEOUT: Micros = 3_000_000;
/// And is retried after this.
const WATCH_RETRY: Micros = 1_400_000;

/// A node as the list has it.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    pub node: u16,
    pub life: u32,
    pub state: Listed,
    /// Unix seconds of its start; none for long ago.
    pub started: Option<f64>,
}

impl Line {
    /// As the decision module knows it, by the node's name and the scenario's rooms.
    pub fn server_entry(&self, id: EndpointId, rooms: &[String]) -> EndpointEntry {
        let index = usize::from(self.node);
        EndpointEntry {
            id,
            address: None,
            zone: rooms[index % rooms.len()].as_str().into(),
            machine_type: "std".into(),
            cell: Some(cell(index, rooms.len())),
            state: self.server_state(),
            weight: 1.0,
            started_at: self.started,
        }
    }

    /// Its state as the decision module knows it.
    pub fn server_state(&self) -> EndpointState {
        match self.state {
            Listed::InService => EndpointState::InService,
            Listed::Draining => EndpointState::Draining,
            Listed::Gone => EndpointState::Removed,
        }
    }
}

/// One process of a limiter, as far as its watch goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Watcher {
    pub limiter: u16,
    pub life: u32,
}

/// What happens to the list.
#[derive(Debug)]
pub(crate) enum ListEvent {
    /// A node changes, which the list knows of after so many seconds. It replaces an older change that is not out yet.
    Announced { line: Line, after: f64 },
    /// Changes may be due.
    ReleaseDue,
    /// The watch of a limiter can take changes.
    WatchReady { limiter: u16 },
    /// The link of a watch begins to hold back what the list says.
    WatchStalled(Watcher),
    /// A stalled watch has timed out, unless its link passes again.
    WatchChecked { watcher: Watcher, stalled: bool },
}

/// What the world carries out for the list, in this order.
#[derive(Debug)]
pub(crate) enum ListEffect {
    /// Changes are due at a time.
    ReleaseAt(Micros),
    /// There are changes for every limiter whose watch is ready.
    Offer,
    /// Changes go out to a limiter.
    Deliver { limiter: u16, changes: Vec<Line> },
    /// A watch is checked after a pause.
    CheckAfter { pause: Micros, watcher: Watcher },
    /// A watch has timed out.
    ReportBroken(Watcher),
}

/// A change that is not out yet.
struct Pending {
    at: Micros,
    line: Line,
}

pub(crate) struct List {
    /// What changed, in order.
    log: Vec<Line>,
    pending: Vec<Pending>,
    /// How many changes each limiter has been sent.
    sent: Vec<usize>,
    /// Delays in seconds, by the fault that makes them.
    pub delays: BTreeMap<u32, f64>,
}

impl List {
    /// An empty one, for so many limiters.
    pub fn new(limiters: usize) -> List {
        List { log: Vec::new(), pending: Vec::new(), sent: vec![0; limiters], delays: BTreeMap::new() }
    }

    /// Takes what happens at a time.
    pub fn handle(&mut self, event: ListEvent, now: Micros) -> Vec<ListEffect> {
        match event {
            ListEvent::Announced { line, after } => vec![self.announce(line, after, now)],
            ListEvent::ReleaseDue => self.release(now).then_some(ListEffect::Offer).into_iter().collect(),
            ListEvent::WatchReady { limiter } => self.deliver(limiter).into_iter().collect(),
            ListEvent::WatchStalled(watcher) => {
                vec![ListEffect::CheckAfter { pause: WATCH_TIMEOUT, watcher }]
            }
            ListEvent::WatchChecked { stalled: false, .. } => Vec::new(),
            ListEvent::WatchChecked { watcher, stalled: true } => {
                let check = ListEffect::CheckAfter { pause: WATCH_RETRY, watcher };
                vec![ListEffect::ReportBroken(watcher), check]
            }
        }
    }

    /// Adds a change that is out at once.
    pub fn put(&mut self, line: Line) {
        self.log.push(line);
    }

    /// The last that was said of a node, out or not.
    pub fn last(&self, node: u16) -> Option<&Line> {
        let pending = self.pending.iter().map(|change| &change.line).find(|line| line.node == node);
        pending.or_else(|| self.log.iter().rev().find(|line| line.node == node))
    }

    /// The whole list, as a limiter reads it at its start.
    pub fn snapshot(&mut self, limiter: u16) -> Vec<Line> {
        self.sent[usize::from(limiter)] = self.log.len();
        self.since(0).into_iter().filter(|line| line.state != Listed::Gone).collect()
    }

    fn announce(&mut self, line: Line, after: f64, now: Micros) -> ListEffect {
        let delay: f64 = self.delays.values().sum();
        let at = now + micros(after + delay);
        self.pending.retain(|other| other.line.node != line.node);
        self.pending.push(Pending { at, line });
        ListEffect::ReleaseAt(at)
    }

    /// Moves what is due to the log; whether there was anything.
    fn release(&mut self, now: Micros) -> bool {
        let pending = std::mem::take(&mut self.pending);
        let (mut due, rest): (Vec<_>, Vec<_>) = pending.into_iter().partition(|change| change.at <= now);
        self.pending = rest;
        due.sort_by_key(|change| change.at);
        let any = !due.is_empty();
        self.log.extend(due.into_iter().map(|change| change.line));
        any
    }

    fn deliver(&mut self, limiter: u16) -> Option<ListEffect> {
        let after = std::mem::replace(&mut self.sent[usize::from(limiter)], self.log.len());
        let changes = self.since(after);
        (!changes.is_empty()).then_some(ListEffect::Deliver { limiter, changes })
    }

    /// The last change of each node since so many changes.
    fn since(&self, after: usize) -> Vec<Line> {
        let mut last: BTreeMap<u16, &Line> = BTreeMap::new();
        for line in &self.log[after.min(self.log.len())..] {
            last.insert(line.node, line);
        }
        last.into_values().cloned().collect()
    }
}
