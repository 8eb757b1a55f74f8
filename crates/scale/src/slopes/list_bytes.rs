//! Bytes of discovery's messages, and the processor time of reading them, by listed servers.

use super::process::{mean_cpu_us, MeasureError, Reading};
use super::workload;
use liftrouter_catalog::Update;
use std::hint::black_box;

/// Readings at one number of servers. A change names one of them.
///
/// # Errors
/// The program cannot read the message.
pub fn measure(servers: usize, seed: u64) -> Result<Vec<Reading>, MeasureError> {
    let whole = workload::update_json(0..servers, true, seed);
    let change = workload::update_json(servers / 2..servers / 2 + 1, false, seed);
    let _: Update = serde_json::from_str(&whole)?;
    let reading = mean_cpu_us(|| {
        black_box(serde_json::from_str::<Update>(&whole).ok());
    });
    Ok(vec![
        Reading::new("whole_list.bytes", whole.len() as f64),
        Reading::new("change.bytes", change.len() as f64),
        Reading::new("read_list.cpu_us", reading),
    ])
}
