//! The list of servers as discovery last told it, kept where it may expire.

use super::update::Update;
use crate::inbox::Listed;
use liftrouter_decision::{ServerId, ServerState};
use std::collections::BTreeMap;

/// All servers that are not gone.
#[derive(Default)]
pub struct Catalog {
    servers: BTreeMap<ServerId, Listed>,
}

impl Catalog {
    /// Takes in the whole list, or changes of it.
    pub fn apply(&mut self, update: Update) {
        if update.reset {
            self.servers.clear();
        }
        for listed in update.servers() {
            let id = listed.entry.id.clone();
            if listed.entry.state == ServerState::Gone {
                self.servers.remove(&id);
            } else {
                self.servers.insert(id, listed);
            }
        }
    }

    /// The list as it is.
    pub fn listed(&self) -> Vec<Listed> {
        self.servers.values().cloned().collect()
    }

    /// The same servers, none of which may get anything new.
    pub fn all_draining(&self) -> Vec<Listed> {
        let mut servers = self.listed();
        for listed in &mut servers {
            listed.entry.state = ServerState::Draining;
        }
        servers
    }
}
