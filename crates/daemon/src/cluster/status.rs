//! Status queries on a Unix socket: the answer is one JSON object, after which the connection ends.

use super::{ClusterError, ClusterService};
use crate::listeners::accept::ACCEPT_PAUSE;
use crate::log;
use liftrouter_cluster::lease::FencingToken;
use liftrouter_cluster::{LocalStatus, MemberStatus, Micros, Shard};
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use std::io::{self, Read};
use std::os::unix::fs::FileTypeExt;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::UnixListener;
use tokio::time::{sleep, timeout};

#[cfg(test)]
mod tests;

/// How long either side waits for the other.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
const MICROS_PER_SECOND: f64 = 1e6;

/// One member in the status report.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct MemberEntry {
    name: String,
    address: String,
    instance: String,
    /// `alive`, `suspect` or `gone`.
    #[serde(rename = "seen")]
    state: String,
    /// Seconds since it was last seen to join or leave.
    #[serde(rename = "for_s")]
    since_change_s: f64,
    #[serde(rename = "slots")]
    assigned_shards: usize,
}

/// The answer to a status query.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct StatusReport {
    /// The answering member comes first.
    members: Vec<MemberEntry>,
    /// The shards that the answering member holds, with their fencing tokens.
    #[serde(rename = "held")]
    leases: Vec<(Shard, FencingToken)>,
    #[serde(rename = "slowness")]
    health_score: u32,
}

impl MemberEntry {
    fn new(member: MemberStatus, now: Micros) -> MemberEntry {
        MemberEntry {
            name: member.identity.name,
            address: member.identity.address.to_string(),
            instance: format!("{:016x}", member.identity.instance),
            state: member.state.as_str().into(),
            since_change_s: now.saturating_sub(member.since) as f64 / MICROS_PER_SECOND,
            assigned_shards: member.assigned_shards,
        }
    }
}

impl StatusReport {
    fn new(members: Vec<MemberStatus>, local: &LocalStatus, now: Micros) -> StatusReport {
        StatusReport {
            members: members.into_iter().map(|member| MemberEntry::new(member, now)).collect(),
            leases: local.leases.iter().map(|lease| (lease.shard, lease.token)).collect(),
            health_score: local.health_score,
        }
    }

    /// The table that operators read.
    fn to_table(&self) -> String {
        let mut table = format!(
            "{:20} {:22} {:16} {:8} {:>10} {:>6}\n",
            "member", "address", "instance", "", "for", "slots"
        );
        for member in &self.members {
            let _ = writeln!(
                table,
                "{:20} {:22} {:16} {:8} {:>8.1} s {:>6}",
                member.name,
                member.address,
                member.instance,
                member.state,
                member.since_change_s,
                member.assigned_shards
            );
        }
        let shards: Vec<String> = self.leases.iter().map(|(shard, _)| shard.to_string()).collect();
        let _ = writeln!(table, "holds {} slots: {}", shards.len(), shards.join(" "));
        if self.health_score > 0 {
            let factor = 1 + self.health_score;
            let _ =
                writeln!(table, "timers ran late recently: suspicion timeouts are {factor} times as long");
        }
        table
    }
}

/// Listens for status queries. Replaces a socket that an earlier process left behind.
///
/// # Errors
/// The socket cannot be opened, or another file is in its place.
pub fn bind_status_socket(path: &Path) -> Result<UnixListener, ClusterError> {
    let error = |source: io::Error| ClusterError::StatusSocket { path: path.into(), source };
    // Only sockets are removed: any other file was not left by a limiter.
    if std::fs::symlink_metadata(path).is_ok_and(|metadata| metadata.file_type().is_socket()) {
        std::fs::remove_file(path).map_err(error)?;
    }
    UnixListener::bind(path).map_err(error)
}

/// Answers status queries.
pub(super) async fn answer(cluster: Rc<ClusterService>, listener: UnixListener) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            // Most often because the process is out of descriptors, which would make the next attempt fail at once.
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let now = cluster.now();
        let report = {
            let member = cluster.member.borrow();
            StatusReport::new(member.members(now), &member.local_status(now), now)
        };
        let Ok(mut text) = serde_json::to_string(&report) else { continue };
        text.push('\n');
        // A client that does not read must not block the next.
        if timeout(STATUS_TIMEOUT, stream.write_all(text.as_bytes())).await.is_err() {
            log("members", "a status query timed out: the client did not read the answer");
        }
    }
}

/// Queries the status of a running limiter, as JSON or as a table.
///
/// # Errors
/// No limiter answers, or the answer cannot be decoded.
pub fn query_status(path: &Path, json: bool) -> Result<String, ClusterError> {
    let text = read_status(path).map_err(|source| ClusterError::NoAnswer { path: path.into(), source })?;
    if json {
        return Ok(text);
    }
    let report: StatusReport = serde_json::from_str(&text)
        .map_err(|source| ClusterError::InvalidAnswer { path: path.into(), source })?;
    Ok(report.to_table())
}

fn read_status(path: &Path) -> io::Result<String> {
    let mut stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(STATUS_TIMEOUT))?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}
