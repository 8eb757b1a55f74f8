//! An HTTP/1.1 listener whose traffic is counted and whose connections can be cut.

use super::metered::{Meter, MeteredStream};
use crate::run::error::RunError;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// A listener on a free port of an address of this machine.
pub async fn listen(address: Ipv4Addr) -> Result<(TcpListener, SocketAddr), RunError> {
    let listener = TcpListener::bind((address, 0)).await.map_err(RunError::io("cannot listen"))?;
    let address = listener.local_addr().map_err(RunError::io("cannot listen"))?;
    Ok((listener, address))
}

/// What is counted of connections, and whether they are cut.
#[derive(Clone, Debug)]
pub struct Door {
    /// Counts.
    pub meter: Rc<Meter>,
    /// While it is true, connections are closed and new ones are not served.
    pub cut: watch::Sender<bool>,
}

impl Door {
    /// An open one.
    pub fn new() -> Self {
        Door { meter: Rc::default(), cut: watch::Sender::new(false) }
    }
}

/// Serves connections from this machine for as long as it is polled.
pub async fn serve<H, F, B>(listener: TcpListener, door: Door, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Error: Into<Box<dyn Error + Send + Sync>>> + 'static,
    B::Data: 'static,
{
    loop {
        // An accept fails where descriptors run out, or the client has gone: others may yet come.
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        if !peer.ip().is_loopback() || *door.cut.borrow() {
            continue;
        }
        spawn_local(serve_connection(stream, door.clone(), handler.clone()));
    }
}

async fn serve_connection<H, F, B>(stream: TcpStream, door: Door, handler: H)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Error: Into<Box<dyn Error + Send + Sync>>> + 'static,
    B::Data: 'static,
{
    // Small answers go out at once; where that cannot be set, they come later.
    let _ = stream.set_nodelay(true);
    door.meter.count(|traffic| traffic.connections += 1);
    let meter = door.meter.clone();
    let service = service_fn(move |request| {
        let (answer, meter) = (handler(request), meter.clone());
        async move {
            let response = answer.await;
            meter.count(|traffic| traffic.requests += 1);
            Ok::<_, Infallible>(response)
        }
    });
    let stream = TokioIo::new(MeteredStream::new(stream, door.meter.clone()));
    let connection = http1::Builder::new().pipeline_flush(true).serve_connection(stream, service);
    let mut cut = door.cut.subscribe();
    tokio::select! {
        // A connection that breaks is the client's matter.
        _ = connection => {}
        _ = cut.wait_for(|cut| *cut) => {}
    }
}
