//! The configured counters: calls for customers go to the active one, limited by its pacer, and answers from a counter
//! that is no longer active are dropped.

use super::client::{CounterClient, CounterTotal};
use crate::events::{EventQueue, HostEvent};
use crate::log::{log, Occurrences};
use liftrouter_counter::{ActiveCounter, Pacer};
use liftrouter_decision::Outcome;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Number of changes that the validation must react to. The counts never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeCounts {
    /// Pauses of the process.
    pub pauses: u32,
    /// Changes of the first counter's address.
    pub address_changes: u32,
}

/// All counters, and which of them is active.
pub struct CounterPool {
    clients: Vec<Rc<CounterClient>>,
    active: Cell<ActiveCounter>,
    pacer: RefCell<Option<Pacer>>,
    started_at: Instant,
    changes: Cell<ChangeCounts>,
    changed: Notify,
    /// Number of answers from a counter that was no longer active.
    late_responses: Occurrences,
}

impl CounterPool {
    /// A pool whose first counter is active until [`CounterPool::set_active`] names another.
    pub fn new(clients: Vec<CounterClient>, pacer: Option<Pacer>) -> Rc<Self> {
        Rc::new(CounterPool {
            clients: clients.into_iter().map(Rc::new).collect(),
            active: Cell::default(),
            pacer: RefCell::new(pacer),
            started_at: Instant::now(),
            changes: Cell::default(),
            changed: Notify::new(),
            late_responses: Occurrences::default(),
        })
    }

    /// All counters, in the order of the configuration.
    pub fn clients(&self) -> &[Rc<CounterClient>] {
        &self.clients
    }

    /// Directs calls for customers to this counter, and starts the pacer's ramp if it was not active before.
    pub fn set_active(&self, active: ActiveCounter) {
        if self.active.replace(active) != active {
            let now = self.now();
            if let Some(pacer) = &mut *self.pacer.borrow_mut() {
                pacer.start_ramp(now);
            }
        }
    }

    /// Sets the address of the first counter. If the address changed, the task that validates the counters is notified.
    pub fn set_first_address(&self, address: SocketAddr) {
        let Some(first) = self.clients.first() else { return };
        if first.set_address(address) {
            let active = self.active.get();
            if active.index == 0 {
                self.active.set(ActiveCounter { generation: active.generation + 1, ..active });
            }
            let changes = self.changes.get();
            self.changes.set(ChangeCounts { address_changes: changes.address_changes + 1, ..changes });
            self.changed.notify_one();
        }
    }

    /// Records a pause of the process, and notifies the task that validates the counters.
    pub fn process_resumed(&self) {
        let changes = self.changes.get();
        self.changes.set(ChangeCounts { pauses: changes.pauses + 1, ..changes });
        self.changed.notify_one();
    }

    /// The changes counted so far.
    pub fn changes(&self) -> ChangeCounts {
        self.changes.get()
    }

    /// Waits until [`CounterPool::changes`] may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Starts a call for a customer. Its result is a [`HostEvent::CounterReply`].
    ///
    /// # Errors
    /// The outcome if no call can be made now; the increment was not applied.
    pub fn call(
        self: &Rc<Self>,
        events: &Rc<EventQueue>,
        key: String,
        increment: f64,
        ttl_s: f64,
    ) -> Result<(), Outcome> {
        let active = self.active.get();
        let client = self.clients.get(active.index).ok_or(Outcome::ConnectFailed)?;
        let permit = client.reserve_call()?;
        let now = self.now();
        if self.pacer.borrow_mut().as_mut().is_some_and(|pacer| !pacer.try_acquire(now)) {
            return Err(Outcome::Overloaded);
        }
        let (pool, client, events) = (self.clone(), client.clone(), events.clone());
        tokio::task::spawn_local(async move {
            let started_at = Instant::now();
            let CounterTotal { outcome, total, connection } =
                client.send(permit.address, &key, increment, ttl_s).await;
            let address = permit.address;
            drop(permit);
            let outcome = pool.finish_call(active, outcome);
            events.push(HostEvent::CounterReply { key, outcome, total, elapsed: started_at.elapsed() });
            client.keep(address, connection).await;
        });
        Ok(())
    }

    /// Records the end of a call that started while `active` was the active counter, and returns the outcome to report.
    ///
    /// If another counter is active now, an answer is reported as [`Outcome::Timeout`]: its total does not belong to the
    /// current counter, and its increment must not be repeated, because the current counter may be a copy of the previous
    /// one. A failed call keeps its outcome, so an increment that was definitely not applied goes to the current counter.
    fn finish_call(&self, active: ActiveCounter, outcome: Outcome) -> Outcome {
        let now = self.now();
        if let Some(pacer) = &mut *self.pacer.borrow_mut() {
            pacer.record_result(outcome == Outcome::Ok, now);
        }
        if outcome != Outcome::Ok || self.active.get().generation == active.generation {
            return outcome;
        }
        if let Some(number) = self.late_responses.count() {
            log("keeper", format_args!("dropped a late answer from the previous counter ({number} so far)"));
        }
        Outcome::Timeout
    }
}
