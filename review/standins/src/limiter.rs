//! A limiter process, started by the command of the deploy file.

use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::http::Message;

const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

extern "C" {
    fn prctl(option: i32, ...) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

/// Has the kernel kill the program if this process ends without doing so.
fn end_with_this_process(command: &mut Command) -> &mut Command {
    // SAFETY: the closure makes a single system call, which is allowed between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        })
    }
}

/// `run` of the deploy file.
const RUN: &str = "exec target/release/liftrouter";

/// What a limiter is told at its start.
pub struct Config<'a> {
    pub name: &'a str,
    /// The limiter's number.
    pub index: usize,
    /// How many limiters there are.
    pub limiters: usize,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    /// The operator's file; nothing if empty.
    pub operator: String,
}

/// A running limiter. It is killed when it is dropped.
pub struct Limiter {
    pub name: String,
    pub listen: SocketAddr,
    folder: PathBuf,
    child: Child,
}

/// The settings of the site `pos-quotes`, with figures within the ranges of its pages.
fn settings(index: usize, limiters: usize) -> String {
    format!(
        r#"{{
    "me": {index}, "peers-total": {limiters}, "zone": "room-a", "areas": ["room-a", "room-b"], "period-s": 0.002,
    "discovery": "pushed",
    "classes": [
      {{"name": "price-quote", "aim-s": 0.75, "deadline-s": 2.0, "worth": 2.0, "late-share": 0.0,
       "effect": "read_like", "group": "all", "window-s": 10.0, "streaming": false}},
      {{"name": "bind-policy", "aim-s": 1.2, "deadline-s": 5.0, "worth": 5.0, "late-share": 0.2,
       "effect": "idempotency_key", "group": "all", "window-s": 10.0, "streaming": false}}
    ],
    "tariffs": [
      {{"name": "starter", "rate": 1.5, "depth": 8.0, "open": 0, "pays": 0.72, "extra-worth": 0.0,
       "excess-cost": 1.0, "hard-rate": 0.0, "hard-burst": 0.0, "cap-slack": 0.0}},
      {{"name": "network", "rate": 26.0, "depth": 52.0, "open": 0, "pays": 1.6, "extra-worth": 0.0,
       "excess-cost": 0.6, "hard-rate": 0.0, "hard-burst": 0.0, "cap-slack": 0.0}}
    ],
    "family-info": {{"has-counter": true, "count-limit-s": 0.05, "max-units": 4, "post-paid": true}},
    "invariants": {{"drain-grace-s": 0.25, "fall-multiple": 3.0, "grace-to-answer-s": 0.008,
      "must-ask-in-s": 10.0, "overload-for-s": 2.0, "ramp-time-s": 18.0, "start-capacity": 0.21}},
    "limits": {{"cancel": true, "connect-timeout-s": 0.25, "idle-close-s": 15.0, "max-attempts": 5,
      "max-open": 20000, "max-retry-after-s": 2.0, "may-probe": true, "retry-after": true,
      "second-copies": false}}
  }}"#
    )
}

impl Limiter {
    /// Starts a limiter whose files lie in `folder`.
    pub fn start(folder: &Path, config: &Config) -> Limiter {
        let folder = folder.join(config.name);
        fs::create_dir_all(folder.join("tmp")).expect("a folder for the limiter");
        let Config { name, index, limiters, listen, discovery, counter, operator } = config;
        let text = format!(
            "{{\"name\": \"{name}\", \"listen\": \"{listen}\", \"discovery\": \"{discovery}\", \
             \"counter\": \"{counter}\", \"seed\": \"{:016x}\",\n  \
             \"limits\": {{\"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024}},\n  \"settings\": {}}}",
            std::process::id() as u64 * 1_000 + *index as u64 * 77 + 1,
            settings(*index, *limiters)
        );
        fs::write(folder.join("config.json"), text).expect("the configuration");
        fs::write(folder.join("operator.toml"), operator).expect("the operator's file");
        let child = launch(&folder, config);
        Limiter { name: name.to_string(), listen: *listen, folder, child }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        // SAFETY: a single system call without pointers; the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until `GET /up` is answered with 200; false if that takes over 30 s.
    pub fn wait_until_up(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            if is_up(self.listen) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Waits for the process to end by itself.
    pub fn wait_for_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// The log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Limiter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn launch(folder: &Path, config: &Config) -> Child {
    let option = if config.operator.is_empty() {
        String::new()
    } else {
        format!(" --operator {}", folder.join("operator.toml").display())
    };
    let log = File::options().create(true).append(true).open(folder.join("log")).expect("the log");
    end_with_this_process(&mut Command::new("/bin/sh"))
        .arg("-c")
        .arg(format!("{RUN}{option}"))
        .env("ROUTER_NAME", config.name)
        .env("ROUTER_LISTEN", config.listen.to_string())
        .env("ROUTER_DISCOVERY", config.discovery.to_string())
        .env("ROUTER_CONFIG", folder.join("config.json"))
        .env("TMPDIR", folder.join("tmp"))
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log"))
        .stderr(log)
        .spawn()
        .expect("a shell")
}

fn is_up(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let request = format!("GET /up HTTP/1.1\r\nHost: {address}\r\n\r\n");
    stream.write_all(request.as_bytes()).is_ok()
        && Message::read(&mut BufReader::new(stream)).is_ok_and(|answer| answer.second_word() == "200")
}
