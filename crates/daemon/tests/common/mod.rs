//! Test support: fake HTTP services on loopback sockets, and the limiter run as a child process between them.
#![allow(dead_code)]
pub mod asked;
pub mod grpc;
pub mod relays;
pub mod shutdown;

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest time that a test waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// An HTTP/1.1 request or response: start line, headers with lower-case names, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Reads one message; `None` if the connection ends before it is complete.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut line = || {
            let mut text = String::new();
            let read = from.read_line(&mut text).ok()?;
            (read > 0).then(|| text.trim_end().to_string())
        };
        let mut message = Message { start_line: line()?, ..Message::default() };
        loop {
            let text = line()?;
            let Some((name, value)) = text.split_once(':') else { break };
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

/// How a [`Fake`] responds to a request.
pub enum Reply {
    /// Writes this text and keeps the connection open.
    Raw(String),
    /// Writes this text and closes the connection.
    RawThenClose(String),
    /// Writes these texts, each after its pause.
    Pieces(Vec<(Duration, String)>),
    /// Writes nothing until the peer closes the connection.
    Silence,
}

pub fn ok(body: &str) -> Reply {
    Reply::Raw(raw("200 OK", "", body))
}

/// A response with this status, these further header lines and this body.
pub fn raw(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}

#[derive(Default)]
struct Log {
    seen: Mutex<Vec<Message>>,
    accepted: AtomicU32,
    ended: AtomicU32,
    streams: Mutex<Vec<TcpStream>>,
    abandoned_ids: Mutex<Vec<String>>,
}

/// An HTTP/1.1 server that answers each request by a rule and records all requests.
#[derive(Clone)]
pub struct Fake {
    pub address: SocketAddr,
    log: Arc<Log>,
}

impl Fake {
    pub fn new(rule: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Fake {
        Fake::on_listener(TcpListener::bind("127.0.0.1:0").expect("bind"), rule)
    }

    /// Like [`Fake::new`], on an existing listener.
    pub fn on_listener(
        listener: TcpListener,
        rule: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Fake {
        let fake = Fake { address: listener.local_addr().expect("address"), log: Arc::default() };
        let (log, rule) = (fake.log.clone(), Arc::new(rule));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                log.accepted.fetch_add(1, Ordering::SeqCst);
                let (log, rule) = (log.clone(), rule.clone());
                thread::spawn(move || {
                    serve(stream, &log, &*rule);
                    log.ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        fake
    }

    pub fn seen(&self) -> Vec<Message> {
        self.log.seen.lock().expect("lock").clone()
    }

    pub fn count(&self) -> usize {
        self.log.seen.lock().expect("lock").len()
    }

    pub fn accepted(&self) -> u32 {
        self.log.accepted.load(Ordering::SeqCst)
    }

    /// The number of connections that the limiter or the fake has closed.
    pub fn ended(&self) -> u32 {
        self.log.ended.load(Ordering::SeqCst)
    }

    /// Correlation ids of the requests that got [`Reply::Silence`] and whose connection the peer has since closed.
    pub fn abandoned_ids(&self) -> Vec<String> {
        self.log.abandoned_ids.lock().expect("lock").clone()
    }

    /// How many requests with this correlation id were received.
    pub fn count_with_id(&self, id: &str) -> usize {
        self.seen().iter().filter(|m| m.header("x-correlation-id") == Some(id)).count()
    }

    /// Writes to every connection that is open.
    pub fn push(&self, bytes: &str) {
        for mut stream in self.log.streams.lock().expect("lock").iter() {
            let _ = stream.write_all(bytes.as_bytes());
        }
    }

    /// Closes every connection.
    pub fn disconnect_all(&self) {
        for stream in self.log.streams.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, log: &Log, rule: &dyn Fn(&Message) -> Reply) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    log.streams.lock().expect("lock").push(copy);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(message) = Message::read(&mut reader) {
        log.seen.lock().expect("lock").push(message.clone());
        match rule(&message) {
            Reply::Raw(text) => {
                if stream.write_all(text.as_bytes()).is_err() {
                    break;
                }
            }
            Reply::RawThenClose(text) => {
                let _ = stream.write_all(text.as_bytes());
                break;
            }
            Reply::Pieces(pieces) => {
                for (pause, text) in pieces {
                    thread::sleep(pause);
                    let _ = stream.write_all(text.as_bytes());
                }
            }
            Reply::Silence => {
                let _ = reader.read(&mut [0]);
                let id = message.header("x-correlation-id").unwrap_or_default();
                log.abandoned_ids.lock().expect("lock").push(id.to_string());
                break;
            }
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// A line from discovery, encoded as an HTTP chunk.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

pub fn instance(id: &str, address: SocketAddr, lifecycle: &str) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": "room-a", "machineType": "std",
        "cell": 1, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

pub fn update(revision: u64, reset: bool, instances: &[Value]) -> String {
    json!({"generation": revision, "reset": reset, "instances": instances}).to_string()
}

pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A discovery service that answers each watch with this whole list; [`Fake::push`] sends further lines.
pub fn discovery(instances: Vec<Value>) -> Fake {
    Fake::new(move |_| Reply::Raw(format!("{WATCH_HEAD}{}", chunk(&update(10, true, &instances)))))
}

/// The path of a call to the counter service, and its parameter `n`, 0 if there is none.
pub fn parse_counter_call(call: &Message) -> (&str, f64) {
    let target = call.start_line.split(' ').nth(1).unwrap_or("");
    let (name, query) = target.split_once('?').unwrap_or((target, ""));
    (name, query.split('&').find_map(|q| q.strip_prefix("n=")?.parse::<f64>().ok()).unwrap_or(0.0))
}

/// A counter service that adds `n` to the total of the path and answers with the new total.
pub fn counter() -> Fake {
    let numbers: Mutex<std::collections::HashMap<String, f64>> = Mutex::default();
    Fake::new(move |call| {
        let (name, add) = parse_counter_call(call);
        let mut numbers = numbers.lock().expect("lock");
        let total = numbers.entry(name.to_string()).or_default();
        *total += add;
        ok(&total.to_string())
    })
}

pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim-s": 0.4, "deadline-s": 2.0, "worth": 1.0, "late-share": 0.0,
            "effect": effect, "group": "all", "window-s": 10.0, "streaming": false})
    };
    json!({"me": 0, "peers-total": 2, "zone": "room-a", "period-s": 0.002, "discovery": "pushed",
        "classes": [class("quote", "read_like"), class("bind", "idempotency_key"),
            class("once", "non_idempotent")],
        "tariffs": [{"name": "roomy", "rate": 1000.0, "depth": 2000.0, "pays": 1.0},
            {"name": "small", "rate": 1.0, "depth": 4.0, "pays": 1.0}],
        "family-info": {"has-counter": true, "count-limit-s": 0.05, "max-units": 4.0, "post-paid": true},
        "invariants": {"start-capacity": 0.2, "ramp-time-s": 18.0, "fall-multiple": 3.0, "overload-for-s": 2.0},
        "limits": {"cancel": true, "connect-timeout-s": 0.25, "idle-close-s": 15.0, "max-attempts": 5,
            "max-retry-after-s": 2.0, "may-probe": true, "retry-after": true, "second-copies": false}})
}

/// [`settings`] with this deadline for all classes, in seconds.
pub fn settings_with_deadline(deadline_s: f64) -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["deadline-s"] = json!(deadline_s);
    }
    settings
}

/// A bound socket that does not listen yet, and its address: connections are refused until the test calls `listen`.
/// The socket stays bound, so that no other test gets the port.
pub fn unused_address() -> (socket2::Socket, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bind");
    let address = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("address");
    (socket, address)
}

/// A listener whose accept queue is full, and the connections that fill it: until they are dropped, further
/// connection attempts neither succeed nor fail.
pub fn full_backlog() -> (socket2::Socket, SocketAddr, Vec<TcpStream>) {
    let (socket, address) = unused_address();
    socket.listen(0).expect("listen");
    let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(300));
    let filled = std::iter::from_fn(|| fill().ok()).collect();
    (socket, address, filled)
}

/// A connection in the kernel's table.
pub struct KernelConnection {
    /// Whether its SYN has not been answered yet.
    pub is_pending: bool,
    /// Whether a process holds its socket.
    pub is_held: bool,
}

/// The connections to this address, by the kernel's table.
pub fn connections_to(address: SocketAddr) -> Vec<KernelConnection> {
    const REMOTE_COLUMN: usize = 2;
    const STATE_COLUMN: usize = 3;
    const INODE_COLUMN: usize = 9;
    const SYN_SENT: &str = "02";
    const NO_INODE: &str = "0";
    let SocketAddr::V4(address) = address else { panic!("{address} is not IPv4") };
    let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    // Other tests may leave tens of thousands of rows behind: only those with the address are split.
    let rows = table.lines().filter(|line| line.contains(&remote));
    let rows = rows.map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.filter(|row| row[REMOTE_COLUMN] == remote)
        .map(|row| KernelConnection {
            is_pending: row[STATE_COLUMN] == SYN_SENT,
            is_held: row[INODE_COLUMN] != NO_INODE,
        })
        .collect()
}

/// The number of connections to this address whose SYN has not been answered yet.
pub fn pending_connects(address: SocketAddr) -> usize {
    connections_to(address).iter().filter(|connection| connection.is_pending).count()
}

/// Accepts a connection, or fails after [`WAIT_TIMEOUT`].
pub fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    let mut accepted = None;
    listener.set_nonblocking(true).expect("set");
    wait_until("a connection arrives", || {
        accepted = listener.accept().ok();
        accepted.is_some()
    });
    listener.set_nonblocking(false).expect("set");
    let (stream, from) = accepted.expect("a connection");
    stream.set_nonblocking(false).expect("set");
    (stream, from)
}

