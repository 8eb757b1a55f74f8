//! The stand-in list of servers: the whole list at once, changes on watches with versions, each limiter told
//! addresses of its own. News can come late, and not at all.

use super::{parameter, Conn};
use crate::history::{Event, Listed, Recorder};
use crate::net::link::{serve, Link, Pipe, Reserved};
use crate::net::message::answer;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout};

/// An empty line is written on a watch that has had no news for so long.
const QUIET: Duration = Duration::from_secs(2);
/// The version before anything changed.
const FIRST_VERSION: u64 = 40;

/// A node as the list has it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Index of the node, and the number of its process.
    pub node: u16,
    /// Number of the process.
    pub life: u32,
    /// Its state.
    pub state: Listed,
    /// Room and cell.
    pub zone: String,
    /// A small set of servers.
    pub cell: i64,
    /// Size against the others.
    pub weight: f64,
    /// Unix milliseconds of its start; 0 for long ago.
    pub started_ms: u64,
    /// Where each limiter finds it.
    pub addresses: Arc<Vec<SocketAddr>>,
}

impl Entry {
    /// A warm node that serves, for one limiter that finds it here.
    pub fn warm(node: u16, address: SocketAddr) -> Entry {
        let addresses = Arc::new(vec![address]);
        let (zone, state) = ("room-a".to_string(), Listed::InService);
        Entry { node, life: 0, state, zone, cell: 1, weight: 1.0, started_ms: 0, addresses }
    }

    fn json(&self, limiter: usize) -> Value {
        let state = match self.state {
            Listed::InService => "in_service",
            Listed::Draining => "terminating",
            Listed::Gone => "terminated",
        };
        json!({"instanceId": format!("s-{}", self.node), "hostPort": self.addresses[limiter].to_string(),
            "zone": self.zone, "machineType": "std", "cell": self.cell, "lifecycle": state,
            "weight": self.weight, "startedAtMs": self.started_ms})
    }
}

#[derive(Default)]
struct State {
    /// What changed, in order; the version after each.
    log: Vec<Entry>,
    /// News that are not out yet.
    pending: Vec<(Instant, Entry)>,
    late: BTreeMap<u32, f64>,
}

impl State {
    fn version(&self) -> u64 {
        FIRST_VERSION + self.log.len() as u64
    }

    /// The last entry of each node.
    fn current(&self) -> Vec<Entry> {
        let mut last: BTreeMap<u16, &Entry> = BTreeMap::new();
        for entry in &self.log {
            last.insert(entry.node, entry);
        }
        last.into_values().cloned().collect()
    }
}

/// The list.
pub struct List {
    recorder: Arc<Recorder>,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    announced: watch::Sender<u64>,
}

