//! This limiter as a member of its cluster, before it runs.

use super::error::ServeError;
use crate::cluster::{self, ClusterService};
use crate::events::EventQueue;
use crate::upstream::servers::Servers;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UnixListener;
use tokio::task::spawn_local;

/// This limiter as a member of its cluster, before it runs.
pub(super) struct ClusterNode {
    group: Rc<ClusterService>,
    /// Answers status queries.
    status_listener: Option<UnixListener>,
    /// How often each node is probed, where they are.
    health_check_interval: Option<Duration>,
}

impl ClusterNode {
    /// Opens the sockets.
    ///
    /// # Errors
    /// One of them cannot be opened, or the settings cannot be used.
    pub async fn open(config: &cluster::ClusterConfig, events: Rc<EventQueue>) -> Result<Self, ServeError> {
        let status_listener = config.status_socket.as_deref().map(cluster::bind_status_socket).transpose();
        let status_listener = status_listener.map_err(|error| ServeError::Cluster(error.into()))?;
        let group =
            ClusterService::open(config, events).await.map_err(|error| ServeError::Cluster(error.into()))?;
        Ok(ClusterNode { group, status_listener, health_check_interval: config.health_check_interval })
    }

    /// Takes part in the cluster from now on.
    pub fn start(self, servers: &Rc<Servers>) -> Rc<ClusterService> {
        let ClusterNode { group, status_listener, health_check_interval } = self;
        spawn_local(group.clone().run());
        if let Some(listener) = status_listener {
            spawn_local(group.clone().answer_status_queries(listener));
        }
        if let Some(interval) = health_check_interval {
            spawn_local(group.clone().run_health_checks(servers.clone(), interval));
        }
        group
    }
}
