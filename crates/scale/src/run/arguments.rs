//! What an operator asks of a run.

use clap::{Args, ValueEnum};
use liftrouter_discovery::Delivery;
use std::path::PathBuf;

/// The operators' size: servers in each service.
const SERVERS_PER_SERVICE: usize = 55;
/// The operators' size: limiters for each of 16 machines.
const LIMITERS_PER_RELAY: usize = 450;

/// What is played, and within what bounds.
#[derive(Args, Clone, Debug)]
pub struct RunArguments {
    /// Hollow limiters; a list is played one size after another.
    #[arg(long, value_delimiter = ',', default_value = "100")]
    pub hollow: Vec<usize>,
    /// Hollow limiters in one process.
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u16).range(1..))]
    pub hollow_per_process: u16,
    /// Real limiters.
    #[arg(long, default_value_t = 2)]
    pub real: usize,
    /// Servers in the list; a list of sizes is played one after another.
    #[arg(long, value_delimiter = ',', default_value = "550")]
    pub servers: Vec<usize>,
    /// Services that the servers belong to; without it, one for each 55 servers.
    #[arg(long)]
    pub services: Option<usize>,
    /// Changes of the list a second, at random times.
    #[arg(long, default_value_t = 0.31)]
    pub changes_per_second: f64,
    /// Changes that come within one second, once in each part; 0 for none.
    #[arg(long, default_value_t = 100)]
    pub burst: u32,
    /// Counter calls a second of each hollow limiter.
    #[arg(long, default_value_t = 1.0)]
    pub counter_calls_per_second: f64,
    /// Requests a second to each real limiter.
    #[arg(long, default_value_t = 20.0)]
    pub requests_per_second: f64,
    /// Seconds that are measured in each part.
    #[arg(long, default_value_t = 20.0)]
    pub seconds: f64,
    /// Seconds before that.
    #[arg(long, default_value_t = 3.0)]
    pub warm_up: f64,
    /// How often each size is played.
    #[arg(long, default_value_t = 1)]
    pub repetitions: u32,
    /// Seed of all that is drawn.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The most processes of a fleet.
    #[arg(long, default_value_t = 200)]
    pub max_processes: usize,
    /// The most resident memory of a fleet, in megabytes.
    #[arg(long, default_value_t = 12_000)]
    pub memory_mb: u64,
    /// What limiters follow.
    #[arg(long, value_enum, default_value_t = Lists::Whole)]
    pub lists: Lists,
    /// Leaves of the tree of relays, with `--lists service`; without it, one for each 450 limiters, two at least.
    #[arg(long)]
    pub relays: Option<usize>,
    /// How lists reach the limiters.
    #[arg(long, value_enum, default_value_t = DeliveryKind::OnRequest)]
    pub delivery: DeliveryKind,
    /// Faults, one after another; may be given several times.
    #[arg(long = "fault", value_enum)]
    pub faults: Vec<Fault>,
    /// A limiter that uses a list for longer than this after it was last confirmed has to say so.
    #[arg(long, default_value_t = 8.0)]
    pub stale_bound_seconds: f64,
    /// How long the limiters may take to get the list of the source after a fault.
    #[arg(long, default_value_t = 30.0)]
    pub settle_seconds: f64,
    /// Where the record of the run is stored.
    #[arg(long, value_name = "FILE.json")]
    pub out: Option<PathBuf>,
    /// Name of the record.
    #[arg(long, default_value = "run")]
    pub name: String,
    /// The program of the real limiters; without it, `liftrouter` beside this one.
    #[arg(long)]
    pub daemon: Option<PathBuf>,
    /// No progress bar and no table.
    #[arg(long)]
    pub quiet: bool,
    /// Breaks the stand-in of discovery: it loses one message to one child. For tests of the checker.
    #[arg(long, hide = true)]
    pub lose_one_message: bool,
}

impl RunArguments {
    /// Services that so many servers belong to.
    pub fn services_of(&self, servers: usize) -> usize {
        self.services.unwrap_or(servers / SERVERS_PER_SERVICE).clamp(1, servers.max(1))
    }

    /// Leaves of the tree of relays for so many limiters; none where limiters follow discovery.
    pub fn leaf_relays(&self, limiters: usize) -> usize {
        match self.lists {
            Lists::Whole => 0,
            Lists::Service => self.relays.unwrap_or(limiters.div_ceil(LIMITERS_PER_RELAY).max(2)),
        }
    }

    /// Whether the number of servers is varied rather than that of limiters.
    pub fn varies_servers(&self) -> bool {
        self.servers.len() > 1
    }

    /// Whether one of the faults delays the reading of a limiter.
    pub fn has_straggler(&self) -> bool {
        self.faults.contains(&Fault::Straggler)
    }
}

/// What limiters follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Lists {
    /// The whole list, from discovery.
    Whole,
    /// Their own service, from relays.
    Service,
}

/// How lists reach the limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum DeliveryKind {
    /// By an agent on their machine; lists never expire.
    Pushed,
    /// From a shared service; a list that is not confirmed expires.
    OnRequest,
}

impl From<DeliveryKind> for Delivery {
    fn from(kind: DeliveryKind) -> Delivery {
        match kind {
            DeliveryKind::Pushed => Delivery::Pushed,
            DeliveryKind::OnRequest => Delivery::OnRequest,
        }
    }
}

/// A fault of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// A tenth of the hollow limiters is started anew.
    RestartTenth,
    /// One process of hollow limiters is killed and started anew.
    Rack,
    /// A third of the processes of hollow limiters is killed and started anew.
    Zone,
    /// Half of the hollow limiters cannot reach discovery for some seconds.
    Region,
    /// Discovery says nothing for some seconds.
    Stall,
    /// One hollow limiter reads what discovery says ten seconds late.
    Straggler,
    /// A relay ends.
    RelayDies,
}

impl Fault {
    /// Its name, as points and tables have it.
    pub fn name(self) -> &'static str {
        match self {
            Fault::RestartTenth => "restart_tenth",
            Fault::Rack => "rack",
            Fault::Zone => "zone",
            Fault::Region => "region",
            Fault::Stall => "stall",
            Fault::Straggler => "straggler",
            Fault::RelayDies => "relay_dies",
        }
    }
}
