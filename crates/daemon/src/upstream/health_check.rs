//! Health checks: a request for a server's load.

use super::connection::HttpConnection;
use super::load_report;
use super::servers::Servers;
use crate::events::{EventQueue, HostEvent};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use liftrouter_decision::{EndpointId, LoadReport, Outcome};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time that a health check may take, its connect included.
const TIMEOUT: Duration = Duration::from_millis(250);
/// What a health check asks for.
const TARGET: &str = "/metrics/load";

/// The answer to a health check, and the connection that it came on.
struct Checked {
    answer: Response<Bytes>,
    address: SocketAddr,
    connection: HttpConnection,
}

impl Servers {
    /// Asks a server for its load. Both the caller and the event queue get the result.
    pub async fn check_health(
        self: Rc<Self>,
        events: Rc<EventQueue>,
        id: EndpointId,
    ) -> (Outcome, LoadReport) {
        let (outcome, report, kept) = match timeout(TIMEOUT, self.check(&id)).await {
            Ok(Some(Checked { answer, address, connection })) => {
                let healthy = answer.status() == StatusCode::OK;
                let outcome = if healthy { Outcome::Ok } else { Outcome::Overloaded };
                (outcome, report_of(&answer), Some((address, connection)))
            }
            Ok(None) => (Outcome::ConnectFailed, LoadReport::default(), None),
            Err(_) => (Outcome::Timeout, LoadReport::default(), None),
        };
        events.push(HostEvent::HealthChecked { endpoint: id.clone(), outcome, report });
        if let Some((address, connection)) = kept {
            self.keep(&id, address, connection).await;
        }
        (outcome, report)
    }

    /// None if the server cannot be reached, takes no new work, or breaks the connection.
    async fn check(&self, id: &EndpointId) -> Option<Checked> {
        let address = self.address(id)?;
        let mut connection = match self.take_idle(id) {
            Some(connection) => connection,
            None if !self.reserve_socket() => return None,
            None => self.connect(address).await?,
        };
        // The list may have changed while connecting.
        self.address(id).filter(|now| *now == address)?;
        let request = Request::get(TARGET).header(HOST, address.to_string());
        let answer = connection.exchange(request.body(Full::default()).ok()?).await.ok()?;
        Some(Checked { answer, address, connection })
    }
}

/// The load in an answer's headers, and over it the load in its body.
fn report_of(answer: &Response<Bytes>) -> LoadReport {
    let mut report = load_report::from_headers(answer.headers());
    if let Ok(text) = std::str::from_utf8(answer.body()) {
        load_report::read_into(text.trim(), &mut report);
    }
    report
}
