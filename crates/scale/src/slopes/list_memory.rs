//! Resident memory of the list of servers, by listed servers. Each is measured in a process of its own.

use super::process::{resident, MeasureError, Reading};
use super::workload::{self, Driver};
use liftrouter::discovery::endpoint::listed_endpoint;
use liftrouter_catalog::{Replica, Update};
use liftrouter_decision::Event;
use std::hint::black_box;

/// Memory of a limiter that was fed a list.
///
/// # Errors
/// Memory cannot be read.
pub fn limiter(servers: usize, seed: u64) -> Result<Vec<Reading>, MeasureError> {
    let mut driver = Driver::new(workload::settings(workload::LIMITERS), 1, seed);
    let before = resident()?;
    driver.event(Event::EndpointList(workload::servers(servers, seed)));
    let after = resident()?;
    black_box(&driver.limiter);
    Ok(vec![Reading::new("limiter.resident_kb", after.now_kb - before.now_kb)])
}

/// Reads a message as the daemon does, into the list that it keeps where lists come on request or by relays.
fn read_into(replica: &mut Replica, text: &str) -> Result<(), MeasureError> {
    let mut update: Update = serde_json::from_str(text)?;
    update.reset |= replica.revision().is_none();
    // Generated messages have one generation and no digest: they always fit.
    let _ = replica.apply(&update);
    Ok(())
}

/// Memory of the replica of a list, filled server by server, so that reading leaves nothing behind.
///
/// # Errors
/// Memory cannot be read.
pub fn catalog(servers: usize, seed: u64) -> Result<Vec<Reading>, MeasureError> {
    let mut replica = Replica::new();
    let before = resident()?;
    for index in 0..servers {
        read_into(&mut replica, &workload::update_json(index..index + 1, false, seed))?;
    }
    let after = resident()?;
    black_box(&replica);
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
    let mut replica = Replica::new();
    read_into(&mut replica, &text)?;
    let entries = replica.instances().map(|instance| listed_endpoint(instance).entry).collect();
    driver.event(Event::EndpointList(entries));
    let after = resident()?;
    black_box((&driver.limiter, &replica, &text));
    Ok(vec![Reading::new("intake.peak_kb", after.peak_kb - before.now_kb)])
}
