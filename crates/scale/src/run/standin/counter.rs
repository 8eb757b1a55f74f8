//! A stand-in of the counter: numbers by name, added to and read by `POST /tally/NAME?n=..`.

use super::serve::{listen, serve, Door};
use crate::run::error::RunError;
use crate::run::messages::{Command, Report};
use crate::run::role::report;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;

/// Addresses: the first for hollow limiters, the second for real ones.
const ADDRESSES: usize = 2;

/// Names are dropped, all at once, when there are so many: hollow limiters never need old ones.
const MOST_NAMES: usize = 100_000;

/// Plays the counter until the commands end.
pub async fn play(mut commands: UnboundedReceiver<Command>) -> Result<(), RunError> {
    let totals: Rc<RefCell<HashMap<String, f64>>> = Rc::default();
    let (mut addresses, mut doors) = (Vec::new(), Vec::new());
    for _ in 0..ADDRESSES {
        let (listener, address) = listen(Ipv4Addr::LOCALHOST).await?;
        let (door, totals) = (Door::new(), totals.clone());
        addresses.push(address);
        doors.push(door.clone());
        spawn_local(serve(listener, door, move |request| {
            let answer = tally(&mut totals.borrow_mut(), &request);
            async move { answer }
        }));
    }
    report(&Report::Ready(addresses))?;
    while let Some(command) = commands.recv().await {
        if command == Command::Status {
            report(&Report::Traffic(doors.iter().map(|door| door.meter.traffic()).collect()))?;
        }
    }
    Ok(())
}

fn tally(totals: &mut HashMap<String, f64>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let query = request.uri().query().unwrap_or("");
    let add = query.split('&').find_map(|part| part.strip_prefix("n=")?.parse::<f64>().ok());
    if totals.len() > MOST_NAMES {
        totals.clear();
    }
    let total = totals.entry(request.uri().path().to_owned()).or_default();
    *total += add.unwrap_or(0.0);
    Response::new(Full::from(total.to_string()))
}
