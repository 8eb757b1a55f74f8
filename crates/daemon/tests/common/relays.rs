//! A tree of relays over loopback: a discovery that can be cut off, relay processes, proxies of watches, and
//! subscribers that read a watch themselves.
use super::asked::TimedServer;
use super::{
    chunk, command, counter, quote, raw, scratch, settings, wait_until, Client, Fake, Limiter, Message,
    WATCH_HEAD,
};
use liftrouter_catalog::{Digest, Instance, Lifecycle, Update};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How often discovery writes an empty line where nothing changes.
pub const HEARTBEAT: Duration = Duration::from_secs(2);
/// The generation of the first list.
pub const FIRST_GENERATION: u64 = 10;
/// How often a waiting thread looks again.
const POLL: Duration = Duration::from_millis(2);
/// The pause between two requests of a load.
const LOAD_PAUSE: Duration = Duration::from_millis(10);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A server of a service, in service.
pub fn server(id: &str, service: &str, address: SocketAddr) -> Instance {
    Instance {
        instance_id: id.into(),
        host_port: address,
        service: service.into(),
        zone: "room-a".into(),
        machine_type: "std".into(),
        cell: 1,
        lifecycle: Lifecycle::InService,
        weight: Some(1.0),
        started_at_ms: Some(0.0),
    }
}

/// The same server, draining.
pub fn draining(server: &Instance) -> Instance {
    Instance { lifecycle: Lifecycle::Terminating, ..server.clone() }
}

/// The same server with another weight.
pub fn weighted(server: &Instance, weight: f64) -> Instance {
    Instance { weight: Some(weight), ..server.clone() }
}

/// A server at an address where nobody listens: for subscribers that never send to it.
pub fn unreachable_server(id: &str, service: &str) -> Instance {
    server(id, service, SocketAddr::from(([127, 0, 0, 1], 9)))
}

struct Listed {
    instance: Instance,
    changed: u64,
}

struct DiscoveryState {
    generation: u64,
    servers: BTreeMap<String, Listed>,
    heartbeat_period: Duration,
    heartbeats: bool,
    reachable: bool,
    last_heartbeat: Instant,
    targets: Vec<String>,
}

impl DiscoveryState {
    fn message(&self, after: Option<u64>) -> Update {
        let changed = self.servers.values().filter(|listed| after.is_none_or(|after| listed.changed > after));
        let instances = changed.map(|listed| listed.instance.clone()).collect();
        Update { generation: self.generation, reset: after.is_none(), instances, ..Update::default() }
    }
}

/// A stand-in of discovery: the whole list, then changes and heartbeats. It knows nothing of services.
#[derive(Clone)]
pub struct ServiceDiscovery {
    pub address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
}

impl ServiceDiscovery {
    pub fn new(servers: &[Instance]) -> Self {
        Self::with_heartbeat(HEARTBEAT, servers)
    }

