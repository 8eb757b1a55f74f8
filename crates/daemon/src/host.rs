//! The host of the decision module: feeds it events and the time, and carries out every action.
//!
//! It owns the [`Limiter`], the clock, the timers and the table of requests; nothing else calls the module.
//! Everything runs on one thread. Events are queued and handled one after the other, so that an action whose
//! outcome is known at once never re-enters the module, and no borrow outlives a step.

use crate::counter::Counter;
use crate::discovery::{Discovery, Update};
use crate::servers::{Attempt, Ended, Forward, Place, Servers};
use bytes::Bytes;
use hyper::Response;
use liftrouter_decision::{
    Action, Event, Limiter, LoadReport, Outcome, Request, RequestId, ServerId, ServerState, Settings,
};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::future::pending;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, Notify};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, Instant};

/// The module's clock: Unix seconds, read once and carried on by the monotonic clock. It never steps back,
/// and all limiters mean the same by it: counter names and servers' starts depend on that.
#[derive(Clone, Copy)]
pub struct Clock {
    instant: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { instant: Instant::now(), unix }
    }

    fn seconds(&self, at: Instant) -> f64 {
        (self.unix + at.saturating_duration_since(self.instant)).as_secs_f64()
    }

    fn instant(&self, seconds: f64) -> Instant {
        let after = (seconds - self.unix.as_secs_f64()).clamp(0.0, 1e6);
        self.instant + Duration::from_secs_f64(after)
    }
}

/// The one final answer to a request.
pub enum Answer {
    /// A server's answer, whole.
    Served(Response<Bytes>),
    /// Trying again is harmless; the client should stay away for so many seconds, or is given no advice.
    Refused(f64),
    /// No promise of its effect.
    Failed,
}

/// A client's request as the module needs it, and what goes on to a server.
pub struct Arrival {
    pub customer: String,
    pub plan: String,
    pub class: String,
    pub units: f64,
    pub width: u32,
    pub repeat: bool,
    pub forward: Forward,
}

struct Running {
    server: ServerId,
    began: Instant,
    attempt: Rc<Attempt>,
    task: JoinHandle<()>,
}

/// A request in the table: until it is answered and none of its attempts is out.
struct Open {
    forward: Rc<Forward>,
    reply: Option<oneshot::Sender<Answer>>,
    attempts: u32,
    /// The attempt that is out, with its number; there is one at most.
    running: Option<(u32, Running)>,
}

pub struct Host {
    limiter: RefCell<Limiter>,
    clock: Clock,
    queue: RefCell<VecDeque<Event>>,
    handling: Cell<bool>,
    requests: RefCell<HashMap<RequestId, Open>>,
    next_id: Cell<RequestId>,
    timers: RefCell<BinaryHeap<Reverse<(Instant, u64)>>>,
    sooner: Notify,
    max_attempts: u32,
    servers: Rc<Servers>,
    counter: Rc<Counter>,
    discovery: Rc<Discovery>,
}

impl Host {
    pub fn new(
        settings: Settings,
        seed: u64,
        servers: Servers,
        counter: Counter,
        discovery: Discovery,
    ) -> Rc<Self> {
        let clock = Clock::start();
        let now = clock.seconds(Instant::now());
        Rc::new(Host {
            max_attempts: settings.max_attempts.max(1),
            limiter: RefCell::new(Limiter::new(settings, seed, now)),
            clock,
            queue: RefCell::default(),
            handling: Cell::new(false),
            requests: RefCell::default(),
            next_id: Cell::new(1),
            timers: RefCell::default(),
            sooner: Notify::new(),
            servers: Rc::new(servers),
            counter: Rc::new(counter),
            discovery: Rc::new(discovery),
        })
    }

    pub fn servers(&self) -> &Rc<Servers> {
        &self.servers
    }

    pub fn counter(&self) -> &Rc<Counter> {
        &self.counter
    }

    pub fn discovery(&self) -> &Rc<Discovery> {
        &self.discovery
    }

    /// Requests that are not answered yet.
    pub fn open_requests(&self) -> usize {
        self.requests.borrow().len()
    }

    // ----- what happened -----

