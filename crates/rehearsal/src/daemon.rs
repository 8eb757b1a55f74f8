//! The limiters as child processes: started by the deployment's contract, killed, paused and watched.
//!
//! A process is ended by its own id only. Each limiter keeps one address for the whole rehearsal, which the kit
//! holds reserved, so that nothing else can get it while the limiter is down.

use crate::history::{Event, Process, Recorder};
use crate::net::link::Reserved;
use crate::scenario::Scenario;
use crate::settings::settings;
use crate::standin::clients::Front;
use crate::standin::list::List;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// A limiter is ready within this, or it never will be.
const READY: Duration = Duration::from_secs(30);
/// SIGKILL follows SIGTERM after the longest deadline and this.
const FINISH: Duration = Duration::from_millis(900);
const POLL: Duration = Duration::from_millis(15);
/// Clock ticks of `/proc` in a second, the same on all of Linux.
const TICKS: u64 = 100;

/// What the faults that strike a limiter want of it.
#[derive(Debug, Default)]
struct Wants {
    killed: BTreeSet<u32>,
    terminated: BTreeSet<u32>,
    paused: BTreeSet<u32>,
}

struct State {
    wants: Wants,
    /// The process, while there is one.
    pid: Option<i32>,
    /// The kit has asked the present process to end.
    asked: bool,
    paused: bool,
    starts: u64,
    /// How the process before ended.
    code: Option<i32>,
}

/// A limiter.
pub struct Limiter {
    index: u16,
    /// Where it listens.
    pub address: SocketAddr,
    /// And where it answers external authorisation, if it does.
    pub grpc: SocketAddr,
    _reserved: [Reserved; 2],
    keeper: SocketAddr,
    list_at: SocketAddr,
    state: Mutex<State>,
    runs: watch::Sender<bool>,
    shared: Arc<Shared>,
}

/// What all limiters share.
pub struct Shared {
    /// What starts them, in turn.
    pub commands: Vec<String>,
    /// Where configurations and logs lie.
    pub folder: PathBuf,
    /// What each limiter's operator file says, `n0.toml` and so on in the folder; those of an empty text have
    /// none.
    pub operators: Vec<String>,
    /// The rehearsal.
    pub scenario: Arc<Scenario>,
    /// Its seed.
    pub seed: u64,
    /// Where it is noted.
    pub recorder: Arc<Recorder>,
    /// The list that they start with.
    pub list: Arc<List>,
    /// What has gone wrong with the kit.
    pub trouble: Arc<Mutex<Option<String>>>,
    /// Calls of the limiters by the front, once it is known.
    pub front: Mutex<Option<Arc<Front>>>,
    /// Counts processes, for the seeds.
    pub started: AtomicU64,
}

impl Shared {
    fn front(&self) -> Option<Arc<Front>> {
        self.front.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn fail(&self, what: String) {
        self.trouble.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(what);
    }
}

impl Limiter {
    /// One that is not started yet.
    ///
    /// # Errors
    /// No address is to be had.
    pub fn new(
        index: u16,
        keeper: SocketAddr,
        list_at: SocketAddr,
        (reserved, grpc): (Reserved, Reserved),
        shared: Arc<Shared>,
    ) -> io::Result<Arc<Limiter>> {
        let state =
            State { wants: Wants::default(), pid: None, asked: false, paused: false, starts: 0, code: None };
        Ok(Arc::new(Limiter {
            index,
            address: reserved.address,
            grpc: grpc.address,
            _reserved: [reserved, grpc],
            keeper,
            list_at,
            state: Mutex::new(state),
            runs: watch::Sender::new(false),
            shared,
        }))
    }

    /// Makes the front known, to be told when it comes and goes.
    pub fn introduce(&self, front: &Arc<Front>) {
        *self.shared.front.lock().unwrap_or_else(PoisonError::into_inner) = Some(front.clone());
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, what: Process) {
        self.shared.recorder.note(Event::Limiter { limiter: self.index, what });
    }

    /// Its process, while there is one.
    pub fn pid(&self) -> Option<i32> {
        self.state().pid
    }

    fn command(&self) -> &str {
        let commands = &self.shared.commands;
        commands.get(usize::from(self.index) % commands.len().max(1)).map_or("", String::as_str)
    }

    fn log(&self) -> PathBuf {
        self.shared.folder.join(format!("n{}.log", self.index))
    }

