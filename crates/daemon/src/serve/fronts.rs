//! The fronts at which clients come: HTTP always, gRPC where the operator has one.

use crate::listeners::admission::Admission;
use crate::listeners::grpc::{GrpcServer, Limits};
use crate::listeners::http::HttpServer;
use crate::log::log;
use crate::operator::Operator;
use liftrouter_authz::Mapping;
use liftrouter_decision::Settings;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};

/// The listeners of the fronts, bound before anything else is started.
pub(super) struct Listeners {
    clients: TcpListener,
    clients_at: SocketAddr,
    grpc: Option<GrpcListener>,
}

struct GrpcListener {
    listener: TcpListener,
    limits: Limits,
    mapping: Mapping,
}

impl Listeners {
    /// Binds all of them.
    ///
    /// # Errors
    /// An address cannot be listened on, or the operator's file does not fit the settings.
    pub async fn bind(listen: SocketAddr, operator: &Operator, settings: &Settings) -> Result<Self, String> {
        let clients = TcpListener::bind(listen).await;
        let clients = clients.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
        let clients_at = clients.local_addr().map_err(|e| e.to_string())?;
        operator.check(settings)?;
        let grpc = match &operator.grpc {
            None => None,
            Some(grpc) => {
                let (limits, mapping) = (grpc.limits.clone(), grpc.mapping(settings)?);
                let listener = TcpListener::bind(limits.listen).await;
                let listener =
                    listener.map_err(|e| format!("cannot listen on {} for gRPC: {e}", limits.listen))?;
                Some(GrpcListener { listener, limits, mapping })
            }
        };
        Ok(Listeners { clients, clients_at, grpc })
    }

    /// Sockets that the gRPC front may take.
    pub fn grpc_sockets(&self) -> usize {
        self.grpc.as_ref().map_or(0, |grpc| grpc.limits.connections + 1)
    }
}

/// A front, and the task that accepts its connections.
struct Accepting<F> {
    front: Rc<F>,
    task: JoinHandle<()>,
}

/// The running fronts.
pub(super) struct Fronts {
    clients: Accepting<HttpServer>,
    grpc: Option<Accepting<GrpcServer>>,
}

impl Fronts {
    /// Accepts connections from now on, and says so in the log.
    pub fn start(
        listeners: Listeners,
        gate: &Rc<Admission>,
        client_sockets: usize,
        name: String,
    ) -> Rc<Self> {
        let clients = HttpServer::new(gate.clone(), client_sockets);
        let task = spawn_local({
            let (clients, listener) = (clients.clone(), listeners.clients);
            async move { clients.accept(listener).await }
        });
        let clients = Accepting { front: clients, task };
        let grpc = listeners.grpc.map(|GrpcListener { listener, limits, mapping }| {
            let front = GrpcServer::new(gate.clone(), limits, mapping, name);
            if let Ok(address) = listener.local_addr() {
                log("liftrouter", format_args!("gRPC on {address}"));
            }
            let task = spawn_local({
                let front = front.clone();
                async move { front.accept(listener).await }
            });
            Accepting { front, task }
        });
        log("liftrouter", format_args!("listening on {}", listeners.clients_at));
        Rc::new(Fronts { clients, grpc })
    }

    /// From now on clients are let in.
    pub fn set_ready(&self) {
        self.clients.front.set_ready();
        if let Some(grpc) = &self.grpc {
            grpc.front.set_ready();
        }
    }

    /// Begins the end: what is asked still is answered, and connections are closed as they come to rest.
    pub fn drain(&self) {
        self.clients.front.drain();
        if let Some(grpc) = &self.grpc {
            grpc.front.drain();
        }
    }

    /// Waits until no connection is left.
    pub async fn all_closed(&self) {
        self.clients.front.all_closed().await;
        if let Some(grpc) = &self.grpc {
            grpc.front.all_closed().await;
        }
    }

    /// Accepts no more connections.
    pub fn stop_accepting(&self) {
        self.clients.task.abort();
        if let Some(grpc) = &self.grpc {
            grpc.task.abort();
        }
    }
}
