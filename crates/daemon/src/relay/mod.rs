//! A relay: follows the endpoint list of its upstream and serves it to subscribers, each of which follows all or some
//! services.
//!
//! Relays use the protocol of the discovery service on both sides, so a subscriber may be a limiter or another relay.
//! A relay sends a heartbeat only after it has received one from its upstream, so a list that a subscriber considers
//! fresh was confirmed by the discovery service itself. See `docs/design/relays.md`.

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

/// The configuration of a relay.
pub struct RelayConfig {
    /// The address on which subscribers connect.
    pub listen: SocketAddr,
    /// The discovery service, or relays closer to it.
    pub upstream: Upstream,
    /// Different seeds spread the retries of several relays.
    pub seed: u64,
}

/// Runs a relay until SIGTERM.
///
/// # Errors
/// The address cannot be bound, or a signal handler cannot be installed.
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
        _ = terminated.recv() => log("relay", "SIGTERM: ending, subscribers reconnect to other relays"),
    }
    Ok(())
}
