//! The host of the decision module: takes the news one by one, tells the module, and carries out its actions.
//!
//! It owns the [`Limiter`], the clock, the timers and the table of requests; nothing else calls the module.
//! One task runs it, so an action whose outcome is known at once never re-enters the module: what follows
//! from it waits in the host's own queue and comes before the next news.

mod clock;

use crate::counter::pool::CounterPool;
use crate::events::{
    Answer, AttemptResult, DisconnectGuard, EventQueue, ForwardedRequest, HostEvent, IncomingRequest,
    ListedEndpoint, Rejection, RejectionCause, ReplySender, RequestKind,
};
use crate::log;
use crate::upstream::servers::{Attempt, Limits, Place, Servers};
use clock::Clock;
use liftrouter_counter::PauseDetector;
use liftrouter_decision::{
    Action, EndpointId, EndpointState, Event, Limiter, Outcome, Request, RequestId, Settings,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, Instant};

/// What the host calls to carry actions out.
pub struct Peers {
    pub servers: Rc<Servers>,
    pub keepers: Rc<CounterPool>,
}

struct Running {
    server: EndpointId,
    began: Instant,
    attempt: Rc<Attempt>,
    task: JoinHandle<()>,
}

/// A request in the table: until it is answered and none of its attempts is out.
struct Open {
    /// None for a permission.
    forward: Option<Rc<ForwardedRequest>>,
    reply: Option<ReplySender>,
    attempts: u32,
    /// The attempt that is out, with its number; there is one at most.
    running: Option<(u32, Running)>,
}

pub struct Host {
    limiter: Limiter,
    clock: Clock,
    events: Rc<EventQueue>,
    peers: Peers,
    /// What followed from actions and is still to be told.
    queue: VecDeque<Event>,
    requests: HashMap<RequestId, Open>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    max_attempts: u32,
    /// Why a request is refused now, as far as it is known outside the module.
    refusal_cause: RejectionCause,
    /// The version of the list that servers are chosen from.
    version: Option<u64>,
    /// Watches for pauses of the process, where somebody judges what is old after one.
    wake: Option<PauseDetector>,
}

/// A process that did not look at its clock for so many seconds stood still: longer than any work of its own takes,
/// and shares of quotas do not change much in less.
const LONGEST_PAUSE: f64 = 1.0;

impl Host {
    pub fn new(settings: Settings, seed: u64, events: Rc<EventQueue>, peers: Peers) -> Self {
        let clock = Clock::start();
        let now = clock.seconds(Instant::now());
        Host {
            max_attempts: settings.max_attempts.max(1),
            limiter: Limiter::new(settings, seed, now),
            clock,
            events,
            peers,
            queue: VecDeque::new(),
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            refusal_cause: RejectionCause::Limit,
            version: None,
            wake: None,
        }
    }

    /// Shares of quotas that were learned before a pause of the process are not acted on after it.
    pub fn watch_pauses(mut self) -> Self {
        self.wake = Some(PauseDetector::new(LONGEST_PAUSE, self.clock.seconds(Instant::now())));
        self
    }

    /// Runs for as long as it is polled.
    pub async fn run(mut self) {
        // With no timer set there is nothing to wake up for but news.
        let far = || Instant::now() + Duration::from_secs(3_600);
        let events = self.events.clone();
        let mut sleep = pin!(sleep_until(far()));
        loop {
            self.look();
            while let Some(news) = events.pop() {
                self.hear(news);
            }
            let mut next = self.timers.peek().map_or_else(far, |Reverse((at, _))| *at);
            if let Some(wake) = &self.wake {
                next = next.min(Instant::now() + Duration::from_secs_f64(wake.check_interval()));
            }
            if sleep.deadline() != next {
                sleep.as_mut().reset(next);
            }
            tokio::select! {
                () = events.wait() => {}
                () = sleep.as_mut() => {
                    self.look();
                    self.timers_due();
                }
            }
        }
    }

    /// Sees whether the process stood still: before anything else is heard, or old shares would be acted on.
    fn look(&mut self) {
        let now = self.clock.seconds(Instant::now());
        if let Some(gap) = self.wake.as_mut().and_then(|wake| wake.check(now)) {
            log("liftrouter", format_args!("stood still for {gap:.1} s: shares of quotas are learned anew"));
            self.peers.keepers.process_resumed();
            self.feed(Event::CounterValidity { usable_quota_ratio: 0.0 });
        }
    }

    // ----- what happened -----

