//! A stand-in of discovery: `GET /discovery/hosts?watch=1&after=N`, answered with JSON lines in chunks.
//!
//! It listens on three addresses: two regions of hollow limiters, of which one can be cut off, and the real limiters.

use super::serve::{listen, serve, Door};
use super::server_list::ServerList;
use crate::run::error::RunError;
use crate::run::messages::{ChildStatus, Command, DiscoveryStatus, RegionStatus, Report};
use crate::run::role::report;
use bytes::Bytes;
use clap::Args;
use hyper::body::{Body, Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::Ipv4Addr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc::{self, Receiver, Sender, UnboundedReceiver};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// An empty line is written after so long without a message.
const EMPTY_LINE_PERIOD: Duration = Duration::from_secs(2);
/// The changes of a burst are spread over this time.
const BURST: Duration = Duration::from_secs(1);
/// Addresses: two regions of hollow limiters, and the real limiters.
const REGIONS: usize = 3;
/// The region that [`Command::CutRegion`] cuts off.
pub const CUT_REGION: usize = 1;
/// The region of the real limiters.
pub const REAL_REGION: usize = 2;

/// What discovery lists.
#[derive(Args, Clone, Debug)]
pub struct DiscoveryArguments {
    /// Servers in the list.
    #[arg(long)]
    servers: usize,
    /// Services that they belong to.
    #[arg(long)]
    services: usize,
    /// The port of the servers.
    #[arg(long)]
    port: u16,
    /// Seed of the changes.
    #[arg(long)]
    seed: u64,
    /// One message to one child is lost.
    #[arg(long)]
    lose_one_message: bool,
}

/// Plays discovery until the commands end.
pub async fn play(
    arguments: DiscoveryArguments,
    mut commands: UnboundedReceiver<Command>,
) -> Result<(), RunError> {
    let discovery = Rc::new(Discovery::new(&arguments));
    let mut addresses = Vec::new();
    for region in 0..REGIONS {
        let (listener, address) = listen(Ipv4Addr::LOCALHOST).await?;
        addresses.push(address);
        let (door, discovery) = (discovery.regions[region].door.clone(), discovery.clone());
        spawn_local(serve(listener, door, move |request| discovery.clone().answer(region, request)));
    }
    spawn_local(discovery.clone().change_at_random(arguments.seed));
    report(&Report::Ready(addresses))?;
    while let Some(command) = commands.recv().await {
        match command {
            Command::Status => report(&Report::Discovery(discovery.status()))?,
            Command::ChangeRate(per_second) => {
                discovery.change_rate.send_replace(per_second);
            }
            Command::Burst(changes) => drop(spawn_local(discovery.clone().burst(changes))),
            Command::Silence(time_ms) => raise_for(&discovery.silent, time_ms),
            Command::CutRegion(time_ms) => raise_for(&discovery.regions[CUT_REGION].door.cut, time_ms),
            Command::Start | Command::Phase(_) | Command::RestartTenth | Command::DelayReading(_) => {}
        }
    }
    Ok(())
}

/// Sets a flag for so many milliseconds.
fn raise_for(flag: &watch::Sender<bool>, time_ms: u64) {
    flag.send_replace(true);
    let flag = flag.clone();
    spawn_local(async move {
        sleep(Duration::from_millis(time_ms)).await;
        flag.send_replace(false);
    });
}

/// The children behind one address.
struct Region {
    door: Door,
    messages: Cell<u64>,
    children: RefCell<BTreeMap<u64, ChildStatus>>,
}

struct Discovery {
    list: RefCell<ServerList>,
    /// Told of each generation.
    generation: watch::Sender<u64>,
    change_rate: watch::Sender<f64>,
    silent: watch::Sender<bool>,
    pending: Cell<u32>,
    regions: Vec<Region>,
    last_child: Cell<u64>,
    /// The next message with changes is lost.
    loses_next: Cell<bool>,
    /// Messages of this generation by what the child held: children hold few different ones.
    written: RefCell<HashMap<Option<u64>, Message>>,
}

/// A line that can be sent to children.
#[derive(Clone)]
struct Message {
    line: Bytes,
    generation: u64,
    has_servers: bool,
}

impl Discovery {
    fn new(arguments: &DiscoveryArguments) -> Self {
        let DiscoveryArguments { servers, services, port, seed, lose_one_message } = *arguments;
        let list = ServerList::new(servers, services, port, seed);
        let region = || Region { door: Door::new(), messages: Cell::new(0), children: RefCell::default() };
        Discovery {
            generation: watch::Sender::new(list.generation()),
            list: RefCell::new(list),
            change_rate: watch::Sender::new(0.0),
            silent: watch::Sender::new(false),
            pending: Cell::new(0),
            regions: (0..REGIONS).map(|_| region()).collect(),
            last_child: Cell::new(0),
            loses_next: Cell::new(lose_one_message),
            written: RefCell::default(),
        }
    }

    fn status(&self) -> DiscoveryStatus {
        let list = self.list.borrow();
        let region = |region: &Region| RegionStatus {
            traffic: region.door.meter.traffic(),
            messages: region.messages.get(),
            children: region.children.borrow().values().copied().collect(),
        };
        DiscoveryStatus {
            generation: list.generation(),
            digest: list.digest(),
            service_digests: list.service_digests(),
            changes: list.changes(),
            pending: self.pending.get(),
            regions: self.regions.iter().map(region).collect(),
        }
    }

    fn change(&self) {
        let mut list = self.list.borrow_mut();
        list.change();
        self.written.borrow_mut().clear();
        self.generation.send_replace(list.generation());
    }

    /// Makes changes at random times, by the rate that holds.
    async fn change_at_random(self: Rc<Self>, seed: u64) {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut rates = self.change_rate.subscribe();
        loop {
            let rate = *rates.borrow_and_update();
            let pause = -(1.0 - random.f64()).ln() / rate;
            let next = Duration::try_from_secs_f64(pause).ok().filter(|_| rate > 0.0);
            tokio::select! {
                _ = rates.changed() => {}
                () = sleep(next.unwrap_or_default()), if next.is_some() => self.change(),
            }
        }
    }

    async fn burst(self: Rc<Self>, changes: u32) {
        self.pending.set(self.pending.get() + changes);
        let began = Instant::now();
        for n in 0..changes {
            sleep_until(began + BURST * n / changes).await;
            self.change();
            self.pending.set(self.pending.get() - 1);
        }
    }

    async fn answer(self: Rc<Self>, region: usize, request: Request<Incoming>) -> Response<Lines> {
        let (sender, lines) = mpsc::channel(1);
        let mut response = Response::new(Lines(lines));
        if request.uri().path() != "/discovery/hosts" {
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        let mut silent = self.silent.subscribe();
        let _ = silent.wait_for(|silent| !*silent).await;
        let query = request.uri().query().unwrap_or("");
        let after = query.split('&').find_map(|part| part.strip_prefix("after=")?.parse().ok());
        spawn_local(self.feed(region, after, sender));
        response
    }

    /// Tells one child what changes until it goes away.
    async fn feed(self: Rc<Self>, region: usize, after: Option<u64>, lines: Sender<Bytes>) {
        let child = self.last_child.get() + 1;
        self.last_child.set(child);
        let children = &self.regions[region].children;
        children.borrow_mut().insert(child, ChildStatus::default());
        tokio::select! {
            () = self.feed_lines(region, child, after, &lines) => {}
            () = lines.closed() => {}
        }
        children.borrow_mut().remove(&child);
    }

    async fn feed_lines(&self, region: usize, child: u64, after: Option<u64>, lines: &Sender<Bytes>) {
        let mut generations = self.generation.subscribe();
        let mut silent = self.silent.subscribe();
        let (mut held, mut first) = (after, true);
        loop {
            let _ = silent.wait_for(|silent| !*silent).await;
            generations.mark_unchanged();
            let message = self.message(held);
            let may_lose = !first && message.has_servers && region != REAL_REGION;
            let lost = may_lose && self.loses_next.replace(false);
            held = Some(message.generation);
            let line = match (lost, first || message.has_servers) {
                (true, _) => None,
                (false, true) => Some(message.line.clone()),
                (false, false) => Some(Bytes::from_static(b"\n")),
            };
            if let Some(line) = line {
                self.note(region, child, &message, &line);
                if lines.send(line).await.is_err() {
                    return;
                }
            }
            first = false;
            // Where it takes too long, the next line is an empty one.
            let _ = timeout(EMPTY_LINE_PERIOD, generations.changed()).await;
        }
    }

    fn note(&self, region: usize, child: u64, message: &Message, line: &Bytes) {
        let region = &self.regions[region];
        let is_message = line.len() > 1;
        region.messages.set(region.messages.get() + u64::from(is_message));
        if let Some(status) = region.children.borrow_mut().get_mut(&child) {
            status.generation = message.generation;
            status.messages += u64::from(is_message);
            status.bytes += line.len() as u64;
        }
    }

    /// What a child that holds this generation is told now.
    fn message(&self, held: Option<u64>) -> Message {
        if let Some(message) = self.written.borrow().get(&held) {
            return message.clone();
        }
        // There is a list from the start on.
        let update = self.list.borrow().since(held).unwrap_or_default();
        let mut line = serde_json::to_vec(&update).unwrap_or_default();
        line.push(b'\n');
        let has_servers = !update.instances.is_empty();
        let message = Message { line: line.into(), generation: update.revision, has_servers };
        self.written.borrow_mut().insert(held, message.clone());
        message
    }
}

/// The body of a watch.
struct Lines(Receiver<Bytes>);

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}
