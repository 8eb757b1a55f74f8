//! The host of the decision module: passes events to the module one by one and performs the actions that it returns.
//!
//! The host owns the [`Limiter`], the clock, the timers and the table of requests; nothing else calls the module. It
//! runs in a single task. If the outcome of an action is known at once, the resulting event does not re-enter the
//! module: it is added to the host's `pending` queue, which is emptied before the next event of the daemon is handled.

mod abandoned_ids;
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
use abandoned_ids::AbandonedIds;
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

/// Time until the next wake-up when no timer is set. Events wake the host anyway, so any long time will do.
const IDLE_SLEEP: Duration = Duration::from_secs(3_600);

/// The clients that the host uses to perform actions.
pub struct Clients {
    /// The servers, with the connections to them.
    pub servers: Rc<Servers>,
    /// The counter services.
    pub counters: Rc<CounterPool>,
}

/// The host of one decision module.
pub struct Host {
    limiter: Limiter,
    clock: Clock,
    events: Rc<EventQueue>,
    clients: Clients,
    /// Events that resulted from actions and have not been passed to the module yet.
    pending: VecDeque<Event>,
    requests: HashMap<RequestId, OpenRequest>,
    abandoned_ids: AbandonedIds,
    timers: TimerQueue,
    max_attempts: u32,
    /// The cause that is given for rejections at present; the module does not name one.
    rejection_cause: RejectionCause,
    /// Version of the inventory file that the endpoint list was read from, if any.
    inventory_version: Option<u64>,
    /// Detects pauses of the process; `None` unless the counter is validated.
    pause_detector: Option<PauseDetector>,
}

impl Host {
    /// Creates a host with a new decision module.
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
            abandoned_ids: AbandonedIds::default(),
            timers: TimerQueue::default(),
            rejection_cause: RejectionCause::Limit,
            inventory_version: None,
            pause_detector: None,
        }
    }

    /// Limits the number of customers that the module tracks.
    pub fn with_max_customers(mut self, max_customers: usize) -> Self {
        self.limiter.set_max_customers(max_customers);
        self
    }

    /// Handles events and timers; never returns.
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
                next_timer.min(Instant::now() + Duration::from_secs_f64(detector.check_interval_s()))
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
                // A verdict is out of date if the validation had not been notified of a pause that has happened since.
                if pauses == self.clients.counters.changes().pauses {
                    self.dispatch(Event::CounterValidity { usable_quota_ratio });
                }
            }
            HostEvent::HealthChecked { endpoint, outcome, report } => {
                self.dispatch(Event::HealthChecked { endpoint, outcome, report });
            }
            HostEvent::EndpointUpdate { complete, endpoints, version } => {
                self.inventory_version = version;
                self.update_endpoints(complete, endpoints);
            }
            HostEvent::WatchFailed => self.dispatch(Event::DiscoveryFailed),
            HostEvent::EndpointListExpired => self.rejection_cause = RejectionCause::EndpointListExpired,
            HostEvent::EndpointListConfirmed => self.rejection_cause = RejectionCause::Limit,
            HostEvent::ShutdownDeadline => self.fail_unanswered(),
        }
    }

    /// Passes the timers that are due to the module. Timers that it sets meanwhile are left for the next call, even if
    /// they are due already.
    fn fire_timers(&mut self) {
        let now = Instant::now();
        self.abandoned_ids.release_expired(now);
        for token in self.timers.take_due(now) {
            self.dispatch(Event::Timer { token });
        }
    }

    /// Passes an event to the module and performs the actions that result.
    fn dispatch(&mut self, event: Event) {
        self.pending.push_back(event);
        self.run_pending();
    }

    /// Passes the pending events to the module until none is left.
    fn run_pending(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            let now = self.clock.seconds(Instant::now());
            self.limiter.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
        }
    }

    fn perform(&mut self, action: Action) {
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
                    self.attempt_ended(id, attempt, AttemptResult::without_response(Outcome::Cancelled));
                }
            }
            Action::Withdraw { id, attempt } => self.withdraw_attempt(id, attempt),
            Action::IncrementCounter { key, increment, ttl_s } => {
                self.increment_counter(key, increment, ttl_s);
            }
            Action::SetTimer { expires_at, token } => self.timers.set(self.clock.instant(expires_at), token),
            Action::CheckHealth { endpoint } => self.check_health(endpoint),
            // Discovery watches the list all the time, so nothing has to be started.
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
