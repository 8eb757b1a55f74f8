//! Servers that record when requests come, and which limiter sent them.

use crate::common::{ok, Fake};
use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Begins the correlation id of each request of an asker; the limiter's number and a serial number follow.
const ID_MARK: &str = "7e57";

/// A request as it came to a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Who sent it, where the request says.
    pub limiter: Option<usize>,
    pub at: Instant,
    pub first: String,
}

/// A server that answers its name and notes when requests come.
pub struct TimedServer {
    pub fake: Fake,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    work_ms: Arc<AtomicU64>,
}

impl TimedServer {
    pub fn new(name: &'static str) -> TimedServer {
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let work_ms: Arc<AtomicU64> = Arc::default();
        let (noted, work) = (arrivals.clone(), work_ms.clone());
        let fake = Fake::new(move |request| {
            let id = request.header("x-correlation-id").unwrap_or_default();
            let number = id.strip_prefix(ID_MARK).and_then(|rest| rest.get(..4));
            let limiter = number.and_then(|digits| usize::from_str_radix(digits, 16).ok());
            let arrival = Arrival { limiter, at: Instant::now(), first: request.start_line.clone() };
            noted.lock().expect("lock").push(arrival);
            thread::sleep(Duration::from_millis(work.load(Ordering::SeqCst)));
            ok(name)
        });
        TimedServer { fake, arrivals, work_ms }
    }

    /// From now on a request takes so long.
    pub fn take(&self, work: Duration) {
        self.work_ms.store(work.as_millis() as u64, Ordering::SeqCst);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("lock").clone()
    }
}

/// The text of a request that tells which limiter it was sent to.
pub fn marked_quote(limiter: usize, serial: usize) -> String {
    format!(
        "GET /quote/00000000b4d65521?from=tls&to=nce HTTP/1.1\r\nHost: api.internal\r\n\
         X-Correlation-Id: {ID_MARK}{limiter:04x}{serial:08x}\r\nX-Contract: roomy\r\nX-Time-Left: 9000m\r\n\
         X-Metering: units=1,spread=1,first=0\r\n\r\n"
    )
}

/// The limiters among these arrivals.
pub fn senders(arrivals: &[Arrival]) -> HashSet<usize> {
    arrivals.iter().filter_map(|a| a.limiter).collect()
}