/// Runs all cases in parallel, each on its own thread.
pub fn in_parallel<C: Send>(cases: impl IntoIterator<Item = C>, run: impl Fn(C) + Sync) {
    thread::scope(|scope| {
        for case in cases {
            let run = &run;
            scope.spawn(move || run(case));
        }
    });
}

/// Blocks threads until the test opens it.
#[derive(Clone, Default)]
pub struct Gate(Arc<AtomicBool>);

impl Gate {
    pub fn open(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    /// Waits until the gate is open, for [`WAIT_TIMEOUT`] at most.
    pub fn wait(&self) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !self.0.load(Ordering::SeqCst) && Instant::now() < end {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// A server that holds each request until the gate is open, and then answers by the rule.
pub fn gated_server(rule: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> (Gate, Fake) {
    let gate = Gate::default();
    let opened = gate.clone();
    let server = Fake::new(move |m| {
        opened.wait();
        rule(m)
    });
    (gate, server)
}

/// A limiter, run as a child process from the built program.
pub struct Limiter {
    pub address: SocketAddr,
    /// The address of the gRPC listener for external authorization, if there is one.
    pub grpc: Option<SocketAddr>,
    child: Child,
    errors: Arc<Mutex<String>>,
    log_closed: Arc<AtomicBool>,
    pub file: std::path::PathBuf,
    config: Value,
}

/// Writes a file with a unique name to Cargo's folder for temporary files.
pub fn temp_file(text: &str) -> std::path::PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("config-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).expect("write");
    file
}

/// Replaces a file by another with this text in one step.
pub fn rename_over(file: &std::path::Path, text: &str) {
    let new = file.with_extension("new");
    std::fs::write(&new, text).expect("write");
    std::fs::rename(new, file).expect("rename");
}

pub fn command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_liftrouter"));
    for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG"] {
        command.env_remove(name);
    }
    command
}

#[allow(clippy::needless_pass_by_value, reason = "each test makes the settings for its one limiter")]
impl Limiter {
    /// Starts a limiter and waits until it is ready.
    pub fn start(settings: Value, discovery: &Fake, counter: SocketAddr) -> Limiter {
        Limiter::with_descriptor_limit(1024, settings, discovery, counter)
    }

    /// Like [`Limiter::start`], with a limit on descriptors.
    pub fn with_descriptor_limit(
        sockets: u32,
        settings: Value,
        discovery: &Fake,
        counter: SocketAddr,
    ) -> Limiter {
        let limits = json!({"cores": 1.0, "memory_mb": 192, "sockets": sockets});
        Limiter::with_limits(limits, command(), settings, discovery, counter)
    }

    /// Like [`Limiter::start`], with these resource limits in its configuration.
    pub fn with_limits(
        limits: Value,
        command: Command,
        settings: Value,
        discovery: &Fake,
        counter: SocketAddr,
    ) -> Limiter {
        let config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "00000000000000ff",
            "discovery": discovery.address.to_string(), "counter": counter.to_string(),
            "limits": limits, "settings": settings});
        let file = temp_file(&config.to_string());
        Limiter::spawn_until_up(command, file, config, discovery.address)
    }

