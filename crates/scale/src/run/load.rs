//! The load generator: a light, even load on the real limiters, and the time that they add to the servers' own.

use super::error::RunError;
use super::messages::{Command, LoadStatus, Report};
use super::role::report;
use super::settings::{CLASS, PLAN};
use bytes::Bytes;
use clap::Args;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::{interval, timeout, Instant, MissedTickBehavior};

/// Connections to each limiter.
const CONNECTIONS: u32 = 4;
/// Customers that requests are made for.
const CUSTOMERS: u64 = 1_000;
/// A request is given up after this time.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Digits that the histogram keeps of each value.
const DIGITS: u8 = 3;

/// Whom it loads, and how much.
#[derive(Args, Clone, Debug)]
pub struct LoadArguments {
    /// The real limiters.
    #[arg(long, value_delimiter = ',', required = true)]
    limiters: Vec<SocketAddr>,
    /// Requests a second to each.
    #[arg(long)]
    requests_per_second: f64,
    /// Seed of the customers.
    #[arg(long)]
    seed: u64,
}

/// What was measured since the phase began.
struct Measured {
    added_us: RefCell<Histogram<u64>>,
    served: Cell<u64>,
    failed: Cell<u64>,
}

impl Measured {
    fn new() -> Self {
        let added_us = Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!("a histogram of three digits"));
        Measured { added_us: RefCell::new(added_us), served: Cell::new(0), failed: Cell::new(0) }
    }

    fn clear(&self) {
        self.added_us.borrow_mut().clear();
        self.served.set(0);
        self.failed.set(0);
    }

    fn note(&self, added: Option<Duration>) {
        match added {
            Some(added) => {
                self.served.set(self.served.get() + 1);
                // It grows with what is recorded, so nothing is out of its range.
                let _ = self.added_us.borrow_mut().record(added.as_micros() as u64);
            }
            None => self.failed.set(self.failed.get() + 1),
        }
    }

    fn status(&self) -> LoadStatus {
        let added_us = self.added_us.borrow();
        let quantile_ms = |share| added_us.value_at_quantile(share) as f64 / 1_000.0;
        LoadStatus {
            served: self.served.get(),
            failed: self.failed.get(),
            added_p50_ms: quantile_ms(0.5),
            added_p99_ms: quantile_ms(0.99),
        }
    }
}

/// Plays the load generator until the commands end.
pub async fn play(
    arguments: LoadArguments,
    mut commands: UnboundedReceiver<Command>,
) -> Result<(), RunError> {
    let measured = Rc::new(Measured::new());
    let per_connection = arguments.requests_per_second / f64::from(CONNECTIONS);
    if let Ok(period) = Duration::try_from_secs_f64(1.0 / per_connection) {
        for (n, limiter) in arguments.limiters.iter().enumerate() {
            for connection in 0..CONNECTIONS {
                let seed = arguments.seed ^ ((n as u64) << 8) ^ u64::from(connection);
                spawn_local(load(*limiter, period, seed, measured.clone()));
            }
        }
    }
    report(&Report::Ready(Vec::new()))?;
    while let Some(command) = commands.recv().await {
        match command {
            Command::Phase(_) => measured.clear(),
            Command::Status => report(&Report::Load(measured.status()))?,
            _ => {}
        }
    }
    Ok(())
}

/// Loads one limiter on one connection.
async fn load(limiter: SocketAddr, period: Duration, seed: u64, measured: Rc<Measured>) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut connection = None;
    loop {
        ticks.tick().await;
        let mut sender = match connection.take() {
            Some(sender) => sender,
            None => match connect(limiter).await {
                Some(sender) => sender,
                None => {
                    measured.note(None);
                    continue;
                }
            },
        };
        let added = timeout(TIMEOUT, exchange(&mut sender, &mut random)).await.ok().flatten();
        measured.note(added);
        connection = added.map(|_| sender);
    }
}

async fn connect(limiter: SocketAddr) -> Option<SendRequest<Empty<Bytes>>> {
    let stream = TcpStream::connect(limiter).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(connection);
    Some(sender)
}

/// Makes a request; the time that it took beyond the server's own, if it was served.
async fn exchange(sender: &mut SendRequest<Empty<Bytes>>, random: &mut fastrand::Rng) -> Option<Duration> {
    sender.ready().await.ok()?;
    let request = Request::get(format!("/{CLASS}/{:016x}", random.u64(1..=CUSTOMERS)))
        .header("Host", "api.internal")
        .header("X-Correlation-Id", format!("{:016x}", random.u64(..)))
        .header("X-Contract", PLAN)
        .header("X-Time-Left", "2000m")
        .header("X-Metering", "units=1,spread=1,first=1")
        .body(Empty::new())
        .ok()?;
    let began = Instant::now();
    let response = sender.send_request(request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let took = began.elapsed();
    let server_us: u64 = std::str::from_utf8(&body).ok()?.trim().parse().ok()?;
    Some(took.saturating_sub(Duration::from_micros(server_us)))
}
