//! How late this process gets its turn on a busy machine: an answer that is late for that reason is a violation too, though
//! not an intended one.

use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

/// How often it is looked at.
const INTERVAL: Duration = Duration::from_millis(5);
/// For how long a late turn is remembered.
const MEMORY: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct LateTurn {
    observed: Instant,
    delay: Duration,
}

/// Remembers the latest turn of this process within [`MEMORY`].
pub(super) struct TurnMonitor {
    last: Cell<LateTurn>,
}

impl TurnMonitor {
    /// No turn has been late so far.
    pub fn new() -> TurnMonitor {
        TurnMonitor { last: Cell::new(LateTurn { observed: Instant::now(), delay: Duration::ZERO }) }
    }

    /// Measures turns again and again.
    pub async fn watch(&self) {
        loop {
            let due = Instant::now() + INTERVAL;
            sleep_until(due.into()).await;
            let (delay, last) = (due.elapsed(), self.last.get());
            if delay > last.delay || last.observed.elapsed() > MEMORY {
                self.last.set(LateTurn { observed: Instant::now(), delay });
            }
        }
    }

    /// How much earlier than it seems a request may have come.
    pub fn delay(&self) -> Duration {
        let last = self.last.get();
        if last.observed.elapsed() > MEMORY {
            Duration::ZERO
        } else {
            last.delay
        }
    }
}
