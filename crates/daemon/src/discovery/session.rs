//! Follows a list through a watch, and opens another watch when that one fails or sends no heartbeat.
//!
//! `liftrouter_discovery` decides when to call and how long a list may be used; this module does the I/O.

use super::sink::{Heartbeat, ListSink};
use super::upstream::Upstream;
use super::watch::{Call, Watch, WatchError};
use super::watch_request::WatchRequest;
use crate::upstream::connection_counts::ConnectionCounts;
use liftrouter_catalog::{ApplyError, Update};
use liftrouter_discovery::{CallId, Event, Follower};
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// A complete list with a lower revision than the current one is accepted only after the current one has not been
/// confirmed for this long: discovery has then lost its history, and an older list is better than none.
const OLDER_LIST_ACCEPTED_AFTER: Duration = Duration::from_secs(60);

type CallResult = (CallId, Result<(Watch, Option<Update>), WatchError>);

/// The followed watch, and the calls in progress that may replace it.
///
/// A watch without heartbeats is kept until another one has sent a heartbeat: while discovery is down all watches are
/// silent, and when it returns a message on the old watch is used at once. The first watch that sends a heartbeat is
/// followed and all others are closed, which loses nothing since all of them resume after the same revision.
pub struct Session<S> {
    upstream: Rc<Upstream>,
    sink: S,
    /// Notified on each heartbeat after the first list.
    heartbeat_notify: Rc<Notify>,
    follower: Follower,
    started: Instant,
    watch: Option<Watch>,
    calls: JoinSet<CallResult>,
    last_call: CallId,
    /// Carries the ids of calls whose successful response head has arrived.
    answered_sender: UnboundedSender<CallId>,
    answered_receiver: UnboundedReceiver<CallId>,
    /// When the current list was last confirmed; the start of the session before the first one.
    confirmed_at: Instant,
    /// The digest of an update did not match the current list, so the next call asks for the complete list.
    needs_complete_list: bool,
    /// Consecutive failed calls.
    failures: u32,
    /// The counts of the session's connections.
    connections: Rc<ConnectionCounts>,
}

impl<S: ListSink> Session<S> {
    /// Creates a session that has made no call yet. Different seeds spread the retries of several limiters.
    pub fn new(upstream: Rc<Upstream>, sink: S, heartbeat_notify: Rc<Notify>, seed: u64) -> Self {
        let now = Instant::now();
        let (answered_sender, answered_receiver) = unbounded_channel();
        Session {
            follower: Follower::new(upstream.delivery(), seed),
            upstream,
            sink,
            heartbeat_notify,
            started: now,
            watch: None,
            calls: JoinSet::new(),
            last_call: 0,
            answered_sender,
            answered_receiver,
            confirmed_at: now,
            needs_complete_list: false,
            failures: 0,
            connections: ConnectionCounts::new("discovery"),
        }
    }

    /// Follows the list for as long as the future is polled.
    pub async fn run(mut self) {
        let upstream = self.upstream.clone();
        loop {
            let next_call = self.follower.next_call();
            let expiry = self.follower.expires_at().filter(|_| !upstream.is_expired());
            let started = self.started;
            let heartbeat = async {
                match &mut self.watch {
                    Some(watch) => watch.next().await,
                    None => pending().await,
                }
            };
            tokio::select! {
                biased;
                () = upstream.address_changed() => self.restart(),
                heartbeat = heartbeat => match heartbeat {
                    Ok(update) => self.watch_heartbeat(update),
                    Err(error) => self.watch_closed(&error),
                },
                () = until(started, expiry) => self.expire(),
                Some(id) = self.answered_receiver.recv() => self.notify_follower(Event::CallAnswered(id)),
                Some(Ok((id, opened))) = self.calls.join_next() => match opened {
                    Ok((watch, update)) => self.watch_opened(id, watch, update),
                    Err(error) => self.call_failed(id, &error),
                },
                () = until(started, next_call) => self.start_call(),
            }
        }
    }

    fn notify_follower(&mut self, event: Event) {
        self.follower.handle(self.started.elapsed(), event);
    }

