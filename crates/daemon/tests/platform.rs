//! What the platform of large fleets requires of the daemon as the `run` command starts it: one dynamically linked
//! process that starts no other, with TCP and UDP over IPv4 only, also while it serves and after a change of addresses.
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

/// The inodes in the kernel's table of a kind of socket: this column of the lines that have more than `more_than`
/// columns.
fn inodes(pid: u32, kind: &str, column: usize, more_than: usize) -> HashSet<String> {
    let table = fs::read_to_string(format!("/proc/{pid}/net/{kind}")).unwrap_or_default();
    let lines = table.lines().skip(1).map(|l| l.split_whitespace().collect::<Vec<_>>());
    lines.filter(|l| l.len() > more_than).map(|l| l[column].to_owned()).collect()
}

/// The inodes of a kind of IP socket.
fn over_ip(pid: u32, kind: &str) -> HashSet<String> {
    inodes(pid, kind, 9, 9)
}

fn assert_platform_requirements(pid: u32) {
    let children = fs::read_to_string(format!("/proc/{pid}/task/{pid}/children")).expect("its children");
    assert_eq!(children.trim(), "", "it started other processes");
    let held = sockets(pid);
    let ours: HashSet<_> = over_ip(pid, "tcp").union(&over_ip(pid, "udp")).cloned().collect();
    assert!(!held.is_disjoint(&ours), "the listener's socket is not in the kernel's tables");
    // The async runtime has a pair of unnamed Unix sockets for signals, to which no other process can connect.
    // A line of the table has seven columns, and the name, if there is one, as the eighth.
    assert!(held.is_disjoint(&inodes(pid, "unix", 6, 7)), "a Unix socket has a name");
    for kind in ["tcp6", "udp6"] {
        assert!(held.is_disjoint(&over_ip(pid, kind)), "a socket of {kind}");
    }
    let maps = fs::read_to_string(format!("/proc/{pid}/maps")).expect("its maps");
    assert!(maps.contains("libc.so"), "the C library is linked dynamically");
}

#[test]
fn the_daemon_meets_the_requirements_of_the_platform() {
    let server = Fake::new(|_| ok("served"));
    let mut limiter = Limiter::with_servers(&[&server]);
    assert_platform_requirements(limiter.pid());
    assert_eq!(limiter.client().ask(&quote("roomy", 1500)).status(), 200);
    assert_platform_requirements(limiter.pid());
    let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
    let counter = counter();
    limiter.move_to(discovery.address, counter.address);
    wait_until("it calls the new discovery service", || discovery.count() > 0);
    assert_platform_requirements(limiter.pid());
    limiter.terminate();
    assert_eq!(limiter.wait().code(), Some(0));
}

#[test]
fn the_run_command_uses_exec_and_no_option_that_the_platform_forbids() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let deploy: toml::Table = fs::read_to_string(file).expect("the deploy file").parse().expect("TOML");
    let run = deploy["run"].as_str().expect("a command");
    assert!(run.starts_with("exec "), "the shell would stay as a second process: {run}");
    // Only the operator's file enables what opens further listeners or needs a disk.
    assert!(!run.contains("--operator"), "{run}");
    assert!(!run.contains(['|', '&', ';']), "further processes: {run}");
}
