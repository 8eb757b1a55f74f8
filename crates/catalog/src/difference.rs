//! The change that an update makes to one server.

use crate::{Digest, Instance};
use std::sync::Arc;

/// One server before and after an update.
pub(crate) struct Difference {
    pub before: Option<Arc<Instance>>,
    pub after: Option<Arc<Instance>>,
    /// The digest of `before`, to subtract from the list's digest.
    pub removed: Digest,
    /// The digest of `after`, to add to the list's digest.
    pub added: Digest,
}

impl Difference {
    pub fn new(before: Option<Arc<Instance>>, after: Option<Arc<Instance>>) -> Self {
        let (removed, added) = (Digest::of(before.as_deref()), Digest::of(after.as_deref()));
        Difference { before, after, removed, added }
    }

    /// The services whose subscribers must be notified; two if the server moved between services.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        [&self.before, &self.after].into_iter().flatten().map(|instance| instance.service.as_str())
    }
}