    /// One whose heartbeats come faster than in service.
    pub fn with_heartbeat(heartbeat_period: Duration, servers: &[Instance]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let listed = |server: &Instance| {
            (server.instance_id.clone(), Listed { instance: server.clone(), changed: FIRST_GENERATION })
        };
        let state = DiscoveryState {
            generation: FIRST_GENERATION,
            servers: servers.iter().map(listed).collect(),
            heartbeat_period,
            heartbeats: true,
            reachable: true,
            last_heartbeat: Instant::now(),
            targets: Vec::new(),
        };
        let address = listener.local_addr().expect("address");
        let discovery = ServiceDiscovery { address, state: Arc::new(Mutex::new(state)) };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || {
                    let _ = serving.serve(&stream);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        discovery
    }

    /// Changes one server; returns the new generation.
    pub fn put(&self, instance: Instance) -> u64 {
        self.put_all([instance])
    }

    /// Changes servers in one generation.
    pub fn put_all(&self, instances: impl IntoIterator<Item = Instance>) -> u64 {
        let mut state = lock(&self.state);
        state.generation += 1;
        let changed = state.generation;
        for instance in instances {
            state.servers.insert(instance.instance_id.clone(), Listed { instance, changed });
        }
        changed
    }

    pub fn generation(&self) -> u64 {
        lock(&self.state).generation
    }

    /// From now on no heartbeats come; changes do.
    pub fn stop_heartbeats(&self) {
        lock(&self.state).heartbeats = false;
    }

    /// From now on open watches are silent and calls are closed without an answer.
    pub fn cut_off(&self) {
        lock(&self.state).reachable = false;
    }

    pub fn restore(&self) {
        lock(&self.state).reachable = true;
    }

    /// When it last wrote a message or a heartbeat.
    pub fn last_heartbeat(&self) -> Instant {
        lock(&self.state).last_heartbeat
    }

    /// The calls that came.
    pub fn targets(&self) -> Vec<String> {
        lock(&self.state).targets.clone()
    }

    fn serve(&self, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let Some(request) = Message::read(&mut BufReader::new(stream.try_clone()?)) else { return Ok(()) };
        let mut after = after_of(&request.first);
        {
            let mut state = lock(&self.state);
            state.targets.push(target_of(&request.first));
            if !state.reachable {
                return Ok(());
            }
            after = after.filter(|after| *after <= state.generation);
        }
        write_text(stream, WATCH_HEAD)?;
        loop {
            match self.next_line(after) {
                Some((generation, line)) => {
                    after = Some(generation);
                    write_text(stream, &chunk(&line))?;
                }
                None if self.heartbeat_is_due() => write_text(stream, "1\r\n\n\r\n")?,
                None => thread::sleep(POLL),
            }
        }
    }

    fn next_line(&self, after: Option<u64>) -> Option<(u64, String)> {
        let mut state = lock(&self.state);
        if !state.reachable || after == Some(state.generation) {
            return None;
        }
        state.last_heartbeat = Instant::now();
        Some((state.generation, serde_json::to_string(&state.message(after)).expect("JSON")))
    }

    /// One relay follows it, so there is one clock of heartbeats.
    fn heartbeat_is_due(&self) -> bool {
        let mut state = lock(&self.state);
        let due =
            state.reachable && state.heartbeats && state.last_heartbeat.elapsed() >= state.heartbeat_period;
        if due {
            state.last_heartbeat = Instant::now();
        }
        due
    }
}

fn write_text(mut stream: &TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(text.as_bytes())
}

/// The target of a request.
fn target_of(first_line: &str) -> String {
    first_line.split(' ').nth(1).unwrap_or("").to_string()
}

/// The generation after which a call asks for changes.
pub fn after_of(target: &str) -> Option<u64> {
    let value = target.split("after=").nth(1)?;
    value.split(['&', ' ']).next()?.parse().ok()
}

/// A relay process.
pub struct Relay {
    pub address: SocketAddr,
    child: Child,
    log: Arc<Mutex<String>>,
}

impl Relay {
    /// The root, which follows discovery.
    pub fn root(discovery: &ServiceDiscovery) -> Relay {
        Relay::start(&["--discovery".into(), discovery.address.to_string()])
    }

    /// One that follows these relays.
    pub fn zone(upstream: &[SocketAddr], seed: u64) -> Relay {
        let mut arguments = vec!["--seed".to_string(), seed.to_string()];
        for address in upstream {
            arguments.extend(["--relay".into(), address.to_string()]);
        }
        Relay::start(&arguments)
    }

