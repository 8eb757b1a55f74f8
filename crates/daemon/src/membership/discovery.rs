//! Follows the list of servers on a watch, and opens another where that one breaks or falls silent.
//!
//! When to call, and for how long a list may be used, is decided in `liftrouter_discovery`; here are the sockets.

use super::catalog::Catalog;
use super::update::Update;
use super::watch::{Call, Watch, WatchError};
use crate::inbox::{Inbox, News};
use crate::log;
use liftrouter_discovery::{CallId, Delivery, Event, Follower};
use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// A list that is older than the one at hand is taken only where discovery has told nothing newer for so long:
/// by then it has lost its history, and any list is better than none.
const OLDER_LIST_AFTER: Duration = Duration::from_secs(60);

/// Discovery as the other parts see it.
pub struct Discovery {
    address: Cell<SocketAddr>,
    delivery: Delivery,
    /// The address has changed: all that is open or being opened ends.
    moved: Notify,
    heard: Notify,
    open: Rc<Cell<usize>>,
    /// The version of the list that was last taken in, and when it was last confirmed.
    version: Cell<Option<u64>>,
    confirmed: Cell<Option<Instant>>,
}

impl Discovery {
    pub fn new(address: SocketAddr, delivery: Delivery) -> Self {
        Discovery {
            address: Cell::new(address),
            delivery,
            moved: Notify::new(),
            heard: Notify::new(),
            open: Rc::default(),
            version: Cell::new(None),
            confirmed: Cell::new(None),
        }
    }

    /// The version of the list that was last taken in.
    pub fn version(&self) -> Option<u64> {
        self.version.get()
    }

    /// How long ago the list was last confirmed; none before the first list.
    pub fn confirmed_ago(&self) -> Option<Duration> {
        self.confirmed.get().map(|at| at.elapsed())
    }

    /// Whether a list that was known before may be used while none has been heard.
    pub fn trusts_known_list(&self) -> bool {
        self.delivery == Delivery::Pushed
    }

    /// Follows the list at another address from now on. The watch on the old one is dropped at once: what it
    /// would still tell, the new one tells too, since it is asked for all after the last version.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify_one();
        }
    }

    /// Waits for the first sign of life.
    pub async fn heard(&self) {
        self.heard.notified().await;
    }

    /// Follows the list for as long as the program runs. It begins with a whole list, whatever was known before:
    /// with nothing changed since that, a watch would say nothing for seconds.
    pub async fn watch(self: Rc<Self>, inbox: Rc<Inbox>, seed: u64) {
        Session::new(self, inbox, seed).run().await;
    }
}

type Opened = (CallId, Result<(Watch, Option<Update>), WatchError>);

/// The watch that is followed, and the calls that are to replace it.
///
/// Silent or not, a watch is kept until another has given a sign of life: while discovery is down all are silent,
/// and what comes at its return counts at once. Whichever speaks first is followed, the others end: all of them
/// tell what came after the same version.
struct Session {
    discovery: Rc<Discovery>,
    inbox: Rc<Inbox>,
    follower: Follower,
    started: Instant,
    watch: Option<Watch>,
    calls: JoinSet<Opened>,
    last_call: CallId,
    answered: (UnboundedSender<CallId>, UnboundedReceiver<CallId>),
    /// The version of the list at hand.
    version: Option<u64>,
    /// When the list at hand was last confirmed.
    confirmed: Instant,
    /// The list at hand, where it may expire.
    catalog: Catalog,
    /// Nothing is sent by the list at hand until it is confirmed.
    expired: bool,
    /// Calls in a row that came to nothing.
    failures: u32,
}

impl Session {
    fn new(discovery: Rc<Discovery>, inbox: Rc<Inbox>, seed: u64) -> Self {
        let now = Instant::now();
        Session {
            follower: Follower::new(discovery.delivery, seed),
            discovery,
            inbox,
            started: now,
            watch: None,
            calls: JoinSet::new(),
            last_call: 0,
            answered: unbounded_channel(),
            version: None,
            confirmed: now,
            catalog: Catalog::default(),
            expired: false,
            failures: 0,
        }
    }

