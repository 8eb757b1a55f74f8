//! What the platform of large fleets asks of the daemon as `run` starts it: one dynamically linked process that
//! starts no other, with TCP and UDP over IPv4 alone, also while it serves and after new addresses.
#![cfg(target_os = "linux")]
mod common;

use common::*;
use std::collections::HashSet;
use std::fs;

/// The sockets that a process holds, by inode.
fn sockets(pid: u32) -> HashSet<String> {
    let fds = fs::read_dir(format!("/proc/{pid}/fd")).expect("its descriptors");
    let targets =
        fds.filter_map(|fd| Some(fs::read_link(fd.ok()?.path()).ok()?.to_string_lossy().into_owned()));
    targets.filter_map(|t| Some(t.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())).collect()
}

/// The inodes that the kernel lists for a kind of socket, by the column in which it has them, in lines of more
/// than so many columns.
fn inodes(pid: u32, kind: &str, column: usize, more_than: usize) -> HashSet<String> {
    let table = fs::read_to_string(format!("/proc/{pid}/net/{kind}")).unwrap_or_default();
    let lines = table.lines().skip(1).map(|l| l.split_whitespace().collect::<Vec<_>>());
    lines.filter(|l| l.len() > more_than).map(|l| l[column].to_owned()).collect()
}

/// Those of a kind of socket over IP.
fn over_ip(pid: u32, kind: &str) -> HashSet<String> {
    inodes(pid, kind, 9, 9)
}

fn keeps_to_the_platform(pid: u32) {
    let children = fs::read_to_string(format!("/proc/{pid}/task/{pid}/children")).expect("its children");
    assert_eq!(children.trim(), "", "it started other processes");
    let held = sockets(pid);
    let ours: HashSet<_> = over_ip(pid, "tcp").union(&over_ip(pid, "udp")).cloned().collect();
    assert!(!held.is_disjoint(&ours), "its listener is found, else this looks at the wrong place");
    // The runtime's own pair for signals leads nowhere else: nobody can come to a socket without a name.
    // A line of the table has seven columns, and the name, where there is one, as an eighth.
    assert!(held.is_disjoint(&inodes(pid, "unix", 6, 7)), "a Unix socket has a name");
    for kind in ["tcp6", "udp6"] {
        assert!(held.is_disjoint(&over_ip(pid, kind)), "a socket of {kind}");
    }
    let maps = fs::read_to_string(format!("/proc/{pid}/maps")).expect("its maps");
    assert!(maps.contains("libc.so"), "the C library is linked dynamically");
}

#[test]
fn the_daemon_keeps_to_what_the_platform_of_large_fleets_allows() {
    let server = Fake::new(|_| ok("served"));
    let mut limiter = Limiter::with_servers(&[&server]);
    keeps_to_the_platform(limiter.pid());
    assert_eq!(limiter.client().ask(&quote("roomy", 1500)).status(), 200);
    keeps_to_the_platform(limiter.pid());
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let counter = counter();
    limiter.move_to(discovery.address, counter.address);
    wait_until("it asks the new discovery", || discovery.count() > 0);
    keeps_to_the_platform(limiter.pid());
    limiter.terminate();
    assert_eq!(limiter.wait().code(), Some(0));
}

#[test]
fn run_ends_by_exec_and_names_nothing_that_the_platform_refuses() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let deploy: toml::Table = fs::read_to_string(file).expect("the deploy file").parse().expect("TOML");
    let run = deploy["run"].as_str().expect("a command");
    assert!(run.starts_with("exec "), "the shell stays beside it: {run}");
    // Everything that opens further listeners or needs a disk is named in the operator's own file.
    assert!(!run.contains("--operator"), "{run}");
    assert!(!run.contains(['|', '&', ';']), "further processes: {run}");
}
