//! The source, the relays and the replicas, and all that happens between them.

use super::checker::{self, Violation};
use super::follower::{Command, Follower, WatchId};
use super::measure::{Times, Traffic, TrafficSummary};
use super::network::Network;
use super::queue::Queue;
use super::server::{Payload, Server};
use super::source::{service_name, Source};
use super::topology::{Node, Place, Topology};
use super::{Micros, DIGEST_EVERY, HEARTBEAT, HEARTBEAT_TIMEOUT, MILLISECOND, SECOND, STALE_AFTER};
use liftrouter_catalog::{ApplyError, Replica, Subscription, Update, HISTORY_CHANGES};
use std::collections::BTreeSet;

const REPLICAS_PER_SERVICE: f64 = 6.5;
const MOST_SERVICES_PER_REPLICA: usize = 3;
const SAMPLE_EVERY: Micros = SECOND / 2;

/// Relays are there before the replicas.
const REPLICAS_START: Micros = 2 * SECOND;
const REPLICAS_START_WITHIN: Micros = 3 * SECOND;

/// A relay that drops changes drops the entries of one update in so many.
const DROPPED_EVERY: u64 = 5;

/// What is wrong with the tree, if anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    Nothing,
    /// No message carries a digest.
    NoDigests,
    /// One relay forgets the servers of some updates, and does not look at the digests of its upstream.
    RelayDropsChanges,
    /// Replicas never say that they are stale.
    NeverStale,
}

#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub replicas: usize,
    pub relays_per_zone: usize,
    pub changes_per_second: f64,
    pub history: usize,
    pub seed: u64,
    pub broken: Broken,
}

impl Settings {
    /// A tree of so many replicas; changes come ten times as often as the mean of a day of 27,000 in the full size.
    pub fn of_size(replicas: usize) -> Self {
        Settings {
            replicas,
            relays_per_zone: if replicas < 500 { 2 } else { 3 },
            changes_per_second: 10.0 * 27_000.0 / 86_400.0 * replicas as f64 / 7_100.0,
            history: HISTORY_CHANGES,
            seed: 1,
            broken: Broken::Nothing,
        }
    }

    pub fn services(&self) -> usize {
        (self.replicas as f64 / REPLICAS_PER_SERVICE).ceil() as usize
    }
}

enum Event {
    Heartbeat,
    Change,
    Sample,
    Wake(Node),
    Connect { watch: WatchId, child: Node, upstream: Node, after: Option<u64> },
    Close { watch: WatchId, upstream: Node },
    Message { watch: WatchId, child: Node, payload: Payload },
}

pub struct RelayNode {
    server: Server,
    follower: Follower,
    alive: bool,
    wakes_at: Option<Micros>,
    updates: u64,
}

#[allow(clippy::struct_excessive_bools, reason = "each is a fact of its own about a simulated node")]
pub struct ReplicaNode {
    pub replica: Replica,
    pub services: BTreeSet<String>,
    pub wrong_since: Option<Micros>,
    follower: Follower,
    alive: bool,
    wakes_at: Option<Micros>,
    /// Since when changes could come to it.
    reachable_since: Micros,
    /// It has not had a list since then.
    awaits_list: bool,
    never_stale: bool,
    traffic: Traffic,
    violated: bool,
}

impl ReplicaNode {
    /// Whether it says that its list may be out of date.
    pub fn stale(&self, now: Micros) -> bool {
        let stale = self.follower.repairs() || !self.follower.confirmed_within(STALE_AFTER, now);
        self.replica.revision().is_none() || (stale && !self.never_stale)
    }
}

pub struct World {
    pub now: Micros,
    pub source: Source,
    pub topology: Topology,
    pub network: Network,
    pub relays: Vec<RelayNode>,
    pub replicas: Vec<ReplicaNode>,
    /// Times from changes to their being in force.
    pub lags: Times,
    /// Times from the start, return or reconnection of replicas to their next list.
    pub joins: Times,
    pub violations: Vec<Violation>,
    samples: u64,
    /// Samples in which a replica said that it is stale.
    stale_samples: u64,
    pub repairs: u64,
    pub whole_lists: u64,
    settings: Settings,
    queue: Queue<Event>,
    heartbeats: u64,
    changing: bool,
    /// The next change that is sent to this child is lost.
    lose_next: Option<Node>,
    measured_from: Micros,
}

