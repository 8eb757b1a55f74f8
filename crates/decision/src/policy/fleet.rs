//! Fleet and choice: which servers serve, how much each may have out, and the best one for a request.

use super::{fresh, hash, View};
use crate::interface::*;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

/// Failures in a row that eject a server, the first ejection in aims, its most doublings, the share of all
/// that may be ejected (half may be cut off), and late answers in a row that call an attempt off.
const EJECT: (u32, f64, u32, f64, u32) = (3, 3.0, 3, 0.6, 2);
/// How much each late or refused attempt of a class counts against its server for it, and for how many aims.
const LATE: (f64, f64) = (4.0, 8.0);
/// Weight of one answer in a server's slowness, where all before is forgotten, and in a class's mean.
const SLOW_GAIN: f64 = 0.15;
const SLOW_RARE: f64 = 0.5;
/// Aims after which slowness without news is mostly forgotten.
const SLOW_FORGET: f64 = 8.0;
/// Attempts a server may have out: at first and at least from all limiters together (a share below one:
/// one in so many answer times), and at most from this one.
const WINDOW: (f64, f64, f64) = (4.0, 4.0, 64.0);
/// Least share of the aim that the work itself takes, and the weight of one answer in what it takes.
const REST: (f64, f64) = (0.09, 0.03);
/// Requests of a class turned away in a row that bar a server to it, the aims for which they do, and the most
/// that the windows of the others widen for the class meanwhile.
const BAR: (u32, f64, f64) = (2, 4.0, 2.0);
/// A mean answer under the first multiple of that opens the window, over the second closes it by the third.
const WINDOW_LAG: (f64, f64, f64) = (1.1, 2.8, 0.7);
/// Limiters that use a server in turn, and the fewest servers one uses: evidence of many servers is thin.
const COVER: f64 = 48.0;
const SUBSET: f64 = 8.0;
/// Mean answer of the fleet, as such a multiple, up to which its window opens, the steps, and the bounds.
const OPEN_LAG: f64 = 2.0;
const OPEN_STEP: (f64, f64) = (1.02, 0.97);
/// The steps' least part of one attempt, up and down, where a limiter gets few answers, and the largest step
/// down: by hundredths its window would follow the fleet in some tens of answers, which take it seconds.
const FEW_STEP: (f64, f64, f64) = (0.8, 1.2, 0.5);
const OPEN: (f64, f64) = (0.3, 6.0);
/// Slowness that a server shows by turning work away.
const FULL_SLOW: f64 = 10.0;
/// Share of a cold server's allowance that is used, and its sends in an overload window without warm ones.
const COLD_SHARE: f64 = 0.6;
const COLD_LEAST: f64 = 4.0;
/// Servers of another zone, and those tried before, are taken to be this much slower; chance breaks ties.
const CROSS_ZONE: f64 = 1.1;
const TRIED: f64 = 10.0;
const JITTER: f64 = 0.05;
/// The golden ratio's part, whose multiples spread evenly.
const GOLDEN: f64 = 0.618_033_988_75;
/// Standard deviations by which what one limiter has out may go over its window of the fleet.
const CHANCE: f64 = 0.5;
/// Weight of one try in the share that finds the fleet full.
const PRESS: f64 = 0.05;

#[derive(Default)]
struct Server {
    zone: Arc<str>,
    cell: i64,
    weight: f64,
    state: EndpointState,
    started: Option<f64>,
    slow: f64,
    slow_at: f64,
    out: u32,
    window: f64,
    cut_at: f64,
    /// Its last good answer.
    heard: f64,
    fails: u32,
    /// Per class: late attempts since it last answered that class, and the time of the last.
    late: Vec<(u32, f64)>,
    /// The same for requests of the class that it turned away.
    away: Vec<(u32, f64)>,
    ejections: u32,
    ejected_until: f64,
    /// Sends of the last overload period, while cold.
    sent: Vec<f64>,
    /// When it was first named, or named as started anew.
    seen: f64,
}

impl Server {
    fn new(e: &EndpointEntry, peers: u32, now: f64) -> Self {
        Server {
            zone: e.zone.clone(),
            cell: e.cell,
            started: e.started,
            slow: 1.0,
            seen: now,
            window: WINDOW.0 / f64::from(peers.max(1)),
            ejected_until: f64::MIN,
            ..Server::default()
        }
    }

