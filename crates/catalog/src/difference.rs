//! What an update changes about one server.

use crate::{Digest, Instance};
use std::sync::Arc;

/// One server before and after an update.
pub(crate) struct Difference {
    pub before: Option<Arc<Instance>>,
    pub after: Option<Arc<Instance>>,
    /// The digest of the server before.
    pub removed: Digest,
    /// The digest of the server after.
    pub added: Digest,
}

impl Difference {
    pub fn new(before: Option<Arc<Instance>>, after: Option<Arc<Instance>>) -> Self {
        let (removed, added) = (Digest::of(before.as_deref()), Digest::of(after.as_deref()));
        Difference { before, after, removed, added }
    }

    /// The services whose subscribers it concerns.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        [&self.before, &self.after].into_iter().flatten().map(|instance| instance.service.as_str())
    }
}