impl World {
    /// A tree whose relays start at once and whose replicas start within seconds, but for those that wait.
    pub fn new(settings: Settings, waits: impl Fn(Place) -> bool) -> Self {
        let topology = Topology::new(settings.replicas, settings.relays_per_zone);
        let mut world = World {
            now: 0,
            source: Source::new(settings.services(), settings.history),
            network: Network::new(settings.seed),
            relays: Vec::new(),
            replicas: Vec::new(),
            lags: Times::default(),
            joins: Times::default(),
            violations: Vec::new(),
            samples: 0,
            stale_samples: 0,
            repairs: 0,
            whole_lists: 0,
            settings,
            queue: Queue::new(),
            heartbeats: 0,
            changing: true,
            lose_next: None,
            measured_from: 0,
            topology,
        };
        world.source.server.without_digests = settings.broken == Broken::NoDigests;
        for index in 0..world.topology.relays.len() {
            let relay = world.new_relay(index);
            world.relays.push(relay);
            world.schedule_wake(Node::Relay(index));
        }
        for index in 0..settings.replicas {
            let replica = world.new_replica(index);
            world.replicas.push(replica);
            if !waits(world.topology.replicas[index]) {
                let start = REPLICAS_START + world.network.random.u64(0..REPLICAS_START_WITHIN);
                world.start_replica(index, start);
            }
        }
        world.queue.push(HEARTBEAT, Event::Heartbeat);
        world.queue.push(SAMPLE_EVERY, Event::Sample);
        world.queue.push(SECOND, Event::Change);
        world
    }

    fn new_relay(&self, index: usize) -> RelayNode {
        let mut server = Server::with_history(self.settings.history);
        server.without_digests = self.settings.broken == Broken::NoDigests;
        RelayNode {
            server,
            follower: Follower::new(self.topology.upstreams(Node::Relay(index)), self.now),
            alive: true,
            wakes_at: None,
            updates: 0,
        }
    }

    fn new_replica(&mut self, index: usize) -> ReplicaNode {
        let services = self.settings.services();
        let mut subscribed = BTreeSet::from([service_name(index % services)]);
        for _ in 1..self.network.random.usize(1..=MOST_SERVICES_PER_REPLICA) {
            subscribed.insert(service_name(self.network.random.usize(0..services)));
        }
        ReplicaNode {
            replica: Replica::new(),
            services: subscribed,
            wrong_since: None,
            follower: Follower::new(self.topology.upstreams(Node::Replica(index)), 0),
            alive: false,
            wakes_at: None,
            reachable_since: 0,
            awaits_list: false,
            never_stale: self.settings.broken == Broken::NeverStale,
            traffic: Traffic::default(),
            violated: false,
        }
    }

    // What scenarios do.

    /// Starts a replica, or lets it return with the list that it held.
    pub fn start_replica(&mut self, index: usize, at: Micros) {
        let upstreams = self.topology.upstreams(Node::Replica(index));
        let replica = &mut self.replicas[index];
        replica.follower = Follower::new(upstreams, at);
        replica.alive = true;
        replica.reachable_since = at;
        replica.awaits_list = true;
        replica.wakes_at = None;
        self.schedule_wake(Node::Replica(index));
    }

    /// Stops a replica; its connections are closed.
    pub fn stop_replica(&mut self, index: usize) {
        let upstream_of_all: Vec<(WatchId, Node)> = self.watches_of(Node::Replica(index));
        for (watch, upstream) in upstream_of_all {
            self.queue.push(self.now + MILLISECOND, Event::Close { watch, upstream });
        }
        self.replicas[index].alive = false;
    }

    /// Stops a replica and starts it without a list.
    pub fn restart_replica(&mut self, index: usize) {
        self.stop_replica(index);
        self.replicas[index].replica = Replica::new();
        self.start_replica(index, self.now);
    }

    fn watches_of(&self, child: Node) -> Vec<(WatchId, Node)> {
        let mut watches = Vec::new();
        for (index, relay) in self.relays.iter().enumerate() {
            let of_child = relay.server.children().filter(|(_, node)| *node == child);
            watches.extend(of_child.map(|(watch, _)| (watch, Node::Relay(index))));
        }
        watches
    }

    /// Ends a relay without a word: its host is gone.
    pub fn kill_relay(&mut self, index: usize) {
        self.relays[index].alive = false;
    }

    /// Starts a relay that holds nothing.
    pub fn restart_relay(&mut self, index: usize) {
        self.relays[index] = self.new_relay(index);
        self.schedule_wake(Node::Relay(index));
    }

    /// The relay of a kind with the most children.
    pub fn busiest_relay(&self, of_zone: bool) -> usize {
        let of_kind = |index: &usize| self.topology.relays[*index].zone.is_some() == of_zone;
        let children = |index: &usize| self.relays[*index].server.children().count();
        (0..self.relays.len()).filter(of_kind).max_by_key(children).expect("there are relays of both kinds")
    }

