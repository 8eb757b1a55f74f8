//! Servers that record when requests arrive and which limiter sent them.

use crate::common::{ok, Fake};
use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The prefix of the correlation id of a tagged request; the limiter's number and a serial number follow.
const ID_PREFIX: &str = "7e57";

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The limiter that sent it, if its correlation id is tagged.
    pub limiter: Option<usize>,
    pub at: Instant,
    pub request_line: String,
}

/// A server that answers with its name and records its requests.
pub struct TimedServer {
    pub fake: Fake,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    service_time_ms: Arc<AtomicU64>,
}

impl TimedServer {
    pub fn new(name: &'static str) -> TimedServer {
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let service_time_ms: Arc<AtomicU64> = Arc::default();
        let (recorded, service_time) = (arrivals.clone(), service_time_ms.clone());
        let fake = Fake::new(move |request| {
            let id = request.header("x-correlation-id").unwrap_or_default();
            let number = id.strip_prefix(ID_PREFIX).and_then(|rest| rest.get(..4));
            let limiter = number.and_then(|digits| usize::from_str_radix(digits, 16).ok());
            let arrival = Arrival { limiter, at: Instant::now(), request_line: request.start_line.clone() };
            recorded.lock().expect("lock").push(arrival);
            thread::sleep(Duration::from_millis(service_time.load(Ordering::SeqCst)));
            ok(name)
        });
        TimedServer { fake, arrivals, service_time_ms }
    }

    /// Sets how long the server takes for each later request.
    pub fn set_service_time(&self, service_time: Duration) {
        self.service_time_ms.store(service_time.as_millis() as u64, Ordering::SeqCst);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("lock").clone()
    }
}

/// A request whose correlation id names the limiter that it is sent to.
pub fn tagged_quote(limiter: usize, serial: usize) -> String {
    format!(
        "GET /quote/00000000b4d65521?from=tls&to=nce HTTP/1.1\r\nHost: api.internal\r\n\
         X-Correlation-Id: {ID_PREFIX}{limiter:04x}{serial:08x}\r\nX-Contract: roomy\r\nX-Time-Left: 9000m\r\n\
         X-Metering: units=1,spread=1,first=0\r\n\r\n"
    )
}

/// The limiters that sent these requests.
pub fn senders(arrivals: &[Arrival]) -> HashSet<usize> {
    arrivals.iter().filter_map(|a| a.limiter).collect()
}
