//! Where endpoints are, and which endpoints can recognize the idempotency key of an earlier attempt.
//!
//! An endpoint list may move an endpoint to another zone or cell at any time, also while attempts are in
//! flight there. An endpoint recognizes the key of an attempt for certain only if it shares the deduplication
//! scope with every location where the attempt may have run, and has been in that scope since before the
//! attempt was sent. What it can get wrong: an endpoint that was listed or moved there later may have been
//! given the keys, so some retries are not sent although they would be safe. Held by
//! `tests/decision/relocation.rs`.

use crate::interface::{DeduplicationScope, EndpointEntry, EndpointId};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of an update of the endpoint list, in the order in which this limiter applied them.
pub type UpdateNumber = u64;

/// The zone and cell of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Empty if the list names none.
    pub zone: Arc<str>,
    /// `None` if the list names none.
    pub cell: Option<i64>,
}

impl Location {
    /// The location that an entry of the list names.
    pub fn of(entry: &EndpointEntry) -> Self {
        Location { zone: entry.zone.clone(), cell: entry.cell }
    }

    /// Whether the list names both zone and cell. The entry of a removed endpoint may lack them.
    pub fn is_complete(&self) -> bool {
        !self.zone.is_empty() && self.cell.is_some()
    }

    /// Whether endpoints at these two locations recognize each other's keys. An endpoint without a zone or
    /// cell is in none, so it shares keys with no endpoint.
    fn shares_keys_with(&self, other: &Location, scope: DeduplicationScope) -> bool {
        let is_same_zone = self.zone == other.zone;
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => is_same_zone && !self.zone.is_empty(),
            DeduplicationScope::Cell => is_same_zone && self.cell.is_some() && self.cell == other.cell,
        }
    }
}

/// The present location of an endpoint, and the updates since which it has been listed there without a break.
#[derive(Clone)]
pub struct Residence {
    location: Location,
    zone_since: UpdateNumber,
    cell_since: UpdateNumber,
}

impl Residence {
    /// The residence of an endpoint that is listed at this location from this update on.
    pub fn new(location: Location, since: UpdateNumber) -> Self {
        Residence { location, zone_since: since, cell_since: since }
    }

    /// The present location.
    pub fn location(&self) -> &Location {
        &self.location
    }

    /// Moves the endpoint to the location that this update gives.
    pub fn move_to(&mut self, location: Location, update: UpdateNumber) {
        if self.location.zone != location.zone {
            self.zone_since = update;
        }
        if self.location != location {
            self.cell_since = update;
        }
        self.location = location;
    }

    /// The update since which the endpoint has been in its present deduplication scope.
    fn since(&self, scope: DeduplicationScope) -> UpdateNumber {
        match scope {
            DeduplicationScope::All => 0,
            DeduplicationScope::Zone => self.zone_since,
            DeduplicationScope::Cell => self.cell_since,
        }
    }
}

/// Every location where an attempt may have run.
pub struct AttemptLocations {
    /// The latest update of the endpoint list when the attempt was sent.
    sent_after: UpdateNumber,
    /// Address of the endpoint when the attempt was sent.
    address: Option<SocketAddr>,
    first: Location,
    /// Locations that the endpoint, or another one at its address, has had since then.
    later: Vec<Location>,
}

impl AttemptLocations {
    /// The location of an attempt that is sent now, after this update.
    pub fn new(location: Location, address: Option<SocketAddr>, sent_after: UpdateNumber) -> Self {
        AttemptLocations { sent_after, address, first: location, later: Vec::new() }
    }

    /// Adds the locations to which an update moved the attempt's endpoint, or at which it lists another
    /// endpoint with its address. An attempt that ended without a response may run later, so its end does not
    /// matter.
    pub fn add(&mut self, endpoint: &EndpointId, relocations: &Relocations) {
        for location in relocations.of(endpoint, self.address) {
            if self.first != *location && !self.later.contains(location) {
                self.later.push(location.clone());
            }
        }
    }

    /// Whether an endpoint with this residence recognizes the attempt's key, wherever the attempt ran.
    pub fn key_is_recognized_at(&self, residence: &Residence, scope: DeduplicationScope) -> bool {
        let mut locations = std::iter::once(&self.first).chain(&self.later);
        residence.since(scope) <= self.sent_after
            && locations.all(|location| location.shares_keys_with(&residence.location, scope))
    }
}

/// The endpoints that an update of the list added, moved, or gave another address.
#[derive(Default)]
pub struct Relocations {
    by_id: BTreeMap<EndpointId, Location>,
    by_address: HashMap<SocketAddr, Vec<Location>>,
}

impl Relocations {
    /// Adds the endpoint of this entry with its new location.
    pub fn add(&mut self, entry: &EndpointEntry, location: Location) {
        if let Some(address) = entry.address {
            self.by_address.entry(address).or_default().push(location.clone());
        }
        self.by_id.insert(entry.id.clone(), location);
    }

    /// Whether the update relocated no endpoint.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The new locations of an endpoint, and those of others that are listed with this address.
    fn of(&self, id: &EndpointId, address: Option<SocketAddr>) -> impl Iterator<Item = &Location> {
        let at_address = address.and_then(|address| self.by_address.get(&address));
        self.by_id.get(id).into_iter().chain(at_address.into_iter().flatten())
    }
}
