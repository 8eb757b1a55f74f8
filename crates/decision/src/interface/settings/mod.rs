//! What a limiter is told at its start: its place among the instances, request classes, plans and limits.
//!
//! The names that deployments write are mapped to these fields in `wire`, and nowhere else.

mod wire;

/// Whether a request of a class may be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to run any number of times.
    #[default]
    Idempotent,
    /// Carries an idempotency key; the endpoints of one [`DeduplicationScope`] drop repeats of it for a time.
    IdempotencyKey,
    /// Must not run twice.
    NonIdempotent,
}

/// The endpoints that share one memory of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of request.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Name, as requests give it.
    pub name: String,
    /// Seconds within which a response earns the full weight.
    pub latency_objective_s: f64,
    /// Seconds after which the client gives up, over all its attempts.
    pub deadline_s: f64,
    /// Priority of a served request, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the weight earned after the latency objective.
    pub late_weight_ratio: f64,
    /// Whether a request may be retried.
    pub idempotency: Idempotency,
    /// Which endpoints drop repeats, for [`Idempotency::IdempotencyKey`].
    pub deduplication_scope: DeduplicationScope,
    /// Seconds for which repeats are dropped, from the first attempt that may have run.
    pub deduplication_window_s: f64,
    /// The response is a stream.
    pub streaming: bool,
}

/// A plan; its quotas hold per customer over all limiters together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Name, as requests give it.
    pub name: String,
    /// Quota in units a second; 0: none.
    pub rate: f64,
    /// Units that may be used at once, over the quota.
    pub burst: f64,
    /// Attempts that may be in flight at once; 0: no limit.
    pub concurrency_limit: f64,
    /// Units a second of the hard limit; 0: none.
    pub hard_limit_rate: f64,
    /// Burst of the hard limit, in units.
    pub hard_limit_burst: f64,
    /// Units by which the hard limit may be overdrawn.
    pub hard_limit_overdraft: f64,
    /// Multiplier of the class's weight.
    pub weight_multiplier: f64,
    /// Fraction of the weight earned beyond the quota.
    pub excess_weight_ratio: f64,
    /// Fraction of the weight lost for what is forwarded beyond the quota.
    pub excess_penalty_ratio: f64,
}

/// The configuration of a limiter.
#[derive(Clone, Debug, Default)]
#[allow(clippy::struct_excessive_bools, reason = "independent switches of a deployment")]
pub struct Settings {
    /// Index of this limiter, from 0.
    pub instance_index: u32,
    /// Number of limiters.
    pub instance_count: u32,
    /// Zone of this limiter.
    pub zone: String,
    /// Shortest time between two rounds of events, in seconds.
    pub tick_interval_s: f64,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// Largest number of units of one request.
    pub max_request_units: f64,
    /// A request's units are an estimate, settled with the response.
    pub units_are_estimates: bool,
    /// The counter service may be used.
    pub has_counter: bool,
    /// Seconds after which a counter call is abandoned.
    pub counter_timeout_s: f64,
    /// The endpoint list comes only when the limiter watches or polls it.
    pub polls_discovery: bool,
    /// Longest time between two polls of the endpoint list, in seconds.
    pub max_poll_interval_s: f64,
    /// Share of its capacity that an endpoint has when it starts.
    pub slow_start_capacity: f64,
    /// Seconds after which a started endpoint has its full capacity.
    pub slow_start_duration_s: f64,
    /// An endpoint in slow start fails at this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... if the load lasts for this many seconds.
    pub overload_window_s: f64,
    /// Largest number of attempts of a request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Endpoints may be sent health checks.
    pub may_health_check: bool,
    /// A request may have two attempts in flight at once (hedged requests).
    pub may_hedge: bool,
    /// Rejections may carry advice on when to retry.
    pub may_send_retry_after: bool,
    /// Longest such advice, in seconds.
    pub max_retry_after_s: f64,
    /// Seconds after which a connection attempt is abandoned. For the host; the module has no connections.
    pub connect_timeout_s: f64,
    /// Seconds after which endpoints close an idle connection. For the host.
    pub idle_timeout_s: f64,
    /// Largest number of requests in flight at once; 0: unknown. For the host.
    pub max_in_flight: u32,
}
