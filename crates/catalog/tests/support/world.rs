//! The simulated source, relays and replicas, and the events between them.

use super::checker::{self, Violation};
use super::follower::{Command, Follower, WatchId};
use super::measure::{Durations, Traffic, TrafficRates};
use super::network::Network;
use super::queue::Queue;
use super::server::{Payload, Server};
use super::source::{service_name, Source};
use super::topology::{Node, Place, Topology};
use super::{Micros, HEARTBEAT, HEARTBEATS_PER_DIGEST, HEARTBEAT_TIMEOUT, MILLISECOND, SECOND, STALE_AFTER};
use liftrouter_catalog::{ApplyError, Replica, Subscription, Update, HISTORY_CHANGES};
use std::collections::BTreeSet;

const REPLICAS_PER_SERVICE: f64 = 6.5;
const MAX_SERVICES_PER_REPLICA: usize = 3;
const SAMPLE_INTERVAL: Micros = SECOND / 2;

/// Replicas start after the relays, at random times within the spread.
const FIRST_REPLICA_START: Micros = 2 * SECOND;
const REPLICA_START_SPREAD: Micros = 3 * SECOND;

/// The relay with `Defect::RelayDropsChanges` drops the changes of every nth delta.
const UPDATES_PER_DROP: u64 = 5;

/// A deliberate defect, which the checker must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// Messages lack digests.
    NoDigests,
    /// One relay drops the changes of some deltas, and does not check the digests of its upstream.
    RelayDropsChanges,
    /// Replicas with a list never report themselves stale.
    NeverStale,
}

#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub replicas: usize,
    pub relays_per_zone: usize,
    pub changes_per_second: f64,
    pub history: usize,
    pub seed: u64,
    pub defect: Defect,
}

