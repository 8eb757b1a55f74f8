//! A relay process.

use super::lock;
use super::service_discovery::ServiceDiscovery;
use crate::common::{command, wait_until, Client};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

/// A relay process.
pub struct Relay {
    pub address: SocketAddr,
    child: Child,
    log: Arc<Mutex<String>>,
}

impl Relay {
    /// Starts a root relay, which follows discovery.
    pub fn root(discovery: &ServiceDiscovery) -> Relay {
        Relay::start(&["--discovery".into(), discovery.address.to_string()])
    }

    /// Starts a relay that follows these relays.
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
        let first = lines.next().expect("the relay ended before it listened").expect("utf-8");
        let address = first
            .strip_prefix("relay: listening on ")
            .unwrap_or_else(|| panic!("unexpected first line: {first}"));
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

    /// The response status of its `/up`.
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

    pub fn resume(&self) {
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