    fn start(arguments: &[String]) -> Relay {
        let mut command = command();
        command.args(["relay", "--listen", "127.0.0.1:0"]).args(arguments);
        let mut child = command.stderr(Stdio::piped()).spawn().expect("start a relay");
        let mut lines = BufReader::new(child.stderr.take().expect("stderr")).lines();
        let first = lines.next().expect("it ended before it listened").expect("utf-8");
        let address = first.strip_prefix("relay: listening on ").unwrap_or_else(|| panic!("it said {first}"));
        let address = address.parse().expect("an address");
        let log: Arc<Mutex<String>> = Arc::default();
        let written = log.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                lock(&written).push_str(&(line + "\n"));
            }
        });
        let relay = Relay { address, child, log };
        wait_until("the relay has a list", || relay.up() == 200);
        relay
    }

    /// The status of its `/up`.
    pub fn up(&self) -> u16 {
        Client::to(self.address).ask("GET /up HTTP/1.1\r\nHost: relay\r\n\r\n").status()
    }

    pub fn log(&self) -> String {
        lock(&self.log).clone()
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("kill");
        self.child.wait().expect("wait");
    }

    pub fn pause(&self) {
        self.signal("-STOP");
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    pub fn terminate(&mut self) -> ExitStatus {
        self.signal("-TERM");
        let mut status = None;
        wait_until("the relay ends", || {
            status = self.child.try_wait().expect("wait");
            status.is_some()
        });
        status.expect("a status")
    }

    fn signal(&self, name: &str) {
        let killed = std::process::Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(killed.expect("kill").success());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the lines of a chunked body.
struct ChunkedLines {
    reader: BufReader<TcpStream>,
    buffer: Vec<u8>,
}

impl ChunkedLines {
    fn next_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.read_chunk()?;
        }
    }

    fn read_chunk(&mut self) -> Option<()> {
        let mut size = String::new();
        self.reader.read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim_end(), 16).ok().filter(|size| *size > 0)?;
        let mut bytes = vec![0; size + 2];
        self.reader.read_exact(&mut bytes).ok()?;
        self.buffer.extend_from_slice(&bytes[..size]);
        Some(())
    }
}

/// A watch that has been answered.
struct OpenWatch {
    head: Message,
    stream: TcpStream,
    lines: ChunkedLines,
}

fn open_watch(address: SocketAddr, target: &str) -> Option<OpenWatch> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(format!("GET {target} HTTP/1.1\r\nHost: relay\r\n\r\n").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let head = Message::read(&mut reader)?;
    Some(OpenWatch { head, stream, lines: ChunkedLines { reader, buffer: Vec::new() } })
}

/// The target of a watch of these services.
pub fn watch_target(after: Option<u64>, services: &[&str]) -> String {
    let mut target = String::from("/discovery/hosts?watch=1");
    if let Some(after) = after {
        target.push_str("&after=");
        target.push_str(&after.to_string());
    }
    for service in services {
        target.push_str("&service=");
        target.push_str(service);
    }
    target
}

/// A line of a watch.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: Instant,
    /// None for an empty line.
    pub update: Option<Update>,
}

impl Received {
    pub fn digest(&self) -> Option<Digest> {
        self.update.as_ref()?.digest
    }

    /// Names of the servers that it tells of.
    pub fn ids(&self) -> Vec<&str> {
        let instances = self.update.iter().flat_map(|update| &update.instances);
        instances.map(|instance| instance.instance_id.as_str()).collect()
    }
}

#[derive(Clone, Default)]
struct HeldList {
    received: Vec<Received>,
    instances: BTreeMap<String, Instance>,
    generation: u64,
    /// Digests that differed from what was held.
    digest_faults: Vec<u64>,
    ended: bool,
}

impl HeldList {
    fn take(&mut self, line: &str) {
        let update: Option<Update> =
            (!line.is_empty()).then(|| serde_json::from_str(line).expect("an update"));
        if let Some(update) = &update {
            if update.reset {
                self.instances.clear();
            }
            for instance in &update.instances {
                self.instances.insert(instance.instance_id.clone(), instance.clone());
            }
            self.instances.retain(|_, instance| instance.lifecycle != Lifecycle::Terminated);
            self.generation = update.generation;
            if update.digest.is_some_and(|digest| digest != Digest::of(self.instances.values())) {
                self.digest_faults.push(update.generation);
            }
        }
        self.received.push(Received { at: Instant::now(), update });
    }
}

/// A subscriber that reads a relay's watch itself.
pub struct RawSubscriber {
    pub head: Message,
    stream: TcpStream,
    list: Arc<Mutex<HeldList>>,
}

impl RawSubscriber {
    pub fn open(relay: SocketAddr, after: Option<u64>, services: &[&str]) -> RawSubscriber {
        RawSubscriber::open_with(relay, after, services, HeldList::default())
    }