    fn start_call(&mut self) {
        if self.watch.is_some() {
            if self.failures == 0 && self.calls.is_empty() {
                let age = self.confirmed_at.elapsed().as_secs_f64();
                self.upstream
                    .log(format_args!("the watch gave no sign of life for {age:.1} s: opening another"));
            }
            self.upstream.fail_over();
        }
        self.last_call += 1;
        let call = Call {
            id: self.last_call,
            address: self.upstream.address(),
            request: WatchRequest {
                subscription: self.upstream.subscription().clone(),
                after: self.revision(),
            },
            timeout: self.follower.call_timeout(),
            max_message_bytes: self.upstream.max_message_bytes(),
            heartbeat_timeout: self.follower.heartbeat_timeout(),
            connections: self.connections.clone(),
            received_bytes: self.upstream.received_bytes().clone(),
            answered: self.answered_sender.clone(),
        };
        self.notify_follower(Event::CallStarted(call.id));
        self.calls.spawn_local(call.run());
    }

    /// Drops the watch and all calls after a change of the address.
    fn restart(&mut self) {
        self.watch = None;
        self.calls = JoinSet::new();
        self.notify_follower(Event::Moved);
    }

    fn watch_opened(&mut self, id: CallId, watch: Watch, update: Option<Update>) {
        match self.apply(update) {
            Ok(heartbeat) => {
                self.watch = Some(watch);
                self.record_heartbeat(Event::WatchOpened, heartbeat);
            }
            Err(error) => self.call_failed(id, &error),
        }
    }

    fn call_failed(&mut self, id: CallId, error: &WatchError) {
        self.failures += 1;
        // Logs only the 1st, 2nd, 4th, 8th, ... consecutive failure, so that a long outage does not fill the log.
        if self.failures.is_power_of_two() {
            self.upstream.log(format_args!("{error} (consecutive failure {})", self.failures));
        }
        self.upstream.fail_over();
        self.notify_follower(Event::CallFailed(id, error.failure()));
    }

    fn watch_closed(&mut self, error: &WatchError) {
        self.upstream.log(error);
        self.sink.disconnected();
        self.watch = None;
        self.upstream.fail_over();
        self.notify_follower(Event::WatchClosed);
    }

    fn watch_heartbeat(&mut self, update: Option<Update>) {
        match self.apply(update) {
            Ok(heartbeat) => self.record_heartbeat(Event::Heartbeat, heartbeat),
            Err(error) => self.watch_closed(&error),
        }
    }

    /// Records a heartbeat of the followed watch. Calls in progress are dropped, since they are no longer needed.
    fn record_heartbeat(&mut self, event: Event, heartbeat: Heartbeat) {
        self.calls = JoinSet::new();
        self.failures = 0;
        self.follower.handle_aged(self.started.elapsed(), event, heartbeat.confirmed_ago());
        let now = Instant::now();
        self.confirmed_at = self.confirmed_at.max(now.checked_sub(heartbeat.confirmed_ago()).unwrap_or(now));
        self.upstream.record_list(self.revision(), self.confirmed_at);
        let is_fresh = self.follower.expires_at().is_none_or(|at| at > self.started.elapsed());
        if is_fresh && self.upstream.set_expired(false) {
            self.sink.confirmed();
        }
        self.sink.heartbeat(heartbeat);
        if self.revision().is_some() {
            self.heartbeat_notify.notify_one();
        }
    }

    /// The revision after which a new watch resumes; none if the complete list is needed.
    fn revision(&self) -> Option<u64> {
        self.sink.revision().filter(|_| !self.needs_complete_list)
    }

    fn apply(&mut self, update: Option<Update>) -> Result<Heartbeat, WatchError> {
        let Some(mut update) = update else { return Ok(Heartbeat::EmptyLine) };
        let confirmed_ago = Duration::from_millis(update.confirmed_ago_ms);
        let is_older = update.reset && self.revision().is_some_and(|current| update.revision < current);
        if is_older && self.confirmed_at.elapsed() >= OLDER_LIST_ACCEPTED_AFTER {
            self.sink.forget_revision();
        }
        // Without a current list, an update contains the complete list even if it is not marked so.
        update.reset |= self.sink.revision().is_none();
        let is_complete = update.reset;
        let applied = self.sink.apply(update);
        self.needs_complete_list = match &applied {
            Ok(()) => self.needs_complete_list && !is_complete,
            Err(error) => self.needs_complete_list || matches!(error, ApplyError::DigestMismatch { .. }),
        };
        applied.map_err(WatchError::List)?;
        Ok(Heartbeat::Message { confirmed_ago })
    }

    fn expire(&mut self) {
        self.upstream.set_expired(true);
        self.sink.expired(self.confirmed_at.elapsed());
    }
}

/// Waits until `at` after the start, or forever if there is no such time.
async fn until(started: Instant, at: Option<Duration>) {
    match at {
        Some(at) => sleep_until(started + at).await,
        None => pending().await,
    }
}
