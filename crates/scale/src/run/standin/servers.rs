//! The servers of a fleet: one process that answers for all of them.

use super::serve::{listen, serve, Door};
use crate::run::error::RunError;
use crate::run::messages::{Command, Report};
use crate::run::role::report;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// How long a server works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(3);

/// Plays the servers until the commands end. They listen on every address of the machine, since each listed server
/// has a loopback address of its own; connections from elsewhere are not served.
pub async fn play(mut commands: UnboundedReceiver<Command>) -> Result<(), RunError> {
    let (listener, address) = listen(Ipv4Addr::UNSPECIFIED).await?;
    let door = Door::new();
    spawn_local(serve(listener, door.clone(), answer));
    report(&Report::Ready(vec![address]))?;
    while let Some(command) = commands.recv().await {
        if command == Command::Status {
            report(&Report::Traffic(vec![door.meter.traffic()]))?;
        }
    }
    Ok(())
}

/// Answers after the service time with the microseconds that it really took.
async fn answer(_: Request<Incoming>) -> Response<Full<Bytes>> {
    let began = Instant::now();
    sleep(SERVICE_TIME).await;
    Response::new(Full::from(began.elapsed().as_micros().to_string()))
}
