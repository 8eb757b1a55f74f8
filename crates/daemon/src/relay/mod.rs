//! A relay: follows the endpoint list upstream and serves it to subscribers, each of which follows some services.
//!
//! Relays speak discovery's own protocol on both sides, so a subscriber may be a limiter or another relay. A heartbeat
//! goes to the subscribers only when one has come from upstream: a list that a subscriber takes for fresh is fresh
//! from the root on. See `docs/design/relays.md`.

mod list_sink;
mod server;
mod subscribers;
#[cfg(test)]
mod tests;

use crate::discovery::session::Session;
use crate::discovery::upstream::Upstream;
use crate::log;
use crate::startup::{self, handle_signal, local_address, runtime, StartupError};
use list_sink::RelayList;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use subscribers::SubscriberTable;
use tokio::signal::unix::SignalKind;
use tokio::sync::Notify;
use tokio::task::LocalSet;

/// Where a relay listens and what it follows.
pub struct RelayConfig {
    /// Where subscribers connect.
    pub listen: SocketAddr,
    /// Discovery, or relays nearer to the root.
    pub upstream: Upstream,
    /// Spreads the retries of several relays.
    pub seed: u64,
}

/// Runs a relay until SIGTERM.
///
/// # Errors
/// It cannot listen, or cannot handle signals.
pub fn run(config: RelayConfig) -> Result<(), StartupError> {
    let runtime = runtime()?;
    LocalSet::new().block_on(&runtime, serve(config))
}

async fn serve(config: RelayConfig) -> Result<(), StartupError> {
    let mut terminated = handle_signal(SignalKind::terminate(), "SIGTERM")?;
    let listener = startup::listen(config.listen, "").await?;
    log("relay", format_args!("listening on {}", local_address(&listener)?));
    let subscribers = Rc::new(RefCell::new(SubscriberTable::default()));
    let list = RelayList::new(subscribers.clone());
    let session = Session::new(Rc::new(config.upstream), list, Rc::new(Notify::new()), config.seed);
    tokio::select! {
        () = session.run() => {}
        () = server::accept(listener, subscribers) => {}
        _ = terminated.recv() => log("relay", "SIGTERM: ending, children find other relays"),
    }
    Ok(())
}
