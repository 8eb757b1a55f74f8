//! Counts that go down by themselves.

use std::cell::Cell;
use std::ops::Deref;

/// Adds one to a count, borrowed or shared, until it is dropped.
pub struct CountGuard<C: Deref<Target = Cell<usize>>>(C);

impl<C: Deref<Target = Cell<usize>>> CountGuard<C> {
    /// Adds one to `count`.
    pub fn new(count: C) -> Self {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl<C: Deref<Target = Cell<usize>>> Drop for CountGuard<C> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
