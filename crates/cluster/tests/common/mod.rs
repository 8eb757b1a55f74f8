//! Members in simulated time: a network that loses, delays, doubles and cuts one way; processes that are paused, killed and
//! started anew; clocks that run apart.
#![allow(dead_code)]

use liftrouter_cluster::lease::Terms;
use liftrouter_cluster::swim::Pace;
use liftrouter_cluster::{Input, Members, Micros, News, Output, Settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

pub const SECOND: Micros = 1_000_000;
pub const TERMS: Terms = Terms { term: 2 * SECOND, drift: 0.01 };
pub const PACE: Pace = Pace {
    period: Duration::from_millis(500),
    late: Duration::from_millis(150),
    suspicion: Duration::from_millis(1_500),
    expected: 8,
};

/// How a link carries what one process sends to another.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    pub cut: bool,
    pub loss: f64,
    pub doubled: f64,
    /// The most by which something is late, on top of a millisecond.
    pub late: Micros,
}

enum What {
    Deliver(usize, usize, Vec<u8>),
    Wake(usize, u32),
}

pub struct Node {
    pub members: Option<Members>,
    /// Its clock: so fast, and so far ahead.
    rate: f64,
    ahead: Micros,
    pub paused: bool,
    life: u32,
    waking: Micros,
    /// What came while it was paused.
    lying: Vec<(usize, Vec<u8>)>,
    pub news: Vec<(Micros, News)>,
    pub sent: usize,
    pub bytes: usize,
}

pub struct World {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub links: BTreeMap<(usize, usize), Link>,
    pub all: Link,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, What>,
    next: u64,
    rng: fastrand::Rng,
    voters: usize,
    pub slots: u16,
    /// Slots that were held twice: when, which, by whom.
    pub twice: Vec<(Micros, u16, usize, usize)>,
    /// By slot: the highest token that acted, for tokens that go back.
    pub acted: BTreeMap<u16, u64>,
    pub back: Vec<(Micros, u16, u64, u64)>,
    pub check: bool,
    pub pace: Pace,
    pub terms: Terms,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + n as u16))
}

impl World {
    pub fn new(count: usize, voters: usize, slots: u16, seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let node = |rng: &mut fastrand::Rng| Node {
            members: None,
            rate: 1.0 + (rng.f64() * 2.0 - 1.0) * TERMS.drift,
            ahead: rng.u64(0..1_000 * SECOND),
            paused: false,
            life: 0,
            waking: Micros::MAX,
            lying: Vec::new(),
            news: Vec::new(),
            sent: 0,
            bytes: 0,
        };
        let nodes = (0..count).map(|_| node(&mut rng)).collect();
        World {
            now: 0,
            nodes,
            links: BTreeMap::new(),
            all: Link::default(),
            queue: BinaryHeap::new(),
            what: BTreeMap::new(),
            next: 0,
            rng,
            voters,
            slots,
            twice: Vec::new(),
            acted: BTreeMap::new(),
            back: Vec::new(),
            check: true,
            pace: PACE,
            terms: TERMS,
        }
    }

    pub fn clock(&self, n: usize) -> Micros {
        self.nodes[n].ahead + (self.now as f64 * self.nodes[n].rate) as Micros
    }

    fn put(&mut self, at: Micros, what: What) {
        self.next += 1;
        self.queue.push(Reverse((at.max(self.now), self.next)));
        self.what.insert(self.next, what);
    }

    pub fn start(&mut self, n: usize) {
        let settings = Settings {
            name: format!("n{n}"),
            address: address(n),
            join: (0..3.min(self.nodes.len())).map(address).collect(),
            voters: (0..self.voters).map(address).collect(),
            slots: self.slots,
            pace: self.pace,
            terms: self.terms,
        };
        let (clock, instance) = (self.clock(n), self.rng.u64(1..));
        let members = Members::new(settings, instance, clock, 1_800_000_000_000 + self.now / 1_000);
        let node = &mut self.nodes[n];
        node.members = Some(members.expect("settings"));
        (node.life, node.paused, node.waking) = (node.life + 1, false, Micros::MAX);
        node.lying.clear();
        self.feed(n, Input::Wake);
    }

