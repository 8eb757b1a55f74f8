//! Limiters: the real decision module, and around it what its host does, one piece of news after the other.

use crate::links::End;
use crate::list::Line;
use crate::world::{What, World, EPOCH};
use liftrouter_decision::{
    Action, Event, Limiter, LoadReport, Outcome, Request, RequestId, ServerState, Settings,
};
use liftrouter_stage::history::{AttemptId, Event as Seen, Over, Process, TryId};
use liftrouter_stage::schedule::{micros, Arrival, Micros};
use liftrouter_stage::settings::settings;
use liftrouter_stage::trouble::Born;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The host's own times: an answer is due so much before its client gives up; connecting and probing take so long at most;
/// a connection rests between two requests, and is kept for this share of the time after which nodes close it.
const MARGIN: Micros = 10_000;
const CONNECT: Micros = 250_000;
const PROBE: Micros = 250_000;
const REST: Micros = 5_000;
const IDLE_SHARE: f64 = 0.5;
/// The most requests in work at once.
const MOST_OPEN: usize = 1_000;
/// After SIGTERM it accepts for so long, and looks so often whether all is answered; then the front has noticed.
const ACCEPT_ON: Micros = 600_000;
const LOOK: Micros = 10_000;
const NOTICED: Micros = 300_000;

/// What a limiter hears.
pub(crate) enum In {
    Asked(TryId),
    Gone(TryId),
    /// An attempt has ended: how, units, the node's load, and whether its connection can be kept.
    Ended(usize, Outcome, Option<u32>, Option<f64>, bool),
    /// An attempt's time is up.
    Limit(usize),
    Counted(usize, Outcome, f64),
    CallLimit(usize),
    Probed(u16, u32, Outcome, Option<f64>),
    Listed(bool, Vec<Line>),
    Broken,
    Timer(u64),
}

/// An attempt, from its limiter's choice to its end on both sides.
pub(crate) struct Attempt {
    pub id: TryId,
    pub limiter: u16,
    pub life: u32,
    request: RequestId,
    n: u32,
    pub node: u16,
    pub node_life: u32,
    began: Micros,
    pub born: Born,
    /// Written whole.
    sent: bool,
    /// On a connection that has just come up.
    pub fresh: bool,
    /// When its first byte came to the end of its link, and its number at the node.
    pub came: Micros,
    pub arrived: Option<AttemptId>,
    /// Its connection has been closed by the limiter, or serves others.
    pub closed: bool,
    /// The node is done with it.
    pub over: bool,
    pub stalled: bool,
}

struct Asked {
    id: TryId,
    permission: bool,
    owed: bool,
    attempts: u32,
    running: Option<usize>,
    due: Micros,
}

struct Place {
    life: u32,
    state: ServerState,
}

struct Idle {
    life: u32,
    used: Micros,
    born: Born,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Dead,
    Starting,
    Running,
}

/// A limiter: its process and what that holds.
pub(crate) struct Gate {
    number: u16,
    /// Its clock is so much ahead, in seconds.
    skew: f64,
    pub life: u32,
    state: State,
    paused: bool,
    finishing: bool,
    pub killed: BTreeSet<u32>,
    pub terminated: BTreeSet<u32>,
    pub paused_by: BTreeSet<u32>,
    module: Option<Limiter>,
    inbox: VecDeque<In>,
    working: bool,
    requests: BTreeMap<RequestId, Asked>,
    by_try: HashMap<TryId, RequestId>,
    last_id: RequestId,
    places: BTreeMap<u16, Place>,
    idle: HashMap<u16, Vec<Idle>>,
    probes: HashMap<u16, u32>,
    pub calls_out: u32,
    pub keeper_quiet_until: Micros,
    pub keeper_kept_until: Micros,
    pub keeper_failed: u32,
    pub keeper_born: Born,
}

