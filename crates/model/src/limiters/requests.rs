//! The requests that a limiter has in work: from what it is asked to the answer that it owes.

use super::{Gate, MOST_ATTEMPTS};
use liftrouter_decision::RequestId;
use liftrouter_stage::history::TryId;
use liftrouter_stage::schedule::Micros;
use std::collections::{BTreeMap, HashMap};

/// The most requests in work at once.
const MOST_OPEN: usize = 1_000;

/// A request in work.
pub(super) struct Asked {
    pub id: TryId,
    pub permission: bool,
    /// Its client waits for an answer.
    pub owed: bool,
    pub attempts: u32,
    /// The attempt that is out.
    pub running: Option<usize>,
    pub due: Micros,
}

impl Asked {
    /// Whether another attempt may be sent: as the host guards the rules, even against the module.
    pub fn may_send(&self, timeout_s: f64) -> bool {
        let free = self.owed && self.running.is_none();
        !self.permission && free && self.attempts < MOST_ATTEMPTS && timeout_s >= 0.0
    }
}

/// The requests of a limiter, by the numbers that it gives them.
#[derive(Default)]
pub(super) struct Requests {
    by_id: BTreeMap<RequestId, Asked>,
    by_try: HashMap<TryId, RequestId>,
    last_id: RequestId,
}

impl Requests {
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub fn is_full(&self) -> bool {
        self.by_id.len() >= MOST_OPEN
    }

    pub fn last_id(&self) -> RequestId {
        self.last_id
    }

    /// Adds one, and gives its number.
    pub fn open(&mut self, id: TryId, permission: bool, due: Micros) -> RequestId {
        self.last_id += 1;
        self.by_try.insert(id, self.last_id);
        let asked = Asked { id, permission, owed: true, attempts: 0, running: None, due };
        self.by_id.insert(self.last_id, asked);
        self.last_id
    }

    pub fn get(&self, request: RequestId) -> Option<&Asked> {
        self.by_id.get(&request)
    }

    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut Asked> {
        self.by_id.get_mut(&request)
    }

    /// The attempts that are out, in the order of their requests.
    pub fn running(&self) -> Vec<usize> {
        self.by_id.values().filter_map(|asked| asked.running).collect()
    }

    /// The client of a try has gone; its request, if it is known.
    pub fn client_gone(&mut self, id: TryId) -> Option<RequestId> {
        let request = self.by_try.get(&id).copied()?;
        if let Some(asked) = self.by_id.get_mut(&request) {
            asked.owed = false;
        }
        Some(request)
    }

    /// Answers a request: its try, if an answer is owed.
    pub fn answer(&mut self, request: RequestId) -> Option<TryId> {
        let asked = self.by_id.get_mut(&request).filter(|asked| asked.owed)?;
        asked.owed = false;
        Some(asked.id)
    }

    /// Whether no answer is owed for it.
    pub fn is_answered(&self, request: RequestId) -> bool {
        self.get(request).is_none_or(|asked| !asked.owed)
    }

    /// Forgets a request that is answered and has no attempt out.
    pub fn forget(&mut self, request: RequestId) {
        let over = |asked: &Asked| !asked.owed && asked.running.is_none();
        if !self.get(request).is_some_and(over) {
            return;
        }
        if let Some(asked) = self.by_id.remove(&request) {
            // Whether a permission came to its client is not known yet: it may still have left.
            if !asked.permission {
                self.by_try.remove(&asked.id);
            }
        }
    }

    /// All of them, in order.
    pub fn take_all(&mut self) -> Vec<Asked> {
        std::mem::take(&mut self.by_id).into_values().collect()
    }
}

impl Gate {
    /// The attempt that is out for a request.
    pub(super) fn running(&self, request: RequestId) -> Option<usize> {
        self.requests.get(request).and_then(|asked| asked.running)
    }
}