    pub fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        (node.members, node.paused) = (None, false);
        node.lying.clear();
    }

    pub fn leave(&mut self, n: usize) {
        self.feed(n, Input::Leave);
        self.kill(n);
    }

    pub fn pause(&mut self, n: usize) {
        self.nodes[n].paused = self.nodes[n].members.is_some();
    }

    pub fn resume(&mut self, n: usize) {
        self.nodes[n].paused = false;
        self.watch();
        for (from, bytes) in std::mem::take(&mut self.nodes[n].lying) {
            self.feed(n, Input::Datagram(address(from), &bytes));
        }
        self.feed(n, Input::Wake);
    }

    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        self.links.entry((from, to)).or_default().cut = cut;
    }

    pub fn heal(&mut self) {
        self.links.clear();
        self.all = Link::default();
        for n in 0..self.nodes.len() {
            if self.nodes[n].members.is_none() {
                self.start(n);
            } else if self.nodes[n].paused {
                self.resume(n);
            }
        }
    }

    fn feed(&mut self, n: usize, input: Input) {
        let clock = self.clock(n);
        let Some(members) = self.nodes[n].members.as_mut() else { return };
        let mut out = Vec::new();
        members.handle(clock, input, &mut out);
        let wake = members.wake_at(clock).max(clock + 1);
        for output in out {
            match output {
                Output::Send(to, bytes) => self.send(n, to, bytes),
                Output::News(news) => self.nodes[n].news.push((self.now, news)),
            }
        }
        let node = &mut self.nodes[n];
        let at = ((wake - node.ahead) as f64 / node.rate).ceil() as Micros;
        if wake < Micros::MAX && at < node.waking {
            node.waking = at;
            let life = node.life;
            self.put(at, What::Wake(n, life));
        }
        self.watch();
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= liftrouter_cluster::LARGEST, "{} bytes", bytes.len());
        self.nodes[from].sent += 1;
        self.nodes[from].bytes += bytes.len();
        let Some(to) = (to.port() as usize).checked_sub(20_000).filter(|to| *to < self.nodes.len()) else {
            return;
        };
        let one = self.links.get(&(from, to)).copied().unwrap_or_default();
        let loss = one.loss.max(self.all.loss);
        let copies = 1 + usize::from(self.rng.f64() < one.doubled.max(self.all.doubled));
        for _ in 0..copies {
            if one.cut || self.all.cut || self.rng.f64() < loss {
                continue;
            }
            let late = one.late.max(self.all.late);
            let at = self.now + 1_000 + self.rng.u64(0..=late);
            self.put(at, What::Deliver(from, to, bytes.clone()));
        }
    }

    /// Nobody acts by a slot that another acts by.
    fn watch(&mut self) {
        if !self.check {
            return;
        }
        for slot in 0..self.slots {
            let mut holder: Option<usize> = None;
            for n in 0..self.nodes.len() {
                let clock = self.clock(n);
                let node = &self.nodes[n];
                let token = node.members.as_ref().filter(|_| !node.paused).and_then(|m| m.holds(clock, slot));
                let Some(token) = token else { continue };
                if let Some(other) = holder {
                    self.twice.push((self.now, slot, other, n));
                }
                holder = Some(n);
                let known = self.acted.entry(slot).or_default();
                if token < *known {
                    self.back.push((self.now, slot, *known, token));
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
            match self.what.remove(&n) {
                Some(What::Deliver(from, to, bytes)) => {
                    let node = &mut self.nodes[to];
                    if node.paused {
                        node.lying.push((from, bytes));
                    } else if node.members.is_some() {
                        self.feed(to, Input::Datagram(address(from), &bytes));
                    }
                }
                Some(What::Wake(n, life)) => {
                    let node = &mut self.nodes[n];
                    if node.life == life {
                        node.waking = Micros::MAX;
                        if !node.paused && node.members.is_some() {
                            self.feed(n, Input::Wake);
                        }
                    }
                }
                None => {}
            }
        }
        self.now = until;
    }

    /// How many processes each live process takes to be there.
    pub fn views(&self) -> Vec<usize> {
        self.nodes.iter().filter_map(|n| n.members.as_ref()).map(|m| m.alive().count()).collect()
    }

    /// Slots that nobody holds now.
    pub fn without(&self) -> usize {
        let holds = |slot: u16| {
            (0..self.nodes.len()).any(|n| {
                let node = &self.nodes[n];
                !node.paused && node.members.as_ref().is_some_and(|m| m.holds(self.clock(n), slot).is_some())
            })
        };
        (0..self.slots).filter(|slot| !holds(*slot)).count()
    }

    /// Runs until something is so, looking each 10 ms; how long that took.
    pub fn until(&mut self, most: Micros, so: impl Fn(&World) -> bool) -> Option<Micros> {
        let from = self.now;
        while self.now < from + most {
            if so(self) {
                return Some(self.now - from);
            }
            let next = self.now + 10_000;
            self.run(next);
        }
        so(self).then_some(most)
    }
}