    /// Loses the next change that is sent to a child.
    pub fn lose_next_change(&mut self, child: Node) {
        self.lose_next = Some(child);
    }

    /// Whether the change that was to be lost is still to come.
    pub fn still_to_lose(&self) -> bool {
        self.lose_next.is_some()
    }

    /// The regions are parted, or come together again.
    pub fn set_regions_apart(&mut self, apart: bool) {
        self.network.regions_apart = apart;
        if apart {
            return;
        }
        for (index, place) in self.topology.replicas.iter().enumerate() {
            if place.region != self.topology.place(Node::Source).region {
                self.replicas[index].reachable_since = self.now;
                self.replicas[index].awaits_list = true;
            }
        }
    }

    /// Makes changes at once, evenly over a time.
    pub fn burst(&mut self, changes: u64, over: Micros) {
        for _ in 0..changes {
            self.run_for(over / changes);
            self.change();
        }
    }

    /// Forgets what was measured until now.
    pub fn measure_from_now(&mut self) {
        self.lags.clear();
        self.joins.clear();
        self.samples = 0;
        self.stale_samples = 0;
        self.repairs = 0;
        self.whole_lists = 0;
        self.measured_from = self.now;
        for replica in &mut self.replicas {
            replica.traffic = Traffic::default();
        }
    }

    /// The share of the samples in which a replica said that it is stale.
    pub fn stale_share(&self) -> f64 {
        self.stale_samples as f64 / self.samples.max(1) as f64
    }

    pub fn traffic(&self) -> TrafficSummary {
        let replicas: Vec<Traffic> = self.replicas.iter().map(|node| node.traffic).collect();
        TrafficSummary::of(&replicas, self.now - self.measured_from)
    }

    /// Ends the changes, waits, and compares every replica with the source.
    pub fn settle(&mut self, wait: Micros) {
        self.changing = false;
        self.run_for(wait);
        for (index, node) in self.replicas.iter().enumerate().filter(|(_, node)| node.alive) {
            self.violations.extend(checker::compare(&self.source, index, node, self.now));
        }
        self.changing = true;
        self.queue.push(self.now, Event::Change);
    }

