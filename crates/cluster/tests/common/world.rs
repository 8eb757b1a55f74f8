//! Simulates processes and the network between them, and checks the holders of shards at each step.

use super::{address, Link, GOSSIP, LEASE, SECOND};
use liftrouter_cluster::gossip::GossipSettings;
use liftrouter_cluster::lease::LeaseSettings;
use liftrouter_cluster::{Action, ClusterMember, Event, Micros, Notification, Settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

enum Scheduled {
    Deliver(usize, usize, Vec<u8>),
    Wake(usize, u32),
}

pub struct Node {
    pub member: Option<ClusterMember>,
    /// The rate of its clock relative to true time.
    clock_rate: f64,
    /// Its clock at time 0.
    clock_offset: Micros,
    pub paused: bool,
    starts: u32,
    scheduled_wake: Micros,
    /// Datagrams that arrived while it was paused.
    delayed: Vec<(usize, Vec<u8>)>,
    pub notifications: Vec<(Micros, Notification)>,
    pub sent: usize,
    pub bytes: usize,
}

pub struct World {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub links: BTreeMap<(usize, usize), Link>,
    /// Faults of all links, in addition to those in `links`.
    pub all_links: Link,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    next: u64,
    rng: fastrand::Rng,
    voters: usize,
    pub shards: u16,
    /// Shards that had two holders: the time, the shard, and both holders.
    pub double_holders: Vec<(Micros, u16, usize, usize)>,
    /// The highest fencing token seen, by shard.
    pub highest_tokens: BTreeMap<u16, u64>,
    /// Fencing tokens that decreased: the time, the shard, the highest token before, and the lower token.
    pub token_regressions: Vec<(Micros, u16, u64, u64)>,
    /// Whether holders are checked at each step.
    pub check: bool,
    pub gossip: GossipSettings,
    pub lease: LeaseSettings,
}

impl World {
    pub fn new(count: usize, voters: usize, shards: u16, seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let node = |rng: &mut fastrand::Rng| Node {
            member: None,
            clock_rate: 1.0 + (rng.f64() * 2.0 - 1.0) * LEASE.clock_drift,
            clock_offset: rng.u64(0..1_000 * SECOND),
            paused: false,
            starts: 0,
            scheduled_wake: Micros::MAX,
            delayed: Vec::new(),
            notifications: Vec::new(),
            sent: 0,
            bytes: 0,
        };
        let nodes = (0..count).map(|_| node(&mut rng)).collect();
        World {
            now: 0,
            nodes,
            links: BTreeMap::new(),
            all_links: Link::default(),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            next: 0,
            rng,
            voters,
            shards,
            double_holders: Vec::new(),
            highest_tokens: BTreeMap::new(),
            token_regressions: Vec::new(),
            check: true,
            gossip: GOSSIP,
            lease: LEASE,
        }
    }

    pub fn clock(&self, n: usize) -> Micros {
        self.nodes[n].clock_offset + (self.now as f64 * self.nodes[n].clock_rate) as Micros
    }

    fn schedule(&mut self, at: Micros, event: Scheduled) {
        self.next += 1;
        self.queue.push(Reverse((at.max(self.now), self.next)));
        self.scheduled.insert(self.next, event);
    }

    pub fn start(&mut self, n: usize) {
        self.start_with_wall_clock(n, 1_800_000_000_000 + self.now / 1_000);
    }

    /// Starts a member whose wall clock shows this Unix time in milliseconds.
    pub fn start_with_wall_clock(&mut self, n: usize, unix_ms: u64) {
        let settings = Settings {
            name: format!("n{n}"),
            address: address(n),
            seeds: (0..3.min(self.nodes.len())).map(address).collect(),
            voters: (0..self.voters).map(address).collect(),
            shards: self.shards,
            gossip: self.gossip,
            lease: self.lease,
        };
        let (clock, instance) = (self.clock(n), self.rng.u64(1..));
        let member = ClusterMember::new(settings, instance, clock, unix_ms);
        let node = &mut self.nodes[n];
        node.member = Some(member.expect("settings"));
        (node.starts, node.paused, node.scheduled_wake) = (node.starts + 1, false, Micros::MAX);
        node.delayed.clear();
        self.handle(n, Event::Wake);
    }

    pub fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        (node.member, node.paused) = (None, false);
        node.delayed.clear();
    }

    pub fn leave(&mut self, n: usize) {
        self.handle(n, Event::Leave);
        self.kill(n);
    }

    pub fn pause(&mut self, n: usize) {
        self.nodes[n].paused = self.nodes[n].member.is_some();
    }

    pub fn resume(&mut self, n: usize) {
        self.nodes[n].paused = false;
        self.check_holders();
        for (from, bytes) in std::mem::take(&mut self.nodes[n].delayed) {
            self.handle(n, Event::Datagram(address(from), &bytes));
        }
        self.handle(n, Event::Wake);
    }

    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        self.links.entry((from, to)).or_default().cut = cut;
    }

    pub fn heal(&mut self) {
        self.links.clear();
        self.all_links = Link::default();
        for n in 0..self.nodes.len() {
            if self.nodes[n].member.is_none() {
                self.start(n);
            } else if self.nodes[n].paused {
                self.resume(n);
            }
        }
    }

    fn handle(&mut self, n: usize, event: Event) {
        let clock = self.clock(n);
        let Some(member) = self.nodes[n].member.as_mut() else { return };
        let mut actions = Vec::new();
        member.handle(clock, event, &mut actions);
        let wake = member.wake_at(clock).max(clock + 1);
        for action in actions {
            match action {
                Action::Send(to, bytes) => self.send(n, to, &bytes),
                Action::Notify(notification) => self.nodes[n].notifications.push((self.now, notification)),
            }
        }
        let node = &mut self.nodes[n];
        let at = ((wake - node.clock_offset) as f64 / node.clock_rate).ceil() as Micros;
        if wake < Micros::MAX && at < node.scheduled_wake {
            node.scheduled_wake = at;
            let starts = node.starts;
            self.schedule(at, Scheduled::Wake(n, starts));
        }
        self.check_holders();
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: &[u8]) {
        assert!(bytes.len() <= liftrouter_cluster::MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        self.nodes[from].sent += 1;
        self.nodes[from].bytes += bytes.len();
        let Some(to) = (to.port() as usize).checked_sub(20_000).filter(|to| *to < self.nodes.len()) else {
            return;
        };
        let link = self.links.get(&(from, to)).copied().unwrap_or_default();
        let loss = link.loss.max(self.all_links.loss);
        let copies = 1 + usize::from(self.rng.f64() < link.duplicated.max(self.all_links.duplicated));
        for _ in 0..copies {
            if link.cut || self.all_links.cut || self.rng.f64() < loss {
                continue;
            }
            let max_delay = link.max_delay.max(self.all_links.max_delay);
            let at = self.now + 1_000 + self.rng.u64(0..=max_delay);
            self.schedule(at, Scheduled::Deliver(from, to, bytes.to_vec()));
        }
    }

    /// Records shards with two holders, and fencing tokens that decrease.
    fn check_holders(&mut self) {
        if !self.check {
            return;
        }
        for shard in 0..self.shards {
            let mut holder: Option<usize> = None;
            for n in 0..self.nodes.len() {
                let clock = self.clock(n);
                let node = &self.nodes[n];
                let token =
                    node.member.as_ref().filter(|_| !node.paused).and_then(|m| m.fencing_token(clock, shard));
                let Some(token) = token else { continue };
                if let Some(other) = holder {
                    self.double_holders.push((self.now, shard, other, n));
                }
                holder = Some(n);
                let known = self.highest_tokens.entry(shard).or_default();
                if token < *known {
                    self.token_regressions.push((self.now, shard, *known, token));
                }
                *known = token.max(*known);
            }
        }
    }

    pub fn run(&mut self, until: Micros) {
        while let Some(Reverse((at, n))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            match self.scheduled.remove(&n) {
                Some(Scheduled::Deliver(from, to, bytes)) => {
                    let node = &mut self.nodes[to];
                    if node.paused {
                        node.delayed.push((from, bytes));
                    } else if node.member.is_some() {
                        self.handle(to, Event::Datagram(address(from), &bytes));
                    }
                }
                Some(Scheduled::Wake(n, starts)) => {
                    let node = &mut self.nodes[n];
                    if node.starts == starts {
                        node.scheduled_wake = Micros::MAX;
                        if !node.paused && node.member.is_some() {
                            self.handle(n, Event::Wake);
                        }
                    }
                }
                None => {}
            }
        }
        self.now = until;
    }

    /// For each live process, the number of members that it believes alive, itself included.
    pub fn live_counts(&self) -> Vec<usize> {
        self.nodes.iter().filter_map(|n| n.member.as_ref()).map(|member| member.alive().count()).collect()
    }

    /// The number of shards without a holder now.
    pub fn unheld_shards(&self) -> usize {
        let holds = |shard: u16| {
            (0..self.nodes.len()).any(|n| {
                let node = &self.nodes[n];
                !node.paused
                    && node.member.as_ref().is_some_and(|m| m.fencing_token(self.clock(n), shard).is_some())
            })
        };
        (0..self.shards).filter(|shard| !holds(*shard)).count()
    }

    /// Runs until a condition holds, which is checked every 10 ms, for at most `limit`. Returns the time taken.
    pub fn run_until(&mut self, limit: Micros, condition: impl Fn(&World) -> bool) -> Option<Micros> {
        let from = self.now;
        while self.now < from + limit {
            if condition(self) {
                return Some(self.now - from);
            }
            let next = self.now + 10_000;
            self.run(next);
        }
        condition(self).then_some(limit)
    }
}
