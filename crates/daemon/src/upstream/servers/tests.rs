use super::*;
use crate::memory::MemoryBudget;

fn status(started_at: Option<f64>) -> ServerStatus {
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
    ServerStatus { address, state: EndpointState::InService, started_at }
}

/// Guards against a connection, or a request about to be written, that outlives a removal and is taken for one to the
/// process that is listed at the same address afterwards.
#[test]
fn a_server_that_is_listed_again_after_its_removal_is_another_process() {
    let servers = Servers::new(&Settings::default(), 1, MemoryBudget::new(0));
    let id = EndpointId::from("s-0");
    let mut processes = Vec::new();
    for started_at in [None, None, Some(1.0)] {
        servers.set_status(&id, status(started_at));
        let process = servers.process(&id);
        assert!(process.is_some() && !processes.contains(&process), "{process:?} after {processes:?}");
        processes.push(process);
        // The same entry once more is the same process.
        servers.set_status(&id, status(started_at));
        assert_eq!(servers.process(&id), process);
        servers.remove(&id);
    }
}
