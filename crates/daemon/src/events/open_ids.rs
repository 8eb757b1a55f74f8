//! The ids of the open requests of all listeners.
//!
//! A client gives every request a new id. A second open request with the same id would be a second attempt of the
//! same request, so it is not admitted.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The set of request ids that are currently open.
#[derive(Default)]
pub struct OpenRequestIds {
    ids: RefCell<HashSet<HeaderValue>>,
}

impl OpenRequestIds {
    /// Registers an id as open until the returned guard is dropped; `None` if it is already open.
    pub fn open(self: &Rc<Self>, id: &HeaderValue) -> Option<OpenRequestId> {
        let inserted = self.ids.borrow_mut().insert(id.clone());
        inserted.then(|| OpenRequestId { open_ids: self.clone(), id: id.clone() })
    }
}

/// Guard that keeps a request id registered as open until it is dropped.
pub struct OpenRequestId {
    open_ids: Rc<OpenRequestIds>,
    id: HeaderValue,
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.open_ids.ids.borrow_mut().remove(&self.id);
    }
}