    fn hear(&mut self, news: HostEvent) {
        match news {
            HostEvent::RequestReceived(id, arrival, reply) => self.asked(id, arrival, reply),
            HostEvent::ClientDisconnected(id) => {
                // A permission is answered and forgotten at once; what its client never got of it the module
                // still has to hear of.
                if self.requests.get_mut(&id).is_none_or(|open| open.reply.take().is_some()) {
                    self.feed(Event::ClientDisconnected { id });
                    self.drop_unwritten(id);
                    self.work_off();
                    self.forget(id);
                }
            }
            HostEvent::AttemptEnded(id, n, ended) => {
                self.attempt_ended(id, n, ended);
                self.work_off();
            }
            HostEvent::CounterReply { key: name, outcome, total, elapsed: took } => {
                self.feed(Event::CounterReply { key: name, outcome, total, elapsed: took.as_secs_f64() });
            }
            // What was judged before a pause was known holds no longer.
            HostEvent::CounterValidity { usable_quota_ratio: share, pauses: wakes }
                if wakes == self.peers.keepers.changes().pauses =>
            {
                self.feed(Event::CounterValidity { usable_quota_ratio: share });
            }
            HostEvent::CounterValidity { .. } => {}
            HostEvent::HealthChecked(server, outcome, report) => {
                self.feed(Event::HealthChecked { endpoint: server, outcome, report })
            }
            HostEvent::EndpointUpdate { whole, endpoints: servers, version } => {
                self.version = version;
                self.listed(whole, servers);
            }
            HostEvent::WatchFailed => self.feed(Event::DiscoveryFailed),
            HostEvent::EndpointListExpired => self.refusal_cause = RejectionCause::EndpointListExpired,
            HostEvent::EndpointListConfirmed => self.refusal_cause = RejectionCause::Limit,
            HostEvent::ShutdownDeadline => self.last_call(),
        }
    }

    /// Answers what nobody else will any more, with no promise; the module hears that no answer is owed.
    fn last_call(&mut self) {
        let owed: Vec<_> =
            self.requests.iter().filter(|(_, o)| o.reply.is_some()).map(|(id, _)| *id).collect();
        for id in owed {
            self.answer(id, Answer::Failed);
            self.feed(Event::ClientDisconnected { id });
        }
    }

    fn asked(&mut self, id: RequestId, arrival: IncomingRequest, reply: ReplySender) {
        let (forward, due) = match arrival.kind {
            RequestKind::Forward(forward) => {
                let due = forward.deadline;
                (Some(forward), due)
            }
            RequestKind::Authorization { deadline: due } => (None, due),
        };
        let permission = forward.is_none();
        self.requests.insert(id, Open { forward, reply: Some(reply), attempts: 0, running: None });
        let request = Request {
            id,
            customer: arrival.customer.into(),
            plan: arrival.plan.into(),
            class: arrival.class.into(),
            units: arrival.units,
            reachable_instances: arrival.reachable_instances,
            is_retry: arrival.is_retry,
            deadline: self.clock.seconds(due),
        };
        self.feed(if permission { Event::Authorization(request) } else { Event::Request(request) });
    }