    /// Starts a limiter with an endpoint list from an earlier run, without waiting until it is ready.
    pub fn with_known_list(known: &str, settings: Value, discovery: SocketAddr) -> Limiter {
        let known: Value = serde_json::from_str(known).expect("a list");
        let config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "00000000000000ff",
            "discovery": discovery.to_string(), "known": known, "settings": settings});
        let file = temp_file(&config.to_string());
        Limiter::spawn(command(), file, config, discovery)
    }

    /// Starts a limiter with an operator's file, without waiting until it is ready.
    pub fn with_operator(operator: &std::path::Path, settings: Value, discovery: SocketAddr) -> Limiter {
        Limiter::with_operator_and_counter(operator, settings, discovery, None)
    }

    /// Like [`Limiter::with_operator`], with a counter service if there is one.
    pub fn with_operator_and_counter(
        operator: &std::path::Path,
        settings: Value,
        discovery: SocketAddr,
        counter: Option<SocketAddr>,
    ) -> Limiter {
        let mut config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "00000000000000ff",
            "discovery": discovery.to_string(), "settings": settings});
        if let Some(counter) = counter {
            config["counter"] = json!(counter.to_string());
        }
        let file = temp_file(&config.to_string());
        let mut command = command();
        command.arg("--operator").arg(operator);
        Limiter::spawn(command, file, config, discovery)
    }

    /// Starts a limiter without a counter service, with this text as the operator's file, and waits until it is ready.
    pub fn with_operator_text(text: &str, settings: Value, servers: &[&Fake]) -> Limiter {
        let list = servers.iter().enumerate();
        let list = list.map(|(n, s)| instance(&format!("s-{n}"), s.address, "in_service")).collect();
        let (file, discovery) = (temp_file(text), discovery(list));
        let limiter = Limiter::with_operator(&file, settings, discovery.address);
        wait_until("the limiter is up", || limiter.up());
        let _ = std::fs::remove_file(file);
        limiter
    }

    fn spawn_until_up(
        command: Command,
        file: std::path::PathBuf,
        config: Value,
        discovery: SocketAddr,
    ) -> Limiter {
        let limiter = Limiter::spawn(command, file, config, discovery);
        wait_until("the limiter is up", || limiter.up());
        limiter
    }

    /// Whether the limiter is ready to serve clients.
    pub fn up(&self) -> bool {
        self.client().ask("GET /up HTTP/1.1\r\n\r\n").status() == 200
    }

    fn spawn(
        mut command: Command,
        file: std::path::PathBuf,
        config: Value,
        discovery: SocketAddr,
    ) -> Limiter {
        // As in production, the environment repeats a part of the file.
        command.env("ROUTER_DISCOVERY", discovery.to_string()).env("ROUTER_CONFIG", &file);
        let mut child = command.stderr(Stdio::piped()).spawn().expect("start the limiter");
        let mut lines = BufReader::new(child.stderr.take().expect("stderr")).lines();
        let errors: Arc<Mutex<String>> = Arc::default();
        let mut grpc = None;
        let mut output = String::new();
        let address = loop {
            let line =
                lines.next().unwrap_or_else(|| panic!("the limiter exited before it listened: {output}"));
            let line = line.expect("utf-8");
            output.push_str(&line);
            output.push('\n');
            if let Some(address) = line.strip_prefix("liftrouter: gRPC on ") {
                grpc = Some(address.parse().expect("an address"));
            }
            if let Some(address) = line.strip_prefix("liftrouter: listening on ") {
                break address.parse().expect("an address");
            }
        };
        let log_closed: Arc<AtomicBool> = Arc::default();
        let (log, closed) = (errors.clone(), log_closed.clone());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if closed.load(Ordering::SeqCst) {
                    break;
                }
                log.lock().expect("lock").push_str(&(line + "\n"));
            }
        });
        Limiter { address, grpc, child, errors, log_closed, file, config }
    }

    /// Starts a limiter with these servers, all in service, and a working counter service.
    pub fn with_servers(servers: &[&Fake]) -> Limiter {
        let list = servers.iter().enumerate();
        let list = list.map(|(n, s)| instance(&format!("s-{n}"), s.address, "in_service")).collect();
        Limiter::start(settings(), &discovery(list), counter().address)
    }

    pub fn client(&self) -> Client {
        Client::to(self.address)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Stops the process, and returns once it has stopped. After [`Limiter::resume`], the limiter
    /// sees everything that has happened meanwhile at the same moment.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.pid());
        wait_until("the process is stopped", || {
            let stat = std::fs::read_to_string(&stat).expect("its state");
            stat.rsplit_once(')').is_some_and(|(_, rest)| rest.trim_start().starts_with('T'))
        });
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// The most memory that the process has had resident so far, in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).expect("its status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.strip_suffix("kB"));
        peak.and_then(|kilobytes| kilobytes.trim().parse::<usize>().ok()).expect("its peak") * 1024
    }

    /// The number of open descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).expect("its descriptors").count()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, name: &str) {
        let killed = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(killed.expect("kill").success());
    }

    /// Replaces the configuration file by one with these addresses, and sends SIGHUP.
    pub fn move_to(&self, discovery: SocketAddr, counter: SocketAddr) {
        let mut config = self.config.clone();
        config["discovery"] = json!(discovery.to_string());
        config["counter"] = json!(counter.to_string());
        rename_over(&self.file, &config.to_string());
        self.signal("-HUP");
    }

    pub fn wait(&mut self) -> ExitStatus {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("wait") {
                return status;
            }
            assert!(Instant::now() < end, "the limiter did not end");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Closes the reading end of its standard error when the limiter writes its next line.
    pub fn close_log(&self) {
        self.log_closed.store(true, Ordering::SeqCst);
    }

    /// What the limiter has written to standard error since it began to listen.
    pub fn errors(&self) -> String {
        self.errors.lock().expect("lock").clone()
    }
}

