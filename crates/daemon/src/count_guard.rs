//! A counter of live objects that is decremented on drop.

use std::cell::Cell;
use std::ops::Deref;

/// Increments a borrowed or shared counter, and decrements it again when dropped.
pub struct CountGuard<C: Deref<Target = Cell<usize>>>(C);

impl<C: Deref<Target = Cell<usize>>> CountGuard<C> {
    /// Increments `count` for the lifetime of the guard.
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
