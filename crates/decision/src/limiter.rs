//! One limiter: dispatches each event to the module that handles it.

use crate::context::Context;
use crate::interface::{Action, Event, Settings};
use crate::requests::{AttemptEnd, Requests};
use crate::timer::Timer;

/// Seconds between two ticks.
const TICK_INTERVAL_SECONDS: f64 = 0.05;
/// If more seconds than this pass between two ticks, the process itself was paused.
const PAUSE_THRESHOLD_SECONDS: f64 = 0.25;
/// Seconds between two sweeps for idle customers.
const IDLE_CUSTOMER_SWEEP_SECONDS: f64 = 60.0;

/// The decision code and state of one limiter. The host passes events to [`Limiter::handle`] and carries out
/// the actions that it appends.
pub struct Limiter {
    settings: Settings,
    tick_timer_started: bool,
    last_tick: f64,
    /// End of the latest pause of this process. Endpoints are not blamed for attempts delayed by it.
    last_pause: f64,
    requests: Requests,
    watch_pending: bool,
    watch_failed: bool,
}

impl Limiter {
    /// A limiter that has seen no event yet. The seed determines its random draws.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Self {
        Limiter {
            tick_timer_started: false,
            last_tick: now,
            last_pause: now,
            requests: Requests::new(&settings, seed, now),
            watch_pending: settings.polls_discovery,
            watch_failed: false,
            settings,
        }
    }

    /// Limits the number of customers that are tracked, and with it the memory that they take. While it is reached,
    /// requests of new customers are rejected unless the account of another may be dropped.
    pub fn set_max_customers(&mut self, max_customers: usize) {
        self.requests.set_max_customers(max_customers);
    }

    /// Handles one event and appends the actions that the host has to carry out, in order.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        // A flag, since the time cannot show it: a real clock has advanced since `new` by the first event.
        if !std::mem::replace(&mut self.tick_timer_started, true) {
            set_tick_timer(now, actions);
        }
        if std::mem::take(&mut self.watch_pending) {
            actions.push(Action::WatchEndpoints);
        }
        let Limiter { settings, requests, .. } = self;
        let context = Context { settings, now };
        match event {
            Event::EndpointList(entries) => requests.on_endpoint_list(context, &entries, actions),
            Event::EndpointChanges(entries) => requests.on_endpoint_changes(context, &entries, actions),
            Event::DiscoveryFailed => self.watch_failed = true,
            Event::Request(request) => requests.admit(context, request, actions),
            Event::Authorization(request) => requests.authorize(context, request, actions),
            Event::StreamStarted { id } => requests.on_stream_started(id),
            Event::AttemptEnded { id, attempt, request_finished, outcome, elapsed_s, units, .. } => {
                let end = AttemptEnd { request_finished, outcome, elapsed_s, units: units.unwrap_or(0.0) };
                requests.on_attempt_ended(context, id, attempt, end, actions);
            }
            Event::ClientDisconnected { id } => requests.on_client_disconnected(context, id, actions),
            Event::CounterReply { key, outcome, total, elapsed_s } => {
                requests.quota.on_counter_reply(context, &key, outcome, total, elapsed_s);
            }
            Event::CounterValidity { usable_quota_ratio } => {
                requests.quota.set_usable_quota_ratio(usable_quota_ratio);
            }
            // Endpoint health is inferred from requests: this module asks for no health checks.
            Event::HealthChecked { .. } => {}
            Event::Timer { token } => self.on_timer(now, Timer::from_token(token), actions),
        }
    }

    fn on_timer(&mut self, now: f64, timer: Timer, actions: &mut Vec<Action>) {
        let context = Context { settings: &self.settings, now };
        match timer {
            Timer::Tick => self.on_tick(now, actions),
            Timer::RequestDeadline(id) => self.requests.on_deadline(context, id, actions),
            Timer::SlowAttempt(id) => self.requests.on_slow_attempt(context, id, self.last_pause, actions),
            Timer::AuthorizationExpiry(id) => self.requests.release_authorization(context, id),
        }
    }

    fn on_tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        let context = Context { settings: &self.settings, now };
        if now - self.last_tick > PAUSE_THRESHOLD_SECONDS {
            self.last_pause = now;
        }
        let sweep_index = |time: f64| (time / IDLE_CUSTOMER_SWEEP_SECONDS).floor();
        if sweep_index(now) > sweep_index(self.last_tick) {
            self.requests.quota.evict_idle_customers(context);
        }
        self.last_tick = now;
        self.requests.endpoints.refresh(context);
        // A watch that ended is restarted with the next event, at most once a tick.
        self.watch_pending |= std::mem::take(&mut self.watch_failed);
        set_tick_timer(now, actions);
    }
}

fn set_tick_timer(now: f64, actions: &mut Vec<Action>) {
    actions.push(Action::SetTimer { expires_at: now + TICK_INTERVAL_SECONDS, token: Timer::Tick.token() });
}
