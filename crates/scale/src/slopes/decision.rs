//! Processor time of a decision, of the periodic survey, and of taking in lists, by listed servers.

use super::process::{cpu_time, mean_cpu_us, MeasureError, Reading};
use super::workload::{self, Driver};
use liftrouter_decision::{EndpointEntry, EndpointState, Event};
use std::sync::Arc;
use std::time::Duration;

/// Tenants that the requests come from.
const TENANTS: usize = 1_000;
/// Share of the requests that has to be sent for a measurement to count.
const LEAST_SENT_SHARE: f64 = 0.99;
/// Processor time after which no further list is taken in.
const ENOUGH_TIME: Duration = Duration::from_millis(60);
/// Lists that are taken in at least and at most.
const LISTS: std::ops::Range<u32> = 5..2_000;

/// Readings at one number of servers.
///
/// # Errors
/// Requests were refused, so that no whole decision was measured.
pub fn measure(servers: usize, limiters: u32, seed: u64) -> Result<Vec<Reading>, MeasureError> {
    let entries = workload::servers(servers, seed);
    let mut driver = Driver::new(workload::settings(limiters), limiters, seed);
    driver.event(Event::EndpointList(entries.clone()));
    let decision = decision_us(&mut driver)?;
    let survey = mean_cpu_us(|| driver.tick());
    Ok(vec![
        Reading::new("decision.cpu_us", decision),
        Reading::new("survey.cpu_us", survey),
        Reading::new("change.cpu_us", change_us(&mut driver, &entries)),
        Reading::new("whole_list.cpu_us", whole_list_us(&mut driver, &entries)),
    ])
}

/// Processor time of a request, its attempt and the attempt's end.
pub fn decision_us(driver: &mut Driver) -> Result<f64, MeasureError> {
    let tenants = workload::tenants(TENANTS);
    let (plan, class): (Arc<str>, Arc<str>) = ("open".into(), "read".into());
    let (mut asked, mut sent) = (0usize, 0usize);
    let decision = mean_cpu_us(|| {
        driver.step();
        let tenant = &tenants[asked % TENANTS];
        sent += usize::from(driver.decide(tenant, &plan, &class).sent);
        asked += 1;
    });
    let share = sent as f64 / asked as f64;
    if share < LEAST_SENT_SHARE {
        return Err(MeasureError::Invalid(format!("{sent} of {asked} requests were sent")));
    }
    Ok(decision)
}

/// Processor time of a message that names one server.
fn change_us(driver: &mut Driver, entries: &[EndpointEntry]) -> f64 {
    let mut entry = entries[entries.len() / 2].clone();
    mean_event_us(driver, || {
        entry.state = match entry.state {
            EndpointState::InService => EndpointState::Draining,
            _ => EndpointState::InService,
        };
        Event::EndpointChanges(vec![entry.clone()])
    })
}

/// Processor time of a message that names all servers.
fn whole_list_us(driver: &mut Driver, entries: &[EndpointEntry]) -> f64 {
    mean_event_us(driver, || Event::EndpointList(entries.to_vec()))
}

/// Mean processor time of taking in an event, without that of making it.
fn mean_event_us(driver: &mut Driver, mut event: impl FnMut() -> Event) -> f64 {
    let (mut total, mut count) = (Duration::ZERO, 0u32);
    while count < LISTS.start || (total < ENOUGH_TIME && count < LISTS.end) {
        let event = event();
        let began = cpu_time();
        driver.event(event);
        total += cpu_time() - began;
        count += 1;
    }
    total.as_secs_f64() * 1e6 / f64::from(count)
}
