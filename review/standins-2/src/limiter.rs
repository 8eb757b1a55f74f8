//! Starts limiters by the command of the deploy file, each a process of its own.

use crate::client;
use crate::record::Record;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;
/// Signals have these numbers on Linux of x86-64 and of arm64.
const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// A limiter to start.
pub struct Setup {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub settings: String,
    /// The operator's file, if there is one.
    pub operator: Option<String>,
    /// Further options of the command.
    pub options: &'static str,
}

impl Setup {
    /// The text of the configuration file.
    pub fn config(&self) -> String {
        let Setup { name, listen, discovery, counter, settings, .. } = self;
        format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"counter\":\"{counter}\",\
             \"known\":{{\"generation\":1,\"reset\":true,\"instances\":[]}},\"settings\":{settings}}}"
        )
    }
}

/// A running limiter. It is killed when this is dropped.
pub struct Limiter {
    pub name: String,
    pub listen: SocketAddr,
    child: Child,
    log: PathBuf,
}

/// An address of loopback with a port that is free now.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The command `run` of the deploy file.
fn run_command() -> Result<String, String> {
    let text = fs::read_to_string("deploy/balancer.toml").map_err(|error| error.to_string())?;
    let line = text.lines().find(|line| line.starts_with("run")).ok_or("deploy/balancer.toml has no run")?;
    line.split('"').nth(1).map(str::to_string).ok_or("run is no string".to_string())
}

impl Limiter {
    /// Starts a limiter with its files in `folder` and waits until it is ready.
    pub fn start(setup: &Setup, folder: &Path, record: &Record) -> Result<Limiter, String> {
        let config = folder.join(format!("{}.json", setup.name));
        fs::write(&config, setup.config()).map_err(|error| error.to_string())?;
        let mut command = run_command()?;
        if let Some(operator) = &setup.operator {
            let path = folder.join(format!("{}.toml", setup.name));
            fs::write(&path, operator).map_err(|error| error.to_string())?;
            command = format!("{command} --operator {}", path.display());
        }
        command = format!("{command}{}", setup.options);
        let log = folder.join(format!("{}.log", setup.name));
        let file = File::options().create(true).append(true).open(&log).map_err(|error| error.to_string())?;
        let errors = file.try_clone().map_err(|error| error.to_string())?;
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(&command).env("ROUTER_CONFIG", &config).env("ROUTER_NAME", &setup.name);
        shell
            .env("ROUTER_LISTEN", setup.listen.to_string())
            .env("ROUTER_DISCOVERY", setup.discovery.to_string());
        shell.env("TMPDIR", folder).stdin(Stdio::null()).stdout(file).stderr(errors);
        // SAFETY: `prctl` is safe to call between fork and exec. The limiter dies with this process, however it ends.
        unsafe {
            shell.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = shell.spawn().map_err(|error| error.to_string())?;
        record.line(format!("limiter {} started, pid {}, at {}", setup.name, child.id(), setup.listen));
        let mut limiter = Limiter { name: setup.name.clone(), listen: setup.listen, child, log };
        limiter.wait_until_ready(record)?;
        Ok(limiter)
    }

    fn wait_until_ready(&mut self, record: &Record) -> Result<(), String> {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(15) {
            if self.has_ended() {
                return Err(format!("limiter {} ended at its start: {}", self.name, self.log_text()));
            }
            if client::get(self.listen, "/up").is_some_and(|answer| answer.status() == 200) {
                record.line(format!("limiter {} is ready", self.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("limiter {} was not ready in time: {}", self.name, self.log_text()))
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: `kill` has no memory effects. The process is a child of this one that was not waited for.
        unsafe {
            kill(self.child.id() as i32, signal);
        }
    }

    /// Ends the process as at a planned restart, and waits for its end.
    pub fn terminate(mut self, record: &Record) -> Result<(), String> {
        self.signal(SIGTERM);
        let started = Instant::now();
        while !self.has_ended() {
            if started.elapsed() > Duration::from_secs(5) {
                return Err(format!("limiter {} did not end after SIGTERM", self.name));
            }
            thread::sleep(Duration::from_millis(10));
        }
        record.line(format!("limiter {} has ended after SIGTERM", self.name));
        Ok(())
    }

    /// Its log so far, of all its starts.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Limiter {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
