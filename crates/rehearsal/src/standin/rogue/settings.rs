//! The limiter's settings that violations depend on.

use serde_json::Value;
use std::collections::HashMap;
use std::time::Duration;

/// The token bucket of a plan.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PlanLimits {
    pub rate: f64,
    pub burst: f64,
}

/// What the rogue reads of the settings.
pub(super) struct LimiterSettings {
    /// For how long servers remember an idempotency key.
    pub key_memory: Duration,
    unsafe_classes: Vec<String>,
    plans: HashMap<String, PlanLimits>,
}

impl LimiterSettings {
    /// Reads them from the platform's configuration.
    pub fn read(settings: &Value) -> LimiterSettings {
        let classes = settings["classes"].as_array().map(Vec::as_slice).unwrap_or_default();
        let plans = settings["tariffs"].as_array().map(Vec::as_slice).unwrap_or_default();
        let key_memory = classes.iter().map(|class| number(&class["window-s"])).fold(0.0, f64::max);
        let unsafe_classes = classes.iter().filter(|class| class["effect"] == "non_idempotent");
        LimiterSettings {
            key_memory: Duration::from_secs_f64(key_memory),
            unsafe_classes: unsafe_classes.map(|class| text(&class["name"])).collect(),
            plans: plans.iter().map(|plan| (text(&plan["name"]), PlanLimits::read(plan))).collect(),
        }
    }

    /// Whether requests of a class must not run twice.
    pub fn is_unsafe(&self, class: &str) -> bool {
        self.unsafe_classes.iter().any(|name| name == class)
    }

    /// The limits of a plan; zero for one that is not known.
    pub fn limits(&self, plan: &str) -> PlanLimits {
        self.plans.get(plan).copied().unwrap_or_default()
    }
}

impl PlanLimits {
    fn read(plan: &Value) -> PlanLimits {
        PlanLimits { rate: number(&plan["hard-rate"]), burst: number(&plan["hard-burst"]) }
    }
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_string()
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or_default()
}
