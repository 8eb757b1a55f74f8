//! Counts that go down by themselves.

use std::cell::Cell;
use std::ops::Deref;

/// Adds one to a count, borrowed or shared, until it is dropped.
pub struct Count<C: Deref<Target = Cell<usize>>>(C);

impl<C: Deref<Target = Cell<usize>>> Count<C> {
    /// Adds one to `count`.
    pub fn new(count: C) -> Self {
        count.set(count.get() + 1);
        Count(count)
    }
}

impl<C: Deref<Target = Cell<usize>>> Drop for Count<C> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
