//! What goes into and comes out of the decision module: settings, events and actions. No decisions here.
//!
//! Times are seconds on the host's clock; durations are seconds.

use std::sync::Arc;

/// Number of a client request, unique at its limiter.
pub type RequestId = u64;
/// Address of a server.
pub type EndpointId = Arc<str>;

/// Whether a request of a class may be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to run any number of times.
    #[default]
    Idempotent,
    /// Carries a key; the servers of one [`DeduplicationScope`] drop repeats for a time.
    IdempotencyKey,
    /// Must never run twice.
    NonIdempotent,
}

/// The servers that together drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
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
    /// An answer within this time earns the full weight (latency objective).
    pub latency_objective: f64,
    /// The client gives up after this time, over all its tries.
    pub deadline: f64,
    /// Weight of a served request in the operators' score.
    pub priority_weight: f64,
    /// Fraction of the weight earned after the latency objective.
    pub late_weight_ratio: f64,
    /// How far a request may be repeated.
    pub idempotency: Idempotency,
    /// Who drops repeats, for [`Idempotency::IdempotencyKey`].
    pub deduplication_scope: DeduplicationScope,
    /// How long repeats are dropped, from the first send that may have run.
    pub deduplication_window: f64,
    /// The answer is a stream.
    pub streaming: bool,
}

/// A plan; its quotas hold per customer over all limiters together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Name, as requests give it.
    pub name: String,
    /// Quota in units a second; 0: none.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Attempts that may be in flight at once; 0: no limit.
    pub concurrency_limit: f64,
    /// Units a second of the hard limit; 0: none.
    pub hard_limit_rate: f64,
    /// Burst of the hard limit, in units.
    pub hard_limit_burst: f64,
    /// Units by which the hard limit may be overdrawn.
    pub hard_limit_overdraft: f64,
    /// Multiplier on the class's weight.
    pub weight_multiplier: f64,
    /// Fraction of the weight earned beyond the quota.
    pub excess_weight_ratio: f64,
    /// Fraction of the weight lost for what is forwarded beyond the quota.
    pub excess_penalty_ratio: f64,
}

/// All that a limiter is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Index of this limiter, from 0.
    pub instance_index: u32,
    /// Number of limiters.
    pub instance_count: u32,
    /// Zone of this limiter.
    pub zone: String,
    /// Least time between two rounds of events.
    pub tick_interval: f64,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// The most units one request can count.
    pub max_request_units: f64,
    /// A request's units are a guess, settled with the answer.
    pub post_paid: bool,
    /// The counter service may be used.
    pub has_counter: bool,
    /// A counter call is given up after this time.
    pub counter_timeout: f64,
    /// The list of servers comes only when asked for.
    pub polls_discovery: bool,
    /// Without asking for this long, a limiter counts as told.
    pub max_poll_interval: f64,
    /// A new server has at least this share of its capacity.
    pub slow_start_capacity: f64,
    /// A new server is warm after this time.
    pub slow_start_duration: f64,
    /// A cold server falls over at this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... kept up for this time.
    pub overload_window: f64,
    /// The most attempts for a request.
    pub max_attempts: u32,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub may_health_check: bool,
    /// A request may have two attempts out together.
    pub may_hedge: bool,
    /// Refused clients can be told when to come back.
    pub may_send_retry_after: bool,
    /// The longest such advice.
    pub max_retry_after: f64,
    /// A connection to a server is given up after this time. For the host; the module has no connections.
    pub connect_timeout: f64,
    /// Servers close a connection that has stood idle for this time.
    pub idle_timeout: f64,
    /// The most requests that may be open at once; 0: not told.
    pub max_in_flight: u32,
}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    InService,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// Withdrawn.
    #[default]
    Removed,
}

