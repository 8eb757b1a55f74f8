//! Traffic and state of gossip between members, in simulated time. No duties: there are no voters.

use super::process::{cpu_time, resident, MeasureError, Reading};
use liftrouter_cluster::gossip::GossipSettings;
use liftrouter_cluster::lease::LeaseSettings;
use liftrouter_cluster::{Action, ClusterMember, Event, Micros, Settings};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

const SECOND: Micros = 1_000_000;
/// Time between two starts.
const START_GAP: Micros = 20_000;
/// How long a datagram takes.
const TRAVEL: Micros = 1_000;
/// How long the members may take to find together; traffic is measured afterwards, whether they have or not.
const PATIENCE: Micros = 120 * SECOND;
/// How long traffic is measured.
const MEASURED: Micros = 20 * SECOND;
const FIRST_PORT: u16 = 20_000;
const UNIX_MS: u64 = 1_800_000_000_000;
/// Members that a new one asks to be let in.
const JOIN: usize = 3;

enum Due {
    Wake,
    Deliver(SocketAddr, Vec<u8>),
}

struct Scheduled {
    at: Micros,
    order: u64,
    member: usize,
    due: Due,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

#[derive(Clone, Copy, Default)]
struct Sent {
    datagrams: usize,
    bytes: usize,
}

/// Members on a network without faults.
struct Network {
    now: Micros,
    members: Vec<ClusterMember>,
    waking: Vec<Micros>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    sent: Sent,
}

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + member as u16))
}

fn member_settings(member: usize, count: usize) -> Settings {
    Settings {
        name: format!("limiter-{member}"),
        address: address(member),
        seeds: (0..JOIN.min(count)).map(address).collect(),
        voters: Vec::new(),
        shards: 64,
        gossip: GossipSettings {
            probe_period: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(150),
            suspicion_timeout: Duration::from_millis(1_500),
            expected_members: count as u32,
        },
        lease: LeaseSettings { duration: 2 * SECOND, clock_drift: 0.01 },
    }
}

impl Network {
    fn start(&mut self, member: usize, count: usize, instance: u64) -> Result<(), MeasureError> {
        let stamp = UNIX_MS + self.now / 1_000;
        let members = ClusterMember::new(member_settings(member, count), instance, self.now, stamp);
        let invalid = |problems| MeasureError::Invalid(format!("settings of a member: {problems:?}"));
        self.members.push(members.map_err(invalid)?);
        self.waking.push(Micros::MAX);
        self.feed(member, &Due::Wake);
        Ok(())
    }

    fn schedule(&mut self, at: Micros, member: usize, due: Due) {
        self.order += 1;
        self.queue.push(Reverse(Scheduled { at, order: self.order, member, due }));
    }

    fn feed(&mut self, member: usize, due: &Due) {
        let mut outputs = Vec::new();
        let input = match due {
            Due::Wake => Event::Wake,
            Due::Deliver(from, bytes) => Event::Datagram(*from, bytes),
        };
        self.members[member].handle(self.now, input, &mut outputs);
        for output in outputs {
            if let Action::Send(to, bytes) = output {
                self.send(member, to, bytes);
            }
        }
        let at = self.members[member].wake_at(self.now).max(self.now + 1);
        if at < self.waking[member] {
            self.waking[member] = at;
            self.schedule(at, member, Due::Wake);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.sent.datagrams += 1;
        self.sent.bytes += bytes.len();
        let receiver = usize::from(to.port() - FIRST_PORT);
        if receiver < self.members.len() {
            self.schedule(self.now + TRAVEL, receiver, Due::Deliver(address(from), bytes));
        }
    }

    fn run(&mut self, until: Micros) {
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= until) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at;
            if matches!(next.due, Due::Wake) {
                self.waking[next.member] = Micros::MAX;
            }
            self.feed(next.member, &next.due);
        }
        self.now = until;
    }

    /// Mean share of all members that a member knows.
    fn known_share(&self) -> f64 {
        let count = self.members.len() as f64;
        let known: usize = self.members.iter().map(|member| member.alive().count()).sum();
        known as f64 / (count * count)
    }

    fn knows_all(&self) -> bool {
        self.members.iter().all(|member| member.alive().count() == self.members.len())
    }
}

/// Readings for so many members.
///
/// # Errors
/// Settings that a member refuses, or memory cannot be read.
pub fn play(count: usize, seed: u64) -> Result<Vec<Reading>, MeasureError> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let before = resident()?;
    let mut network = Network {
        now: 0,
        members: Vec::with_capacity(count),
        waking: Vec::new(),
        queue: BinaryHeap::new(),
        order: 0,
        sent: Sent::default(),
    };
    for member in 0..count {
        network.start(member, count, rng.u64(1..))?;
        network.run(network.now + START_GAP);
    }
    let started = network.now;
    while !network.knows_all() {
        if network.now >= started + PATIENCE {
            break;
        }
        network.run(network.now + SECOND / 2);
    }
    let joined = network.now;
    let known_share = network.known_share();
    network.sent = Sent::default();
    let began = cpu_time();
    network.run(joined + MEASURED);
    let cpu = cpu_time() - began;
    let after = resident()?;
    let per_member = |total: f64| total / count as f64;
    let rate = |total: usize| per_member(total as f64) * SECOND as f64 / MEASURED as f64;
    Ok(vec![
        Reading::new("gossip.sent_bytes_per_s", rate(network.sent.bytes)),
        Reading::new("gossip.sent_datagrams_per_s", rate(network.sent.datagrams)),
        Reading::new("gossip.resident_kb_per_member", per_member(after.now_kb - before.now_kb)),
        Reading::new("gossip.cpu_us_per_s", rate(cpu.as_micros() as usize)),
        Reading::new("gossip.known_share", known_share),
        Reading::new("gossip.find_together_s", (joined - started) as f64 / SECOND as f64),
    ])
}