    /// Whether it turns requests of a class away now, again and again.
    fn bars(&self, class: usize, aim: f64, now: f64) -> bool {
        self.away.get(class).is_some_and(|(n, at)| *n >= BAR.0 && now - at < BAR.1 * aim)
    }

    /// Share of its full capacity that a server has at least, by its age.
    fn warmth(&self, set: &Settings, now: f64) -> f64 {
        let age = self.started.map_or(1.0, |at| (now - at).max(0.0) / set.slow_start_duration.max(1e-9));
        set.slow_start_capacity + (1.0 - set.slow_start_capacity) * age.min(1.0)
    }
}

/// What is kept over all servers together.
#[derive(Default)]
pub struct Fleet {
    servers: BTreeMap<EndpointId, Server>,
    /// Servers in the order of their hashes, the same at every limiter but for where it starts.
    ring: Vec<EndpointId>,
    /// Servers this limiter uses, and limiters that use one.
    subset: f64,
    cover: f64,
    /// How many more servers may be ejected, and the window over all others.
    spare: f64,
    room: f64,
    /// Mean answer time of all servers, the work's own part of it, both in aims; what opens their windows.
    lag: f64,
    rest: f64,
    open: f64,
    /// Share of the tries that find the fleet's window full.
    press: f64,
    /// See [`few`], and when this limiter started.
    few: f64,
    born: f64,
    /// Good answers of warm servers in the last overload window, and the weight of those in use.
    served: VecDeque<f64>,
    warm: f64,
    /// Attempts out at all servers.
    out: u32,
    /// How much wider windows are for a class that some servers bar: its work there has to go elsewhere.
    wider: Vec<f64>,
}

/// The tightest aim of all classes, which times of the fleet are measured by.
fn aim(set: &Settings) -> f64 {
    set.classes.iter().map(|c| c.latency_objective).fold(f64::MAX, f64::min).min(10.0)
}

/// How little each of so many limiters gets: nothing where its even part of a server's least window is a
/// whole attempt, towards one for hundreds of limiters.
fn few(peers: u32) -> f64 {
    (1.0 - WINDOW.1 / f64::from(peers.max(1))).max(0.0)
}

/// Whether answers that take so long, against the work's own part, wait at the servers.
fn waits(lag: f64, rest: f64) -> bool {
    lag > OPEN_LAG * rest
}

/// What a request asks of its server.
pub struct Wanted<'a> {
    pub class: usize,
    /// The server that may have run a keyed request: only those that share its memory may get it again.
    pub bound: Option<(DeduplicationScope, &'a Arc<str>, i64)>,
    /// Servers tried before.
    pub tried: Vec<&'a EndpointId>,
}

impl Wanted<'_> {
    fn allows(&self, s: &Server) -> bool {
        self.bound.is_none_or(|(scope, zone, cell)| match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => *zone == s.zone,
            DeduplicationScope::Cell => *zone == s.zone && cell == s.cell,
        })
    }
}

impl Fleet {
    pub fn new(peers: u32, born: f64) -> Self {
        // One that gets few answers would take seconds to learn that they do not wait: it begins so.
        let lag = if few(peers) > 0.0 { OPEN_LAG } else { WINDOW_LAG.1 };
        Fleet { lag: lag * REST.0, rest: REST.0, open: 1.0, born, ..Fleet::default() }
    }

    /// Takes in the list of servers, whole or changes alone.
    pub fn listed(&mut self, view: View, entries: &[EndpointEntry], whole: bool) {
        let set = view.set;
        let named: HashSet<&EndpointId> = entries.iter().filter(|_| whole).map(|e| &e.id).collect();
        for (_, s) in self.servers.iter_mut().filter(|(id, _)| whole && !named.contains(id)) {
            s.state = EndpointState::Removed;
        }
        for e in entries {
            let s = self
                .servers
                .entry(e.id.clone())
                .or_insert_with(|| Server::new(e, set.instance_count, view.now));
            if s.started != e.started && e.started.is_some() {
                // A restarted process has nothing of its former self but what is still out. Where only its
                // start was corrected, it has what it got: no budget is given twice.
                let (out, sent) = (s.out, std::mem::take(&mut s.sent));
                *s = Server { out, sent, ..Server::new(e, set.instance_count, view.now) };
            }
            s.state = e.state;
            s.weight = if e.weight > 0.0 { e.weight } else { 1.0 };
        }
        self.servers.retain(|_, s| s.state != EndpointState::Removed || s.out > 0);
        self.ring = self.servers.keys().cloned().collect();
        self.ring.sort_by_cached_key(|id| hash(id));
        // The servers in this limiter's order: the limiters start evenly spread over the ring.
        let start = (f64::from(set.instance_index) * GOLDEN).fract() * self.ring.len() as f64;
        let start = (start as usize).min(self.ring.len());
        self.ring.rotate_left(start);
        self.survey(view);
    }

