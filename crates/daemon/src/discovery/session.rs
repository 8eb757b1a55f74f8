//! Follows a list on a watch, and opens another where that one breaks or falls silent.
//!
//! When to call, and for how long a list may be used, is decided in `liftrouter_discovery`; here are the sockets.

use super::sink::{ListSink, SignOfLife};
use super::upstream::Upstream;
use super::watch::{Call, Watch, WatchError};
use liftrouter_catalog::{ApplyError, Update};
use liftrouter_discovery::{CallId, Event, Follower};
use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// A list that is older than the one at hand is taken only where discovery has told nothing newer for so long:
/// by then it has lost its history, and any list is better than none.
const OLDER_LIST_AFTER: Duration = Duration::from_secs(60);

type Opened = (CallId, Result<(Watch, Option<Update>), WatchError>);

/// The watch that is followed, and the calls that are to replace it.
///
/// Silent or not, a watch is kept until another has given a sign of life: while discovery is down all are silent,
/// and what comes at its return counts at once. Whichever speaks first is followed, the others end: all of them
/// tell what came after the same revision.
pub struct Session<S> {
    upstream: Rc<Upstream>,
    sink: S,
    /// Told of each sign of life.
    heard: Rc<Notify>,
    follower: Follower,
    started: Instant,
    watch: Option<Watch>,
    calls: JoinSet<Opened>,
    last_call: CallId,
    answered: (UnboundedSender<CallId>, UnboundedReceiver<CallId>),
    /// When the list at hand was last confirmed.
    confirmed: Instant,
    /// A digest differed from that of the list at hand: the whole list is needed.
    needs_whole_list: bool,
    /// Calls in a row that came to nothing.
    failures: u32,
    /// Connections that are open.
    open: Rc<Cell<usize>>,
}

impl<S: ListSink> Session<S> {
    pub fn new(upstream: Rc<Upstream>, sink: S, heard: Rc<Notify>, seed: u64) -> Self {
        let now = Instant::now();
        Session {
            follower: Follower::new(upstream.delivery(), seed),
            upstream,
            sink,
            heard,
            started: now,
            watch: None,
            calls: JoinSet::new(),
            last_call: 0,
            answered: unbounded_channel(),
            confirmed: now,
            needs_whole_list: false,
            failures: 0,
            open: Rc::default(),
        }
    }

    /// Runs for as long as it is polled.
    pub async fn run(mut self) {
        let upstream = self.upstream.clone();
        loop {
            let next_call = self.follower.next_call();
            let expiry = self.follower.expires_at().filter(|_| !upstream.is_expired());
            let started = self.started;
            let sign = async {
                match &mut self.watch {
                    Some(watch) => watch.next().await,
                    None => pending().await,
                }
            };
            tokio::select! {
                biased;
                () = upstream.moved() => self.moved(),
                sign = sign => match sign {
                    Ok(update) => self.heartbeat(update),
                    Err(why) => self.watch_closed(&why),
                },
                () = until(started, expiry) => self.expire(),
                Some(id) = self.answered.1.recv() => self.tell(Event::CallAnswered(id)),
                Some(Ok((id, opened))) = self.calls.join_next() => match opened {
                    Ok((watch, update)) => self.opened(id, watch, update),
                    Err(why) => self.call_failed(id, &why),
                },
                () = until(started, next_call) => self.call(),
            }
        }
    }

    fn tell(&mut self, event: Event) {
        self.follower.handle(self.started.elapsed(), event);
    }

    fn call(&mut self) {
        if self.watch.is_some() {
            if self.failures == 0 && self.calls.is_empty() {
                let age = self.confirmed.elapsed().as_secs_f64();
                self.upstream
                    .log(format_args!("the watch gave no sign of life for {age:.1} s: opening another"));
            }
            self.upstream.fail_over();
        }
        self.last_call += 1;
        let call = Call {
            id: self.last_call,
            address: self.upstream.address(),
            subscription: self.upstream.subscription().clone(),
            after: self.revision(),
            timeout: self.follower.call_timeout(),
            longest_message: self.upstream.longest_message(),
            silence: self.follower.silence(),
            open: self.open.clone(),
            received: self.upstream.received().clone(),
            answered: self.answered.0.clone(),
        };
        self.tell(Event::CallStarted(call.id));
        self.calls.spawn_local(call.run());
    }

