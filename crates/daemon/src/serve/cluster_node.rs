//! Opens the sockets of cluster membership at startup and starts its tasks once the limiter is ready.

use super::error::ServeError;
use crate::cluster::{self, ClusterService};
use crate::events::EventQueue;
use crate::upstream::servers::Servers;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UnixListener;
use tokio::task::spawn_local;

/// A cluster member whose sockets are open and whose tasks are not started yet.
pub(super) struct ClusterNode {
    cluster: Rc<ClusterService>,
    /// Answers status queries.
    status_listener: Option<UnixListener>,
    /// How often each endpoint is health-checked; `None` for no health checks.
    health_check_interval: Option<Duration>,
}

impl ClusterNode {
    /// Opens the sockets.
    ///
    /// # Errors
    /// One of them cannot be opened, or the settings are invalid.
    pub async fn open(config: &cluster::ClusterConfig, events: Rc<EventQueue>) -> Result<Self, ServeError> {
        let status_listener = config.status_socket.as_deref().map(cluster::bind_status_socket).transpose();
        let status_listener = status_listener.map_err(|error| ServeError::Cluster(error.into()))?;
        let cluster =
            ClusterService::open(config, events).await.map_err(|error| ServeError::Cluster(error.into()))?;
        Ok(ClusterNode { cluster, status_listener, health_check_interval: config.health_check_interval })
    }

    /// Starts the tasks of the member.
    pub fn start(self, servers: &Rc<Servers>) -> Rc<ClusterService> {
        let ClusterNode { cluster, status_listener, health_check_interval } = self;
        spawn_local(cluster.clone().run());
        if let Some(listener) = status_listener {
            spawn_local(cluster.clone().answer_status_queries(listener));
        }
        if let Some(interval) = health_check_interval {
            spawn_local(cluster.clone().run_health_checks(servers.clone(), interval));
        }
        cluster
    }
}
