//! Load reports of endpoints.

/// Load that an endpoint reports about itself; values missing from the report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the endpoint.
    pub in_flight: Option<f64>,
    /// Requests queued at the endpoint.
    pub queued: Option<f64>,
    /// Fraction of its CPU cores in use, from 0 to 1.
    pub utilization: Option<f64>,
    /// Recent service time in seconds.
    pub latency_s: Option<f64>,
    /// Requests a second.
    pub requests_per_s: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
}

impl LoadReport {
    /// Sets one value by its name in the settings or in the endpoints' responses; unknown names are ignored.
    pub fn set(&mut self, name: &str, value: f64) {
        let value = Some(value);
        match name {
            "rif" | "inflight" => self.in_flight = value,
            "q" | "queue" => self.queued = value,
            "busy" | "util" => self.utilization = value,
            "lat_ms" | "latency_ms" => self.latency_s = value.map(|milliseconds| milliseconds / 1000.0),
            "rate" | "qps" => self.requests_per_s = value,
            "fail_rate" | "eps" => self.errors_per_s = value,
            _ => {}
        }
    }
}