    /// Looks over the servers once a tick, so that no request has to.
    pub fn survey(&mut self, View { set, now }: View) {
        let peers = f64::from(set.instance_count.max(1));
        let (mut count, mut ejected, mut room) = (0.0f64, 0.0, 0.0);
        for s in self.servers.values().filter(|s| s.state == EndpointState::InService) {
            let serves = f64::from(u8::from(s.ejected_until <= now));
            (count, ejected, room) = (count + 1.0, ejected + 1.0 - serves, room + serves * s.window);
        }
        (self.spare, self.room) = (count * EJECT.3 - ejected, room);
        let aim = aim(set);
        let open = |class| {
            let serving = self.servers.values().filter(|s| s.state == EndpointState::InService);
            serving.filter(|s| !s.bars(class, aim, now)).count() as f64
        };
        self.wider = (0..set.classes.len()).map(|n| (count / open(n).max(1.0)).clamp(1.0, BAR.2)).collect();
        self.subset = (count * COVER / peers).ceil().clamp(SUBSET.min(count), count);
        self.few = few(set.instance_count);
        // As many serve in place of those that are ejected: each server that is left gets more limiters.
        let serving = (count - ejected).max(1.0);
        self.cover = (peers * self.subset.min(serving) / serving).max(1.0);
        let used = self.ring.iter().map(|id| &self.servers[id]);
        let used = used.filter(|s| s.state == EndpointState::InService && s.ejected_until <= now);
        let warm = used.take(self.subset as usize).filter(|s| s.warmth(set, now) >= 1.0);
        self.warm = warm.map(|s| s.weight).sum();
        self.served.retain(|t| now - t <= set.overload_window);
    }

    /// A failure shown by a server: too many in a row eject it for a while.
    pub fn strike(&mut self, View { set, now }: View, id: &EndpointId) {
        let aim = aim(set);
        if let Some(s) = self.servers.get_mut(id) {
            s.fails += 1;
            if s.fails >= EJECT.0 && s.ejected_until <= now && self.spare >= 1.0 {
                s.ejected_until = now + EJECT.1 * aim * f64::from(1u32 << s.ejections.min(EJECT.2));
                s.ejections += 1;
                self.spare -= 1.0;
                self.room -= s.window;
            }
        }
    }

    /// Notes how long an attempt took against its usual time, answered or so far. Late ones count against the
    /// server for their class until it answers that class: it may serve the others as ever.
    pub fn slowness(
        &mut self,
        View { set, now }: View,
        id: &EndpointId,
        class: usize,
        (ratio, late): (f64, bool),
    ) {
        let forget = SLOW_FORGET * aim(set);
        let Some(s) = self.servers.get_mut(id) else { return };
        // What is old weighs less against news: a server seen rarely is judged by its last answers.
        let kept = (-(now - s.slow_at) / forget).exp();
        let known = 1.0 + (s.slow - 1.0) * kept;
        s.slow = fresh(known, ratio.clamp(0.1, 30.0), SLOW_GAIN.max(SLOW_RARE * (1.0 - kept)));
        s.slow_at = now;
        s.late.resize(set.classes.len(), (0, now));
        s.late[class] = if late { (s.late[class].0 + 1, now) } else { (0, now) };
        s.away.resize(set.classes.len(), (0, now));
        s.away[class] = if late { s.away[class] } else { (0, now) };
    }

    /// A server turned work away: it answers soon, and would else look like the least busy. The first time it
    /// is full, as far as anyone can tell. Again, with no good answer of that class between, it may be the
    /// class that it cannot serve now: that says nothing of the others, and closes no window. True the first
    /// time.
    pub fn turned_away(&mut self, view: View, id: &EndpointId, class: usize) -> bool {
        let before = self.servers.get(id).and_then(|s| s.away.get(class)).map_or(0, |(n, _)| *n);
        if before == 0 {
            self.slowness(view, id, class, (FULL_SLOW, false));
        }
        if let Some(s) = self.servers.get_mut(id) {
            s.away.resize(view.set.classes.len(), (0, view.now));
            s.away[class] = (before + 1, view.now);
        }
        before == 0
    }

