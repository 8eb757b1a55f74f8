//! A tree of relays between discovery and the limiters: roots that follow discovery, and leaves that follow the roots.

use super::error::RunError;
use super::process::{Interrupt, OwnedChild, Usage};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command as Program, Stdio};

/// What a relay logs when it listens.
const LISTENING: &str = "relay: listening on ";

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
}

impl RelayTree {
    /// Starts a root for each address of discovery, and so many leaves.
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
        Ok(RelayTree { roots, leaves })
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
        Usage::of_all(self.roots.iter().chain(&self.leaves).map(|relay| relay.child.id()))
    }

    /// The most that one of them has used: CPU time and memory each by itself.
    pub fn largest(&self) -> Result<Usage, RunError> {
        let mut largest = Usage::default();
        for relay in self.roots.iter().chain(&self.leaves) {
            let usage = Usage::of(relay.child.id())?;
            largest.cpu_seconds = largest.cpu_seconds.max(usage.cpu_seconds);
            largest.resident_mb = largest.resident_mb.max(usage.resident_mb);
            largest.peak_mb = largest.peak_mb.max(usage.peak_mb);
        }
        Ok(largest)
    }
}
