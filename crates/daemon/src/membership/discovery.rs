//! Discovery: follows the list of servers on a watch, and takes it up again where it broke.

use super::messages::{Sign, Splitter};
use crate::count::Count;
use crate::inbox::{Inbox, Listed, News};
use crate::log;
use crate::peers::link::Link;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use liftrouter_decision::{ServerEntry, ServerState};
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

// What discovery tells counts as told 6 s after it had it and could be reached, and 4 s after a move, whether or
// not it arrived. An empty line comes every 2 s while nothing changes, and a peer that is cut off never errs: only
// silence tells. So from the last sign of life it takes SILENCE until others are opened, one every EVERY, none of
// which waits for the one before. Each opening that is refused, hangs, or gets no further than its head costs
// EVERY, or SPARE where all that are out have a head: six in a row leave room for a busy machine still.

/// A watch that has given no sign of life for so long is taken to be broken.
const SILENCE: Duration = Duration::from_millis(2_500);
/// How long connecting, and the head of an answer, may take.
const OPENING: Duration = Duration::from_millis(800);
/// Openings begin so long after one another while none has its head, and where one has.
const EVERY: Duration = Duration::from_millis(200);
const SPARE: Duration = Duration::from_millis(500);
/// The most openings at once: more than fit into their times, as a guard of the descriptors.
const MOST_OPENINGS: usize = 10;
/// The longest message; a list of some ten thousand servers fits.
const LONGEST: usize = 4 << 20;

/// A message of discovery: the whole list, or what changed.
#[derive(Deserialize)]
pub struct Update {
    pub generation: u64,
    #[serde(default)]
    pub reset: bool,
    #[serde(default, deserialize_with = "readable")]
    pub instances: Vec<Instance>,
}

impl Update {
    /// What it tells the host.
    pub fn news(self) -> News {
        let listed = |i: Instance| Listed { entry: i.entry(), address: i.host_port };
        let servers = self.instances.into_iter().map(listed).collect();
        News::Listed { whole: self.reset, servers, version: None }
    }
}

/// The entries that can be read. One that cannot must not hide the others: asked for again, the line would be
/// the same.
fn readable<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Instance>, D::Error> {
    let entries = Vec::<serde_json::Value>::deserialize(deserializer)?;
    let (mut instances, named) = (Vec::new(), entries.len());
    for entry in entries {
        match Instance::deserialize(entry) {
            Ok(instance) => instances.push(instance),
            Err(e) => log("discovery", format_args!("an entry cannot be read: {e}")),
        }
    }
    // Where none can, the line says nothing: least of all that every server is gone.
    if instances.is_empty() && named > 0 {
        return Err(D::Error::custom("no entry can be read"));
    }
    Ok(instances)
}

/// One server in it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    instance_id: String,
    host_port: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: i64,
    lifecycle: String,
    weight: Option<f64>,
    started_at_ms: Option<f64>,
}

impl Instance {
    /// The same as the module knows it.
    fn entry(&self) -> ServerEntry {
        ServerEntry {
            id: self.instance_id.as_str().into(),
            zone: self.zone.as_str().into(),
            kind: self.machine_type.as_str().into(),
            cell: self.cell,
            state: match self.lifecycle.as_str() {
                "in_service" => ServerState::InService,
                "terminating" => ServerState::Draining,
                // A state that is not known here is no state to send work to.
                _ => ServerState::Gone,
            },
            weight: self.weight.unwrap_or(1.0),
            started: self.started_at_ms.filter(|at| *at > 0.0).map(|at| at / 1000.0),
        }
    }
}

pub struct Discovery {
    address: Cell<SocketAddr>,
    /// The address has changed: all that is open or being opened ends.
    moved: Notify,
    heard: Notify,
    open: Rc<Cell<usize>>,
    /// Openings that have their head and wait for a first sign of life.
    heads: Rc<Cell<usize>>,
}

/// A watch that has given a sign of life.
struct Watch {
    link: Link,
    body: Incoming,
    splitter: Splitter,
    /// Its latest sign of life.
    alive: Instant,
}

impl Watch {
    /// Waits for the next sign of life: an update, or none where it only tells that nothing changed.
    async fn next(&mut self) -> Result<Option<Update>, String> {
        loop {
            if let Some(sign) = self.splitter.next_sign()? {
                self.alive = Instant::now();
                return match sign {
                    Sign::EmptyLine => Ok(None),
                    Sign::Message(text) => serde_json::from_slice(&text)
                        .map(Some)
                        .map_err(|e| format!("a message cannot be read: {e}")),
                };
            }
            let frame = self.link.drive(self.body.frame()).await;
            let frame = frame.ok_or("the watch ended")?.map_err(|e| format!("the watch broke: {e}"))?;
            self.splitter.push(frame.data_ref().map_or(&[][..], |data| data));
        }
    }
}

