//! A forwarder that can hold back what discovery tells a limiter.

use crate::run::error::RunError;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{copy, AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The most bytes that are read and not forwarded yet.
const BUFFER: usize = 16 * 1024;

/// Forwards connections to an address; while it holds, nothing comes back.
pub struct DelayLine {
    address: SocketAddr,
    holds: watch::Sender<bool>,
}

impl DelayLine {
    /// Listens for connections that are forwarded to this address.
    pub async fn open(upstream: SocketAddr) -> Result<Self, RunError> {
        let failed = || RunError::io("cannot listen for the straggler");
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.map_err(failed())?;
        let address = listener.local_addr().map_err(failed())?;
        let holds = watch::Sender::new(false);
        let held = holds.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(forward(stream, upstream, held.subscribe()));
            }
        });
        Ok(DelayLine { address, holds })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds back for so long.
    pub fn hold_for(&self, time: Duration) {
        self.holds.send_replace(true);
        let holds = self.holds.clone();
        spawn_local(async move {
            sleep(time).await;
            holds.send_replace(false);
        });
    }
}

/// Forwards one connection until either end closes it.
async fn forward(stream: TcpStream, upstream: SocketAddr, holds: watch::Receiver<bool>) {
    let Ok(upstream) = TcpStream::connect(upstream).await else { return };
    let (mut from_limiter, to_limiter) = stream.into_split();
    let (from_discovery, mut to_discovery) = upstream.into_split();
    tokio::select! {
        // Whatever ended it, the limiter sees its connection close.
        _ = copy(&mut from_limiter, &mut to_discovery) => {}
        () = forward_held(from_discovery, to_limiter, holds) => {}
    }
}

async fn forward_held(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut holds: watch::Receiver<bool>) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let Ok(read @ 1..) = from.read(&mut buffer).await else { return };
        if holds.wait_for(|holds| !*holds).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