impl Gate {
    pub fn new(number: u16, skew: f64) -> Gate {
        Gate {
            number,
            skew,
            life: 0,
            state: State::Dead,
            paused: false,
            finishing: false,
            killed: BTreeSet::new(),
            terminated: BTreeSet::new(),
            paused_by: BTreeSet::new(),
            module: None,
            inbox: VecDeque::new(),
            working: false,
            requests: BTreeMap::new(),
            by_try: HashMap::new(),
            last_id: 0,
            places: BTreeMap::new(),
            idle: HashMap::new(),
            probes: HashMap::new(),
            calls_out: 0,
            keeper_quiet_until: 0,
            keeper_kept_until: 0,
            keeper_failed: 0,
            keeper_born: Born::default(),
        }
    }

    /// Whether it takes connections.
    pub fn listens(&self) -> bool {
        self.state == State::Running
    }

    fn clock(&self, at: Micros) -> f64 {
        EPOCH + self.skew + at as f64 / 1e6
    }

    fn is(&self, life: u32) -> bool {
        self.state == State::Running && self.life == life
    }
}

impl World<'_> {
    fn gate(&mut self, l: u16) -> &mut Gate {
        &mut self.gates[usize::from(l)]
    }

    // ----- news -----

    /// Something comes to a limiter: it lies there until the limiter gets to it.
    pub(crate) fn news(&mut self, l: u16, life: u32, news: In) {
        let gate = self.gate(l);
        if !gate.is(life) {
            return;
        }
        gate.inbox.push_back(news);
        self.work_on(l);
    }

    fn work_on(&mut self, l: u16) {
        let gate = &self.gates[usize::from(l)];
        let Some(next) = gate.inbox.front().filter(|_| !gate.working && !gate.paused) else { return };
        let takes = match next {
            In::Asked(_) => self.figures.request_us,
            In::Ended(..) => self.figures.answer_us,
            In::Timer(_) | In::Limit(_) | In::CallLimit(_) => 0.1 * self.figures.news_us,
            _ => self.figures.news_us,
        };
        let life = gate.life;
        self.gate(l).working = true;
        self.queue.after(takes as Micros, What::Work(l, life));
    }

    pub(crate) fn work(&mut self, l: u16, life: u32) {
        let gate = self.gate(l);
        if !gate.is(life) {
            return;
        }
        gate.working = false;
        if gate.paused {
            return;
        }
        if let Some(news) = gate.inbox.pop_front() {
            self.hear(l, news);
        }
        self.work_on(l);
    }

    fn hear(&mut self, l: u16, news: In) {
        match news {
            In::Asked(id) => self.asked(l, id),
            In::Gone(id) => {
                let gate = self.gate(l);
                let Some(request) = gate.by_try.get(&id).copied() else { return };
                if let Some(asked) = gate.requests.get_mut(&request) {
                    asked.owed = false;
                }
                self.feed(l, Event::ClientGone { id: request });
                self.forget(l, request);
            }
            In::Ended(key, outcome, units, busy, keeps) => {
                let mut events = VecDeque::new();
                self.attempt_ended(l, key, (outcome, units, busy, keeps), &mut events);
                self.feed_all(l, events);
            }
            In::Limit(key) => {
                let sent = self.attempts[key].sent;
                // Not written whole by then, it never ran.
                let outcome = if sent { Outcome::Timeout } else { Outcome::ConnectFailed };
                let mut events = VecDeque::new();
                self.attempt_ended(l, key, (outcome, None, None, false), &mut events);
                self.feed_all(l, events);
            }
            In::Counted(key, outcome, total) => {
                if let Some((name, took)) = self.call_over(key, outcome) {
                    self.feed(l, Event::Counted { name, outcome, total, took });
                }
            }
            In::CallLimit(key) => {
                let outcome = if self.call_sent(key) { Outcome::Timeout } else { Outcome::ConnectFailed };
                if let Some((name, took)) = self.call_over(key, outcome) {
                    self.feed(l, Event::Counted { name, outcome, total: 0.0, took });
                }
            }
            In::Probed(node, stamp, outcome, busy) => {
                if self.gate(l).probes.get(&node) == Some(&stamp) {
                    self.gate(l).probes.remove(&node);
                    let server = self.nodes[usize::from(node)].id.clone();
                    self.feed(l, Event::Probed { server, outcome, report: report(busy) });
                }
            }
            In::Listed(whole, lines) => self.listed(l, whole, lines),
            In::Broken => self.feed(l, Event::DiscoveryBroken),
            In::Timer(token) => self.feed(l, Event::Timer { token }),
        }
    }

    fn asked(&mut self, l: u16, id: TryId) {
        // One whose client has gone lies there all the same; what it hears next says so.
        let Some((index, _)) = Arrival::of_id(id) else { return };
        let arrival = &self.schedule.arrivals[index];
        let customer = &self.schedule.customers[arrival.customer];
        let now = self.now();
        let given_up = arrival.at + micros(self.s.classes[arrival.class].deadline_ms / 1e3);
        let due = self.open.get(&id).map_or(given_up, |open| open.due).saturating_sub(MARGIN);
        let gate = &mut self.gates[usize::from(l)];
        if gate.requests.len() >= MOST_OPEN {
            let wire = self.wires.wire();
            return self.queue.after(wire, What::Reply(id, 503, 0.0));
        }
        gate.last_id += 1;
        let request = Request {
            id: gate.last_id,
            customer: format!("{:016x}", customer.number).into(),
            plan: self.s.plans[customer.plan].name.as_str().into(),
            class: self.s.classes[arrival.class].name.as_str().into(),
            units: f64::from(arrival.guess),
            width: customer.spread as u32,
            repeat: false,
            due: gate.clock(due.max(now)),
        };
        let permission = arrival.permission.is_some();
        gate.by_try.insert(id, request.id);
        let asked = Asked { id, permission, owed: true, attempts: 0, running: None, due };
        gate.requests.insert(request.id, asked);
        self.feed(l, if permission { Event::Permission(request) } else { Event::Request(request) });
    }

    /// News of the servers. What is out at one that is gone is ended, and what has not been written yet to one that
    /// drains.
    fn listed(&mut self, l: u16, whole: bool, lines: Vec<Line>) {
        let (mut gone, mut draining) = (BTreeSet::new(), BTreeSet::new());
        let entries: Vec<_> = lines.iter().map(|line| self.entry(line)).collect();
        let gate = self.gate(l);
        for line in &lines {
            let state = line.server_state();
            let before = gate.places.get(&line.node).map(|p| p.life);
            if state != ServerState::InService || before != Some(line.life) {
                gate.idle.remove(&line.node);
            }
            match state {
                ServerState::InService => {}
                ServerState::Draining => drop(draining.insert(line.node)),
                ServerState::Gone => drop(gone.insert(line.node)),
            }
            if state == ServerState::Gone {
                gate.places.remove(&line.node);
            } else {
                gate.places.insert(line.node, Place { life: line.life, state });
            }
        }
        if whole {
            let named: BTreeSet<u16> = lines.iter().map(|line| line.node).collect();
            let other: Vec<u16> = gate.places.keys().copied().filter(|n| !named.contains(n)).collect();
            for n in other {
                gate.places.remove(&n);
                gate.idle.remove(&n);
                gone.insert(n);
            }
        }
        // The module first: what it hears of the ended attempts it answers with others.
        self.feed(l, if whole { Event::ServerList(entries) } else { Event::ServerChanges(entries) });
        let running: Vec<usize> = self.gate(l).requests.values().filter_map(|asked| asked.running).collect();
        for key in running {
            let attempt = &self.attempts[key];
            let lost = gone.contains(&attempt.node) || (draining.contains(&attempt.node) && !attempt.sent);
            if lost {
                let outcome = if attempt.sent { Outcome::Reset } else { Outcome::ConnectFailed };
                let mut events = VecDeque::new();
                self.attempt_ended(l, key, (outcome, None, None, false), &mut events);
                self.feed_all(l, events);
            }
        }
    }

    // ----- the module -----

    fn feed(&mut self, l: u16, event: Event) {
        self.feed_all(l, VecDeque::from([event]));
    }

    /// Tells the module, and carries out what it asks for; what follows from that at once comes next.
    fn feed_all(&mut self, l: u16, mut events: VecDeque<Event>) {
        let now = self.now();
        let gate = self.gate(l);
        let clock = gate.clock(now);
        let Some(mut module) = gate.module.take() else { return };
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            module.handle(clock, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(l, action, &mut events);
            }
        }
        self.gate(l).module = Some(module);
    }

    fn carry_out(&mut self, l: u16, action: Action, events: &mut VecDeque<Event>) {
        let life = self.gate(l).life;
        match action {
            Action::Send { id, server, timeout, .. } => self.send(l, id, &server, timeout, events),
            Action::Permit { id } => self.answer(l, id, 200, 0.0),
            Action::Refuse { id, retry_after } => self.answer(l, id, 429, retry_after),
            Action::Fail { id } => self.answer(l, id, 502, 0.0),
            Action::Cancel { id, attempt } => {
                let running = self.gate(l).requests.get(&id).and_then(|asked| asked.running);
                if let Some(key) = running.filter(|key| self.attempts[*key].n == attempt) {
                    self.attempt_ended(l, key, (Outcome::Cancelled, None, None, false), events);
                }
            }
            Action::Count { name, add, lives } => {
                if let Err(outcome) = self.call(l, &name, add, lives) {
                    events.push_back(Event::Counted { name, outcome, total: 0.0, took: 0.0 });
                }
            }
            Action::SetTimer { at, token } => {
                let at = micros(at - EPOCH - self.gate(l).skew);
                self.queue.at(at, What::News(l, life, In::Timer(token)));
            }
            Action::Probe { server } => self.probe(l, &server),
            Action::FollowServers => {}
        }
    }

    fn node_of(server: &str) -> Option<u16> {
        server.strip_prefix("s-")?.parse().ok()
    }

    fn probe(&mut self, l: u16, server: &str) {
        let Some(n) = Self::node_of(server) else { return };
        let gate = self.gate(l);
        let stamp = gate.probes.get(&n).copied().unwrap_or(gate.last_id as u32).wrapping_add(1);
        gate.probes.insert(n, stamp);
        let life = gate.life;
        let serves = gate.places.get(&n).is_some_and(|p| p.state == ServerState::InService);
        let effect = self.links.effect(l, End::Node(n));
        self.queue.after(PROBE, What::News(l, life, In::Probed(n, stamp, Outcome::Timeout, None)));
        if !serves {
            self.news(l, life, In::Probed(n, stamp, Outcome::ConnectFailed, None));
        } else if !effect.cut {
            self.cross(l, End::Node(n), effect.born(), What::Probe(l, life, n, stamp));
        }
    }

    fn send(&mut self, l: u16, id: RequestId, server: &str, timeout: f64, events: &mut VecDeque<Event>) {
        let (now, most) = (self.now(), self.s_max_attempts());
        let gate = &mut self.gates[usize::from(l)];
        let Some(asked) = gate.requests.get_mut(&id) else { return };
        let n = asked.attempts;
        asked.attempts += 1;
        // As the host guards the rules, even against the module.
        let may = !asked.permission && asked.owed && asked.running.is_none() && n < most && timeout >= 0.0;
        let Some(node) = Self::node_of(server).filter(|_| may) else {
            return events.push_back(Event::never_sent(id, n));
        };
        let key = self.attempts.len();
        let limit = if timeout > 0.0 { asked.due.min(now + micros(timeout.min(1e6))) } else { asked.due };
        asked.running = Some(key);
        let (id, life) = (asked.id, gate.life);
        let place = gate.places.get(&node).filter(|p| p.state == ServerState::InService).map(|p| p.life);
        let node_life = place.unwrap_or(u32::MAX);
        let request = gate.by_try[&id];
        self.attempts.push(Attempt {
            id,
            limiter: l,
            life,
            request,
            n,
            node,
            node_life,
            began: now,
            born: Born::default(),
            sent: false,
            fresh: true,
            came: 0,
            arrived: None,
            closed: false,
            over: false,
            stalled: false,
        });
        self.queue.at(limit, What::News(l, life, In::Limit(key)));
        let failed = In::Ended(key, Outcome::ConnectFailed, None, None, false);
        if place.is_none() {
            return self.queue.after(0, What::News(l, life, failed));
        }
        if let Some(born) = self.reuse(l, node, node_life) {
            let attempt = &mut self.attempts[key];
            (attempt.fresh, attempt.born) = (false, born);
            return self.write(key);
        }
        let (effect, wire) = (self.links.effect(l, End::Node(node)), self.wires.wire());
        if effect.cut {
            return self.queue.after(CONNECT, What::News(l, life, failed));
        }
        let stands = self.nodes[usize::from(node)].life.as_ref().is_some_and(|life| life.number == node_life);
        self.queue.after(2 * wire, if stands { What::Connected(key) } else { What::News(l, life, failed) });
    }

    fn s_max_attempts(&self) -> u32 {
        liftrouter_stage::ledger::MOST_ATTEMPTS as u32
    }

    /// A kept connection that has rested and is still good.
    fn reuse(&mut self, l: u16, node: u16, node_life: u32) -> Option<Born> {
        let (now, effect) = (self.now(), self.links.effect(l, End::Node(node)));
        let kept = micros(IDLE_SHARE * self.s.nodes.idle_s);
        let lives = self.nodes[usize::from(node)].life.as_ref().is_some_and(|life| life.number == node_life);
        let idle = self.gate(l).idle.get_mut(&node)?;
        idle.retain(|i| lives && i.life == node_life && now < i.used + kept && !effect.has_reset(i.born));
        let rested = idle.iter().rposition(|i| now >= i.used + REST)?;
        Some(idle.remove(rested).born)
    }

    /// A connection stands: the request is written, unless its node was told to drain meanwhile.
    pub(crate) fn connected(&mut self, key: usize) {
        let attempt = &self.attempts[key];
        let (l, life, node) = (attempt.limiter, attempt.life, attempt.node);
        if attempt.closed || !self.gates[usize::from(l)].is(life) {
            return;
        }
        let place = self.gates[usize::from(l)].places.get(&node);
        let takes = place.is_some_and(|p| p.state == ServerState::InService && p.life == attempt.node_life);
        if !takes {
            let failed = In::Ended(key, Outcome::ConnectFailed, None, None, false);
            return self.news(l, life, failed);
        }
        let effect = self.links.effect(l, End::Node(node));
        self.attempts[key].born = effect.born();
        self.write(key);
        if effect.resetting {
            self.reset(key);
        }
    }

    fn write(&mut self, key: usize) {
        let attempt = &mut self.attempts[key];
        attempt.sent = true;
        // What a limiter wrote is seen at once, whatever the link withholds from the node.
        attempt.came = self.queue.now();
        let (l, node, born, id) = (attempt.limiter, attempt.node, attempt.born, attempt.id);
        self.connected.entry(id).or_default().push(key);
        self.cross(l, End::Node(node), born, What::At(key));
    }

    /// An attempt ends for its limiter, if it has not before.
    fn attempt_ended(
        &mut self,
        l: u16,
        key: usize,
        (outcome, units, busy, keeps): (Outcome, Option<u32>, Option<f64>, bool),
        events: &mut VecDeque<Event>,
    ) {
        let now = self.now();
        let attempt = &self.attempts[key];
        let (request, n, node, node_life, born) =
            (attempt.request, attempt.n, attempt.node, attempt.node_life, attempt.born);
        let took = (now - attempt.began) as f64 / 1e6;
        let gate = &mut self.gates[usize::from(l)];
        let Some(asked) = gate.requests.get_mut(&request).filter(|a| a.running == Some(key)) else { return };
        asked.running = None;
        if keeps
            && gate
                .places
                .get(&node)
                .is_some_and(|p| p.life == node_life && p.state == ServerState::InService)
        {
            gate.idle.entry(node).or_default().push(Idle { life: node_life, used: now, born });
        }
        self.close(key);
        if outcome == Outcome::Ok {
            self.answer(l, request, 200, 0.0);
        }
        let finished = self.gate(l).requests.get(&request).is_none_or(|asked| !asked.owed);
        events.push_back(Event::AttemptEnded {
            id: request,
            attempt: n,
            finished,
            outcome,
            took,
            units: units.map(f64::from),
            report: report(busy),
        });
        self.forget(l, request);
    }

    /// Its connection ends, or goes to others: the node sees it at once.
    pub(crate) fn close(&mut self, key: usize) {
        let attempt = &mut self.attempts[key];
        if std::mem::replace(&mut attempt.closed, true) {
            return;
        }
        let (id, stalled) = (attempt.id, attempt.stalled);
        if let Some(all) = self.connected.get_mut(&id) {
            all.retain(|k| *k != key);
            if all.is_empty() {
                self.connected.remove(&id);
            }
        }
        self.attempt_over(key, if stalled { Over::Spoilt } else { Over::Closed });
    }

    fn answer(&mut self, l: u16, request: RequestId, status: u16, advice: f64) {
        let asked = self.gate(l).requests.get_mut(&request).filter(|asked| asked.owed);
        let Some(id) = asked.map(|asked| {
            asked.owed = false;
            asked.id
        }) else {
            return;
        };
        let wire = self.wires.wire();
        self.queue.after(wire, What::Reply(id, status, advice));
        self.forget(l, request);
    }

    fn forget(&mut self, l: u16, request: RequestId) {
        let gate = self.gate(l);
        if gate.requests.get(&request).is_some_and(|asked| !asked.owed && asked.running.is_none()) {
            if let Some(asked) = gate.requests.remove(&request) {
                // Whether a permission came to its client is not known yet: it may still have left.
                if !asked.permission {
                    gate.by_try.remove(&asked.id);
                }
            }
        }
    }

    // ----- the process -----

    fn seen(&mut self, limiter: u16, what: Process) {
        self.note(Seen::Limiter { limiter, what });
    }

    fn start(&mut self, l: u16) {
        let gate = self.gate(l);
        gate.life += 1;
        gate.state = State::Starting;
        let life = gate.life;
        self.seen(l, Process::Started);
        let takes = micros(self.figures.start_ms / 1e3);
        self.queue.after(takes, What::Up(l, life));
    }

    /// It takes clients from now on.
    pub(crate) fn up(&mut self, l: u16, life: u32) {
        let now = self.now();
        let nth = self.started;
        let gate = self.gate(l);
        if gate.life != life || !matches!(gate.state, State::Starting | State::Dead) {
            return;
        }
        let (number, skew) = (gate.number, gate.skew);
        *gate = Gate {
            life,
            state: State::Running,
            killed: std::mem::take(&mut gate.killed),
            terminated: std::mem::take(&mut gate.terminated),
            paused_by: std::mem::take(&mut gate.paused_by),
            ..Gate::new(number, skew)
        };
        let clock = gate.clock(now);
        self.started += 1;
        let seed = (self.schedule.seed ^ 0xa076_1d64_78bd_642f).wrapping_mul(nth * 2 + 1);
        // Made by the kit for the daemon: what it cannot read is a fault of ours, and shows as no module at all.
        let told = Settings::deserialize(settings(self.s, usize::from(l))).unwrap_or_default();
        self.gate(l).module = Some(Limiter::new(told, seed, clock));
        let lines = self.list.snapshot(l);
        self.listed(l, true, lines);
        self.seen(l, Process::Ready);
        let door = &mut self.doors[usize::from(l)];
        (door.up, door.down_since) = (true, None);
    }

    /// The process is gone, with all that it held.
    fn die(&mut self, l: u16, asked: bool, code: Option<i32>) {
        let now = self.now();
        let gate = self.gate(l);
        gate.state = State::Dead;
        gate.module = None;
        let life = gate.life;
        let requests = std::mem::take(&mut gate.requests);
        let lying = std::mem::take(&mut gate.inbox);
        for asked in requests.values() {
            if let Some(key) = asked.running {
                self.close(key);
            }
        }
        let owed = requests.into_values().filter(|asked| asked.owed).map(|asked| asked.id);
        let unread = lying.into_iter().filter_map(|news| match news {
            In::Asked(id) => Some(id),
            _ => None,
        });
        let lost: Vec<TryId> = owed.chain(unread).collect();
        for id in lost {
            let wire = self.wires.wire();
            self.queue.after(wire, What::Lost(id, life));
        }
        self.seen(l, Process::Ended(asked, code));
        let door = &mut self.doors[usize::from(l)];
        if door.up && door.down_since.is_none() {
            door.down_since = Some(now);
        }
    }

    pub(crate) fn kill(&mut self, l: u16, fault: u32) {
        let gate = self.gate(l);
        gate.killed.insert(fault);
        let runs = gate.state == State::Running;
        if gate.state == State::Starting {
            gate.state = State::Dead;
            self.seen(l, Process::Killed);
            return self.seen(l, Process::Ended(true, None));
        }
        if runs {
            self.seen(l, Process::Killed);
            self.resume(l);
            self.die(l, true, None);
        }
    }

    pub(crate) fn terminate(&mut self, l: u16, fault: u32) {
        let gate = self.gate(l);
        gate.terminated.insert(fault);
        if gate.state != State::Running || gate.finishing {
            return;
        }
        gate.finishing = true;
        let life = gate.life;
        self.seen(l, Process::Terminated);
        self.resume(l);
        self.queue.after(NOTICED, What::Withdraw(l, life));
        self.queue.after(ACCEPT_ON, What::Finish(l, life));
    }

    /// The front takes out a limiter that is about to end.
    pub(crate) fn withdraw(&mut self, l: u16, life: u32) {
        if self.gate(l).life == life {
            self.doors[usize::from(l)].up = false;
        }
    }

    /// Ends if nothing is open any more.
    pub(crate) fn finish(&mut self, l: u16, life: u32) {
        let gate = self.gate(l);
        if !gate.is(life) {
            return;
        }
        if !gate.requests.is_empty() || !gate.inbox.is_empty() {
            return self.queue.after(LOOK, What::Finish(l, life));
        }
        self.die(l, true, Some(0));
        self.maybe_start(l);
    }

    pub(crate) fn pause(&mut self, l: u16, fault: u32) {
        let gate = self.gate(l);
        gate.paused_by.insert(fault);
        if gate.state == State::Running && !gate.paused && !gate.finishing {
            gate.paused = true;
            self.seen(l, Process::Paused);
        }
    }

    fn resume(&mut self, l: u16) {
        if std::mem::take(&mut self.gate(l).paused) {
            self.seen(l, Process::Resumed);
            self.work_on(l);
        }
    }

    fn maybe_start(&mut self, l: u16) {
        let gate = self.gate(l);
        if gate.state == State::Dead && gate.killed.is_empty() && gate.terminated.is_empty() {
            self.start(l);
        }
    }

    /// What a fault did is over: it goes on, or is started again, if no other fault holds it.
    pub(crate) fn undo_limiter(&mut self, l: u16, fault: u32) {
        let gate = self.gate(l);
        let ended = gate.killed.remove(&fault) | gate.terminated.remove(&fault);
        let paused = gate.paused_by.remove(&fault);
        if paused && gate.paused_by.is_empty() {
            self.resume(l);
        }
        if ended {
            self.maybe_start(l);
        }
    }
}

fn report(busy: Option<f64>) -> LoadReport {
    let mut report = LoadReport::default();
    if let Some(busy) = busy {
        // As nodes write it: to the hundredth.
        report.set("busy", (busy * 100.0).round() / 100.0);
    }
    report
}