type Opened = Result<(Watch, Option<Update>), String>;

impl Discovery {
    pub fn new(address: SocketAddr) -> Self {
        Discovery {
            address: Cell::new(address),
            moved: Notify::new(),
            heard: Notify::new(),
            open: Rc::default(),
            heads: Rc::default(),
        }
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
    ///
    /// Silent or not, a watch is kept until another has given a sign of life: while discovery is down all are
    /// silent, and what comes at its return counts at once. Whichever speaks first is followed, the others end:
    /// all of them tell what came after the same version.
    pub async fn watch(self: Rc<Self>, inbox: Rc<Inbox>) {
        let mut after: Option<u64> = None;
        let mut watch: Option<Watch> = None;
        let mut openings: JoinSet<Opened> = JoinSet::new();
        // When the latest opening began, and how many came to nothing since a sign of life.
        let (mut began, mut fruitless) = (None::<Instant>, 0u32);
        loop {
            let pace = if self.heads.get() > 0 { SPARE } else { EVERY };
            let paced = began.map_or_else(Instant::now, |at| at + pace);
            let due = watch.as_ref().map_or(paced, |watch| paced.max(watch.alive + SILENCE));
            let sign = async {
                match &mut watch {
                    Some(watch) => watch.next().await,
                    None => pending().await,
                }
            };
            tokio::select! {
                biased;
                () = self.moved.notified() => (watch, openings, began) = (None, JoinSet::new(), None),
                sign = sign => match sign {
                    Ok(update) => {
                        (openings, fruitless) = (JoinSet::new(), 0);
                        self.take_in(&inbox, update, &mut after);
                    }
                    Err(why) => {
                        log("discovery", why);
                        inbox.push(News::ListBroken);
                        watch = None;
                    }
                },
                Some(opened) = openings.join_next() => match opened {
                    Ok(Ok((opened, update))) => {
                        (watch, openings, fruitless) = (Some(opened), JoinSet::new(), 0);
                        self.take_in(&inbox, update, &mut after);
                    }
                    Ok(Err(why)) => {
                        fruitless += 1;
                        // Down for minutes, it must not fill the log.
                        if fruitless.is_power_of_two() {
                            log("discovery", format_args!("{why} (opening {fruitless})"));
                        }
                    }
                    Err(_) => {}
                },
                () = sleep_until(due) => {
                    began = Some(Instant::now());
                    if openings.len() < MOST_OPENINGS {
                        openings.spawn_local(self.clone().open(self.address.get(), after));
                    }
                }
            }
        }
    }

    fn take_in(&self, inbox: &Inbox, update: Option<Update>, after: &mut Option<u64>) {
        if let Some(mut update) = update {
            // What is changed since no version is the whole list.
            update.reset |= after.is_none();
            *after = Some(update.generation);
            inbox.push(update.news());
        }
        if after.is_some() {
            self.heard.notify_one();
        }
    }

    /// Opens a watch and waits for its first sign of life.
    async fn open(self: Rc<Self>, address: SocketAddr, after: Option<u64>) -> Opened {
        let head = async {
            let mut link =
                Link::connect(address, &self.open).await.map_err(|e| format!("no connection: {e}"))?;
            let after = after.map(|v| format!("&after={v}")).unwrap_or_default();
            let request = Request::get(format!("/discovery/hosts?watch=1{after}"));
            let request = request.header(HOST, address.to_string()).body(Full::default());
            let request = request.map_err(|e| e.to_string())?;
            let answer =
                link.open(request).await.map_err(|_| "the watch broke before its answer".to_string())?;
            Ok::<_, String>((link, answer))
        };
        let (link, answer) = timeout(OPENING, head).await.map_err(|_| "no answer".to_string())??;
        if answer.status() != StatusCode::OK {
            return Err(format!("the watch was answered {}", answer.status()));
        }
        let _head = Count::new(self.heads.clone());
        let (body, alive) = (answer.into_body(), Instant::now());
        let mut watch = Watch { link, body, splitter: Splitter::new(LONGEST), alive };
        let first = timeout_at(alive + SILENCE, watch.next()).await;
        let update = first.map_err(|_| "the watch was silent from its head on".to_string())??;
        Ok((watch, update))
    }
}
