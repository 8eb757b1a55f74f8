//! A relay: follows the list of servers upstream and serves it to children, each of which follows some services.
//!
//! Relays speak discovery's own protocol on both sides, so a child may be a limiter or another relay. A sign of life
//! goes to the children only when one has come from upstream: what a child takes for fresh is fresh from the root on.
//! See `docs/design/relays.md`.

mod children;
mod server;

use crate::discovery::session::Session;
use crate::discovery::upstream::Upstream;
use crate::log;
use children::{Children, RelayList};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Notify;
use tokio::task::LocalSet;

/// Where a relay listens and whom it follows.
pub struct RelaySetup {
    pub listen: SocketAddr,
    pub upstream: Upstream,
    /// Spreads the retries of several relays.
    pub seed: u64,
}

/// Runs a relay until it is told to end.
///
/// # Errors
/// It cannot listen, or cannot handle signals.
pub fn run(setup: RelaySetup) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, serve(setup))
}

async fn serve(setup: RelaySetup) -> Result<(), String> {
    let mut terminated =
        signal(SignalKind::terminate()).map_err(|e| format!("cannot handle SIGTERM: {e}"))?;
    let listener = TcpListener::bind(setup.listen).await;
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", setup.listen))?;
    let bound = listener.local_addr().map_err(|e| e.to_string())?;
    log("relay", format_args!("listening on {bound}"));
    let children = Rc::new(RefCell::new(Children::default()));
    let list = RelayList::new(children.clone());
    let session = Session::new(Rc::new(setup.upstream), list, Rc::new(Notify::new()), setup.seed);
    tokio::select! {
        () = session.run() => {}
        () = server::accept(listener, children) => {}
        _ = terminated.recv() => log("relay", "SIGTERM: ending, children find other relays"),
    }
    Ok(())
}