impl Settings {
    /// Settings of a tree with this number of replicas. The rate of changes is ten times the mean of 27,000 changes a
    /// day in a tree of 7,100 replicas, scaled to the size.
    pub fn with_replicas(replicas: usize) -> Self {
        Settings {
            replicas,
            relays_per_zone: if replicas < 500 { 2 } else { 3 },
            changes_per_second: 10.0 * 27_000.0 / 86_400.0 * replicas as f64 / 7_100.0,
            history: HISTORY_CHANGES,
            seed: 1,
            defect: Defect::None,
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
    scheduled_wake: Option<Micros>,
    deltas_received: u64,
}

#[allow(clippy::struct_excessive_bools, reason = "the flags are independent")]
pub struct ReplicaNode {
    pub replica: Replica,
    pub services: BTreeSet<String>,
    pub mismatch_since: Option<Micros>,
    follower: Follower,
    alive: bool,
    scheduled_wake: Option<Micros>,
    /// When it was started or its region was last reconnected; changes could not reach it before.
    reachable_since: Micros,
    /// Whether it has applied no update since `reachable_since`.
    awaiting_list: bool,
    /// See `Defect::NeverStale`.
    never_stale: bool,
    traffic: Traffic,
    violation_reported: bool,
}

impl ReplicaNode {
    /// Whether it reports that its list may be out of date.
    pub fn stale(&self, now: Micros) -> bool {
        let stale = self.follower.needs_whole_list() || !self.follower.confirmed_within(STALE_AFTER, now);
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
    /// Durations from a change at the source to its application by a replica.
    pub lags: Durations,
    /// Durations from the start, return or reconnection of a replica to its next applied update.
    pub joins: Durations,
    pub violations: Vec<Violation>,
    samples: u64,
    /// The number of samples in which a replica reported itself stale.
    stale_samples: u64,
    /// The number of updates rejected for a digest mismatch.
    pub repairs: u64,
    /// The number of whole lists that replicas received.
    pub whole_lists: u64,
    settings: Settings,
    queue: Queue<Event>,
    heartbeats: u64,
    changes_enabled: bool,
    /// The child whose next delta with changes is lost.
    drop_next_change_to: Option<Node>,
    measurement_start: Micros,
}

impl World {
    /// Creates a tree. Relays start at once, and replicas within seconds except those that the scenario starts later.
    pub fn new(settings: Settings, starts_later: impl Fn(Place) -> bool) -> Self {
        let topology = Topology::new(settings.replicas, settings.relays_per_zone);
        let mut world = World {
            now: 0,
            source: Source::new(settings.services(), settings.history),
            network: Network::new(settings.seed),
            relays: Vec::new(),
            replicas: Vec::new(),
            lags: Durations::default(),
            joins: Durations::default(),
            violations: Vec::new(),
            samples: 0,
            stale_samples: 0,
            repairs: 0,
            whole_lists: 0,
            settings,
            queue: Queue::new(),
            heartbeats: 0,
            changes_enabled: true,
            drop_next_change_to: None,
            measurement_start: 0,
            topology,
        };
        world.source.server.without_digests = settings.defect == Defect::NoDigests;
        for index in 0..world.topology.relays.len() {
            let relay = world.new_relay(index);
            world.relays.push(relay);
            world.schedule_wake(Node::Relay(index));
        }
        for index in 0..settings.replicas {
            let replica = world.new_replica(index);
            world.replicas.push(replica);
            if !starts_later(world.topology.replicas[index]) {
                let start = FIRST_REPLICA_START + world.network.random.u64(0..REPLICA_START_SPREAD);
                world.start_replica(index, start);
            }
        }
        world.queue.push(HEARTBEAT, Event::Heartbeat);
        world.queue.push(SAMPLE_INTERVAL, Event::Sample);
        world.queue.push(SECOND, Event::Change);
        world
    }

    fn new_relay(&self, index: usize) -> RelayNode {
        let mut server = Server::with_history(self.settings.history);
        server.without_digests = self.settings.defect == Defect::NoDigests;
        RelayNode {
            server,
            follower: Follower::new(self.topology.upstreams(Node::Relay(index)), self.now),
            alive: true,
            scheduled_wake: None,
            deltas_received: 0,
        }
    }

    fn new_replica(&mut self, index: usize) -> ReplicaNode {
        let services = self.settings.services();
        let mut subscribed = BTreeSet::from([service_name(index % services)]);
        for _ in 1..self.network.random.usize(1..=MAX_SERVICES_PER_REPLICA) {
            subscribed.insert(service_name(self.network.random.usize(0..services)));
        }
        ReplicaNode {
            replica: Replica::new(),
            services: subscribed,
            mismatch_since: None,
            follower: Follower::new(self.topology.upstreams(Node::Replica(index)), 0),
            alive: false,
            scheduled_wake: None,
            reachable_since: 0,
            awaiting_list: false,
            never_stale: self.settings.defect == Defect::NeverStale,
            traffic: Traffic::default(),
            violation_reported: false,
        }
    }

    // Operations of scenarios.

    /// Starts a replica; one that was stopped keeps its list.
    pub fn start_replica(&mut self, index: usize, at: Micros) {
        let upstreams = self.topology.upstreams(Node::Replica(index));
        let replica = &mut self.replicas[index];
        replica.follower = Follower::new(upstreams, at);
        replica.alive = true;
        replica.reachable_since = at;
        replica.awaiting_list = true;
        replica.scheduled_wake = None;
        self.schedule_wake(Node::Replica(index));
    }

    /// Stops a replica and closes its connections.
    pub fn stop_replica(&mut self, index: usize) {
        let watches: Vec<(WatchId, Node)> = self.watches_of(Node::Replica(index));
        for (watch, upstream) in watches {
            self.queue.push(self.now + MILLISECOND, Event::Close { watch, upstream });
        }
        self.replicas[index].alive = false;
    }

    /// Restarts a replica without its list.
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

    /// Stops a relay without closing its connections, as if its host had failed.
    pub fn kill_relay(&mut self, index: usize) {
        self.relays[index].alive = false;
    }

    /// Starts a relay again without its list and watches.
    pub fn restart_relay(&mut self, index: usize) {
        self.relays[index] = self.new_relay(index);
        self.schedule_wake(Node::Relay(index));
    }

    /// The relay with the most children among those of zones or those of regions.
    pub fn busiest_relay(&self, of_zone: bool) -> usize {
        let of_kind = |index: &usize| self.topology.relays[*index].zone.is_some() == of_zone;
        let children = |index: &usize| self.relays[*index].server.children().count();
        (0..self.relays.len()).filter(of_kind).max_by_key(children).expect("there are relays of both kinds")
    }

    /// Loses the next delta with changes that is sent to a child.
    pub fn drop_next_change(&mut self, child: Node) {
        self.drop_next_change_to = Some(child);
    }

    /// Whether the delta to be lost has not been sent yet.
    pub fn change_drop_pending(&self) -> bool {
        self.drop_next_change_to.is_some()
    }

    /// Starts or ends a network partition between the regions.
    pub fn set_partitioned(&mut self, partitioned: bool) {
        self.network.partitioned = partitioned;
        if partitioned {
            return;
        }
        for (index, place) in self.topology.replicas.iter().enumerate() {
            if place.region != self.topology.place(Node::Source).region {
                self.replicas[index].reachable_since = self.now;
                self.replicas[index].awaiting_list = true;
            }
        }
    }

    /// Makes changes at regular intervals over a duration.
    pub fn apply_burst(&mut self, changes: u64, over: Micros) {
        for _ in 0..changes {
            self.run_for(over / changes);
            self.apply_change();
        }
    }

    /// Discards all measurements made so far.
    pub fn reset_measurements(&mut self) {
        self.lags.clear();
        self.joins.clear();
        self.samples = 0;
        self.stale_samples = 0;
        self.repairs = 0;
        self.whole_lists = 0;
        self.measurement_start = self.now;
        for replica in &mut self.replicas {
            replica.traffic = Traffic::default();
        }
    }

    /// The ratio of samples in which a replica reported itself stale.
    pub fn stale_ratio(&self) -> f64 {
        self.stale_samples as f64 / self.samples.max(1) as f64
    }

    pub fn traffic(&self) -> TrafficRates {
        let replicas: Vec<Traffic> = self.replicas.iter().map(|node| node.traffic).collect();
        TrafficRates::of(&replicas, self.now - self.measurement_start)
    }

    /// Pauses the changes for a duration, and compares every running replica with the source at its end.
    pub fn check_convergence(&mut self, wait: Micros) {
        self.changes_enabled = false;
        self.run_for(wait);
        for (index, node) in self.replicas.iter().enumerate().filter(|(_, node)| node.alive) {
            self.violations.extend(checker::compare(&self.source, index, node, self.now));
        }
        self.changes_enabled = true;
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

    // Event handlers.

    fn handle(&mut self, event: Event) {
        match event {
            Event::Heartbeat => self.heartbeat(),
            Event::Change => self.scheduled_change(),
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
        let digests = self.heartbeats.is_multiple_of(HEARTBEATS_PER_DIGEST);
        let messages = if digests { server.digests(0) } else { server.heartbeats() };
        self.send_all(Node::Source, messages);
    }

    fn scheduled_change(&mut self) {
        if self.changes_enabled {
            self.apply_change();
            let pause = Source::change_interval(self.settings.changes_per_second);
            self.queue.push(self.now + pause, Event::Change);
        }
    }

    fn apply_change(&mut self) {
        let services = self.source.change(self.now, &mut self.network.random);
        let messages = self.source.server.deltas(&services, 0);
        self.send_all(Node::Source, messages);
    }

    fn sample(&mut self) {
        self.queue.push(self.now + SAMPLE_INTERVAL, Event::Sample);
        for (index, node) in self.replicas.iter_mut().enumerate().filter(|(_, node)| node.alive) {
            self.samples += 1;
            self.stale_samples += u64::from(node.stale(self.now));
            if let Some(violation) = checker::sample(&self.source, index, node, self.now) {
                if !std::mem::replace(&mut node.violation_reported, true) {
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
        let (is_trusted, confirmed_ago_ms) = match upstream {
            Node::Relay(index) => {
                let follower = &self.relays[index].follower;
                let is_trusted =
                    follower.confirmed_within(HEARTBEAT_TIMEOUT, now) && !follower.needs_whole_list();
                (is_trusted, follower.confirmed_ago_ms(now))
            }
            _ => (true, 0),
        };
        let Some(server) = self.server(upstream) else { return };
        let first_message =
            if is_trusted { server.open(watch, child, subscription, after, confirmed_ago_ms) } else { None };
        if let Some(payload) = first_message {
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
        let departure = server.departure_time(now, payload.bytes());
        if !self.network.can_reach(&self.topology, from, child) {
            // The server closes a connection that cannot deliver; the child notices only its silence.
            self.server(from).into_iter().for_each(|server| server.close(watch));
            return;
        }
        if self.drops_message(child, &payload) {
            return;
        }
        let at = departure + self.network.delay(&self.topology, from, child);
        let Some(at) = self.server(from).map(|server| server.arrival_time(watch, at)) else { return };
        self.queue.push(at, Event::Message { watch, child, payload });
    }

    fn drops_message(&mut self, child: Node, payload: &Payload) -> bool {
        let Payload::Update(encoded) = payload else { return false };
        let is_lost = self.drop_next_change_to == Some(child)
            && !encoded.update.reset
            && !encoded.update.instances.is_empty();
        if is_lost {
            self.drop_next_change_to = None;
        }
        is_lost
    }

    fn relay_receives(&mut self, index: usize, watch: WatchId, payload: Payload) {
        let now = self.now;
        let relay = &mut self.relays[index];
        if !relay.alive || !relay.follower.is_active(watch) {
            return;
        }
        let mut commands = Vec::new();
        let random = &mut self.network.random;
        let mut messages = Vec::new();
        match payload {
            Payload::Heartbeat => {
                if !relay.follower.needs_whole_list() {
                    relay.follower.message_applied(watch, now, 0, &mut commands);
                    messages = relay.server.heartbeats();
                }
            }
            Payload::Refused => relay.follower.connection_failed(watch, now, random, &mut commands),
            Payload::Update(encoded) => {
                let drops_changes = self.settings.defect == Defect::RelayDropsChanges
                    && index == self.topology.relays.len() - 1;
                let update = relay.apply_defect(&encoded.update, drops_changes);
                let without_changes = update.instances.is_empty();
                match relay.server.log.apply(update) {
                    Ok(applied) => {
                        let opened = relay.follower.message_applied(
                            watch,
                            now,
                            encoded.update.confirmed_ago_ms,
                            &mut commands,
                        );
                        let ago_ms = relay.follower.confirmed_ago_ms(now);
                        messages = relay.server.deltas(&applied.services, ago_ms);
                        if opened || without_changes {
                            messages.extend(relay.server.digests(ago_ms));
                        }
                    }
                    Err(ApplyError::DigestMismatch { .. }) => {
                        self.repairs += 1;
                        relay.follower.request_whole_list(watch, now, random, &mut commands);
                    }
                    Err(ApplyError::NoList { .. } | ApplyError::Older { .. }) => {
                        relay.follower.connection_failed(watch, now, random, &mut commands);
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
        if !node.follower.is_active(watch) {
            return;
        }
        let mut commands = Vec::new();
        let random = &mut self.network.random;
        match payload {
            Payload::Heartbeat => {
                if !node.follower.needs_whole_list() {
                    node.follower.message_applied(watch, now, 0, &mut commands);
                }
            }
            Payload::Refused => node.follower.connection_failed(watch, now, random, &mut commands),
            Payload::Update(encoded) => {
                let before = node.replica.revision();
                self.whole_lists += u64::from(encoded.update.reset);
                match node.replica.apply(&encoded.update) {
                    Ok(_) => {
                        node.follower.message_applied(
                            watch,
                            now,
                            encoded.update.confirmed_ago_ms,
                            &mut commands,
                        );
                        self.record_propagation(index, before);
                    }
                    Err(ApplyError::DigestMismatch { .. }) => {
                        self.repairs += 1;
                        node.follower.request_whole_list(watch, now, random, &mut commands);
                    }
                    Err(ApplyError::NoList { .. } | ApplyError::Older { .. }) => {
                        node.follower.connection_failed(watch, now, random, &mut commands);
                    }
                }
            }
        }
        self.run_commands(Node::Replica(index), commands);
    }

    /// Records how long the changes of an update took to be applied by a replica.
    fn record_propagation(&mut self, index: usize, before: Option<u64>) {
        let node = &mut self.replicas[index];
        if std::mem::take(&mut node.awaiting_list) {
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
        let Some((follower, scheduled_wake)) = self.follower(node) else { return };
        // Another wake was scheduled in place of this one.
        if *scheduled_wake != Some(now) {
            return;
        }
        *scheduled_wake = None;
        follower.wake(now, &mut random, &mut commands);
        self.run_commands(node, commands);
    }

    fn follower(&mut self, node: Node) -> Option<(&mut Follower, &mut Option<Micros>)> {
        match node {
            Node::Source => None,
            Node::Relay(index) => {
                let relay = Some(&mut self.relays[index]).filter(|relay| relay.alive)?;
                Some((&mut relay.follower, &mut relay.scheduled_wake))
            }
            Node::Replica(index) => {
                let replica = Some(&mut self.replicas[index]).filter(|replica| replica.alive)?;
                Some((&mut replica.follower, &mut replica.scheduled_wake))
            }
        }
    }

    /// Schedules a wake of a node unless it has one that is early enough.
    fn schedule_wake(&mut self, node: Node) {
        let now = self.now;
        let Some((follower, scheduled_wake)) = self.follower(node) else { return };
        let Some(wanted) = follower.wake_at().map(|at| at.max(now)) else { return };
        if scheduled_wake.is_none_or(|at| wanted < at || at < now) {
            *scheduled_wake = Some(wanted);
            self.queue.push(wanted, Event::Wake(node));
        }
    }

    fn run_commands(&mut self, child: Node, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Connect { watch, upstream } => self.send_connect(watch, child, upstream),
                Command::Close { watch, upstream } => {
                    if self.network.can_reach(&self.topology, child, upstream) {
                        let at = self.now + self.network.delay(&self.topology, child, upstream);
                        self.queue.push(at, Event::Close { watch, upstream });
                    }
                }
            }
        }
        self.schedule_wake(child);
    }

    fn send_connect(&mut self, watch: WatchId, child: Node, upstream: Node) {
        let is_lost =
            !self.network.can_reach(&self.topology, child, upstream) || self.network.loses_connect();
        if is_lost {
            return;
        }
        let (needs_whole_list, held) = match child {
            Node::Source => return,
            Node::Relay(index) => {
                (self.relays[index].follower.needs_whole_list(), self.relays[index].server.log.revision())
            }
            Node::Replica(index) => {
                (self.replicas[index].follower.needs_whole_list(), self.replicas[index].replica.revision())
            }
        };
        let after = held.filter(|_| !needs_whole_list);
        let at = self.now + self.network.delay(&self.topology, child, upstream);
        self.queue.push(at, Event::Connect { watch, child, upstream, after });
    }
}

impl RelayNode {
    /// The update as the relay processes it; with the defect, without its digest and sometimes without its changes.
    fn apply_defect(&mut self, update: &Update, drops_changes: bool) -> Update {
        let mut update = update.clone();
        if drops_changes && !update.reset {
            self.deltas_received += 1;
            update.digest = None;
            if self.deltas_received.is_multiple_of(UPDATES_PER_DROP) {
                update.instances.clear();
            }
        }
        update
    }
}
