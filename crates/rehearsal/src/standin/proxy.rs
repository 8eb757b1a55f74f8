//! A bare pass-through proxy on hyper that keeps the deployment's contract and decides nothing: the yardstick
//! for what forwarding costs by itself, and a limiter that is known to be wrong.
//!
//! It takes requests in turn to the servers that the list named last, on kept connections, once each.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// How often the list is asked for anew.
const REFRESH: Duration = Duration::from_secs(1);
/// The longest that an answer is waited for.
const LONGEST: Duration = Duration::from_secs(10);

#[derive(Deserialize)]
struct Config {
    listen: SocketAddr,
    discovery: SocketAddr,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    host_port: SocketAddr,
    lifecycle: String,
}

#[derive(Deserialize)]
struct List {
    instances: Vec<Instance>,
}

type Sender = SendRequest<Full<Bytes>>;

#[derive(Default)]
struct Proxy {
    servers: RefCell<Vec<SocketAddr>>,
    next: Cell<usize>,
    idle: RefCell<HashMap<SocketAddr, Vec<Sender>>>,
}

/// Runs it by the configuration that `ROUTER_CONFIG` names, until it is ended.
///
/// # Errors
/// The configuration cannot be used, or the address cannot be listened on.
pub fn run() -> Result<(), String> {
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG is not set".to_string())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let config: Config = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, serve(config))
}

async fn serve(config: Config) -> Result<(), String> {
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let proxy = Rc::new(Proxy::default());
    spawn_local({
        let proxy = proxy.clone();
        async move {
            loop {
                if let Ok(servers) = timeout(REFRESH, list(config.discovery)).await {
                    proxy.servers.replace(servers.unwrap_or_default());
                }
                sleep(REFRESH).await;
            }
        }
    });
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let proxy = proxy.clone();
        spawn_local(async move {
            let service = service_fn(|request| {
                let proxy = proxy.clone();
                async move { Ok::<_, Infallible>(proxy.pass(request).await) }
            });
            let http = hyper::server::conn::http1::Builder::new();
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(connection);
    Some(sender)
}

async fn list(address: SocketAddr) -> Option<Vec<SocketAddr>> {
    let mut sender = connect(address).await?;
    let request = Request::get("/discovery/hosts").header("host", "list").body(Full::default()).ok()?;
    let body = sender.send_request(request).await.ok()?.into_body().collect().await.ok()?.to_bytes();
    let list: List = serde_json::from_slice(&body).ok()?;
    let serving = list.instances.into_iter().filter(|i| i.lifecycle == "in_service");
    Some(serving.map(|i| i.host_port).collect())
}

impl Proxy {
    async fn pass(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let plain = |status| {
            let mut response = Response::new(Full::default());
            *response.status_mut() = status;
            response
        };
        if request.uri().path() == "/up" {
            let ready = !self.servers.borrow().is_empty();
            return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
        }
        let passed = timeout(LONGEST, self.forward(request)).await;
        passed.ok().flatten().unwrap_or_else(|| plain(StatusCode::BAD_GATEWAY))
    }

    async fn forward(&self, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        let n = self.next.replace(self.next.get().wrapping_add(1));
        let address = {
            let servers = self.servers.borrow();
            *servers.get(n % servers.len().max(1))?
        };
        let kept = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop).filter(Sender::is_ready);
        let mut sender = match kept {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let answer = sender.send_request(Request::from_parts(head, Full::new(body))).await.ok()?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        self.idle.borrow_mut().entry(address).or_default().push(sender);
        let mut answer = Response::new(Full::new(body));
        *answer.status_mut() = head.status;
        Some(answer)
    }
}
