//! Counts that go down by themselves.

use std::cell::Cell;

/// Counts one while it is held.
pub struct Count<'a>(&'a Cell<usize>);

impl<'a> Count<'a> {
    pub fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Count(count)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