    /// Bounds what may be out at a server by what it shows it can take.
    pub fn pace(&mut self, View { set, now }: View, id: &EndpointId, (took, aim): (f64, f64), failed: bool) {
        let (peers, f) = (f64::from(set.instance_count.max(1)), self);
        let Some(s) = f.servers.get_mut(id) else { return };
        if !failed {
            // Answers alone tell how busy the fleet is: what stays unanswered may be lost, not waiting. Its
            // window grows only where it is used: at a limiter that more requests come to than to others.
            f.lag = fresh(f.lag, took / aim, SLOW_GAIN);
            // What answers take while the fleet is held back is the work, not waiting, and holding back more
            // mends it not. Guards against any reason for long work: large requests, a slow back end, tight
            // aims. Harms where others fill the fleet all along: their queue looks like work.
            if f.open < 1.0 || f.lag < f.rest {
                f.rest = fresh(f.rest, took / aim, REST.1).max(REST.0);
            }
            let full = f64::from(f.out + 2) > f.room * f.open || f.open < 1.0;
            let part = f.few / (f.room * f.open).max(1.0);
            let grow = if full { OPEN_STEP.0.max(1.0 + FEW_STEP.0 * part) } else { 1.0 };
            let close = OPEN_STEP.1.min(1.0 - (FEW_STEP.1 * part).min(FEW_STEP.2));
            f.open *= if waits(f.lag, f.rest) { close } else { grow };
            f.open = f.open.clamp(OPEN.0, OPEN.1);
        }
        let latency = f.lag / f.rest * s.slow;
        if failed || latency > WINDOW_LAG.1 {
            if now - s.cut_at > aim / 2.0 {
                s.window = (s.window * WINDOW_LAG.2).max(WINDOW.1 / peers);
                s.cut_at = now;
            }
        } else if latency < WINDOW_LAG.0 && f64::from(s.out + 2) > s.window {
            s.window = (s.window + 0.3 / s.window.max(4.0)).min(WINDOW.2);
        }
    }

    /// Whether a cold server may get one more send from here within the rule's window: what warm ones take,
    /// by its warmth. A part of one send goes out in that part of the windows, each limiter in its own turn,
    /// and the windows of each limiter begin at another moment: over all of them no moment is better than
    /// others, so any stretch of a window's length gets what one window may, once the first one has begun.
    /// After a restart that forgot what was sent, the budget of whole sends grows from none.
    fn cold_room(&self, View { set, now }: View, id: &EndpointId, s: &Server) -> bool {
        let warmth = s.warmth(set, now);
        if warmth >= 1.0 {
            return true;
        }
        let served = self.served.len() as f64;
        let like_warm = if self.warm > 0.0 { served / self.warm * s.weight * warmth } else { 0.0 };
        let most = (like_warm * set.overload_multiple * COLD_SHARE).max(COLD_LEAST / self.cover);
        let span = set.overload_window.max(set.tick_interval);
        let recent = s.sent.iter().filter(|t| now - **t <= span).count() as f64;
        if recent + 1.0 <= most * ((now - self.born) / span).min(1.0) {
            return true;
        }
        let own = hash(id) ^ u64::from(set.instance_index) << 32;
        let phase = fastrand::Rng::with_seed(own).f64();
        let turn = (now / span + phase).floor();
        let begun = (turn - phase) * span >= s.seen;
        recent < 1.0 && begun && fastrand::Rng::with_seed(own ^ turn as u64).f64() < most
    }

