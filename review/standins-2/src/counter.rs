//! A stand-in for the counter: adds to named numbers and answers with the total.

use crate::http;
use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

type Counts = Arc<Mutex<HashMap<String, (f64, Instant)>>>;

/// Starts a counter on a free port.
pub fn start() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let counts: Counts = Arc::default();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counts = counts.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(call) = http::read(&mut reader) {
                    let written = match add(&counts, call.target()) {
                        Some(total) => http::respond(&mut writer, "200 OK", &[], &format!("{total}")),
                        None => http::respond(&mut writer, "400 Bad Request", &[], ""),
                    };
                    if written.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

fn add(counts: &Counts, target: &str) -> Option<f64> {
    let (name, query) = target.strip_prefix("/tally/")?.split_once('?')?;
    let value = |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
    let amount: f64 = value("n")?.parse().ok()?;
    let keep: u64 = value("keep_ms")?.parse().ok()?;
    let mut counts = counts.lock().ok()?;
    let now = Instant::now();
    counts.retain(|_, (_, until)| *until > now);
    let until = now + Duration::from_millis(keep.min(60_000));
    let (total, _) = counts.entry(name.to_string()).or_insert((0.0, until));
    *total += amount;
    Some(*total)
}
