//! The ids of the open requests, over all listeners.
//!
//! A client gives every request a new id. A second open request with the same id would be a second attempt of the
//! same request, so it is not admitted.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;

/// The ids of the requests that are open now.
#[derive(Default)]
pub struct OpenRequestIds {
    ids: RefCell<HashSet<HeaderValue>>,
}

impl OpenRequestIds {
    /// Marks an id as open until the guard is dropped; `None` where it is open already.
    pub fn open(&self, id: &HeaderValue) -> Option<OpenRequestId<'_>> {
        let inserted = self.ids.borrow_mut().insert(id.clone());
        inserted.then(|| OpenRequestId { open: self, id: id.clone() })
    }
}

/// The id of a request while it is open.
pub struct OpenRequestId<'a> {
    open: &'a OpenRequestIds,
    id: HeaderValue,
}

impl Drop for OpenRequestId<'_> {
    fn drop(&mut self) {
        self.open.ids.borrow_mut().remove(&self.id);
    }
}
