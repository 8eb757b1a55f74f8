//! The concurrency limit with slow servers: responses that take long to process, or that wait in a queue.
mod common;

use common::*;
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLIENTS: u32 = 6;
const CONSECUTIVE_SERVED: u32 = 60;

/// Clients that send requests until [`Load::end`]; one request of four is of the class with the highest worth.
struct Load {
    /// Rejected requests of class `quote`.
    rejected: Arc<AtomicU32>,
    /// Requests of class `quote` served since the last rejection.
    consecutive: Arc<AtomicU32>,
    done: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn start(limiter: &Limiter) -> Load {
        let mut load = Load {
            rejected: Arc::default(),
            consecutive: Arc::default(),
            done: Arc::default(),
            clients: Vec::new(),
        };
        for n in 0..CLIENTS {
            let mut client = limiter.client();
            let (rejected, consecutive, done) =
                (load.rejected.clone(), load.consecutive.clone(), load.done.clone());
            load.clients.push(thread::spawn(move || {
                for turn in n.. {
                    if done.load(Ordering::SeqCst) {
                        break;
                    }
                    if turn % 4 == 0 {
                        client.ask(&post("bind", "x"));
                    } else if client.ask(&quote("roomy", 9000)).status() == 200 {
                        consecutive.fetch_add(1, Ordering::SeqCst);
                    } else {
                        consecutive.store(0, Ordering::SeqCst);
                        rejected.fetch_add(1, Ordering::SeqCst);
                        thread::sleep(Duration::from_millis(20));
                    }
                }
            }));
        }
        load
    }

    fn end(self) {
        self.done.store(true, Ordering::SeqCst);
        for client in self.clients {
            client.join().expect("a client");
        }
    }
}

fn start(servers: &[Fake]) -> Limiter {
    let mut settings = settings();
    settings["classes"][1]["worth"] = json!(4.0);
    let list = servers.iter().enumerate();
    let list = list.map(|(n, s)| instance(&format!("s-{n}"), s.address, "in_service")).collect();
    Limiter::start(settings, &discovery(list), counter().address)
}

/// Each response takes a third of the latency objective without any queueing, so that a lower limit would not make
/// it faster.
#[test]
fn long_responses_without_queueing_do_not_lower_the_concurrency_limit() {
    let slow =
        || Fake::new(|_| Reply::Pieces(vec![(Duration::from_millis(130), raw("200 OK", "", "served"))]));
    let servers: Vec<Fake> = (0..6).map(|_| slow()).collect();
    let limiter = start(&servers);
    let load = Load::start(&limiter);
    // Long enough to reach the lowest limit, if such responses lowered it.
    wait_until("many requests are served", || servers.iter().map(Fake::count).sum::<usize>() > 100);
    load.consecutive.store(0, Ordering::SeqCst);
    wait_until("many consecutive quotes are served", || {
        load.consecutive.load(Ordering::SeqCst) >= CONSECUTIVE_SERVED
    });
    load.end();
}

/// The server handles one request at a time, so that requests queue there, and those with the lowest worth are
/// rejected.
#[test]
fn queued_responses_lower_the_concurrency_limit() {
    let turn = Mutex::new(());
    let server = Fake::new(move |_| {
        let _turn = turn.lock().expect("lock");
        thread::sleep(Duration::from_millis(60));
        ok("served")
    });
    let limiter = start(std::slice::from_ref(&server));
    let load = Load::start(&limiter);
    wait_until("many requests are served", || server.count() > 60);
    load.rejected.store(0, Ordering::SeqCst);
    wait_until("quotes are rejected", || load.rejected.load(Ordering::SeqCst) >= 20);
    load.end();
}
