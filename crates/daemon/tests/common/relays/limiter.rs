//! Limiters that follow services through relays, and load on them.

use super::{lock, LOAD_PAUSE};
use crate::common::asked::timed_server::TimedServer;
use crate::common::{
    command, counter, discovery, quote, settings, temp_file, wait_until, Client, Fake, Limiter, Message,
};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::thread::JoinHandle;
use std::time::Instant;

/// A limiter that follows services through relays, with a discovery stand-in that records whether it is
/// called.
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

    /// Starts one with a configured list, if any; does not wait until it is ready.
    pub fn spawn(relays: &[SocketAddr], services: &[&str], known: Option<Value>) -> FollowingLimiter {
        let addresses: Vec<String> = relays.iter().map(ToString::to_string).collect();
        let text = format!("[relays]\naddresses = {addresses:?}\nservices = {services:?}\n");
        FollowingLimiter::with_operator(&text, known)
    }

    /// Starts one that follows the relays of several named regions; does not wait until it is ready.
    pub fn of_regions(regions: &[(&str, SocketAddr)], known: Option<Value>) -> FollowingLimiter {
        let region = |(name, address): &(&str, SocketAddr)| {
            format!("[[relays.region]]\nname = {name:?}\naddresses = ['{address}']\n")
        };
        FollowingLimiter::with_operator(&regions.iter().map(region).collect::<String>(), known)
    }

    fn with_operator(text: &str, known: Option<Value>) -> FollowingLimiter {
        let operator_file = temp_file(text);
        let (discovery, counter) = (discovery(Vec::new()), counter());
        let mut config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "00000000000000ff",
            "discovery": discovery.address.to_string(), "counter": counter.address.to_string(),
            "settings": settings()});
        if let Some(known) = known {
            config["known"] = known;
        }
        let file = temp_file(&config.to_string());
        let mut command = command();
        command.arg("--operator").arg(&operator_file);
        let limiter = Limiter::spawn(command, file, config, discovery.address);
        FollowingLimiter { limiter, discovery, operator_file, _counter: counter }
    }

    /// The answer to one request.
    pub fn ask(&self) -> Message {
        self.limiter.client().ask(&quote("roomy", 9_000))
    }

    /// Sends requests until this server answers one.
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

/// Sends requests to a limiter until it is dropped, each sender one after the other.
pub struct Load {
    stop: Arc<AtomicBool>,
    statuses: Arc<Mutex<Vec<u16>>>,
    senders: Vec<JoinHandle<()>>,
}

impl Load {
    pub fn start(limiter: &FollowingLimiter) -> Load {
        Load::with_senders(limiter, 1)
    }

    pub fn with_senders(limiter: &FollowingLimiter, senders: usize) -> Load {
        let address = limiter.limiter.address;
        let (stop, statuses): (Arc<AtomicBool>, Arc<Mutex<Vec<u16>>>) = Default::default();
        let send = |_| {
            let (stopped, recorded) = (stop.clone(), statuses.clone());
            thread::spawn(move || {
                while !stopped.load(Ordering::SeqCst) {
                    let status = Client::to(address).ask(&quote("roomy", 9_000)).status();
                    lock(&recorded).push(status);
                    thread::sleep(LOAD_PAUSE);
                }
            })
        };
        let senders = (0..senders).map(send).collect();
        Load { stop, statuses, senders }
    }

    /// The statuses of the responses so far.
    pub fn statuses(&self) -> Vec<u16> {
        lock(&self.statuses).clone()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for sender in self.senders.drain(..) {
            let _ = sender.join();
        }
    }
}

/// How many requests reached a server after this moment.
pub fn arrivals_after(server: &TimedServer, moment: Instant) -> usize {
    server.arrivals().iter().filter(|arrival| arrival.at > moment).count()
}
