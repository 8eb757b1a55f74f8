//! Many limiters in one process without a request path: they follow discovery, keep the list for the decisions, and
//! call the counter, all by the code of the real limiter.

mod delay_line;
mod limiter;
mod list_keeper;

use super::arguments::DeliveryKind;
use super::error::RunError;
use super::lag::Lags;
use super::messages::{Command, HollowStatus, Report};
use super::role::report;
use clap::Args;
use delay_line::DelayLine;
use limiter::{HollowLimiter, ListUpstream};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::interval;

/// How often the age of each limiter's list is looked at.
const AGE_PERIOD: Duration = Duration::from_millis(250);

/// Which limiters a process has, and whom they ask.
#[derive(Args, Clone, Debug)]
pub struct HollowArguments {
    /// Limiters in this process.
    #[arg(long)]
    pub count: u32,
    /// The number of the first of them in the fleet.
    #[arg(long)]
    pub first: u32,
    /// Limiters in the fleet.
    #[arg(long)]
    pub peers: u32,
    /// Discovery; limiters with odd numbers ask the second address.
    #[arg(long, value_delimiter = ',', required = true)]
    pub discovery: Vec<SocketAddr>,
    /// Relays, in place of discovery.
    #[arg(long, value_delimiter = ',')]
    pub relays: Vec<SocketAddr>,
    /// Services; with relays, each limiter follows one of them.
    #[arg(long, default_value_t = 1)]
    pub services: usize,
    /// The counter.
    #[arg(long)]
    pub counter: SocketAddr,
    /// Counter calls a second of each limiter.
    #[arg(long)]
    pub counter_calls_per_second: f64,
    /// How lists reach the limiters.
    #[arg(long, value_enum)]
    pub delivery: DeliveryKind,
    /// Seed of all that is drawn.
    #[arg(long)]
    pub seed: u64,
    /// What discovery or relays tell the first limiter can be delayed.
    #[arg(long)]
    pub straggler: bool,
}

/// Lags of all limiters of the process, by phase.
pub struct LagLog(RefCell<Vec<(String, Lags)>>);

impl LagLog {
    fn new() -> Rc<Self> {
        Rc::new(LagLog(RefCell::new(vec![(String::new(), Lags::new())])))
    }

    fn begin(&self, phase: String) {
        self.0.borrow_mut().push((phase, Lags::new()));
    }

    /// One more lag in the phase that runs.
    pub fn record(&self, lag_ms: u64) {
        if let Some((_, lags)) = self.0.borrow_mut().last_mut() {
            lags.record(lag_ms);
        }
    }
}

struct Process {
    arguments: HollowArguments,
    lags: Rc<LagLog>,
    limiters: Vec<HollowLimiter>,
    delay_line: Option<DelayLine>,
}

/// Plays hollow limiters until the commands end.
pub async fn play(
    arguments: HollowArguments,
    mut commands: UnboundedReceiver<Command>,
) -> Result<(), RunError> {
    let delay_line = match arguments.straggler {
        // The first relay is the one that a fault ends.
        true => Some(DelayLine::open(*arguments.relays.last().unwrap_or(&arguments.discovery[0])).await?),
        false => None,
    };
    let mut process = Process { arguments, lags: LagLog::new(), limiters: Vec::new(), delay_line };
    report(&Report::Ready(Vec::new()))?;
    let mut ages = interval(AGE_PERIOD);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => process.obey(command)?,
                None => return Ok(()),
            },
            _ = ages.tick() => process.limiters.iter().for_each(HollowLimiter::look_at_age),
        }
    }
}

impl Process {
    fn obey(&mut self, command: Command) -> Result<(), RunError> {
        match command {
            Command::Start => {
                for index in 0..self.arguments.count {
                    let limiter = self.start(index, 0)?;
                    self.limiters.push(limiter);
                }
            }
            Command::RestartTenth => {
                let restarted = self.limiters.len().div_ceil(10);
                for index in 0..restarted {
                    let restarts = self.limiters[index].restarts() + 1;
                    self.limiters[index] = self.start(index as u32, restarts)?;
                }
            }
            Command::Phase(phase) => self.lags.begin(phase),
            Command::DelayReading(time_ms) => {
                if let Some(line) = &self.delay_line {
                    line.hold_for(Duration::from_millis(time_ms));
                }
            }
            Command::Status => report(&Report::Hollow(self.status()))?,
            Command::ChangeRate(_) | Command::Burst(_) | Command::Silence(_) | Command::CutRegion(_) => {}
        }
        Ok(())
    }

    fn start(&self, index: u32, restarts: u32) -> Result<HollowLimiter, RunError> {
        let number = self.arguments.first + index;
        let upstream = self.upstream(number, index == 0);
        HollowLimiter::start(&self.arguments, number, restarts, upstream, self.lags.clone())
    }

    /// Whom a limiter asks; the straggler asks through the delay line alone.
    fn upstream(&self, number: u32, straggles: bool) -> ListUpstream {
        let delayed = self.delay_line.as_ref().filter(|_| straggles).map(DelayLine::address);
        let HollowArguments { discovery: regions, relays, .. } = &self.arguments;
        if relays.is_empty() {
            ListUpstream::Discovery(delayed.unwrap_or(regions[number as usize % regions.len()]))
        } else {
            ListUpstream::Relays(delayed.map_or_else(|| relays.clone(), |address| vec![address]))
        }
    }

    fn status(&self) -> HollowStatus {
        let lags = self.lags.0.borrow();
        HollowStatus {
            limiters: self.limiters.iter().map(HollowLimiter::status).collect(),
            lags: lags.iter().map(|(phase, lags)| lags.report(phase)).collect(),
        }
    }
}
