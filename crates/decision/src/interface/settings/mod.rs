//! The configuration that a limiter gets at its start: its place among the instances, request classes, plans
//! and limits.
//!
//! The keys in serialized settings are mapped to these fields in `wire` and nowhere else.

mod wire;

/// Whether a request of a class may be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to run any number of times.
    #[default]
    Idempotent,
    /// Carries an idempotency key, by which the endpoints of one [`DeduplicationScope`] drop repeats for a
    /// time.
    IdempotencyKey,
    /// Must not run twice.
    NonIdempotent,
}

/// The set of endpoints that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints share it.
    #[default]
    All,
    /// The endpoints of a zone share it.
    Zone,
    /// The endpoints of a cell share it.
    Cell,
}

/// A class of request.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Name by which requests refer to it.
    pub name: String,
    /// Seconds within which a response earns the full weight.
    pub latency_objective_s: f64,
    /// Seconds after which the client gives up, counted over all attempts.
    pub deadline_s: f64,
    /// Priority of a served request, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the weight earned after the latency objective.
    pub late_weight_ratio: f64,
    /// Whether requests of the class may be retried.
    pub idempotency: Idempotency,
    /// Which endpoints share idempotency keys, for [`Idempotency::IdempotencyKey`].
    pub deduplication_scope: DeduplicationScope,
    /// Seconds for which repeats are dropped, from the first attempt that may have run.
    pub deduplication_window_s: f64,
    /// Whether the response is a stream.
    pub streaming: bool,
}

/// The quota, limits and weights of a kind of customer. Each customer on the plan has its own quota and limits,
/// which cover its requests at all limiters.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Name by which requests refer to it.
    pub name: String,
    /// Quota in units a second; 0: no quota.
    pub rate: f64,
    /// Units that may be used at once in excess of the rate.
    pub burst: f64,
    /// Attempts that may be in flight at once; 0: no limit.
    pub concurrency_limit: f64,
    /// Rate of the hard limit in units a second; 0: no hard limit.
    pub hard_limit_rate: f64,
    /// Burst of the hard limit, in units.
    pub hard_limit_burst: f64,
    /// Units by which the hard limit may be overdrawn.
    pub hard_limit_overdraft: f64,
    /// Factor by which the plan multiplies the priority weight of a request's class.
    pub weight_multiplier: f64,
    /// Fraction of the weight earned for requests beyond the quota.
    pub excess_weight_ratio: f64,
    /// Fraction of the weight lost for requests forwarded beyond the quota.
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
    /// Whether the units of a request are an estimate that is settled with the response.
    pub units_are_estimates: bool,
    /// Whether there is a counter service.
    pub has_counter: bool,
    /// Seconds after which a counter call is abandoned.
    pub counter_timeout_s: f64,
    /// Whether the limiter must watch or poll the endpoint list; otherwise it is pushed.
    pub polls_discovery: bool,
    /// Longest time between two polls of the endpoint list, in seconds.
    pub max_poll_interval_s: f64,
    /// Fraction of its capacity that an endpoint has when it starts.
    pub slow_start_capacity: f64,
    /// Seconds after which a started endpoint has its full capacity.
    pub slow_start_duration_s: f64,
    /// An endpoint in slow start fails if its load stays at this multiple of its current capacity for
    /// `overload_window_s`.
    pub overload_multiple: f64,
    /// Seconds of such load after which it fails.
    pub overload_window_s: f64,
    /// Largest number of attempts of a request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether endpoints may be sent health checks.
    pub may_health_check: bool,
    /// Whether a request may have two attempts in flight at once (hedged requests).
    pub may_hedge: bool,
    /// Whether rejections may tell the client when to retry.
    pub may_send_retry_after: bool,
    /// Longest time after which a rejection may tell the client to retry, in seconds.
    pub max_retry_after_s: f64,
    /// Seconds after which a connection attempt is abandoned. Used by the host only.
    pub connect_timeout_s: f64,
    /// Seconds after which endpoints close an idle connection. Used by the host only.
    pub idle_timeout_s: f64,
    /// Largest number of requests in flight at once; 0: unknown. Used by the host only.
    pub max_in_flight: u32,
}
