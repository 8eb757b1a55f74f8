//! The real binary before servers whose answers take long: by their own length, or because they wait.
mod common;

use common::*;
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLIENTS: u32 = 6;
const ROW: u32 = 60;

/// Starts clients that ask without end, one of four for what is worth most, and ends them with the test.
struct Load {
    /// Of the quotes: refused, and served one after the other since.
    refused: Arc<AtomicU32>,
    row: Arc<AtomicU32>,
    done: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn on(limiter: &Limiter) -> Load {
        let mut load =
            Load { refused: Arc::default(), row: Arc::default(), done: Arc::default(), clients: Vec::new() };
        for n in 0..CLIENTS {
            let mut client = limiter.client();
            let (refused, row, done) = (load.refused.clone(), load.row.clone(), load.done.clone());
            load.clients.push(thread::spawn(move || {
                for turn in n.. {
                    if done.load(Ordering::SeqCst) {
                        break;
                    }
                    if turn % 4 == 0 {
                        client.ask(&post("bind", "x"));
                    } else if client.ask(&quote("roomy", 9000)).status() == 200 {
                        row.fetch_add(1, Ordering::SeqCst);
                    } else {
                        row.store(0, Ordering::SeqCst);
                        refused.fetch_add(1, Ordering::SeqCst);
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

/// Their own length is a third of the aim. No smaller window makes such answers quicker.
#[test]
fn long_responses_without_queueing_do_not_lower_the_concurrency_limit() {
    let slow =
        || Fake::new(|_| Reply::Pieces(vec![(Duration::from_millis(130), raw("200 OK", "", "served"))]));
    let servers: Vec<Fake> = (0..6).map(|_| slow()).collect();
    let limiter = start(&servers);
    let load = Load::on(&limiter);
    // Long enough for a window that answers like these close to be closed.
    wait_until("much has been served", || servers.iter().map(Fake::count).sum::<usize>() > 100);
    load.row.store(0, Ordering::SeqCst);
    wait_until("many quotes in a row are served", || load.row.load(Ordering::SeqCst) >= ROW);
    load.end();
}

/// One after the other only: what is out waits, and what is worth least gives way.
#[test]
fn queued_responses_lower_the_concurrency_limit() {
    let turn = Mutex::new(());
    let server = Fake::new(move |_| {
        let _turn = turn.lock().expect("lock");
        thread::sleep(Duration::from_millis(60));
        ok("served")
    });
    let limiter = start(std::slice::from_ref(&server));
    let load = Load::on(&limiter);
    wait_until("much has been served", || server.count() > 60);
    load.refused.store(0, Ordering::SeqCst);
    wait_until("quotes are refused", || load.refused.load(Ordering::SeqCst) >= 20);
    load.end();
}