    /// The best server for a request, or none where every one that may take it has enough.
    pub fn choose(&self, view: View, wanted: &Wanted, draw: f64) -> Option<EndpointId> {
        let View { set, now } = view;
        let aim = aim(set);
        let forget = SLOW_FORGET * aim;
        let pooled = self.pooled();
        let (mut best, mut last) = (None::<(f64, &EndpointId)>, None::<(f64, &EndpointId)>);
        let (mut looked, mut open, mut barred) = (0.0, 0, None::<(f64, &EndpointId)>);
        let wider = self.wider.get(wanted.class).copied().unwrap_or(1.0);
        let named = self.ring.iter().map(|id| (id, &self.servers[id]));
        for (id, s) in named.filter(|(_, s)| s.state == EndpointState::InService && wanted.allows(s)) {
            if s.ejected_until > now {
                let sooner = s.out == 0 && last.is_none_or(|(t, _)| s.ejected_until < t);
                last = if sooner { Some((s.ejected_until, id)) } else { last };
                continue;
            }
            if looked >= self.subset {
                break;
            }
            looked += 1.0;
            let warmth = s.warmth(set, now);
            let bars = s.bars(wanted.class, aim, now);
            open += u32::from(!bars);
            let window = if s.fails >= EJECT.0 { 1.0 } else { s.window * warmth * wider };
            // Many limiters with one attempt each can be too much: windows below one hold over all servers.
            let full = f64::from(s.out) + 1.0 > window.max(1.0) || (window < 1.0 && !pooled);
            if full || !self.cold_room(view, id, s) {
                continue;
            }
            let slow = 1.0 + (s.slow - 1.0) * (-(now - s.slow_at) / forget).exp();
            let mut score = slow * f64::from(s.out + 1) / (warmth * s.weight);
            score *= if *s.zone == *set.zone { 1.0 } else { CROSS_ZONE };
            for (n, at) in [&s.late, &s.away].iter().filter_map(|m| m.get(wanted.class)).filter(|m| m.0 > 0) {
                let fade = LATE.1 * aim * f64::from(*n);
                score *= 1.0 + LATE.0 * f64::from(*n) * (-(now - at) / fade).exp();
            }
            let tried = wanted.tried.contains(&id);
            score *= f64::from(1 + s.fails) * if tried { TRIED } else { 1.0 };
            score *= 1.0 + JITTER * (draw + GOLDEN * looked).fract();
            let place = if bars { &mut barred } else { &mut best };
            if place.is_none_or(|(b, _)| score < b) {
                *place = Some((score, id));
            }
        }
        // Barred everywhere, a class still gets some through.
        best = best.or(if open > 0 { None } else { barred });
        // With every server ejected the least suspect still gets some: a wrong guess must not stop all.
        best.or(if looked > 0.0 { None } else { last }).map(|(_, id)| id.clone())
    }

    /// Whether one more attempt would fill the window of all servers that serve.
    fn pooled(&self) -> bool {
        let room = self.room * self.open;
        // What comes to one of hundreds of limiters is a handful and scatters by its root, which evens out
        // over all: held to the mean, each refuses its own peaks at idle servers. Where answers wait no
        // server idles: after a loss of servers every peak would be one too many.
        let peaks = if waits(self.lag, self.rest) { 0.0 } else { CHANCE * self.few * room.sqrt() };
        f64::from(self.out) + 1.0 <= (room + peaks).max(1.0)
    }

    /// Share of the tries that find the fleet full, this one included.
    pub fn press(&mut self) -> f64 {
        self.press = fresh(self.press, f64::from(u8::from(!self.pooled())), PRESS);
        self.press
    }

    /// An attempt goes out to a server; gives its zone and cell, or none for a server that is not known.
    pub fn sent(&mut self, View { set, now }: View, id: &EndpointId) -> Option<(Arc<str>, i64)> {
        let s = self.servers.get_mut(id)?;
        s.out += 1;
        self.out += 1;
        if s.warmth(set, now) < 1.0 {
            s.sent.retain(|t| now - t <= set.overload_window);
            s.sent.push(now);
        }
        Some((s.zone.clone(), s.cell))
    }

    /// An attempt no longer counts in its server's window.
    pub fn returned(&mut self, id: &EndpointId) {
        self.out = self.out.saturating_sub(1);
        if let Some(s) = self.servers.get_mut(id) {
            s.out = s.out.saturating_sub(1);
        }
    }

    /// A good answer: nothing is held against the server any more.
    pub fn answered(&mut self, View { set, now }: View, id: &EndpointId) {
        if let Some(s) = self.servers.get_mut(id) {
            (s.heard, s.fails, s.ejections) = (now, 0, 0);
            if s.warmth(set, now) >= 1.0 {
                self.served.push_back(now);
            }
        }
    }

    /// Whether a server has given no good answer since a time.
    pub fn silent_since(&self, id: &EndpointId, since: f64) -> bool {
        self.servers.get(id).is_some_and(|s| s.heard < since)
    }

    /// Whether what a server does not answer is more likely lost than late.
    pub fn seems_lost(&self, id: &EndpointId, class: usize) -> bool {
        self.servers.get(id).is_some_and(|s| s.fails.max(s.late[class].0) >= EJECT.4)
    }
}