impl List {
    /// An empty one.
    pub fn new(recorder: Arc<Recorder>) -> Arc<List> {
        let list = Arc::new(List {
            recorder,
            state: Mutex::default(),
            changed: watch::Sender::new(FIRST_VERSION),
            announced: watch::Sender::new(0),
        });
        tokio::spawn(list.clone().release());
        list
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// News of a node that the list knows of after a time. It replaces older news that are not out yet.
    pub fn announce(&self, entry: Entry, after: Duration) {
        {
            let mut state = self.state();
            let late: f64 = state.late.values().sum();
            state.pending.retain(|(_, e)| e.node != entry.node);
            state.pending.push((Instant::now() + after + Duration::from_secs_f64(late), entry));
        }
        self.announced.send_modify(|n| *n += 1);
    }

    /// The same at once.
    pub fn put(&self, entry: Entry) {
        let mut state = self.state();
        state.log.push(entry);
        self.changed.send_replace(state.version());
    }

    async fn release(self: Arc<Self>) {
        let mut announced = self.announced.subscribe();
        loop {
            let next = self.state().pending.iter().map(|(at, _)| *at).min();
            tokio::select! {
                () = sleep_until(next.unwrap_or_else(Instant::now).into()), if next.is_some() => {}
                _ = announced.changed() => continue,
            }
            let now = Instant::now();
            let mut state = self.state();
            let (mut due, rest): (Vec<_>, Vec<_>) = state.pending.drain(..).partition(|(at, _)| *at <= now);
            due.sort_by_key(|(at, _)| *at);
            state.pending = rest;
            state.log.extend(due.into_iter().map(|(_, entry)| entry));
            self.changed.send_replace(state.version());
        }
    }

    /// A fault begins: news come so many seconds later.
    pub fn be_late(&self, fault: u32, by: f64) {
        self.state().late.insert(fault, by);
    }

    /// What this fault did is over.
    pub fn undo(&self, fault: u32) {
        self.state().late.remove(&fault);
    }

    /// The last that was said of a node, out or not.
    pub fn last(&self, node: u16) -> Option<Entry> {
        let state = self.state();
        let pending = state.pending.iter().map(|(_, e)| e).find(|e| e.node == node);
        pending.or_else(|| state.log.iter().rev().find(|e| e.node == node)).cloned()
    }

    /// The version now, and every node that is not withdrawn.
    pub fn snapshot(&self) -> (u64, Vec<Entry>) {
        let state = self.state();
        let listed = state.current().into_iter().filter(|e| e.state != Listed::Gone);
        (state.version(), listed.collect())
    }

    /// Told of every new version.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The whole list as a limiter is told it.
    pub fn whole(&self, limiter: usize) -> Value {
        whole(&self.state(), limiter)
    }

    /// Listens for one limiter on an address of its own.
    ///
    /// # Errors
    /// It cannot be listened on.
    pub fn serve(
        self: &Arc<Self>,
        limiter: u16,
        link: Arc<Link>,
        reserved: Reserved,
    ) -> io::Result<SocketAddr> {
        let list = self.clone();
        // Held with what serves it: it is always open.
        let (hold, open) = watch::channel(true);
        serve(reserved, link, open, move |pipe| {
            let _ = &hold;
            tokio::spawn(list.clone().connection(limiter, pipe));
        })
    }

    async fn connection(self: Arc<Self>, limiter: u16, pipe: Pipe) {
        let mut conn = Conn::new(pipe);
        while let Some(asked) = conn.next().await {
            let target = asked.request.target;
            if target.split('?').next() != Some("/discovery/hosts") || asked.request.method != "GET" {
                if conn.pipe.write(answer("404 Not Found", "", "").as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            if parameter(&target, "watch") == Some("1") {
                let after = parameter(&target, "after").and_then(|v| v.parse().ok());
                return self.watch(limiter, &mut conn.pipe, after).await;
            }
            let (text, told) = {
                let state = self.state();
                (answer("200 OK", "", &whole(&state, limiter.into()).to_string()), state.current())
            };
            if conn.pipe.write(text.as_bytes()).await.is_err() {
                return;
            }
            self.told(limiter, &told);
        }
    }

    fn told(&self, limiter: u16, entries: &[Entry]) {
        for e in entries {
            self.recorder.note(Event::Told { limiter, node: e.node, life: e.life, state: e.state });
        }
    }

    async fn watch(&self, limiter: u16, pipe: &mut Pipe, after: Option<u64>) {
        let mut changed = self.changed.subscribe();
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if pipe.write(head.as_bytes()).await.is_err() {
            return;
        }
        let mut after = after;
        let mut first = true;
        loop {
            let (line, told) = {
                let state = self.state();
                let version = state.version();
                let known = after.filter(|v| (FIRST_VERSION..=version).contains(v));
                let (line, told) = match known {
                    Some(v) => {
                        // The last word on each node: a line holds an entry once.
                        let mut news: BTreeMap<u16, Entry> = BTreeMap::new();
                        for entry in &state.log[(v - FIRST_VERSION) as usize..] {
                            news.insert(entry.node, entry.clone());
                        }
                        let news: Vec<Entry> = news.into_values().collect();
                        let entries: Vec<_> = news.iter().map(|e| e.json(limiter.into())).collect();
                        let line = json!({"generation": version, "reset": false, "instances": entries});
                        (line, news)
                    }
                    None => (whole(&state, limiter.into()), state.current()),
                };
                after = Some(version);
                (line.to_string(), told)
            };
            let line = if told.is_empty() && !first { String::new() } else { line };
            first = false;
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if pipe.write(chunk.as_bytes()).await.is_err() {
                return;
            }
            self.told(limiter, &told);
            tokio::select! {
                _ = timeout(QUIET, changed.changed()) => {}
                () = pipe.ended() => return,
            }
        }
    }
}

fn whole(state: &State, limiter: usize) -> Value {
    let listed = state.current().into_iter().filter(|e| e.state != Listed::Gone);
    let entries: Vec<_> = listed.map(|e| e.json(limiter)).collect();
    json!({"generation": state.version(), "reset": true, "instances": entries})
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
    use tokio::net::TcpStream;

    fn entry(node: u16, life: u32, state: Listed) -> Entry {
        let addresses = Arc::new(vec![([127, 0, 0, 1], 1000 + node).into()]);
        Entry { node, life, state, zone: "room-a".into(), cell: 1, weight: 1.0, started_ms: 0, addresses }
    }

    async fn watch(address: SocketAddr, after: &str) -> BufReader<TcpStream> {
        let mut stream = TcpStream::connect(address).await.expect("connect");
        let ask = format!("GET /discovery/hosts?watch=1{after} HTTP/1.1\r\nHost: a\r\n\r\n");
        stream.write_all(ask.as_bytes()).await.expect("ask");
        BufReader::new(stream)
    }

    /// The next line that is news.
    async fn news(reader: &mut BufReader<TcpStream>) -> Value {
        loop {
            let mut line = String::new();
            let read = timeout(Duration::from_secs(10), reader.read_line(&mut line)).await;
            assert!(read.expect("in time").expect("a line") > 0, "the watch ended");
            if line.starts_with('{') {
                return serde_json::from_str(&line).expect("JSON");
            }
        }
    }

    #[tokio::test]
    async fn a_watch_brings_the_whole_list_and_then_what_changes() {
        let recorder: Arc<Recorder> = Arc::default();
        let list = List::new(recorder.clone());
        list.put(entry(0, 0, Listed::InService));
        list.put(entry(1, 0, Listed::InService));
        let address = list.serve(0, Link::new(), Reserved::any().expect("an address")).expect("serve");
        let mut watch_all = watch(address, "").await;
        let first = news(&mut watch_all).await;
        assert_eq!(
            (first["reset"].as_bool(), first["instances"].as_array().map(Vec::len)),
            (Some(true), Some(2))
        );
        list.announce(entry(0, 0, Listed::Gone), Duration::from_secs(600));
        list.announce(entry(0, 1, Listed::Draining), Duration::ZERO);
        let change = news(&mut watch_all).await;
        assert_eq!(change["reset"], false);
        assert_eq!(change["instances"][0]["lifecycle"], "terminating", "newer news replace older ones");
        let mut later = watch(address, "&after=41").await;
        let missed = news(&mut later).await;
        assert_eq!(missed["instances"].as_array().map(Vec::len), Some(2), "all after that version");
        let told = recorder.history().into_iter().filter(|e| matches!(e.event, Event::Told { .. })).count();
        assert_eq!(told, 5);
    }

    #[tokio::test]
    async fn late_news_come_later_and_only_while_the_fault_lasts() {
        let list = List::new(Arc::default());
        list.put(entry(0, 0, Listed::InService));
        let address = list.serve(0, Link::new(), Reserved::any().expect("an address")).expect("serve");
        let mut reader = watch(address, "").await;
        news(&mut reader).await;
        list.be_late(1, 0.2);
        let began = Instant::now();
        list.announce(entry(0, 0, Listed::Gone), Duration::ZERO);
        news(&mut reader).await;
        assert!(began.elapsed() >= Duration::from_millis(200));
        list.undo(1);
        list.announce(entry(0, 1, Listed::InService), Duration::ZERO);
        news(&mut reader).await;
    }
}
