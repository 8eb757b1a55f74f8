//! What goes into and comes out of the decision module: settings, events and actions. No decisions here.
//!
//! Times are seconds on the host's clock; durations are seconds.

use std::sync::Arc;

/// Number of a client request, unique at its limiter.
pub type RequestId = u64;
/// Address of a server.
pub type ServerId = Arc<str>;

/// How far a request of a class may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Safe to run any number of times.
    #[default]
    ReadLike,
    /// Carries a key; the servers of one [`Scope`] drop repeats for a time.
    Keyed,
    /// Must never run twice.
    NonIdempotent,
}

/// The servers that together drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
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
    /// An answer within this time earns the full worth.
    pub aim: f64,
    /// The client gives up after this time, over all its tries.
    pub deadline: f64,
    /// Worth of a request.
    pub worth: f64,
    /// Share of the worth earned after the aim.
    pub late_share: f64,
    /// How far a request may be repeated.
    pub effect: Effect,
    /// Who drops repeats, for [`Effect::Keyed`].
    pub scope: Scope,
    /// How long repeats are dropped, from the first send that may have run.
    pub window: f64,
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
    pub depth: f64,
    /// Attempts that may be out at once; 0: no cap.
    pub open: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub hard_rate: f64,
    /// Units the ceiling's store holds.
    pub hard_burst: f64,
    /// Units by which the ceiling's store may be overdrawn.
    pub hard_slack: f64,
    /// Multiplier on the worth.
    pub price: f64,
    /// Share of the worth earned beyond the quota.
    pub extra_worth: f64,
    /// Share of the worth lost for what is sent beyond the quota.
    pub excess_cost: f64,
}

/// All that a limiter is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Index of this limiter, from 0.
    pub me: u32,
    /// Number of limiters.
    pub peers: u32,
    /// Zone of this limiter.
    pub zone: String,
    /// Least time between two rounds of events.
    pub tick: f64,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// The most units one request can count.
    pub max_units: f64,
    /// A request's units are a guess, settled with the answer.
    pub post_paid: bool,
    /// The counter service may be used.
    pub has_counter: bool,
    /// A counter call is given up after this time.
    pub counter_timeout: f64,
    /// The list of servers comes only when asked for.
    pub discovery_on_request: bool,
    /// Without asking for this long, a limiter counts as told.
    pub must_ask_in: f64,
    /// A new server has at least this share of its capacity.
    pub start_capacity: f64,
    /// A new server is warm after this time.
    pub ramp_time: f64,
    /// A cold server falls over at this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... kept up for this time.
    pub overload_for: f64,
    /// The most attempts for a request.
    pub max_attempts: u32,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// A request may have two attempts out together.
    pub second_copies: bool,
    /// Refused clients can be told when to come back.
    pub may_advise: bool,
    /// The longest such advice.
    pub max_advice: f64,
    /// A connection to a server is given up after this time. For the host; the module has no connections.
    pub connect_timeout: f64,
    /// Servers close a connection that has stood idle for this time.
    pub idle_close: f64,
    /// The most requests that may be open at once; 0: not told.
    pub max_open: u32,
}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Takes work.
    InService,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// Withdrawn.
    #[default]
    Gone,
}

/// One line of the list of servers.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// Address.
    pub id: ServerId,
    /// Zone.
    pub zone: Arc<str>,
    /// Machine kind.
    pub kind: Arc<str>,
    /// Cell within the zone.
    pub cell: i64,
    /// State.
    pub state: ServerState,
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
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

/// A server's report of its load; values it did not give are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in hand.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Share of its cores in use.
    pub busy: Option<f64>,
    /// Recent service time in seconds.
    pub latency: Option<f64>,
    /// Requests a second.
    pub rate: Option<f64>,
    /// Errors a second.
    pub errors: Option<f64>,
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
    pub width: u32,
    /// Marked by the client as a repeat.
    pub repeat: bool,
    /// The client gives up then.
    pub due: f64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The whole list of servers; what is not in it is gone.
    ServerList(Vec<ServerEntry>),
    /// Changed entries only.
    ServerChanges(Vec<ServerEntry>),
    /// A call to discovery failed or the subscription broke.
    DiscoveryBroken,
    /// A client's request.
    Request(Request),
    /// A question whether a client may call the servers by itself, until the request's `due`. It draws what
    /// the request would draw and is answered at once, by [`Action::Permit`] or [`Action::Refuse`].
    Permission(Request),
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
        finished: bool,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: f64,
        /// The true units, once, where they are settled afterwards.
        units: Option<f64>,
        /// The server's report.
        report: LoadReport,
    },
    /// The client left; no answer is owed. Of a permission: it never got it, and will not call.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// The answer to one [`Action::Count`].
    Counted {
        /// The name.
        name: String,
        /// [`Outcome::Ok`], [`Outcome::Timeout`] (may have been added), or another (not added).
        outcome: Outcome,
        /// The number after the call, with [`Outcome::Ok`].
        total: f64,
        /// Time since the call.
        took: f64,
    },
    /// What to make of the counter's totals from now on; before the first of these, they are believed.
    KeeperView {
        /// Share of each quota that the limiters with this view of the counts may divide by their demand, from
        /// 0 (totals are not believed, each limiter keeps its fallback) to 1.
        share: f64,
    },
    /// The answer to one [`Action::Probe`].
    Probed {
        /// The server.
        server: ServerId,
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
    pub fn never_sent(id: RequestId, attempt: u32) -> Event {
        Event::AttemptEnded {
            id,
            attempt,
            finished: false,
            outcome: Outcome::Moot,
            took: 0.0,
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
        server: ServerId,
        /// Give up after this time; 0: when the client does.
        timeout: f64,
        /// Not to be written whole after this time: by then its key may be forgotten. Infinite where any will do.
        begin_by: f64,
    },
    /// Final answer to a permission's question: the client may call.
    Permit {
        /// The question.
        id: RequestId,
    },
    /// Final answer: declined, safe to try again.
    Refuse {
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
    Count {
        /// The name.
        name: String,
        /// What to add; 0 only reads.
        add: f64,
        /// A new name is forgotten after this time.
        lives: f64,
    },
    /// Wake up at a time.
    SetTimer {
        /// The time.
        at: f64,
        /// Comes back in [`Event::Timer`].
        token: u64,
    },
    /// Examine a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Follow the list of servers.
    FollowServers,
}
