//! The counter service.

use crate::http::{accept_all, response, serve_requests, Message};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A count and when it is forgotten.
struct Count {
    total: f64,
    expires_at: Instant,
}

/// Starts a counter service.
pub fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the address of a listener");
    let counts: std::sync::Arc<Mutex<HashMap<String, Count>>> = std::sync::Arc::default();
    accept_all(listener, move |stream| {
        serve_requests(stream, |request| match add(request, &mut counts.lock().expect("the counts")) {
            Some(total) => response("200 OK", "", &total.to_string()),
            None => response("400 Bad Request", "", ""),
        });
    });
    address
}

fn add(request: &Message, counts: &mut HashMap<String, Count>) -> Option<f64> {
    let (path, query) = request.second_word().split_once('?')?;
    let name = path.strip_prefix("/tally/")?.to_string();
    let value = |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.parse::<f64>().ok());
    let keep = Duration::from_millis(value("keep_ms=")?.clamp(1.0, 60_000.0) as u64);
    let now = Instant::now();
    counts.retain(|_, count| count.expires_at > now);
    let count = counts.entry(name).or_insert(Count { total: 0.0, expires_at: now + keep });
    count.total += value("n=")?;
    Some(count.total)
}
