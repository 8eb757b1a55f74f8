//! What a limiter's host does where there are no requests: it tells the decisions of the servers, wakes them at the
//! times that they ask for, and calls the counter for them. It notes how long changes took to be in force.

use super::LagLog;
use crate::run::messages::LimiterStatus;
use crate::run::standin::wall_clock_ms;
use liftrouter::counter::pool::CounterPool;
use liftrouter::events::{EventQueue, HostEvent, ListedEndpoint};
use liftrouter::upstream::servers::{ServerStatus, Servers};
use liftrouter_decision::{Action, EndpointState, Event, Limiter, Outcome, Settings};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// With no timer set there is nothing to wake up for but news.
const FAR: Duration = Duration::from_secs(3_600);

/// What is noted of a limiter.
pub struct Observed {
    lags: Rc<LagLog>,
    started: Instant,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    status: LimiterStatus,
    /// It says that its list expired: what it goes by is not what discovery told.
    expired: bool,
    /// When the newest change that it has was made at the source.
    newest_change_ms: u64,
    /// Until when the time behind has been added up.
    behind_until_ms: u64,
}

impl Observed {
    /// Nothing so far.
    pub fn new(lags: Rc<LagLog>) -> Self {
        Observed { lags, started: Instant::now(), state: RefCell::default() }
    }

    /// What was noted; generation and digest are known elsewhere.
    pub fn status(&self) -> LimiterStatus {
        self.state.borrow().status.clone()
    }

    /// The list was confirmed so long ago.
    pub fn note_age(&self, age: Duration) {
        let status = &mut self.state.borrow_mut().status;
        if !status.says_stale {
            let age_ms = age.as_secs_f64() * 1_000.0;
            status.longest_silent_age_ms = status.longest_silent_age_ms.max(age_ms);
        }
    }

    /// A list, or what changed in it, is in force now.
    fn in_force(&self, whole: bool, changed_at_ms: &[u64]) {
        let now_ms = wall_clock_ms();
        let state = &mut *self.state.borrow_mut();
        if state.expired {
            return;
        }
        state.status.messages += 1;
        state.status.says_stale = false;
        let first = state.status.first_list_ms.is_none();
        if whole {
            state.status.whole_lists += 1;
        } else {
            state.status.changes += changed_at_ms.len() as u64;
        }
        if first {
            state.status.first_list_ms = Some(self.started.elapsed().as_secs_f64() * 1_000.0);
        } else {
            let newest = state.newest_change_ms;
            let is_new = |at: &&u64| **at > 0 && (!whole || **at > newest);
            let changes = changed_at_ms.iter().filter(is_new);
            changes.clone().for_each(|at| self.lags.record(now_ms.saturating_sub(*at)));
            if let Some(earliest) = changes.min() {
                let from = state.behind_until_ms.max(*earliest);
                state.status.behind_ms += now_ms.saturating_sub(from) as f64;
                state.behind_until_ms = now_ms;
            }
        }
        let newest = changed_at_ms.iter().copied().max().unwrap_or(0);
        state.newest_change_ms = state.newest_change_ms.max(newest);
    }

    fn list_broken(&self) {
        self.state.borrow_mut().status.says_stale = true;
    }

    fn list_expired(&self) {
        let state = &mut *self.state.borrow_mut();
        state.expired = true;
        state.status.says_stale = true;
        state.status.expiries += 1;
    }

    fn list_confirmed(&self) {
        let state = &mut *self.state.borrow_mut();
        state.expired = false;
        state.status.says_stale = false;
    }

    fn counted(&self, outcome: Outcome) {
        let status = &mut self.state.borrow_mut().status;
        match outcome {
            Outcome::Ok => status.counter_answers += 1,
            _ => status.counter_failures += 1,
        }
    }
}

/// Tells the decisions of the servers.
pub struct ListKeeper {
    limiter: Limiter,
    events: Rc<EventQueue>,
    keepers: Rc<CounterPool>,
    servers: Rc<Servers>,
    observed: Rc<Observed>,
    started: Instant,
    started_unix_ms: u64,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
}