    async fn run(mut self) {
        let discovery = self.discovery.clone();
        loop {
            let next_call = self.follower.next_call();
            let expiry = self.follower.expires_at().filter(|_| !self.expired);
            let started = self.started;
            let sign = async {
                match &mut self.watch {
                    Some(watch) => watch.next().await,
                    None => pending().await,
                }
            };
            tokio::select! {
                biased;
                () = discovery.moved.notified() => self.moved(),
                sign = sign => match sign {
                    Ok(update) => self.heartbeat(Event::Heartbeat, update),
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
        self.last_call += 1;
        let call = Call {
            id: self.last_call,
            address: self.discovery.address.get(),
            after: self.version,
            timeout: self.follower.call_timeout(),
            open: self.discovery.open.clone(),
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
        if let Err(why) = self.check_version(update.as_ref()) {
            return self.call_failed(id, &why);
        }
        self.watch = Some(watch);
        self.heartbeat(Event::WatchOpened, update);
    }

    fn call_failed(&mut self, id: CallId, why: &WatchError) {
        self.failures += 1;
        // Down for minutes, it must not fill the log.
        if self.failures.is_power_of_two() {
            log("discovery", format_args!("{why} (opening {})", self.failures));
        }
        self.tell(Event::CallFailed(id, why.failure()));
    }

    fn watch_closed(&mut self, why: &WatchError) {
        log("discovery", why);
        self.inbox.push(News::ListBroken);
        self.watch = None;
        self.tell(Event::WatchClosed);
    }

    /// The watch that is followed now gave a sign of life; all calls have become needless.
    fn heartbeat(&mut self, event: Event, update: Option<Update>) {
        if let Err(why) = self.check_version(update.as_ref()) {
            return self.watch_closed(&why);
        }
        self.calls = JoinSet::new();
        self.failures = 0;
        self.tell(event);
        self.confirmed = Instant::now();
        self.discovery.confirmed.set(Some(self.confirmed));
        if let Some(update) = update {
            self.take_in(update);
        }
        if std::mem::take(&mut self.expired) {
            log("discovery", "the list of servers is confirmed again");
            self.inbox.push(News::ListConfirmed);
            self.push_list(true, self.catalog.listed());
        }
        if self.version.is_some() {
            self.discovery.heard.notify_one();
        }
    }

    /// A list that comes on request from one of several replicas may be older than the one at hand.
    fn check_version(&self, update: Option<&Update>) -> Result<(), WatchError> {
        let (Some(update), Some(held)) = (update, self.version) else { return Ok(()) };
        let older = update.generation < held && self.discovery.delivery == Delivery::OnRequest;
        if older && self.confirmed.elapsed() < OLDER_LIST_AFTER {
            return Err(WatchError::Older { held, got: update.generation });
        }
        Ok(())
    }

    fn take_in(&mut self, mut update: Update) {
        // What is changed since no version is the whole list.
        update.reset |= self.version.is_none();
        self.version = Some(update.generation);
        self.discovery.version.set(self.version);
        match self.discovery.delivery {
            Delivery::Pushed => self.push_list(update.reset, update.servers()),
            Delivery::OnRequest => {
                let whole = update.reset;
                let servers = update.clone().servers();
                self.catalog.apply(update);
                if !self.expired {
                    self.push_list(whole, servers);
                }
            }
        }
    }

    /// The list at hand can no longer be trusted: what is told as draining gets nothing new.
    fn expire(&mut self) {
        let age = self.confirmed.elapsed().as_secs_f64();
        log("discovery", format_args!("the list of servers is out of date, last confirmed {age:.1} s ago"));
        self.expired = true;
        self.inbox.push(News::ListExpired);
        self.push_list(false, self.catalog.all_draining());
    }

    fn push_list(&self, whole: bool, servers: Vec<crate::inbox::Listed>) {
        self.inbox.push(News::Listed { whole, servers, version: None });
    }
}

/// Waits until a time after the start, or for ever.
async fn until(started: Instant, at: Option<Duration>) {
    match at {
        Some(at) => sleep_until(started + at).await,
        None => pending().await,
    }
}
