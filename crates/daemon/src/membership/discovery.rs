//! Discovery: follows the list of servers on a watch, and takes it up again where it broke.

use crate::inbox::{Inbox, Listed, News};
use crate::log;
use crate::peers::link::Link;
use bytes::BytesMut;
use http_body_util::{BodyExt, Full};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use liftrouter_decision::{ServerEntry, ServerState};
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// An empty line comes every 2 s while nothing changes; when one is this late, the watch is broken. A peer that
/// is cut off never errs: only its silence tells. What discovery tells counts as told after 6 s, or 4 s after
/// a move, whether or not it arrived: by then another watch must have had the time to bring it.
const SILENCE: Duration = Duration::from_secs(3);
/// How long connecting, and the head of an answer, may take.
const OPENING: Duration = Duration::from_secs(1);
/// Pause after a broken watch, doubled with each further one that brought nothing.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));
/// The longest line; a list of some ten thousand servers fits.
const MAX_LINE: usize = 4 << 20;

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
    /// The address has changed: the watch and every pause before the next one end.
    moved: Notify,
    /// The module asks for the list: a pause between two watches ends early.
    pub follow: Notify,
    heard: Notify,
    open: Rc<Cell<usize>>,
}

impl Discovery {
    pub fn new(address: SocketAddr) -> Self {
        Discovery {
            address: Cell::new(address),
            moved: Notify::new(),
            follow: Notify::new(),
            heard: Notify::new(),
            open: Rc::default(),
        }
    }

    /// Follows the list at another address from now on. The watch on the old one is dropped at once: what it
    /// would still tell, the new one tells too, since it is asked for all after the last version.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify_one();
        }
    }

    /// Waits for the first line of a watch.
    pub async fn heard(&self) {
        self.heard.notified().await;
    }

    /// Follows the list for as long as the program runs, from the version that is known at the start.
    pub async fn watch(self: Rc<Self>, inbox: Rc<Inbox>, mut after: Option<u64>) {
        let mut fruitless = 0;
        loop {
            let before = after;
            let broken = async {
                let Err(why) = self.watch_once(&inbox, self.address.get(), &mut after).await;
                fruitless = if after == before { fruitless + 1 } else { 0 };
                log("discovery", &why);
                inbox.push(News::ListBroken);
                let pause = BACKOFF.1.min(BACKOFF.0 * (1 << u32::min(fruitless, 8)));
                tokio::time::sleep(BACKOFF.0).await;
                let _ = timeout(pause, self.follow.notified()).await;
            };
            tokio::select! {
                () = broken => {}
                () = self.moved.notified() => fruitless = 0,
            }
        }
    }

    async fn watch_once(
        &self,
        inbox: &Inbox,
        address: SocketAddr,
        after: &mut Option<u64>,
    ) -> Result<std::convert::Infallible, String> {
        let opening = async {
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
        let (mut link, answer) = timeout(OPENING, opening).await.map_err(|_| "no answer".to_string())??;
        if answer.status() != StatusCode::OK {
            return Err(format!("the watch was answered {}", answer.status()));
        }
        let mut body = answer.into_body();
        let mut buffer = BytesMut::new();
        loop {
            let frame = timeout(SILENCE, link.drive(body.frame())).await;
            let frame = frame.map_err(|_| "the watch fell silent".to_string())?;
            let frame = frame.ok_or("the watch ended")?.map_err(|e| format!("the watch broke: {e}"))?;
            // Lines come in pieces: only whole ones are read.
            buffer.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(end + 1);
                let line = line.trim_ascii();
                self.heard.notify_one();
                if line.is_empty() {
                    continue;
                }
                let update: Update =
                    serde_json::from_slice(line).map_err(|e| format!("a line cannot be read: {e}"))?;
                *after = Some(update.generation);
                inbox.push(update.news());
            }
            if buffer.len() > MAX_LINE {
                return Err("a line is too long".into());
            }
        }
    }
}
