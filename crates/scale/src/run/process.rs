//! The processes that a run has started: told what to do, listened to, measured, and ended.

use super::error::RunError;
use super::messages::{Command, Report};
use procfs::process::Process;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, Command as Program, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How often a wait looks whether the run was interrupted.
const LOOK: Duration = Duration::from_millis(50);
/// How long a process may take until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a process may take to answer a command.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Told when the operator wants the run to end.
#[derive(Clone, Debug, Default)]
pub struct Interrupt(Arc<AtomicBool>);

impl Interrupt {
    /// Sets it on SIGINT.
    pub fn on_signal() -> Result<Self, RunError> {
        let interrupt = Interrupt::default();
        let told = interrupt.0.clone();
        ctrlc::set_handler(move || told.store(true, Ordering::SeqCst))?;
        Ok(interrupt)
    }

    /// An error once the run was interrupted.
    pub fn check(&self) -> Result<(), RunError> {
        if self.0.load(Ordering::SeqCst) {
            return Err(RunError::Interrupted);
        }
        Ok(())
    }

    /// Waits, unless the run is interrupted.
    pub fn sleep(&self, time: Duration) -> Result<(), RunError> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.check()?;
            thread::sleep(LOOK.min(end.saturating_duration_since(Instant::now())));
        }
        self.check()
    }
}

/// A started program, which ends with its owner.
#[derive(Debug)]
pub struct OwnedChild(Child);

impl OwnedChild {
    /// Starts a program.
    pub fn spawn(program: &mut Program) -> Result<Self, RunError> {
        program.spawn().map(OwnedChild).map_err(RunError::io("cannot start a process"))
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Waits until it logs that it listens, and gives the address behind these words. Its log is read to the end
    /// from then on, so that it never waits for somebody to read it.
    pub fn address_after(
        &mut self,
        words: &'static str,
        role: &str,
        interrupt: &Interrupt,
    ) -> Result<SocketAddr, RunError> {
        let ended = || RunError::ProcessEnded { role: role.to_owned() };
        let log = self.0.stderr.take().ok_or_else(ended)?;
        let (sender, addresses) = channel();
        thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                if let Some(address) = line.strip_prefix(words).and_then(|text| text.parse().ok()) {
                    let _ = sender.send(address);
                }
            }
        });
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            interrupt.check()?;
            match addresses.recv_timeout(LOOK) {
                Ok(address) => return Ok(address),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Err(ended()),
            }
        }
        Err(RunError::NoAnswer { role: role.to_owned(), waited: START_TIMEOUT })
    }

    /// The program, for its pipes.
    pub fn child(&mut self) -> &mut Child {
        &mut self.0
    }
}

impl Drop for OwnedChild {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A process of this binary in one role.
#[derive(Debug)]
pub struct RoleProcess {
    name: String,
    child: OwnedChild,
    commands: ChildStdin,
    reports: Receiver<Report>,
}

impl RoleProcess {
    /// Starts this binary in a role.
    pub fn spawn(name: &str, arguments: &[String]) -> Result<Self, RunError> {
        let program = std::env::current_exe().map_err(RunError::io("cannot find this program"))?;
        let mut program = Program::new(program);
        program.arg("role").arg(name).args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = OwnedChild::spawn(&mut program)?;
        let ended = || RunError::ProcessEnded { role: name.to_owned() };
        let commands = child.child().stdin.take().ok_or_else(ended)?;
        let output = child.child().stdout.take().ok_or_else(ended)?;
        let (sender, reports) = channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let Ok(report) = serde_json::from_str(&line) else { return };
                if sender.send(report).is_err() {
                    return;
                }
            }
        });
        Ok(RoleProcess { name: name.to_owned(), child, commands, reports })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Tells it what to do.
    pub fn tell(&mut self, command: &Command) -> Result<(), RunError> {
        let mut line = serde_json::to_vec(command)?;
        line.push(b'\n');
        self.commands.write_all(&line).map_err(|_| RunError::ProcessEnded { role: self.name.clone() })
    }

    /// Waits for its next report.
    pub fn next_report(&self, interrupt: &Interrupt) -> Result<Report, RunError> {
        let end = Instant::now() + ANSWER_TIMEOUT;
        while Instant::now() < end {
            interrupt.check()?;
            match self.reports.recv_timeout(LOOK) {
                Ok(report) => return Ok(report),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(RunError::ProcessEnded { role: self.name.clone() })
                }
            }
        }
        Err(RunError::NoAnswer { role: self.name.clone(), waited: ANSWER_TIMEOUT })
    }

    /// Asks how things stand.
    pub fn status(&mut self, interrupt: &Interrupt) -> Result<Report, RunError> {
        self.tell(&Command::Status)?;
        self.next_report(interrupt)
    }
}

/// What processes have used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU time since the start, user and system.
    pub cpu_seconds: f64,
    /// Resident memory now.
    pub resident_mb: f64,
    /// The most resident memory so far.
    pub peak_mb: f64,
}

impl Usage {
    /// What one process has used.
    pub fn of(id: u32) -> Result<Usage, RunError> {
        let process = Process::new(id as i32)?;
        let stat = process.stat()?;
        let status = process.status()?;
        let megabytes = |kilobytes: Option<u64>| kilobytes.unwrap_or(0) as f64 / 1024.0;
        Ok(Usage {
            cpu_seconds: (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64,
            resident_mb: megabytes(status.vmrss),
            peak_mb: megabytes(status.vmhwm),
        })
    }

    /// What several processes have used together.
    pub fn of_all(ids: impl IntoIterator<Item = u32>) -> Result<Usage, RunError> {
        let mut sum = Usage::default();
        for id in ids {
            let usage = Usage::of(id)?;
            sum.cpu_seconds += usage.cpu_seconds;
            sum.resident_mb += usage.resident_mb;
            sum.peak_mb += usage.peak_mb;
        }
        Ok(sum)
    }
}