    /// Starts it and waits until it is ready; the front is told.
    ///
    /// # Errors
    /// It cannot be started, ends at once, or is not ready in time; with the end of its log.
    pub async fn start(self: &Arc<Self>) -> Result<(), String> {
        let name = format!("n{}", self.index);
        let nth = self.shared.started.fetch_add(1, Ordering::SeqCst);
        let seed = (self.shared.seed ^ 0xa076_1d64_78bd_642f).wrapping_mul(nth * 2 + 1);
        let scenario = &self.shared.scenario;
        let config = json!({"name": name, "listen": self.address.to_string(),
            "discovery": self.list_at.to_string(), "counter": self.keeper.to_string(),
            "seed": format!("{seed:016x}"), "known": self.shared.list.whole(self.index.into()),
            "limits": {"cores": 1.0, "memory_mb": scenario.limiters.memory_mb,
                "sockets": scenario.limiters.sockets},
            "settings": settings(scenario, self.index.into())});
        let path = self.shared.folder.join(format!("{name}.json"));
        let failed = |what: &str, e: io::Error| format!("{name}: {what}: {e}");
        std::fs::write(&path, config.to_string()).map_err(|e| failed("its configuration", e))?;
        let log = File::options().create(true).append(true).open(self.log());
        let log = log.map_err(|e| failed("its log", e))?;
        let out = log.try_clone().map_err(|e| failed("its log", e))?;
        let mut command = Command::new("/bin/sh");
        let operator = self.shared.folder.join(format!("{name}.toml"));
        let operator = match self.shared.operators.get(usize::from(self.index)) {
            Some(text) if !text.is_empty() => {
                std::fs::write(&operator, text).map_err(|e| failed("its operator file", e))?;
                format!(" --operator '{}'", operator.display())
            }
            _ => String::new(),
        };
        command.arg("-c").arg(format!("exec {}{operator}", self.command())).kill_on_drop(true);
        command.env("ROUTER_NAME", &name).env("ROUTER_CONFIG", &path);
        command.env("ROUTER_LISTEN", self.address.to_string());
        command.env("ROUTER_DISCOVERY", self.list_at.to_string());
        command.stdin(Stdio::null()).stdout(Stdio::from(out)).stderr(Stdio::from(log));
        self.note(Process::Started);
        let child = command.spawn().map_err(|e| failed("cannot be started", e))?;
        let pid = child.id().and_then(|id| i32::try_from(id).ok());
        {
            let mut state = self.state();
            (state.pid, state.asked, state.paused) = (pid, false, false);
            state.starts += 1;
        }
        self.runs.send_replace(true);
        tokio::spawn(self.clone().watch(child));
        self.ready().await
    }

    async fn ready(&self) -> Result<(), String> {
        let limit = Instant::now() + READY;
        let mut runs = self.runs.subscribe();
        loop {
            let up = async {
                let mut stream = TcpStream::connect(self.address).await.ok()?;
                stream.write_all(b"GET /up HTTP/1.1\r\nHost: kit\r\nConnection: close\r\n\r\n").await.ok()?;
                let mut answer = [0; 12];
                stream.read_exact(&mut answer).await.ok()?;
                Some(answer.ends_with(b"200"))
            };
            if matches!(timeout(Duration::from_millis(500), up).await, Ok(Some(true))) {
                self.note(Process::Ready);
                if let Some(front) = self.shared.front() {
                    front.up(self.index.into());
                }
                return Ok(());
            }
            if !*runs.borrow_and_update() && !self.state().asked {
                let code = self.state().code.map_or("by a signal".into(), |c| format!("with exit code {c}"));
                return Err(self.failure(&format!("ended before it was ready, {code}")));
            }
            if self.state().asked {
                return Ok(());
            }
            if Instant::now() > limit {
                return Err(self.failure(&format!("was not ready within {} s", READY.as_secs())));
            }
            sleep(POLL).await;
        }
    }

    fn failure(&self, what: &str) -> String {
        let log = std::fs::read_to_string(self.log()).unwrap_or_default();
        let tail: Vec<&str> = log.lines().rev().take(5).collect();
        let tail: Vec<&str> = tail.into_iter().rev().collect();
        let tail = if tail.is_empty() { "(nothing)".into() } else { tail.join("\n    ") };
        format!(
            "limiter n{} {what}; command: {}; the end of its log:\n    {tail}",
            self.index,
            self.command()
        )
    }

