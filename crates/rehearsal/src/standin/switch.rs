//! A property of a stand-in that faults switch, each of them for a time of its own.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};
use tokio::sync::watch;

/// Has its sound value while no fault is in effect, and the opposite while any is.
pub struct FaultSwitch {
    sound: bool,
    value: watch::Sender<bool>,
    faults: Mutex<BTreeSet<u32>>,
}

impl FaultSwitch {
    /// A switch that no fault has touched.
    pub fn new(sound: bool) -> FaultSwitch {
        FaultSwitch { sound, value: watch::Sender::new(sound), faults: Mutex::default() }
    }

    /// A fault begins.
    pub fn begin(&self, fault: u32) {
        self.change(|faults| {
            faults.insert(fault);
        });
    }

    /// A fault is over, if it was in effect.
    pub fn end(&self, fault: u32) {
        self.change(|faults| {
            faults.remove(&fault);
        });
    }

    /// The value, now and whenever it changes.
    pub fn subscribe(&self) -> watch::Receiver<bool> {
        self.value.subscribe()
    }

    /// The value now, which tests look at.
    #[cfg(test)]
    pub fn borrow(&self) -> watch::Ref<'_, bool> {
        self.value.borrow()
    }

    fn change(&self, change: impl FnOnce(&mut BTreeSet<u32>)) {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut faults);
        self.value.send_replace(faults.is_empty() == self.sound);
    }
}