    /// A request whose last byte has come. The receiver gets its one answer.
    pub fn arrived(self: &Rc<Self>, arrival: Arrival) -> (RequestId, oneshot::Receiver<Answer>) {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let (reply, answer) = oneshot::channel();
        let due = self.clock.seconds(arrival.forward.due);
        let open = Open { forward: Rc::new(arrival.forward), reply: Some(reply), attempts: 0, running: None };
        self.requests.borrow_mut().insert(id, open);
        self.feed(Event::Request(Request {
            id,
            customer: arrival.customer.into(),
            plan: arrival.plan.into(),
            class: arrival.class.into(),
            units: arrival.units,
            width: arrival.width,
            repeat: arrival.repeat,
            due,
        }));
        (id, answer)
    }

    /// The client closed its connection before it was answered.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        let waiting = self.requests.borrow_mut().get_mut(&id).is_some_and(|open| open.reply.take().is_some());
        if waiting {
            self.feed(Event::ClientGone { id });
            self.forget(id);
        }
    }

    /// An attempt's task has ended, and with it its use of a connection unless that can serve again.
    pub fn attempt_ended(self: &Rc<Self>, id: RequestId, n: u32, ended: Ended) {
        let (finished, took) = {
            let mut requests = self.requests.borrow_mut();
            let Some(open) = requests.get_mut(&id) else { return };
            let Some((_, running)) = open.running.take_if(|(number, _)| *number == n) else { return };
            if let Some(answer) = ended.answer {
                if let Some(reply) = open.reply.take() {
                    let _ = reply.send(Answer::Served(answer));
                }
            }
            (open.reply.is_none(), running.began.elapsed())
        };
        self.feed(Event::AttemptEnded {
            id,
            attempt: n,
            finished,
            outcome: ended.outcome,
            took: took.as_secs_f64(),
            units: ended.units,
            report: ended.report,
        });
        self.forget(id);
    }

    pub fn counted(self: &Rc<Self>, name: String, outcome: Outcome, total: f64, took: Duration) {
        self.feed(Event::Counted { name, outcome, total, took: took.as_secs_f64() });
    }

    pub fn probed(self: &Rc<Self>, server: ServerId, outcome: Outcome, report: LoadReport) {
        self.feed(Event::Probed { server, outcome, report });
    }

    /// News of the servers. What is out at one that is gone is ended, and what has not been written yet to
    /// one that drains: neither may get anything new.
    pub fn servers_listed(self: &Rc<Self>, update: &Update) {
        let entries: Vec<_> = update.instances.iter().map(|i| i.entry()).collect();
        for (instance, entry) in update.instances.iter().zip(&entries) {
            self.servers.place(&entry.id, Place { address: instance.host_port, state: entry.state });
        }
        let mut gone: Vec<ServerId> = Vec::new();
        let mut draining: Vec<ServerId> = Vec::new();
        for entry in &entries {
            match entry.state {
                ServerState::InService => {}
                ServerState::Draining => draining.push(entry.id.clone()),
                ServerState::Gone => gone.push(entry.id.clone()),
            }
        }
        if update.reset {
            for id in self.servers.ids().into_iter().filter(|id| entries.iter().all(|e| e.id != *id)) {
                let address = ([0, 0, 0, 0], 0).into();
                self.servers.place(&id, Place { address, state: ServerState::Gone });
                gone.push(id);
            }
        }
        // The module first: what it hears of the ended attempts it answers with others.
        self.feed(if update.reset { Event::ServerList(entries) } else { Event::ServerChanges(entries) });
        let lost: Vec<_> = {
            let requests = self.requests.borrow();
            let running = requests.iter().filter_map(|(id, open)| Some((*id, open.running.as_ref()?)));
            let lost = running.filter(|(_, (_, r))| {
                gone.contains(&r.server) || (draining.contains(&r.server) && !r.attempt.sent())
            });
            lost.map(|(id, (n, r))| (id, *n, r.attempt.sent())).collect()
        };
        for (id, n, sent) in lost {
            self.stop(id, n);
            self.attempt_ended(id, n, Ended::of(if sent { Outcome::Reset } else { Outcome::ConnectFailed }));
        }
    }

    pub fn discovery_broken(self: &Rc<Self>) {
        self.feed(Event::DiscoveryBroken);
    }

    /// Wakes the module at the times it asked for.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.timers.borrow().peek().map(|Reverse((at, _))| *at);
            let wait = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = wait => {}
                () = self.sooner.notified() => continue,
            }
            let now = Instant::now();
            // Those set meanwhile wait for the next round: a timer never falls due in the round that set it.
            let mut due = Vec::new();
            {
                let mut timers = self.timers.borrow_mut();
                while let Some(Reverse((_, token))) = timers.peek().filter(|Reverse((at, _))| *at <= now) {
                    due.push(*token);
                    timers.pop();
                }
            }
            for token in due {
                self.feed(Event::Timer { token });
            }
        }
    }

    // ----- what is to be done -----

    fn feed(self: &Rc<Self>, event: Event) {
        self.queue.borrow_mut().push_back(event);
        if self.handling.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.queue.borrow_mut().pop_front() else { break };
            let now = self.clock.seconds(Instant::now());
            self.limiter.borrow_mut().handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
        self.handling.set(false);
    }

    fn carry_out(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout),
            Action::Refuse { id, retry_after } => self.answer(id, Answer::Refused(retry_after)),
            Action::Fail { id } => self.answer(id, Answer::Failed),
            Action::Cancel { id, attempt } => {
                if self.stop(id, attempt) {
                    let (host, ended) = (self.clone(), Ended::of(Outcome::Cancelled));
                    host.attempt_ended(id, attempt, ended);
                }
            }
            Action::Count { name, add, lives } => {
                if let Err(outcome) = self.counter.call(self, name.clone(), add, lives) {
                    self.counted(name, outcome, 0.0, Duration::ZERO);
                }
            }
            Action::SetTimer { at, token } => {
                let at = self.clock.instant(at);
                let first = self.timers.borrow().peek().is_none_or(|Reverse((next, _))| at < *next);
                self.timers.borrow_mut().push(Reverse((at, token)));
                if first {
                    self.sooner.notify_one();
                }
            }
            Action::Probe { server } => {
                tokio::task::spawn_local(self.servers.clone().probe(self.clone(), server));
            }
            Action::FollowServers => self.discovery.follow.notify_one(),
        }
    }

    fn send(self: &Rc<Self>, id: RequestId, server: ServerId, timeout: f64) {
        let moot = {
            let mut requests = self.requests.borrow_mut();
            let Some(open) = requests.get_mut(&id) else { return };
            let n = open.attempts;
            open.attempts += 1;
            let now = Instant::now();
            // Guards the rules even against the module: nothing for a request that is answered, never two
            // attempts at once, and no more than the class permits.
            if open.reply.is_none() || open.running.is_some() || n >= self.max_attempts || timeout < 0.0 {
                Some(n)
            } else {
                let limit = if timeout > 0.0 {
                    now + Duration::from_secs_f64(timeout.min(1e6))
                } else {
                    open.forward.due
                };
                let attempt = Rc::new(Attempt::default());
                let task = tokio::task::spawn_local(self.servers.clone().attempt(
                    self.clone(),
                    (id, n),
                    server.clone(),
                    (open.forward.clone(), attempt.clone()),
                    limit.min(open.forward.due),
                ));
                open.running = Some((n, Running { server, began: now, attempt, task }));
                None
            }
        };
        if let Some(attempt) = moot {
            self.feed(Event::AttemptEnded {
                id,
                attempt,
                finished: false,
                outcome: Outcome::Moot,
                took: 0.0,
                units: None,
                report: LoadReport::default(),
            });
        }
    }

    /// Ends an attempt at once: its connection is closed when this returns, and its task runs no further.
    fn stop(&self, id: RequestId, n: u32) -> bool {
        let requests = self.requests.borrow();
        let running =
            requests.get(&id).and_then(|open| open.running.as_ref()).filter(|(number, _)| *number == n);
        let Some((_, running)) = running else { return false };
        running.attempt.abort();
        running.task.abort();
        true
    }

    fn answer(&self, id: RequestId, answer: Answer) {
        let reply = self.requests.borrow_mut().get_mut(&id).and_then(|open| open.reply.take());
        if let Some(reply) = reply {
            let _ = reply.send(answer);
        }
        self.forget(id);
    }

    fn forget(&self, id: RequestId) {
        let mut requests = self.requests.borrow_mut();
        if requests.get(&id).is_some_and(|open| open.reply.is_none() && open.running.is_none()) {
            requests.remove(&id);
        }
    }
}
