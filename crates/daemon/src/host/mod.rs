//! The host of the decision module: takes events one by one, passes them to the module, and carries its actions out.
//!
//! It owns the [`Limiter`], the clock, the timers and the table of requests; nothing else calls the module. One task runs
//! it, so an action whose outcome is known at once never re-enters the module: the event that follows from it waits in
//! the host's own queue and comes before the next event of the daemon.

mod attempts;
mod clock;
mod endpoint_updates;
mod pauses;
mod requests;
mod timers;

use crate::counter::pool::CounterPool;
use crate::events::{
    Answer, AttemptResult, DisconnectGuard, EventQueue, HostEvent, Rejection, RejectionCause,
};
use crate::upstream::servers::Servers;
use clock::Clock;
use liftrouter_counter::PauseDetector;
use liftrouter_decision::{Action, EndpointId, Event, Limiter, Outcome, RequestId, Settings};
use requests::OpenRequest;
use std::collections::{HashMap, VecDeque};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use timers::TimerQueue;
use tokio::time::{sleep_until, Instant};

/// With no timer set there is nothing to wake up for but events, so any long time will do.
const IDLE_SLEEP: Duration = Duration::from_secs(3_600);

/// What the host calls to carry actions out.
pub struct Clients {
    /// The servers.
    pub servers: Rc<Servers>,
    /// The counters.
    pub counters: Rc<CounterPool>,
}

/// The host of one decision module.
pub struct Host {
    limiter: Limiter,
    clock: Clock,
    events: Rc<EventQueue>,
    clients: Clients,
    /// Events that followed from actions and are not passed to the module yet.
    pending: VecDeque<Event>,
    requests: HashMap<RequestId, OpenRequest>,
    timers: TimerQueue,
    max_attempts: u32,
    /// Why a request is rejected now, as far as it is known outside the module.
    rejection_cause: RejectionCause,
    /// Version of the endpoint list that servers are chosen from.
    endpoint_list_version: Option<u64>,
    /// Detects pauses of the process, if the counter is validated.
    pause_detector: Option<PauseDetector>,
}

impl Host {
    /// A host with a new decision module.
    pub fn new(settings: Settings, seed: u64, events: Rc<EventQueue>, clients: Clients) -> Self {
        let clock = Clock::start();
        let now = clock.seconds(Instant::now());
        Host {
            max_attempts: settings.max_attempts.max(1),
            limiter: Limiter::new(settings, seed, now),
            clock,
            events,
            clients,
            pending: VecDeque::new(),
            requests: HashMap::new(),
            timers: TimerQueue::default(),
            rejection_cause: RejectionCause::Limit,
            endpoint_list_version: None,
            pause_detector: None,
        }
    }

    /// Runs for as long as it is polled.
    pub async fn run(mut self) {
        let events = self.events.clone();
        let mut sleep = pin!(sleep_until(Instant::now() + IDLE_SLEEP));
        loop {
            self.check_for_pause();
            while let Some(event) = events.pop() {
                self.handle_event(event);
            }
            let wake_up = self.next_wake_up();
            if sleep.deadline() != wake_up {
                sleep.as_mut().reset(wake_up);
            }
            tokio::select! {
                () = events.wait() => {}
                () = sleep.as_mut() => {
                    self.check_for_pause();
                    self.fire_timers();
                }
            }
        }
    }

    fn next_wake_up(&self) -> Instant {
        let next_timer = self.timers.next().unwrap_or_else(|| Instant::now() + IDLE_SLEEP);
        match &self.pause_detector {
            Some(detector) => {
                next_timer.min(Instant::now() + Duration::from_secs_f64(detector.check_interval()))
            }
            None => next_timer,
        }
    }

    fn handle_event(&mut self, event: HostEvent) {
        match event {
            HostEvent::RequestReceived { id, request, reply } => self.request_received(id, request, reply),
            HostEvent::ClientDisconnected(id) => self.client_disconnected(id),
            HostEvent::AttemptEnded { id, attempt, result } => {
                self.attempt_ended(id, attempt, result);
                self.run_pending();
            }
            HostEvent::CounterReply { key, outcome, total, elapsed } => {
                let elapsed_s = elapsed.as_secs_f64();
                self.dispatch(Event::CounterReply { key, outcome, total, elapsed_s });
            }
            HostEvent::CounterValidity { usable_quota_ratio, pauses } => {
                // A verdict from before a pause that the validation did not know of is out of date.
                if pauses == self.clients.counters.changes().pauses {
                    self.dispatch(Event::CounterValidity { usable_quota_ratio });
                }
            }
            HostEvent::HealthChecked { endpoint, outcome, report } => {
                self.dispatch(Event::HealthChecked { endpoint, outcome, report });
            }
            HostEvent::EndpointUpdate { complete, endpoints, version } => {
                self.endpoint_list_version = version;
                self.update_endpoints(complete, endpoints);
            }
            HostEvent::WatchFailed => self.dispatch(Event::DiscoveryFailed),
            HostEvent::EndpointListExpired => self.rejection_cause = RejectionCause::EndpointListExpired,
            HostEvent::EndpointListConfirmed => self.rejection_cause = RejectionCause::Limit,
            HostEvent::ShutdownDeadline => self.fail_unanswered(),
        }
    }

    /// Wakes the module at the times that it asked for. Timers set meanwhile wait for the next round: a timer never
    /// fires in the round that set it.
    fn fire_timers(&mut self) {
        for token in self.timers.take_due(Instant::now()) {
            self.dispatch(Event::Timer { token });
        }
    }

    /// Passes an event to the module and carries out what follows.
    fn dispatch(&mut self, event: Event) {
        self.pending.push_back(event);
        self.run_pending();
    }

    /// Passes pending events to the module until none is left.
    fn run_pending(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            let now = self.clock.seconds(Instant::now());
            self.limiter.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, endpoint, timeout_s, send_deadline } => {
                self.start_attempt(id, endpoint, timeout_s, send_deadline);
            }
            Action::Authorize { id } => {
                let guard = DisconnectGuard { events: self.events.clone(), id: Some(id) };
                self.answer(id, Answer::Authorized(guard));
            }
            Action::Reject { id, retry_after_s } => {
                let cause = self.rejection_cause;
                self.answer(id, Answer::Rejected(Rejection { retry_after_s, cause }));
            }
            Action::Fail { id } => self.answer(id, Answer::Failed),
            Action::Cancel { id, attempt } => {
                if self.abort_attempt(id, attempt) {
                    self.attempt_ended(id, attempt, AttemptResult::of(Outcome::Cancelled));
                }
            }
            Action::IncrementCounter { key, increment, ttl_s } => {
                self.increment_counter(key, increment, ttl_s);
            }
            Action::SetTimer { expires_at, token } => self.timers.set(self.clock.instant(expires_at), token),
            Action::CheckHealth { endpoint } => self.check_health(endpoint),
            // Discovery follows the list all the time.
            Action::WatchEndpoints => {}
        }
    }

    fn increment_counter(&mut self, key: String, increment: f64, ttl_s: f64) {
        if let Err(outcome) = self.clients.counters.call(&self.events, key.clone(), increment, ttl_s) {
            self.pending.push_back(Event::CounterReply { key, outcome, total: 0.0, elapsed_s: 0.0 });
        }
    }

    fn check_health(&self, endpoint: EndpointId) {
        let check = self.clients.servers.clone().check_health(self.events.clone(), endpoint);
        tokio::task::spawn_local(async move {
            let _ = check.await;
        });
    }
}
