//! Start-up time, memory and processor time, by classes and plans in the settings (as many of each).

use super::decision::decision_us;
use super::process::{mean_cpu_us, resident, MeasureError, Reading};
use super::workload::{self, Driver};
use liftrouter_decision::{Event, Limiter, Settings};
use serde_json::{json, Value};
use std::hint::black_box;

/// Listed servers: those of one service.
const SERVERS: usize = 55;

/// The settings as the program reads them, with so many classes and plans. Written piece by piece, so that nothing but the
/// text stays in memory.
fn settings_json(count: usize) -> String {
    let class = |index: usize| {
        json!({"name": format!("class-{index:05}"), "aim-s": 0.75, "deadline-s": 2.0, "worth": 2.0, "late-share": 0.0,
            "effect": "read_like", "group": "all", "window-s": 10.0, "streaming": false})
    };
    let plan = |index: usize| {
        json!({"name": format!("plan-{index:05}"), "rate": 6.5, "depth": 30.0, "open": 4, "pays": 1.1,
            "extra-worth": 0.0, "excess-cost": 1.0, "hard-rate": 13.0, "hard-burst": 60.0, "cap-slack": 6.0})
    };
    let limiters = workload::LIMITERS;
    let mut text = format!(
        "{{\"me\":0,\"peers-total\":{limiters},\"zone\":\"north-a\",\"period-s\":0.002,\"classes\":["
    );
    push_list(&mut text, count, class);
    text.push_str("],\"tariffs\":[");
    push_list(&mut text, count, plan);
    text.push_str("]}");
    text
}

/// Appends so many values, with commas between.
fn push_list(text: &mut String, count: usize, value: impl Fn(usize) -> Value) {
    for index in 0..count {
        text.push_str(if index > 0 { "," } else { "" });
        text.push_str(&value(index).to_string());
    }
}

/// Memory of a limiter with so many classes and plans.
///
/// # Errors
/// Memory cannot be read, or the settings.
pub fn memory(count: usize) -> Result<Vec<Reading>, MeasureError> {
    let text = settings_json(count);
    let before = resident()?;
    let settings: Settings = serde_json::from_str(&text)?;
    let limiter = Limiter::new(settings, 1, 0.0);
    let after = resident()?;
    black_box(&limiter);
    Ok(vec![Reading::new("settings.resident_kb", after.now_kb - before.now_kb)])
}

/// Processor time of a start, of a decision and of the survey. Requests are of the last class and the last plan.
///
/// # Errors
/// The settings cannot be read, or requests were refused.
pub fn measure(count: usize, seed: u64) -> Result<Vec<Reading>, MeasureError> {
    let text = settings_json(count);
    let _: Settings = serde_json::from_str(&text)?;
    let start = mean_cpu_us(|| {
        let settings = serde_json::from_str(&text).unwrap_or_default();
        black_box(Limiter::new(settings, 1, 0.0));
    });
    let mut settings = workload::settings(workload::LIMITERS);
    let (class, plan) = (settings.classes[0].clone(), settings.plans[0].clone());
    for index in 1..count {
        let place = settings.classes.len() - 1;
        let other = |name| format!("{name}-{index:05}");
        settings.classes.insert(place, liftrouter_decision::Class { name: other("class"), ..class.clone() });
        settings.plans.insert(place, liftrouter_decision::Plan { name: other("plan"), ..plan.clone() });
    }
    let mut driver = Driver::new(settings, 1, seed);
    driver.event(Event::EndpointList(workload::servers(SERVERS, seed)));
    Ok(vec![
        Reading::new("start.cpu_us", start),
        Reading::new("settings.bytes", text.len() as f64),
        Reading::new("decision.cpu_us", decision_us(&mut driver)?),
        Reading::new("survey.cpu_us", mean_cpu_us(|| driver.tick())),
    ])
}