    pub fn run_for(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    // What happens.

    fn handle(&mut self, event: Event) {
        match event {
            Event::Heartbeat => self.heartbeat(),
            Event::Change => self.change_in_turn(),
            Event::Sample => self.sample(),
            Event::Wake(node) => self.wake(node),
            Event::Connect { watch, child, upstream, after } => self.connect(watch, child, upstream, after),
            Event::Close { watch, upstream } => {
                if let Some(server) = self.server(upstream) {
                    server.close(watch);
                }
            }
            Event::Message { watch, child, payload } => match child {
                Node::Source => {}
                Node::Relay(index) => self.relay_receives(index, watch, payload),
                Node::Replica(index) => self.replica_receives(index, watch, payload),
            },
        }
    }

    fn heartbeat(&mut self) {
        self.queue.push(self.now + HEARTBEAT, Event::Heartbeat);
        self.heartbeats += 1;
        let server = &mut self.source.server;
        let digests = self.heartbeats.is_multiple_of(DIGEST_EVERY);
        let messages = if digests { server.digests(0) } else { server.heartbeats() };
        self.send_all(Node::Source, messages);
    }

    fn change_in_turn(&mut self) {
        if self.changing {
            self.change();
            let pause = Source::pause_between_changes(self.settings.changes_per_second);
            self.queue.push(self.now + pause, Event::Change);
        }
    }

    fn change(&mut self) {
        let services = self.source.change(self.now, &mut self.network.random);
        let messages = self.source.server.deltas(&services, 0);
        self.send_all(Node::Source, messages);
    }

    fn sample(&mut self) {
        self.queue.push(self.now + SAMPLE_EVERY, Event::Sample);
        for (index, node) in self.replicas.iter_mut().enumerate().filter(|(_, node)| node.alive) {
            self.samples += 1;
            self.stale_samples += u64::from(node.stale(self.now));
            if let Some(violation) = checker::sample(&self.source, index, node, self.now) {
                if !std::mem::replace(&mut node.violated, true) {
                    self.violations.push(violation);
                }
            }
        }
    }

    fn server(&mut self, node: Node) -> Option<&mut Server> {
        match node {
            Node::Source => Some(&mut self.source.server),
            Node::Relay(index) => {
                Some(&mut self.relays[index]).filter(|relay| relay.alive).map(|relay| &mut relay.server)
            }
            Node::Replica(_) => None,
        }
    }

    fn connect(&mut self, watch: WatchId, child: Node, upstream: Node, after: Option<u64>) {
        let subscription = match child {
            Node::Replica(index) => Subscription::Services(self.replicas[index].services.clone()),
            _ => Subscription::All,
        };
        let now = self.now;
        let (trusted, confirmed_ago_ms) = match upstream {
            Node::Relay(index) => {
                let follower = &self.relays[index].follower;
                let trusted = follower.confirmed_within(HEARTBEAT_TIMEOUT, now) && !follower.repairs();
                (trusted, follower.confirmed_ago_ms(now))
            }
            _ => (true, 0),
        };
        let Some(server) = self.server(upstream) else { return };
        let first =
            if trusted { server.open(watch, child, subscription, after, confirmed_ago_ms) } else { None };
        if let Some(payload) = first {
            self.send(upstream, watch, payload);
        } else {
            let at = self.now + self.network.delay(&self.topology, upstream, child);
            self.queue.push(at, Event::Message { watch, child, payload: Payload::Refused });
        }
    }

    fn send_all(&mut self, from: Node, messages: Vec<(WatchId, Payload)>) {
        for (watch, payload) in messages {
            self.send(from, watch, payload);
        }
    }

    fn send(&mut self, from: Node, watch: WatchId, payload: Payload) {
        let now = self.now;
        let Some(server) = self.server(from) else { return };
        let Some(child) = server.child(watch) else { return };
        let departure = server.departure(now, payload.bytes());
        if !self.network.connected(&self.topology, from, child) {
            // The connection breaks where it cannot deliver; the child finds it silent.
            self.server(from).into_iter().for_each(|server| server.close(watch));
            return;
        }
        if self.loses(child, &payload) {
            return;
        }
        let at = departure + self.network.delay(&self.topology, from, child);
        let Some(at) = self.server(from).map(|server| server.arrival(watch, at)) else { return };
        self.queue.push(at, Event::Message { watch, child, payload });
    }

    fn loses(&mut self, child: Node, payload: &Payload) -> bool {
        let Payload::Update(encoded) = payload else { return false };
        let lost =
            self.lose_next == Some(child) && !encoded.update.reset && !encoded.update.instances.is_empty();
        if lost {
            self.lose_next = None;
        }
        lost
    }

    fn relay_receives(&mut self, index: usize, watch: WatchId, payload: Payload) {
        let now = self.now;
        let relay = &mut self.relays[index];
        if !relay.alive || !relay.follower.knows(watch) {
            return;
        }
        let mut commands = Vec::new();
        let random = &mut self.network.random;
        let mut messages = Vec::new();
        match payload {
            Payload::Heartbeat => {
                if !relay.follower.repairs() {
                    relay.follower.sign(watch, now, 0, &mut commands);
                    messages = relay.server.heartbeats();
                }
            }
            Payload::Refused => relay.follower.failed(watch, now, random, &mut commands),
            Payload::Update(encoded) => {
                let drops = self.settings.broken == Broken::RelayDropsChanges
                    && index == self.topology.relays.len() - 1;
                let update = relay.received(&encoded.update, drops);
                let quiet = update.instances.is_empty();
                match relay.server.log.apply(update) {
                    Ok(applied) => {
                        let opened =
                            relay.follower.sign(watch, now, encoded.update.confirmed_ago_ms, &mut commands);
                        let ago_ms = relay.follower.confirmed_ago_ms(now);
                        messages = relay.server.deltas(&applied.services, ago_ms);
                        if opened || quiet {
                            messages.extend(relay.server.digests(ago_ms));
                        }
                    }
                    Err(ApplyError::DigestMismatch { .. }) => {
                        self.repairs += 1;
                        relay.follower.repair(watch, now, random, &mut commands);
                    }
                    Err(ApplyError::NoList { .. } | ApplyError::Older { .. }) => {
                        relay.follower.failed(watch, now, random, &mut commands);
                    }
                }
            }
        }
        self.send_all(Node::Relay(index), messages);
        self.run_commands(Node::Relay(index), commands);
    }

    fn replica_receives(&mut self, index: usize, watch: WatchId, payload: Payload) {
        let now = self.now;
        let node = &mut self.replicas[index];
        if !node.alive {
            return;
        }
        node.traffic.add(payload.bytes());
        if !node.follower.knows(watch) {
            return;
        }
        let mut commands = Vec::new();
        let random = &mut self.network.random;
        match payload {
            Payload::Heartbeat => {
                if !node.follower.repairs() {
                    node.follower.sign(watch, now, 0, &mut commands);
                }
            }
            Payload::Refused => node.follower.failed(watch, now, random, &mut commands),
            Payload::Update(encoded) => {
                let before = node.replica.revision();
                self.whole_lists += u64::from(encoded.update.reset);
                match node.replica.apply(&encoded.update) {
                    Ok(_) => {
                        node.follower.sign(watch, now, encoded.update.confirmed_ago_ms, &mut commands);
                        self.note_in_force(index, before);
                    }
                    Err(ApplyError::DigestMismatch { .. }) => {
                        self.repairs += 1;
                        node.follower.repair(watch, now, random, &mut commands);
                    }
                    Err(ApplyError::NoList { .. } | ApplyError::Older { .. }) => {
                        node.follower.failed(watch, now, random, &mut commands);
                    }
                }
            }
        }
        self.run_commands(Node::Replica(index), commands);
    }

    /// Measures the changes that an update brought into force at a replica.
    fn note_in_force(&mut self, index: usize, before: Option<u64>) {
        let node = &mut self.replicas[index];
        if std::mem::take(&mut node.awaits_list) {
            self.joins.add(self.now - node.reachable_since);
        }
        let (Some(before), Some(held)) = (before, node.replica.revision()) else { return };
        for service in &node.services {
            let revisions = self.source.revisions_after(service, before);
            for revision in revisions.iter().take_while(|revision| revision.number <= held) {
                self.lags.add(self.now - revision.at.max(node.reachable_since));
            }
        }
    }

    fn wake(&mut self, node: Node) {
        let now = self.now;
        let mut random = self.network.random.fork();
        let mut commands = Vec::new();
        let Some((follower, wakes_at)) = self.follower(node) else { return };
        // Another wake has taken the place of this one.
        if *wakes_at != Some(now) {
            return;
        }
        *wakes_at = None;
        follower.wake(now, &mut random, &mut commands);
        self.run_commands(node, commands);
    }

    fn follower(&mut self, node: Node) -> Option<(&mut Follower, &mut Option<Micros>)> {
        match node {
            Node::Source => None,
            Node::Relay(index) => {
                let relay = Some(&mut self.relays[index]).filter(|relay| relay.alive)?;
                Some((&mut relay.follower, &mut relay.wakes_at))
            }
            Node::Replica(index) => {
                let replica = Some(&mut self.replicas[index]).filter(|replica| replica.alive)?;
                Some((&mut replica.follower, &mut replica.wakes_at))
            }
        }
    }

    /// Sees to it that the node wakes no later than it wants to.
    fn schedule_wake(&mut self, node: Node) {
        let now = self.now;
        let Some((follower, wakes_at)) = self.follower(node) else { return };
        let Some(wanted) = follower.wake_at().map(|at| at.max(now)) else { return };
        if wakes_at.is_none_or(|at| wanted < at || at < now) {
            *wakes_at = Some(wanted);
            self.queue.push(wanted, Event::Wake(node));
        }
    }

    fn run_commands(&mut self, child: Node, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Connect { watch, upstream } => self.send_call(watch, child, upstream),
                Command::Close { watch, upstream } => {
                    if self.network.connected(&self.topology, child, upstream) {
                        let at = self.now + self.network.delay(&self.topology, child, upstream);
                        self.queue.push(at, Event::Close { watch, upstream });
                    }
                }
            }
        }
        self.schedule_wake(child);
    }

    fn send_call(&mut self, watch: WatchId, child: Node, upstream: Node) {
        let lost = !self.network.connected(&self.topology, child, upstream) || self.network.loses_call();
        if lost {
            return;
        }
        let (repairs, held) = match child {
            Node::Source => return,
            Node::Relay(index) => {
                (self.relays[index].follower.repairs(), self.relays[index].server.log.revision())
            }
            Node::Replica(index) => {
                (self.replicas[index].follower.repairs(), self.replicas[index].replica.revision())
            }
        };
        let after = held.filter(|_| !repairs);
        let at = self.now + self.network.delay(&self.topology, child, upstream);
        self.queue.push(at, Event::Connect { watch, child, upstream, after });
    }
}

impl RelayNode {
    /// An update as the relay takes it in; a broken one loses some.
    fn received(&mut self, update: &Update, drops: bool) -> Update {
        let mut update = update.clone();
        if drops && !update.reset {
            self.updates += 1;
            update.digest = None;
            if self.updates.is_multiple_of(DROPPED_EVERY) {
                update.instances.clear();
            }
        }
        update
    }
}