impl ListKeeper {
    /// One without a list.
    pub fn new(
        settings: Settings,
        seed: u64,
        events: Rc<EventQueue>,
        keepers: Rc<CounterPool>,
        servers: Rc<Servers>,
        observed: Rc<Observed>,
    ) -> Self {
        let started_unix_ms = wall_clock_ms();
        ListKeeper {
            limiter: Limiter::new(settings, seed, started_unix_ms as f64 / 1_000.0),
            events,
            keepers,
            servers,
            observed,
            started: Instant::now(),
            started_unix_ms,
            timers: BinaryHeap::new(),
        }
    }

    /// Runs for as long as it is polled.
    pub async fn run(mut self) {
        loop {
            while let Some(news) = self.events.pop() {
                self.hear(news);
            }
            let next = self.timers.peek().map_or_else(|| Instant::now() + FAR, |Reverse((at, _))| *at);
            let events = self.events.clone();
            tokio::select! {
                () = events.wait() => {}
                () = sleep_until(next) => self.timers_due(),
            }
        }
    }

    fn hear(&mut self, news: HostEvent) {
        match news {
            HostEvent::EndpointUpdate { complete: whole, endpoints: servers, .. } => {
                self.listed(whole, servers)
            }
            HostEvent::WatchFailed => {
                self.observed.list_broken();
                self.feed(Event::DiscoveryFailed);
            }
            HostEvent::EndpointListExpired => self.observed.list_expired(),
            HostEvent::EndpointListConfirmed => self.observed.list_confirmed(),
            HostEvent::CounterReply { key: name, outcome, total, elapsed: took } => {
                self.observed.counted(outcome);
                self.feed(Event::CounterReply { key: name, outcome, total, elapsed_s: took.as_secs_f64() });
            }
            // There are no requests, attempts or probes.
            _ => {}
        }
    }

    fn listed(&mut self, whole: bool, servers: Vec<ListedEndpoint>) {
        if whole {
            let named: std::collections::HashSet<_> = servers.iter().map(|listed| &listed.entry.id).collect();
            let held = self.servers.ids();
            held.iter().filter(|id| !named.contains(id)).for_each(|id| self.servers.remove(id));
        }
        for ListedEndpoint { entry, address } in &servers {
            let status = ServerStatus { address: *address, state: entry.state, started_at: entry.started_at };
            self.servers.set_status(&entry.id, status);
        }
        let changed_at_ms: Vec<u64> = servers.iter().map(changed_at_ms).collect();
        let entries = servers.into_iter().map(|listed| listed.entry).collect();
        self.feed(if whole { Event::EndpointList(entries) } else { Event::EndpointChanges(entries) });
        self.observed.in_force(whole, &changed_at_ms);
    }

    fn timers_due(&mut self) {
        let now = Instant::now();
        let mut due = Vec::new();
        while let Some(Reverse((_, token))) = self.timers.peek().filter(|Reverse((at, _))| *at <= now) {
            due.push(*token);
            self.timers.pop();
        }
        due.into_iter().for_each(|token| self.feed(Event::Timer { token }));
    }

    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.limiter.handle(self.now(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::SetTimer { expires_at, token } => {
                self.timers.push(Reverse((self.instant(expires_at), token)))
            }
            Action::IncrementCounter { key: name, increment: add, ttl_s: lives } => {
                if let Err(outcome) = self.keepers.call(&self.events, name.clone(), add, lives) {
                    let took = Duration::ZERO;
                    self.events.push(HostEvent::CounterReply {
                        key: name,
                        outcome,
                        total: 0.0,
                        elapsed: took,
                    });
                }
            }
            // There are no requests, and probes are not allowed.
            _ => {}
        }
    }

    /// Unix seconds that never step back.
    fn now(&self) -> f64 {
        self.started_unix_ms as f64 / 1_000.0 + self.started.elapsed().as_secs_f64()
    }

    fn instant(&self, seconds: f64) -> Instant {
        let after = seconds - self.started_unix_ms as f64 / 1_000.0;
        self.started + Duration::try_from_secs_f64(after.max(0.0)).unwrap_or(FAR).min(FAR * 24)
    }
}

/// When a server changed at the source, which its start tells; 0 where that is not known. What is told of one that
/// is gone has its former start.
fn changed_at_ms(listed: &ListedEndpoint) -> u64 {
    match listed.entry.state {
        EndpointState::Removed => 0,
        _ => listed.entry.started_at.map_or(0, |seconds| (seconds * 1_000.0).round() as u64),
    }
}
