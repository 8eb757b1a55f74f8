//! The ids of the open requests of all listeners.
//!
//! A client gives every request a new id. A second open request with the same id would be a second attempt of the
//! same request, so it is not admitted.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;

/// The set of request ids that are currently open.
#[derive(Default)]
pub struct OpenRequestIds {
    ids: RefCell<HashSet<HeaderValue>>,
}

impl OpenRequestIds {
    /// Registers an id as open until the returned guard is dropped; `None` if it is already open.
    pub fn open(&self, id: &HeaderValue) -> Option<OpenRequestId<'_>> {
        let inserted = self.ids.borrow_mut().insert(id.clone());
        inserted.then(|| OpenRequestId { open_ids: self, id: id.clone() })
    }
}

/// Guard that keeps a request id registered as open until it is dropped.
pub struct OpenRequestId<'a> {
    open_ids: &'a OpenRequestIds,
    id: HeaderValue,
}

impl Drop for OpenRequestId<'_> {
    fn drop(&mut self) {
        self.open_ids.ids.borrow_mut().remove(&self.id);
    }
}