    /// Goes on elsewhere from what this one holds.
    pub fn resume(&self, relay: SocketAddr, services: &[&str]) -> RawSubscriber {
        let held = lock(&self.list).clone();
        let list = HeldList { received: Vec::new(), ended: false, ..held.clone() };
        RawSubscriber::open_with(relay, Some(held.generation), services, list)
    }

    fn open_with(relay: SocketAddr, after: Option<u64>, services: &[&str], list: HeldList) -> RawSubscriber {
        let watch = open_watch(relay, &watch_target(after, services)).expect("an answer of the relay");
        let OpenWatch { head, stream, mut lines } = watch;
        let list = Arc::new(Mutex::new(list));
        let (taken, ok) = (list.clone(), head.status() == 200);
        thread::spawn(move || {
            while let Some(line) = ok.then(|| lines.next_line()).flatten() {
                lock(&taken).take(&line);
            }
            lock(&taken).ended = true;
        });
        RawSubscriber { head, stream, list }
    }

    /// Opens one and waits for its first message.
    pub fn follow(relay: SocketAddr, after: Option<u64>, services: &[&str]) -> RawSubscriber {
        let subscriber = RawSubscriber::open(relay, after, services);
        wait_until("the subscriber has its first message", || !subscriber.received().is_empty());
        subscriber
    }

    pub fn received(&self) -> Vec<Received> {
        lock(&self.list).received.clone()
    }

    /// Its first message.
    pub fn first(&self) -> Update {
        let first = self.received().into_iter().find_map(|received| received.update);
        first.expect("a first message")
    }

    pub fn ids(&self) -> Vec<String> {
        lock(&self.list).instances.keys().cloned().collect()
    }

    pub fn generation(&self) -> u64 {
        lock(&self.list).generation
    }

    pub fn digest_faults(&self) -> Vec<u64> {
        lock(&self.list).digest_faults.clone()
    }

    pub fn has_ended(&self) -> bool {
        lock(&self.list).ended
    }

    pub fn wait_for(&self, generation: u64) {
        wait_until("the subscriber holds the generation", || self.generation() >= generation);
    }
}

impl Drop for RawSubscriber {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// What a proxy lets pass.
type Passes = dyn Fn(Option<&Update>) -> bool + Send + Sync;

#[derive(Default)]
struct ProxyLog {
    targets: Vec<String>,
    last_generation: Option<u64>,
}

/// A proxy of watches, which notes the calls and may withhold messages.
pub struct WatchProxy {
    pub address: SocketAddr,
    log: Arc<Mutex<ProxyLog>>,
}

impl WatchProxy {
    pub fn new(upstream: SocketAddr) -> WatchProxy {
        WatchProxy::filtered(upstream, |_| true)
    }

    /// One that only lets some messages pass; an empty line is none.
    pub fn filtered(
        upstream: SocketAddr,
        passes: impl Fn(Option<&Update>) -> bool + Send + Sync + 'static,
    ) -> WatchProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let log: Arc<Mutex<ProxyLog>> = Arc::default();
        let (noted, passes): (_, Arc<Passes>) = (log.clone(), Arc::new(passes));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (noted, passes) = (noted.clone(), passes.clone());
                thread::spawn(move || {
                    forward(&stream, upstream, &noted, &*passes);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        WatchProxy { address, log }
    }

    /// The calls that came.
    pub fn targets(&self) -> Vec<String> {
        lock(&self.log).targets.clone()
    }

    /// The generation of the last message that it passed on.
    pub fn last_generation(&self) -> Option<u64> {
        lock(&self.log).last_generation
    }
}

fn forward(
    mut subscriber: &TcpStream,
    upstream: SocketAddr,
    log: &Mutex<ProxyLog>,
    passes: &Passes,
) -> Option<()> {
    subscriber.set_nodelay(true).ok()?;
    let request = Message::read(&mut BufReader::new(subscriber.try_clone().ok()?))?;
    let target = target_of(&request.first);
    lock(log).targets.push(target.clone());
    let mut watch = open_watch(upstream, &target)?;
    if watch.head.status() != 200 {
        return subscriber
            .write_all(raw("503 Service Unavailable", "Retry-After: 1\r\n", "").as_bytes())
            .ok();
    }
    subscriber.write_all(WATCH_HEAD.as_bytes()).ok()?;
    while let Some(line) = watch.lines.next_line() {
        let update: Option<Update> = serde_json::from_str(&line).ok();
        if !passes(update.as_ref()) {
            continue;
        }
        if let Some(update) = update {
            lock(log).last_generation = Some(update.generation);
        }
        subscriber.write_all(chunk(&line).as_bytes()).ok()?;
    }
    let _ = watch.stream.shutdown(Shutdown::Both);
    Some(())
}

/// A limiter that follows services by relays. Discovery must not be asked.
pub struct FollowingLimiter {
    pub limiter: Limiter,
    pub discovery: Fake,
    operator_file: std::path::PathBuf,
    _counter: Fake,
}

impl FollowingLimiter {
    /// Starts one and waits until it is ready.
    pub fn start(relays: &[SocketAddr], services: &[&str]) -> FollowingLimiter {
        let following = FollowingLimiter::spawn(relays, services, None);
        wait_until("the limiter is up", || following.limiter.up());
        following
    }

