//! A tree of relays between discovery and the limiters: roots that follow discovery, and leaves that follow the roots.

use super::error::RunError;
use super::process::{Interrupt, OwnedChild, Usage};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command as Program, Stdio};
use std::time::{Duration, Instant};

/// What a relay logs when it listens.
const LISTENING: &str = "relay: listening on ";
/// How long a relay may take to hold a current list.
const UP_TIMEOUT: Duration = Duration::from_secs(60);
/// How often it is asked, and how long one answer may take.
const UP_POLL: Duration = Duration::from_millis(20);
const UP_ANSWER: Duration = Duration::from_secs(1);

/// A relay process.
#[derive(Debug)]
struct Relay {
    child: OwnedChild,
    address: SocketAddr,
}

/// All relays of a fleet.
#[derive(Debug)]
pub struct RelayTree {
    roots: Vec<Relay>,
    leaves: Vec<Relay>,
}

impl Relay {
    fn start(program: &Path, arguments: &[String], interrupt: &Interrupt) -> Result<Self, RunError> {
        let mut program = Program::new(program);
        program.args(["relay", "--listen", "127.0.0.1:0"]).args(arguments);
        program.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = OwnedChild::spawn(&mut program)?;
        let address = child.address_after(LISTENING, "relay", interrupt)?;
        Ok(Relay { child, address })
    }

    /// Waits until it holds a current list: before, it refuses children.
    fn wait_until_up(&self, interrupt: &Interrupt) -> Result<(), RunError> {
        let end = Instant::now() + UP_TIMEOUT;
        while !self.is_up().unwrap_or(false) {
            if Instant::now() > end {
                return Err(RunError::NoAnswer { role: "relay".to_owned(), waited: UP_TIMEOUT });
            }
            interrupt.sleep(UP_POLL)?;
        }
        Ok(())
    }

    fn is_up(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&self.address, UP_ANSWER)?;
        stream.set_read_timeout(Some(UP_ANSWER))?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n")?;
        let mut status_line = String::new();
        BufReader::new(stream).read_line(&mut status_line)?;
        Ok(status_line.split(' ').nth(1) == Some("200"))
    }
}

impl RelayTree {
    /// Starts a root for each address of discovery, and so many leaves, and waits until all hold a current list.
    pub fn start(
        program: &Path,
        discovery: &[SocketAddr],
        leaves: usize,
        interrupt: &Interrupt,
    ) -> Result<Self, RunError> {
        let root = |address: &SocketAddr| {
            Relay::start(program, &["--discovery".to_owned(), address.to_string()], interrupt)
        };
        let roots = discovery.iter().map(root).collect::<Result<Vec<_>, _>>()?;
        let upstream: Vec<String> =
            roots.iter().flat_map(|root| ["--relay".to_owned(), root.address.to_string()]).collect();
        let leaf = |number: usize| {
            let seed = ["--seed".to_owned(), number.to_string()];
            Relay::start(program, &[&upstream[..], &seed[..]].concat(), interrupt)
        };
        let leaves = (1..=leaves).map(leaf).collect::<Result<_, _>>()?;
        let tree = RelayTree { roots, leaves };
        tree.all().try_for_each(|relay| relay.wait_until_up(interrupt))?;
        Ok(tree)
    }

    fn all(&self) -> impl Iterator<Item = &Relay> {
        self.roots.iter().chain(&self.leaves)
    }

    /// Where limiters go.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.leaves.iter().map(|leaf| leaf.address).collect()
    }

    /// Ends the first leaf, by its own id.
    pub fn kill_leaf(&mut self) {
        if self.leaves.len() > 1 {
            self.leaves.remove(0);
        }
    }

    /// What all relays have used.
    pub fn usage(&self) -> Result<Usage, RunError> {
        Usage::of_all(self.all().map(|relay| relay.child.id()))
    }

    /// The most that one of them has used: CPU time and memory each by itself.
    pub fn largest(&self) -> Result<Usage, RunError> {
        let mut largest = Usage::default();
        for relay in self.all() {
            let usage = Usage::of(relay.child.id())?;
            largest.cpu_seconds = largest.cpu_seconds.max(usage.cpu_seconds);
            largest.resident_mb = largest.resident_mb.max(usage.resident_mb);
            largest.peak_mb = largest.peak_mb.max(usage.peak_mb);
        }
        Ok(largest)
    }
}
