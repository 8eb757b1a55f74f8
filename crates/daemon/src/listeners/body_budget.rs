//! The memory budget that the bodies of all open requests share.

use std::cell::Cell;

/// Limits the total size of all request bodies in memory, in bytes.
pub struct BodyBudget {
    capacity: usize,
    reserved: Cell<usize>,
}

impl BodyBudget {
    /// Creates a budget of `capacity` bytes, none of them reserved.
    pub fn new(capacity: usize) -> Self {
        BodyBudget { capacity, reserved: Cell::new(0) }
    }

    /// Reserves `bytes`; `None` if the budget has fewer left.
    pub fn reserve(&self, bytes: usize) -> Option<BodyReservation<'_>> {
        let mut reservation = BodyReservation { budget: self, bytes: 0 };
        reservation.try_grow(bytes).then_some(reservation)
    }
}

/// Bytes reserved for one body, returned to the budget on drop.
pub struct BodyReservation<'a> {
    budget: &'a BodyBudget,
    bytes: usize,
}

impl BodyReservation<'_> {
    /// Reserves `bytes` more. Returns false, and reserves nothing, if the budget has fewer left.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let total = self.budget.reserved.get() + bytes;
        let fits = total <= self.budget.capacity;
        if fits {
            self.budget.reserved.set(total);
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.budget.reserved.set(self.budget.reserved.get() - self.bytes);
    }
}