    /// Starts one with a configured list, if any, and does not wait.
    pub fn spawn(relays: &[SocketAddr], services: &[&str], known: Option<Value>) -> FollowingLimiter {
        let addresses: Vec<String> = relays.iter().map(ToString::to_string).collect();
        let text = format!("[relays]\naddresses = {addresses:?}\nservices = {services:?}\n");
        FollowingLimiter::with_operator(&text, known)
    }

    /// The same behind the relays of several regions, each with its name.
    pub fn of_regions(regions: &[(&str, SocketAddr)], known: Option<Value>) -> FollowingLimiter {
        let region = |(name, address): &(&str, SocketAddr)| {
            format!("[[relays.region]]\nname = {name:?}\naddresses = ['{address}']\n")
        };
        FollowingLimiter::with_operator(&regions.iter().map(region).collect::<String>(), known)
    }

    fn with_operator(text: &str, known: Option<Value>) -> FollowingLimiter {
        let operator_file = scratch(text);
        let (discovery, counter) = (super::discovery(Vec::new()), counter());
        let mut config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "00000000000000ff",
            "discovery": discovery.address.to_string(), "counter": counter.address.to_string(),
            "settings": settings()});
        if let Some(known) = known {
            config["known"] = known;
        }
        let file = scratch(&config.to_string());
        let mut command = command();
        command.arg("--operator").arg(&operator_file);
        let limiter = Limiter::spawn(command, file, config, discovery.address);
        FollowingLimiter { limiter, discovery, operator_file, _counter: counter }
    }

    /// The answer to one request.
    pub fn ask(&self) -> Message {
        self.limiter.client().ask(&quote("roomy", 9_000))
    }

    /// Asks until this server answers.
    pub fn wait_for_server(&self, name: &str) {
        wait_until("the server answers", || self.ask().text() == name);
    }

    pub fn log(&self) -> String {
        self.limiter.errors()
    }
}

impl Drop for FollowingLimiter {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.operator_file);
    }
}

/// Requests that come to a limiter all the time.
pub struct Load {
    stop: Arc<AtomicBool>,
    statuses: Arc<Mutex<Vec<u16>>>,
    thread: Option<JoinHandle<()>>,
}

impl Load {
    pub fn on(limiter: &FollowingLimiter) -> Load {
        let address = limiter.limiter.address;
        let (stop, statuses): (Arc<AtomicBool>, Arc<Mutex<Vec<u16>>>) = Default::default();
        let (stopped, noted) = (stop.clone(), statuses.clone());
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let status = Client::to(address).ask(&quote("roomy", 9_000)).status();
                lock(&noted).push(status);
                thread::sleep(LOAD_PAUSE);
            }
        });
        Load { stop, statuses, thread: Some(thread) }
    }

    /// How the requests were answered so far.
    pub fn statuses(&self) -> Vec<u16> {
        lock(&self.statuses).clone()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Requests that came to a server after a moment.
pub fn arrivals_after(server: &TimedServer, moment: Instant) -> usize {
    server.arrivals().iter().filter(|arrival| arrival.at > moment).count()
}
