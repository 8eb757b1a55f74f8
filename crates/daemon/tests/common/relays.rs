//! A tree of relays over loopback: a discovery stand-in that can be cut off, relay processes, watch
//! proxies, and subscribers that parse a watch in the test.

pub mod limiter;
pub mod proxy;
pub mod relay;
pub mod service_discovery;
pub mod subscriber;
pub mod watch;

use liftrouter_catalog::{Instance, Lifecycle};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How often discovery writes an empty line while nothing changes.
pub const HEARTBEAT: Duration = Duration::from_secs(2);
/// The revision of the first list.
pub const FIRST_REVISION: u64 = 10;
/// How often a waiting thread checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The pause between two requests of a load.
const LOAD_PAUSE: Duration = Duration::from_millis(10);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A server of this service whose lifecycle is in service.
pub fn server(id: &str, service: &str, address: SocketAddr) -> Instance {
    Instance {
        instance_id: id.into(),
        host_port: address,
        service: service.into(),
        zone: "room-a".into(),
        machine_type: "std".into(),
        cell: Some(1),
        lifecycle: Lifecycle::InService,
        weight: Some(1.0),
        started_at_ms: Some(0.0),
    }
}

/// The same server, draining.
pub fn draining(server: &Instance) -> Instance {
    Instance { lifecycle: Lifecycle::Terminating, ..server.clone() }
}

/// The same server with another weight.
pub fn weighted(server: &Instance, weight: f64) -> Instance {
    Instance { weight: Some(weight), ..server.clone() }
}

/// A server at an address without a listener, for tests in which nobody sends to it.
pub fn unreachable_server(id: &str, service: &str) -> Instance {
    server(id, service, SocketAddr::from(([127, 0, 0, 1], 9)))
}
