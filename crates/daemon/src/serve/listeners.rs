//! The listeners for clients: HTTP always, gRPC if the operator's file has a `[grpc]` section.

use super::error::ServeError;
use super::resources::SocketBudget;
use crate::listeners::admission::Admission;
use crate::listeners::grpc::{GrpcServer, Limits};
use crate::listeners::http::HttpServer;
use crate::log::log;
use crate::operator::{self, OperatorConfig};
use crate::startup::{listen, local_address};
use liftrouter_authz::Mapping;
use liftrouter_decision::Settings;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};

/// The sockets of all listeners, bound before any other part of the limiter starts.
pub(super) struct BoundListeners {
    http: TcpListener,
    http_address: SocketAddr,
    grpc: Option<BoundGrpc>,
}

struct BoundGrpc {
    listener: TcpListener,
    limits: Limits,
    mapping: Mapping,
}

impl BoundListeners {
    /// Checks the operator's file against the settings and binds all sockets.
    ///
    /// # Errors
    /// An address cannot be bound, or the operator's file contradicts the settings.
    pub async fn bind(
        address: SocketAddr,
        operator: &OperatorConfig,
        settings: &Settings,
    ) -> Result<Self, ServeError> {
        let http = listen(address, "").await?;
        let http_address = local_address(&http)?;
        operator.check_classes(settings)?;
        let grpc = match &operator.grpc {
            Some(grpc) => Some(BoundGrpc::bind(grpc, settings).await?),
            None => None,
        };
        Ok(BoundListeners { http, http_address, grpc })
    }

    /// The operator's limits of the gRPC listener, if there is one.
    pub fn grpc_limits(&self) -> Option<&Limits> {
        self.grpc.as_ref().map(|grpc| &grpc.limits)
    }
}

impl BoundGrpc {
    async fn bind(grpc: &operator::GrpcConfig, settings: &Settings) -> Result<Self, ServeError> {
        let (limits, mapping) = (grpc.limits.clone(), grpc.mapping(settings)?);
        let listener = listen(limits.listen, " for gRPC").await?;
        Ok(BoundGrpc { listener, limits, mapping })
    }

    /// Lowers the maximum number of connections to one that there is memory for, and logs it.
    fn limit_connections(&mut self, max_connections: usize) {
        let configured = self.limits.max_connections;
        if max_connections < configured {
            log(
                "liftrouter",
                format_args!("gRPC: {max_connections} connections at most, not {configured}: memory_mb has room for no more"),
            );
            self.limits.max_connections = max_connections;
        }
    }
}

/// A listener and the task that accepts its connections.
struct RunningListener<L> {
    socket: Rc<TcpListener>,
    listener: Rc<L>,
    accept_task: JoinHandle<()>,
}

/// The listeners while they accept connections.
pub(super) struct Listeners {
    http: RunningListener<HttpServer>,
    grpc: Option<RunningListener<GrpcServer>>,
}

impl Listeners {
    /// Starts to accept connections and logs the addresses.
    pub fn start(
        bound: BoundListeners,
        admission: &Rc<Admission>,
        sockets: &SocketBudget,
        name: String,
    ) -> Rc<Self> {
        let http = start_http(bound.http, admission.clone(), sockets.clients);
        let grpc = bound.grpc.map(|mut grpc| {
            grpc.limit_connections(sockets.grpc);
            start_grpc(grpc, admission.clone(), name)
        });
        log("liftrouter", format_args!("listening on {}", bound.http_address));
        Rc::new(Listeners { http, grpc })
    }

    /// Reports the limiter as ready to health checks from now on.
    pub fn set_ready(&self) {
        self.http.listener.set_ready();
        if let Some(grpc) = &self.grpc {
            grpc.listener.set_ready();
        }
    }

    /// Begins the graceful shutdown: requests in flight are still answered, and idle connections are closed.
    pub fn drain(&self) {
        self.http.listener.drain();
        if let Some(grpc) = &self.grpc {
            grpc.listener.drain();
        }
    }

    /// Waits until all connections are closed, including those that wait in the kernel's queues: they may carry a request
    /// already, which would be lost if the sockets closed now.
    pub async fn all_closed(&self) {
        loop {
            self.http.listener.all_closed().await;
            if let Some(grpc) = &self.grpc {
                grpc.listener.all_closed().await;
            }
            if !self.accept_queued() {
                return;
            }
        }
    }

    /// Accepts the connections that wait in the kernel's queues. Returns whether there were any.
    fn accept_queued(&self) -> bool {
        let http = self.http.listener.accept_queued(&self.http.socket);
        let grpc = self.grpc.as_ref().is_some_and(|grpc| grpc.listener.accept_queued(&grpc.socket));
        http || grpc
    }

    /// Stops accepting connections.
    pub fn stop_accepting(&self) {
        self.http.accept_task.abort();
        if let Some(grpc) = &self.grpc {
            grpc.accept_task.abort();
        }
    }
}

fn start_http(
    socket: TcpListener,
    admission: Rc<Admission>,
    client_sockets: usize,
) -> RunningListener<HttpServer> {
    let listener = HttpServer::new(admission, client_sockets);
    let socket = Rc::new(socket);
    let accept_task = spawn_local({
        let (listener, socket) = (listener.clone(), socket.clone());
        async move { listener.accept(&socket).await }
    });
    RunningListener { socket, listener, accept_task }
}

fn start_grpc(bound: BoundGrpc, admission: Rc<Admission>, name: String) -> RunningListener<GrpcServer> {
    let BoundGrpc { listener: socket, limits, mapping } = bound;
    let listener = GrpcServer::new(admission, limits, mapping, name);
    if let Ok(address) = socket.local_addr() {
        log("liftrouter", format_args!("gRPC on {address}"));
    }
    let socket = Rc::new(socket);
    let accept_task = spawn_local({
        let (listener, socket) = (listener.clone(), socket.clone());
        async move { listener.accept(&socket).await }
    });
    RunningListener { socket, listener, accept_task }
}