    async fn watch(self: Arc<Self>, mut child: Child) {
        let ended = child.wait().await;
        let code = ended.ok().and_then(|status| status.code());
        let asked = {
            let mut state = self.state();
            (state.pid, state.code) = (None, code);
            state.asked
        };
        self.note(Process::Ended(asked, code));
        if let Some(front) = self.shared.front() {
            front.down(self.index.into());
        }
        self.runs.send_replace(false);
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.state().pid.and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    fn end(&self, signal: Signal, what: Process) {
        if self.state().pid.is_none() {
            return;
        }
        self.state().asked = true;
        self.note(what);
        if let (Process::Killed, Some(front)) = (what, self.shared.front()) {
            front.ends(self.index.into());
        }
        self.signal(signal);
        // A process that is stopped cannot end on SIGTERM.
        self.resume();
    }

    fn resume(&self) {
        if std::mem::take(&mut self.state().paused) {
            self.signal(Signal::CONT);
            self.note(Process::Resumed);
        }
    }

    /// A fault begins: SIGKILL.
    pub fn kill(&self, fault: u32) {
        self.state().wants.killed.insert(fault);
        self.end(Signal::KILL, Process::Killed);
    }

    /// A fault begins: SIGTERM, and SIGKILL once all that it had must have been answered.
    pub fn terminate(self: &Arc<Self>, fault: u32) {
        self.state().wants.terminated.insert(fault);
        let limiter = self.clone();
        tokio::spawn(async move { limiter.finish().await });
    }

    /// SIGTERM, as at a planned restart: the front takes the limiter out, which takes a moment.
    async fn finish(self: &Arc<Self>) {
        let Some(pid) = self.pid() else { return };
        self.end(Signal::TERM, Process::Terminated);
        sleep(Duration::from_millis(300)).await;
        if let Some(front) = self.shared.front() {
            front.withdraw(self.index.into());
        }
        let rest = Duration::from_secs_f64(self.shared.scenario.longest_deadline()) + FINISH;
        let mut runs = self.runs.subscribe();
        let _ = timeout(rest, runs.wait_for(|runs| !*runs)).await;
        if self.pid() == Some(pid) {
            // What it still holds is lost by its own fault: no note that it was killed.
            self.signal(Signal::KILL);
        }
    }

    /// A fault begins: SIGSTOP.
    pub fn pause(&self, fault: u32) {
        let mut state = self.state();
        state.wants.paused.insert(fault);
        let stop = state.pid.is_some() && !state.asked && !std::mem::replace(&mut state.paused, true);
        drop(state);
        if stop {
            self.note(Process::Paused);
            self.signal(Signal::STOP);
        }
    }

    /// What this fault did is over: it goes on, or is started again, if no other fault holds it.
    pub fn undo(self: &Arc<Self>, fault: u32) {
        let (up, on) = {
            let wants = &mut self.state().wants;
            let ended = wants.killed.remove(&fault) | wants.terminated.remove(&fault);
            let paused = wants.paused.remove(&fault);
            let up = wants.killed.is_empty() && wants.terminated.is_empty();
            (up && ended, paused && wants.paused.is_empty())
        };
        if on {
            self.resume();
        }
        if up {
            let limiter = self.clone();
            tokio::spawn(async move {
                let mut runs = limiter.runs.subscribe();
                let _ = runs.wait_for(|runs| !*runs).await;
                // Another fault may have come meanwhile.
                let held = {
                    let wants = &limiter.state().wants;
                    !wants.killed.is_empty() || !wants.terminated.is_empty()
                };
                if held || limiter.pid().is_some() {
                    return;
                }
                if let Err(why) = limiter.start().await {
                    limiter.shared.fail(why);
                }
            });
        }
    }

    /// Ends it for good, as at a planned restart.
    pub async fn stop(self: &Arc<Self>) {
        self.state().wants.killed.insert(u32::MAX);
        self.resume();
        self.finish().await;
        let mut runs = self.runs.subscribe();
        let _ = timeout(Duration::from_secs(5), runs.wait_for(|runs| !*runs)).await;
    }

    /// Ends it at once.
    pub fn kill_now(&self) {
        self.state().wants.killed.insert(u32::MAX);
        self.end(Signal::KILL, Process::Killed);
    }

    /// Notes what its process has used.
    pub fn sample(&self) {
        let Some(pid) = self.pid() else { return };
        let folder = Path::new("/proc").join(pid.to_string());
        let (Some(cpu), Some(memory_kb)) = (cpu_of(&folder), memory_of(&folder)) else { return };
        let descriptors = std::fs::read_dir(folder.join("fd")).map_or(0, |d| d.count() as u32);
        let limiter = self.index;
        self.shared.recorder.note(Event::Usage { limiter, cpu, memory_kb, descriptors });
    }
}

/// CPU time of a process, in microseconds, by its folder in `/proc`.
pub fn cpu_of(folder: &Path) -> Option<u64> {
    let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
    // The name in brackets may hold anything; figures follow the last bracket.
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) * 1_000_000 / TICKS)
}

/// Resident memory in kilobytes.
pub fn memory_of(folder: &Path) -> Option<u64> {
    let status = std::fs::read_to_string(folder.join("status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}