    fn moved(&mut self) {
        self.watch = None;
        self.calls = JoinSet::new();
        self.tell(Event::Moved);
    }

    fn opened(&mut self, id: CallId, watch: Watch, update: Option<Update>) {
        match self.apply(update) {
            Ok(sign) => {
                self.watch = Some(watch);
                self.alive(Event::WatchOpened, sign);
            }
            Err(why) => self.call_failed(id, &why),
        }
    }

    fn call_failed(&mut self, id: CallId, why: &WatchError) {
        self.failures += 1;
        // Down for minutes, it must not fill the log.
        if self.failures.is_power_of_two() {
            self.upstream.log(format_args!("{why} (opening {})", self.failures));
        }
        self.upstream.fail_over();
        self.tell(Event::CallFailed(id, why.failure()));
    }

    fn watch_closed(&mut self, why: &WatchError) {
        self.upstream.log(why);
        self.sink.disconnected();
        self.watch = None;
        self.upstream.fail_over();
        self.tell(Event::WatchClosed);
    }

    fn heartbeat(&mut self, update: Option<Update>) {
        match self.apply(update) {
            Ok(sign) => self.alive(Event::Heartbeat, sign),
            Err(why) => self.watch_closed(&why),
        }
    }

    /// The watch that is followed now gave a sign of life; all calls have become needless.
    fn alive(&mut self, event: Event, sign: SignOfLife) {
        self.calls = JoinSet::new();
        self.failures = 0;
        self.follower.handle_aged(self.started.elapsed(), event, sign.confirmed_ago());
        let now = Instant::now();
        self.confirmed = self.confirmed.max(now.checked_sub(sign.confirmed_ago()).unwrap_or(now));
        self.upstream.note(self.revision(), self.confirmed);
        let fresh = self.follower.expires_at().is_none_or(|at| at > self.started.elapsed());
        if fresh && self.upstream.set_expired(false) {
            self.sink.confirmed();
        }
        self.sink.heartbeat(sign);
        if self.revision().is_some() {
            self.heard.notify_one();
        }
    }

    /// The revision to ask for what came after it; none where the whole list is needed.
    fn revision(&self) -> Option<u64> {
        self.sink.revision().filter(|_| !self.needs_whole_list)
    }

    fn apply(&mut self, update: Option<Update>) -> Result<SignOfLife, WatchError> {
        let Some(mut update) = update else { return Ok(SignOfLife::EmptyLine) };
        let confirmed_ago = Duration::from_millis(update.confirmed_ago_ms);
        let older = update.reset && self.revision().is_some_and(|held| update.generation < held);
        if older && self.confirmed.elapsed() >= OLDER_LIST_AFTER {
            self.sink.forget_revision();
        }
        // What is changed since no revision is the whole list.
        update.reset |= self.sink.revision().is_none();
        let whole = update.reset;
        let applied = self.sink.apply(update);
        self.needs_whole_list = match &applied {
            Ok(()) => self.needs_whole_list && !whole,
            Err(error) => self.needs_whole_list || matches!(error, ApplyError::DigestMismatch { .. }),
        };
        applied.map_err(WatchError::List)?;
        Ok(SignOfLife::Message { confirmed_ago })
    }

    fn expire(&mut self) {
        self.upstream.set_expired(true);
        self.sink.expired(self.confirmed.elapsed());
    }
}

/// Waits until a time after the start, or for ever.
async fn until(started: Instant, at: Option<Duration>) {
    match at {
        Some(at) => sleep_until(started + at).await,
        None => pending().await,
    }
}
