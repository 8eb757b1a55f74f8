//! Health checks of servers: a request for the server's load report.

use super::connection::HttpConnection;
use super::load_report;
use super::servers::{ServerProcess, Servers};
use crate::events::{EventQueue, HostEvent};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use liftrouter_decision::{EndpointId, LoadReport, Outcome};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout of a health check, including the time to connect.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Path that a health check requests.
const LOAD_PATH: &str = "/metrics/load";

/// The response to a health check, and the connection that carried it.
struct CheckResponse {
    response: Response<Bytes>,
    process: ServerProcess,
    connection: HttpConnection,
}

impl Servers {
    /// Requests the load of a server. Pushes the result to the event queue and returns it too.
    pub async fn check_health(
        self: Rc<Self>,
        events: Rc<EventQueue>,
        id: EndpointId,
    ) -> (Outcome, LoadReport) {
        let (outcome, report, reusable) = match timeout(CHECK_TIMEOUT, self.request_load(&id)).await {
            Ok(Some(CheckResponse { response, process, connection })) => {
                let healthy = response.status() == StatusCode::OK;
                let outcome = if healthy { Outcome::Ok } else { Outcome::Overloaded };
                (outcome, report_of(&response), Some((process, connection)))
            }
            Ok(None) => (Outcome::ConnectFailed, LoadReport::default(), None),
            Err(_) => (Outcome::Timeout, LoadReport::default(), None),
        };
        events.push(HostEvent::HealthChecked { endpoint: id.clone(), outcome, report });
        if let Some((process, connection)) = reusable {
            self.return_connection(&id, process, connection).await;
        }
        (outcome, report)
    }

    /// Sends the request. Returns `None` if the server cannot be reached, accepts no new requests, or breaks the
    /// connection, or if no further socket may be opened.
    async fn request_load(&self, id: &EndpointId) -> Option<CheckResponse> {
        let process = self.process(id)?;
        let address = process.address;
        let mut connection = match self.take_idle(id) {
            Some(connection) => connection,
            None if !self.reserve_socket() => return None,
            None => self.connect(address).await?,
        };
        // The endpoint list may have changed while the connection was made.
        self.process(id).filter(|now| *now == process)?;
        let request = Request::get(LOAD_PATH).header(HOST, address.to_string());
        let response = connection.exchange(request.body(Full::default()).ok()?, &self.memory).await.ok()?;
        Some(CheckResponse { response, process, connection })
    }
}

/// The load report of a response. Values in the body override those in the header.
fn report_of(response: &Response<Bytes>) -> LoadReport {
    let mut report = load_report::from_headers(response.headers());
    if let Ok(text) = std::str::from_utf8(response.body()) {
        load_report::parse_into(text.trim(), &mut report);
    }
    report
}
