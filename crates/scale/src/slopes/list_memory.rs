//! Resident memory of the list of servers, by listed servers. Each is measured in a process of its own.

use super::process::{resident, MeasureError, Reading};
use super::workload::{self, Driver};
use liftrouter::inbox::Listed;
use liftrouter::membership::update::Update;
use liftrouter_decision::{Event, ServerId};
use std::collections::BTreeMap;
use std::hint::black_box;

/// Memory of a limiter that was fed a list.
///
/// # Errors
/// Memory cannot be read.
pub fn limiter(servers: usize, seed: u64) -> Result<Vec<Reading>, MeasureError> {
    let mut driver = Driver::new(workload::settings(workload::LIMITERS), 1, seed);
    let before = resident()?;
    driver.event(Event::ServerList(workload::servers(servers, seed)));
    let after = resident()?;
    black_box(&driver.limiter);
    Ok(vec![Reading::new("limiter.resident_kb", after.now_kb - before.now_kb)])
}

/// Reads a whole list as the daemon does, and keeps it as its catalog for lists on request does: a map from names to
/// entries with addresses.
fn read_catalog(text: &str) -> Result<BTreeMap<ServerId, Listed>, MeasureError> {
    let update: Update = serde_json::from_str(text)?;
    let entries = update.servers().into_iter();
    Ok(entries.map(|listed| (listed.entry.id.clone(), listed)).collect())
}

/// Memory of the catalog, filled server by server, so that reading leaves nothing behind.
///
/// # Errors
/// Memory cannot be read.
pub fn catalog(servers: usize, seed: u64) -> Result<Vec<Reading>, MeasureError> {
    let mut catalog = BTreeMap::new();
    let before = resident()?;
    for index in 0..servers {
        catalog.extend(read_catalog(&workload::update_json(index..index + 1, false, seed))?);
    }
    let after = resident()?;
    black_box(&catalog);
    Ok(vec![Reading::new("catalog.resident_kb", after.now_kb - before.now_kb)])
}

/// Growth of memory to its peak while a whole list in JSON is read, kept in a catalog and handed to a limiter. The
/// text itself, which the daemon holds too, is counted.
///
/// # Errors
/// Memory cannot be read.
pub fn intake(servers: usize, seed: u64) -> Result<Vec<Reading>, MeasureError> {
    let mut driver = Driver::new(workload::settings(workload::LIMITERS), 1, seed);
    let before = resident()?;
    let text = workload::update_json(0..servers, true, seed);
    let catalog = read_catalog(&text)?;
    let entries = catalog.values().map(|listed| listed.entry.clone()).collect();
    driver.event(Event::ServerList(entries));
    let after = resident()?;
    black_box((&driver.limiter, &catalog, &text));
    Ok(vec![Reading::new("intake.peak_kb", after.peak_kb - before.now_kb)])
}
