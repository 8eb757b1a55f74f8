//! The memory that requests and responses share.
//!
//! Heads, bodies, bytes that are read ahead and responses are all charged to one [`MemoryBudget`], whichever listener or
//! connection holds them. What cannot be charged is refused, so that no number of peers takes the process over its limit.

use bytes::Bytes;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// What each reservation may use without a charge, in bytes: usual requests and responses are smaller, so they are
/// served even while the budget is used up. It is a part of the fixed memory of a connection.
pub const UNCHARGED_BYTES: usize = 2 * 1024;
/// The first capacity of a buffer whose final size is not known, in bytes.
const INITIAL_CAPACITY: usize = 256;

/// Limits the total of all reservations, in bytes.
pub struct MemoryBudget {
    capacity: usize,
    charged: AtomicUsize,
}

impl MemoryBudget {
    /// Creates a budget of `capacity` bytes, none of them charged.
    pub fn new(capacity: usize) -> Arc<Self> {
        Arc::new(MemoryBudget { capacity, charged: AtomicUsize::new(0) })
    }

    /// The number of bytes that are charged at present.
    pub fn charged(&self) -> usize {
        self.charged.load(Ordering::Relaxed)
    }

    /// An empty reservation.
    pub fn reservation(self: &Arc<Self>) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), reserved: 0 }
    }

    fn charge(&self, bytes: usize) -> bool {
        let total = self.charged() + bytes;
        let fits = total <= self.capacity;
        if fits {
            self.charged.store(total, Ordering::Relaxed);
        }
        fits
    }

    fn release(&self, bytes: usize) {
        self.charged.store(self.charged() - bytes, Ordering::Relaxed);
    }
}

/// Bytes that are reserved for one purpose, and returned to the budget on drop.
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    reserved: usize,
}

/// The budget has too little left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for requests and responses is used up")]
pub struct OutOfMemory;

impl MemoryReservation {
    /// Raises the reservation to `bytes` in total, if it is less.
    ///
    /// # Errors
    /// The budget has too little left. The reservation is unchanged.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let more = charge_of(bytes).saturating_sub(charge_of(self.reserved));
        if more > 0 && !self.budget.charge(more) {
            return Err(OutOfMemory);
        }
        self.reserved = self.reserved.max(bytes);
        Ok(())
    }

    /// Reserves `bytes` more.
    ///
    /// # Errors
    /// The budget has too little left. The reservation is unchanged.
    pub fn grow_by(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        self.grow_to(self.reserved + bytes)
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.release(charge_of(self.reserved));
    }
}

/// The part of a reservation that is charged to the budget.
fn charge_of(reserved: usize) -> usize {
    reserved.saturating_sub(UNCHARGED_BYTES)
}

/// A buffer whose capacity is charged to a budget.
///
/// It copies what is pushed: a piece of a message keeps the whole buffer that it was received in, so a list of many tiny
/// pieces takes a multiple of their size.
pub struct ReservedBuffer {
    bytes: Vec<u8>,
    reservation: MemoryReservation,
    /// The expected size, if it is known.
    expected: usize,
}

impl ReservedBuffer {
    /// An empty buffer. `expected` is the size that it will probably have; 0 if that is not known.
    pub fn new(reservation: MemoryReservation, expected: usize) -> Self {
        ReservedBuffer { bytes: Vec::new(), reservation, expected }
    }

    /// The number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the buffer has no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Adds bytes.
    ///
    /// # Errors
    /// The budget has too little left. The buffer is unchanged.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), OutOfMemory> {
        let length = self.bytes.len() + bytes.len();
        if length > self.bytes.capacity() {
            let capacity = self.next_capacity(length);
            self.reservation.grow_to(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// The capacity for `length` bytes: twice the present one, but no more than what is expected. It does not begin with
    /// the expected size, since a peer may announce more than it sends.
    fn next_capacity(&self, length: usize) -> usize {
        let doubled = (self.bytes.capacity() * 2).max(INITIAL_CAPACITY);
        let capacity = if self.expected > 0 { doubled.min(self.expected) } else { doubled };
        capacity.max(length)
    }

    /// Removes the first `count` bytes. An empty buffer holds no memory.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
            self.reservation = self.reservation.budget.reservation();
        }
    }

    /// The bytes. Their memory is returned to the budget when the last handle to them is dropped.
    pub fn freeze(self) -> Bytes {
        if charge_of(self.reservation.reserved) == 0 {
            return Bytes::from(self.bytes);
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for ReservedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