    fn attempt_ended(&mut self, id: RequestId, n: u32, ended: AttemptResult) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some((_, running)) = open.running.take_if(|(number, _)| *number == n) else { return };
        if let Some(answer) = ended.answer {
            if let Some(reply) = open.reply.take() {
                reply.send(Answer::Served(answer));
            }
        }
        self.queue.push_back(Event::AttemptEnded {
            id,
            attempt: n,
            request_finished: open.reply.is_none(),
            outcome: ended.outcome,
            elapsed: running.began.elapsed().as_secs_f64(),
            units: ended.units,
            report: ended.report,
        });
        self.forget(id);
    }

    /// HostEvent of the servers. What is out at one that is gone is ended, and what has not been written yet to
    /// one that drains: neither may get anything new.
    fn listed(&mut self, whole: bool, listed: Vec<ListedEndpoint>) {
        let (mut gone, mut draining): (HashSet<EndpointId>, HashSet<EndpointId>) = Default::default();
        for ListedEndpoint { entry, address } in &listed {
            self.peers.servers.place(&entry.id, Place { address: *address, state: entry.state });
            match entry.state {
                EndpointState::InService => {}
                EndpointState::Draining => drop(draining.insert(entry.id.clone())),
                EndpointState::Removed => drop(gone.insert(entry.id.clone())),
            }
        }
        if whole {
            let named: HashSet<&EndpointId> = listed.iter().map(|l| &l.entry.id).collect();
            for id in self.peers.servers.ids().into_iter().filter(|id| !named.contains(id)) {
                self.peers.servers.remove(&id);
                gone.insert(id);
            }
        }
        // The module first: what it hears of the ended attempts it answers with others.
        let entries = listed.into_iter().map(|l| l.entry).collect();
        self.feed(if whole { Event::EndpointList(entries) } else { Event::EndpointChanges(entries) });
        let running = self.requests.iter().filter_map(|(id, open)| Some((*id, open.running.as_ref()?)));
        let lost = running.filter(|(_, (_, r))| {
            // One that has ended is past helping: its outcome comes next, and may be that it ran.
            let lost = gone.contains(&r.server) || (draining.contains(&r.server) && !r.attempt.sent());
            lost && !r.attempt.is_reported()
        });
        let lost: Vec<_> = lost.map(|(id, (n, r))| (id, *n, r.attempt.sent())).collect();
        for (id, n, sent) in lost {
            // What became of those before may have ended this one.
            if !self.stop(id, n) {
                continue;
            }
            self.attempt_ended(
                id,
                n,
                AttemptResult::of(if sent { Outcome::Reset } else { Outcome::ConnectFailed }),
            );
            self.work_off();
        }
    }

    /// Wakes the module at the times it asked for. Those set meanwhile wait for the next round: a timer never
    /// falls due in the round that set it.
    fn timers_due(&mut self) {
        let now = Instant::now();
        let mut due = Vec::new();
        while let Some(Reverse((_, token))) = self.timers.peek().filter(|Reverse((at, _))| *at <= now) {
            due.push(*token);
            self.timers.pop();
        }
        for token in due {
            self.feed(Event::Timer { token });
        }
    }

    // ----- what is to be done -----

    fn feed(&mut self, event: Event) {
        self.queue.push_back(event);
        self.work_off();
    }

    fn work_off(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.queue.pop_front() {
            let now = self.clock.seconds(Instant::now());
            self.limiter.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, endpoint: server, timeout, send_deadline: begin_by } => {
                self.send(id, server, timeout, begin_by)
            }
            Action::Authorize { id } => {
                let gone = DisconnectGuard { events: self.events.clone(), id: Some(id) };
                self.answer(id, Answer::Authorized(gone));
            }
            Action::Reject { id, retry_after } => {
                let cause = self.refusal_cause;
                self.answer(id, Answer::Rejected(Rejection { retry_after, cause }));
            }
            Action::Fail { id } => self.answer(id, Answer::Failed),
            Action::Cancel { id, attempt } => {
                if self.stop(id, attempt) {
                    self.attempt_ended(id, attempt, AttemptResult::of(Outcome::Cancelled));
                }
            }
            Action::IncrementCounter { key: name, increment: add, ttl: lives } => {
                if let Err(outcome) = self.peers.keepers.call(&self.events, name.clone(), add, lives) {
                    self.queue.push_back(Event::CounterReply {
                        key: name,
                        outcome,
                        total: 0.0,
                        elapsed: 0.0,
                    });
                }
            }
            Action::SetTimer { at, token } => self.timers.push(Reverse((self.clock.instant(at), token))),
            Action::CheckHealth { endpoint: server } => {
                let probe = self.peers.servers.clone().probe(self.events.clone(), server);
                tokio::task::spawn_local(async move {
                    let _ = probe.await;
                });
            }
            // The list is followed all the time.
            Action::WatchEndpoints => {}
        }
    }

    fn send(&mut self, id: RequestId, server: EndpointId, timeout: f64, begin_by: f64) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let n = open.attempts;
        open.attempts += 1;
        // Guards the rules even against the module: nothing for a request that is answered or that its client
        // sends, never two attempts at once, and no more than the class permits.
        let forward = open.forward.clone().filter(|_| {
            open.reply.is_some() && open.running.is_none() && n < self.max_attempts && timeout >= 0.0
        });
        let Some(forward) = forward else {
            return self.queue.push_back(Event::attempt_not_sent(id, n));
        };
        let (began, due) = (Instant::now(), forward.deadline);
        let limit =
            if timeout > 0.0 { began + Duration::from_secs_f64(timeout.min(1e6)) } else { due }.min(due);
        // Address and version are those that the choice was made by: a later list must not mix in.
        let address = self.peers.servers.address(&server);
        let attempt = Rc::new(Attempt::new(address, self.version));
        let task = tokio::task::spawn_local(self.peers.servers.clone().attempt(
            self.events.clone(),
            (id, n),
            server.clone(),
            (forward, attempt.clone()),
            Limits { give_up: limit, write_by: limit.min(self.clock.instant(begin_by)) },
        ));
        open.running = Some((n, Running { server, began, attempt, task }));
    }

    /// Ends an attempt at once: its connection is closed when this returns, and its task runs no further. False
    /// where it has ended already: how, the events tells.
    fn stop(&self, id: RequestId, n: u32) -> bool {
        let running = self.requests.get(&id).and_then(|open| open.running.as_ref());
        let Some((_, running)) = running.filter(|(number, r)| *number == n && !r.attempt.is_reported())
        else {
            return false;
        };
        running.attempt.abort();
        running.task.abort();
        true
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(reply) = self.requests.get_mut(&id).and_then(|open| open.reply.take()) {
            reply.send(answer);
        }
        self.drop_unwritten(id);
        self.forget(id);
    }

    /// Ends an attempt of a request that is over, where it has not been written whole: whether attempts may be
    /// called off or not, it never runs. One that is written stays out until its end is seen.
    fn drop_unwritten(&mut self, id: RequestId) {
        let running = self.requests.get(&id).and_then(|open| open.running.as_ref());
        if let Some(n) = running.filter(|(_, r)| !r.attempt.sent()).map(|(n, _)| *n) {
            if self.stop(id, n) {
                self.attempt_ended(id, n, AttemptResult::of(Outcome::NotSent));
            }
        }
    }

    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.reply.is_none() && open.running.is_none()) {
            self.requests.remove(&id);
            self.events.request_closed();
        }
    }
}