impl Drop for Limiter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn to(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("connect");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        Client { reader: BufReader::new(stream.try_clone().expect("clone")), stream }
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("send");
    }

    /// Sends and ignores errors, since the limiter may have closed the connection.
    pub fn send_ignoring_errors(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    pub fn set_read_timeout(&self, time: Duration) {
        self.stream.set_read_timeout(Some(time)).expect("set");
    }

    /// Whether a response has begun or the connection is closed; waits up to the read timeout.
    pub fn has_input_or_eof(&mut self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(_) => true,
            Err(e) => !matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
        }
    }

    pub fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    pub fn ask(&mut self, text: &str) -> Message {
        self.send(text);
        self.answer().expect("an answer")
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Closes only the sending half of the connection.
    pub fn shutdown_write(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

static NEXT_ID: AtomicU32 = AtomicU32::new(1);

/// The correlation id in the text of a request.
pub fn correlation_id(request: &str) -> &str {
    request.split("X-Correlation-Id: ").nth(1).and_then(|rest| rest.split("\r\n").next()).expect("an id")
}

/// A request of class `quote`, safe to repeat.
pub fn quote(plan: &str, left_ms: u32) -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!(
        "GET /quote/00000000b4d65521?from=tls&to=nce HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id:016x}\r\n\
         X-Contract: {plan}\r\nX-Time-Left: {left_ms}m\r\nX-Metering: units=1,spread=1,first=0\r\n\r\n"
    )
}

/// A request with a body, of class `bind` (retried by its idempotency key) or `once` (never safe to repeat).
pub fn post(class: &str, body: &str) -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!(
        "POST /{class}/00000000b4d65521 HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id:016x}\r\n\
         X-Contract: roomy\r\nX-Time-Left: 9000m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\
         X-Metering: units=2,spread=2,first=1\r\n\r\n{body}",
        body.len()
    )
}
