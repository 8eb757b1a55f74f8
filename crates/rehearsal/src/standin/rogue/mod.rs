//! A limiter that commits violations on purpose: a front before a real one, which passes everything through but for the
//! violations that it commits at moments drawn from a seed, and records in a file of its own.
//!
//! The checker never sees that record: [`crate::trial`] holds the two against each other.

mod answers;
mod attempts;
mod contents;
mod discovery;
mod dispatch;
mod front;
mod grpc;
mod http;
mod lateness;
mod limiter;
mod limits;
mod record;
mod request;
mod servers;
mod settings;
mod violation;

pub use record::{read_records, Committed};
pub use violation::{About, SizeRange, Violation};

use self::discovery::{Discovery, ServerPair};
use self::http::ANSWER_TIMEOUT;
use self::lateness::TurnMonitor;
use self::limiter::LimiterProcess;
use self::limits::Partners;
use self::record::Record;
use self::servers::ColdPushes;
use self::settings::LimiterSettings;
use crate::net::message::Answer;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// After SIGTERM it goes on for this long, and while any request is open.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(750);
/// How often it then looks whether one is.
const SHUTDOWN_POLL: Duration = Duration::from_millis(10);
/// Plans of the trial's scenario that other violations keep away from, since their ceilings would be passed by the way.
pub const BOUND: [&str; 2] = ["tight", "capped"];

/// How the rogue runs.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// What it does wrong; may be given twice. Nothing where it is left out.
    #[arg(long, value_enum)]
    pub kind: Vec<Violation>,
    /// Closes connections of clients that have been idle for so many milliseconds, which is no wrong.
    #[arg(long)]
    pub idle_ms: Option<u64>,
    /// What starts the limiter behind it.
    #[arg(long)]
    pub limiter: String,
    /// The folder for its lists, `n0.wrongs` and so on.
    #[arg(long)]
    pub wrongs: PathBuf,
    /// Draws its moments and sizes.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// One of so many requests that a wrong could be done to.
    #[arg(long, default_value_t = 12)]
    pub every: u32,
    /// The limiter's operator file.
    #[arg(long)]
    pub operator: Option<PathBuf>,
}

/// An answer that a server made, and the request that it was made for.
struct ServedAnswer {
    id: u64,
    answer: Answer,
}

/// The addresses at which the rogue listens and which it talks to.
struct Addresses {
    listen: SocketAddr,
    discovery: SocketAddr,
}

/// What all connections of the rogue share.
struct Rogue {
    started: Instant,
    options: Options,
    limiter: SocketAddr,
    settings: LimiterSettings,
    rng: RefCell<fastrand::Rng>,
    record: Record,
    discovery: Discovery,
    turns: TurnMonitor,
    /// The last answer of status 200 that was passed on.
    last_answer: RefCell<Option<ServedAnswer>>,
    partners: Partners,
    cold_pushes: ColdPushes,
    open_requests: Cell<usize>,
}

/// Runs it by the deployment's contract until SIGTERM.
///
/// # Errors
/// The configuration cannot be used, or the limiter behind it does not start.
pub fn run(options: Options) -> Result<(), String> {
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG is not set".to_string())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let config: Value = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?;
    let grpc_listen = limiter::grpc_listen(&options)?;
    let limiter = LimiterProcess::start(&options, name(&config), grpc_listen)?;
    LocalSet::new().block_on(&runtime, serve(options, &config, &limiter, grpc_listen))
}

/// The name of the limiter that it stands for.
fn name(config: &Value) -> &str {
    config["name"].as_str().unwrap_or("n0")
}

impl Addresses {
    fn read(config: &Value) -> Result<Addresses, String> {
        let address = |key: &str| {
            let found = config[key].as_str().and_then(|text| text.parse::<SocketAddr>().ok());
            found.ok_or(format!("the configuration names no {key}"))
        };
        Ok(Addresses { listen: address("listen")?, discovery: address("discovery")? })
    }
}

async fn serve(
    options: Options,
    config: &Value,
    limiter: &LimiterProcess,
    grpc_listen: Option<SocketAddr>,
) -> Result<(), String> {
    let addresses = Addresses::read(config)?;
    let rogue = Rc::new(Rogue::new(options, config, &addresses, limiter.address)?);
    let mut terminated =
        signal(SignalKind::terminate()).map_err(|e| format!("cannot handle SIGTERM: {e}"))?;
    let listener = listen(addresses.listen).await?;
    if let (Some(grpc_listen), Some(grpc_limiter)) = (grpc_listen, limiter.grpc) {
        let listener = listen(grpc_listen).await?;
        spawn_local(grpc::serve(rogue.clone(), listener, grpc_limiter));
    }
    spawn_local({
        let rogue = rogue.clone();
        async move { rogue.discovery.poll().await }
    });
    spawn_local({
        let rogue = rogue.clone();
        async move { rogue.turns.watch().await }
    });
    spawn_local(front::serve(rogue.clone(), listener));
    terminated.recv().await;
    limiter.terminate();
    rogue.drain().await;
    rogue.record_sums();
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|e| format!("cannot listen on {address}: {e}"))
}

impl Rogue {
    fn new(
        options: Options,
        config: &Value,
        addresses: &Addresses,
        limiter: SocketAddr,
    ) -> Result<Rogue, String> {
        let name = name(config);
        let hash = |seed: u64, byte: u8| seed.wrapping_mul(31).wrapping_add(u64::from(byte));
        Ok(Rogue {
            started: Instant::now(),
            limiter,
            settings: LimiterSettings::read(&config["settings"]),
            rng: RefCell::new(fastrand::Rng::with_seed(name.bytes().fold(options.seed, hash))),
            record: Record::open(&options.wrongs, name)?,
            discovery: Discovery::new(addresses.discovery),
            turns: TurnMonitor::new(),
            last_answer: RefCell::default(),
            partners: Partners::default(),
            cold_pushes: ColdPushes::default(),
            open_requests: Cell::new(0),
            options,
        })
    }

    /// Waits until no request is open, for the grace at least.
    async fn drain(&self) {
        let began = Instant::now();
        let open = || self.open_requests.get() > 0 && began.elapsed() < ANSWER_TIMEOUT;
        while began.elapsed() < SHUTDOWN_GRACE || open() {
            sleep(SHUTDOWN_POLL).await;
        }
    }

    /// Records what was done to whole servers and partners, which is known at the end.
    fn record_sums(&self) {
        let violations = self.cold_pushes.violations().into_iter().chain(self.partners.violations());
        violations.for_each(|committed| self.record.add(&committed));
    }

    fn server_pair(&self) -> Option<ServerPair> {
        self.discovery.server_pair(&mut self.rng.borrow_mut())
    }

    fn server(&self) -> Option<SocketAddr> {
        self.server_pair().map(|pair| pair.first)
    }
}