/// One line of the list of servers.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Address.
    pub id: EndpointId,
    /// Zone.
    pub zone: Arc<str>,
    /// Machine kind.
    pub kind: Arc<str>,
    /// Cell within the zone.
    pub cell: i64,
    /// State.
    pub state: EndpointState,
    /// Size relative to other servers.
    pub weight: f64,
    /// Time of its latest start; `None`: long ago.
    pub started: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Error answer; may have run.
    Error,
    /// Turned away unseen.
    Overloaded,
    /// No answer in time; may have run.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// A server's report of its load; values it did not give are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in hand.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Share of its cores in use.
    pub utilization: Option<f64>,
    /// Recent service time in seconds.
    pub latency: Option<f64>,
    /// Requests a second.
    pub request_rate: Option<f64>,
    /// Errors a second.
    pub error_rate: Option<f64>,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// The customer.
    pub customer: Arc<str>,
    /// Name of the customer's plan.
    pub plan: Arc<str>,
    /// Name of its class.
    pub class: Arc<str>,
    /// Units, or the guess of them.
    pub units: f64,
    /// Number of limiters the customer can come through.
    pub reachable_instances: u32,
    /// Marked by the client as a repeat.
    pub is_retry: bool,
    /// The client gives up then.
    pub deadline: f64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The whole list of servers; what is not in it is gone.
    EndpointList(Vec<EndpointEntry>),
    /// Changed entries only.
    EndpointChanges(Vec<EndpointEntry>),
    /// A call to discovery failed or the subscription broke.
    DiscoveryFailed,
    /// A client's request.
    Request(Request),
    /// A question whether a client may call the servers by itself, until the request's `due`. It draws what
    /// the request would draw and is answered at once, by [`Action::Authorize`] or [`Action::Reject`].
    Authorization(Request),
    /// A streamed answer has started.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The request is finished; no answer is owed any more.
        request_finished: bool,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: f64,
        /// The true units, once, where they are settled afterwards.
        units: Option<f64>,
        /// The server's report.
        report: LoadReport,
    },
    /// The client left; no answer is owed. Of a permission: it never got it, and will not call.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The answer to one [`Action::IncrementCounter`].
    CounterReply {
        /// The name.
        key: String,
        /// [`Outcome::Ok`], [`Outcome::Timeout`] (may have been added), or another (not added).
        outcome: Outcome,
        /// The number after the call, with [`Outcome::Ok`].
        total: f64,
        /// Time since the call.
        elapsed: f64,
    },
    /// What to make of the counter's totals from now on; before the first of these, they are believed.
    CounterValidity {
        /// Share of each quota that the limiters with this view of the counts may divide by their demand, from
        /// 0 (totals are not believed, each limiter keeps its fallback) to 1.
        usable_quota_ratio: f64,
    },
    /// The answer to one [`Action::CheckHealth`].
    HealthChecked {
        /// The server.
        endpoint: EndpointId,
        /// How it went.
        outcome: Outcome,
        /// The server's report.
        report: LoadReport,
    },
    /// A timer fell due.
    Timer {
        /// As set.
        token: u64,
    },
}

impl Event {
    /// How an attempt ended that a host did not start, since the rules forbid it: it never ran.
    pub fn attempt_not_sent(id: RequestId, attempt: u32) -> Event {
        Event::AttemptEnded {
            id,
            attempt,
            request_finished: false,
            outcome: Outcome::NotSent,
            elapsed: 0.0,
            units: None,
            report: LoadReport::default(),
        }
    }
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt of a request; attempts are numbered from 0 in this order.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        endpoint: EndpointId,
        /// Give up after this time; 0: when the client does.
        timeout: f64,
        /// Not to be written whole after this time: by then its key may be forgotten. Infinite where any will do.
        send_deadline: f64,
    },
    /// Final answer to a permission's question: the client may call.
    Authorize {
        /// The question.
        id: RequestId,
    },
    /// Final answer: declined, safe to try again.
    Reject {
        /// The request.
        id: RequestId,
        /// The client should stay away for this time; 0: no advice.
        retry_after: f64,
    },
    /// Final answer: failed, with no promise of its effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Add to a number on the counter service and read it.
    IncrementCounter {
        /// The name.
        key: String,
        /// What to add; 0 only reads.
        increment: f64,
        /// A new name is forgotten after this time.
        ttl: f64,
    },
    /// Wake up at a time.
    SetTimer {
        /// The time.
        at: f64,
        /// Comes back in [`Event::Timer`].
        token: u64,
    },
    /// Examine a server.
    CheckHealth {
        /// The server.
        endpoint: EndpointId,
    },
    /// Follow the list of servers.
    WatchEndpoints,
}
