//! Random histories of calls, watches and moves, and the follower driven through them.

use liftrouter_discovery::{CallFailure, CallId, Delivery, Event, Follower};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::VecDeque;
use std::time::Duration;

/// The service's messages and the moves come at whole ticks.
pub const TICK: Duration = Duration::from_millis(100);
/// A history ends then.
pub const END: Duration = Duration::from_secs(60);
/// A follower that calls without end is stopped here; its calls are then checked as any.
const MOST_ENTRIES: usize = 3_000;

/// What becomes of a call. Times are ticks from its start.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Opens { after: u32 },
    Refused { after: u32, retry_after: Option<Duration> },
    Fails { after: u32 },
    Hangs,
    FailsAfterHead { head_after: u32, then_after: u32 },
}

/// What becomes of a watch: heartbeats with their distances in ticks, then an end or silence.
#[derive(Clone, Debug)]
struct WatchOutcome {
    heartbeats: Vec<u32>,
    closes_after: Option<u32>,
}

/// What happens to one follower. Fates are used in turn, again and again.
#[derive(Clone, Debug)]
pub struct History {
    delivery: Delivery,
    seed: u64,
    calls: Vec<CallOutcome>,
    watches: Vec<WatchOutcome>,
    /// Ticks.
    moves: Vec<u32>,
}

/// An event, and what the follower decided then.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub at: Duration,
    pub event: Event,
    pub expires_at: Option<Duration>,
    pub next_call: Option<Duration>,
}

impl Entry {
    /// Whether the event confirmed the list.
    pub fn is_sign_of_life(&self) -> bool {
        matches!(self.event, Event::WatchOpened | Event::Heartbeat)
    }
}

/// Any history with one way of delivery.
pub fn any_history(delivery: Delivery) -> impl Strategy<Value = History> {
    let mixed = (vec(any_call(delivery), 1..30), vec(any_watch(), 1..8));
    let flapping = (vec(any_quick_call(), 1..6), vec(any_brief_watch(), 1..4));
    let piling = (vec(any_pending_call(), 1..6), vec(any_watch(), 1..8));
    let outcomes = match delivery {
        Delivery::OnRequest | Delivery::Relayed => prop_oneof![3 => mixed, 1 => flapping].boxed(),
        Delivery::Pushed => prop_oneof![3 => mixed, 1 => flapping, 1 => piling].boxed(),
    };
    let moves = vec(0..600_u32, 0..4);
    (any::<u64>(), outcomes, moves).prop_map(move |(seed, (calls, watches), mut moves)| {
        moves.sort_unstable();
        History { delivery, seed, calls, watches, moves }
    })
}

/// Calls and watches that end soon, so that the budget is used up.
fn any_quick_call() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        4 => (0..=1_u32).prop_map(|after| CallOutcome::Opens { after }),
        1 => Just(CallOutcome::Fails { after: 0 }),
    ]
}

/// Calls that pend for long after the head of their answer, so that they pile up.
fn any_pending_call() -> impl Strategy<Value = CallOutcome> {
    (0..=2_u32, 50..=90_u32)
        .prop_map(|(head_after, then_after)| CallOutcome::FailsAfterHead { head_after, then_after })
}

fn any_brief_watch() -> impl Strategy<Value = WatchOutcome> {
    let ends = prop_oneof![6 => 0..=2_u32, 1 => 3..=100_u32];
    ends.prop_map(|after| WatchOutcome { heartbeats: Vec::new(), closes_after: Some(after) })
}

fn any_call(delivery: Delivery) -> impl Strategy<Value = CallOutcome> {
    let (latest, longest_tail) = match delivery {
        Delivery::OnRequest | Delivery::Relayed => (23_u32, 25_u32),
        Delivery::Pushed => (6, 90),
    };
    let retry_after = prop_oneof![
        4 => Just(None),
        2 => (0..5_000_u64).prop_map(|millis| Some(Duration::from_millis(millis))),
        1 => (5..60_u64).prop_map(|seconds| Some(Duration::from_secs(seconds))),
    ];
    prop_oneof![
        3 => (0..=latest).prop_map(|after| CallOutcome::Opens { after }),
        3 => (0..=latest, retry_after)
            .prop_map(|(after, retry_after)| CallOutcome::Refused { after, retry_after }),
        3 => (0..=latest).prop_map(|after| CallOutcome::Fails { after }),
        3 => Just(CallOutcome::Hangs),
        2 => (0..=latest, 0..=longest_tail)
            .prop_map(|(head_after, then_after)| CallOutcome::FailsAfterHead { head_after, then_after }),
    ]
}

fn any_watch() -> impl Strategy<Value = WatchOutcome> {
    let heartbeat = prop_oneof![6 => 1..=24_u32, 1 => 25..=70_u32];
    (vec(heartbeat, 0..6), proptest::option::of(0..=40_u32))
        .prop_map(|(heartbeats, closes_after)| WatchOutcome { heartbeats, closes_after })
}

impl History {
    /// Drives a follower through it.
    pub fn play(&self) -> Vec<Entry> {
        let mut player = Player::new(self);
        while player.entries.len() < MOST_ENTRIES && player.step() {}
        assert!(!player.entries.is_empty(), "the follower never called");
        player.entries
    }
}

/// An event that will happen unless something else comes before.
type Coming = (Duration, Event);

/// What will become of a call that is out.
type CallOut = VecDeque<Coming>;

/// Where the next event comes from. At one time, an earlier variant is taken first.
#[derive(Clone, Copy)]
enum Source {
    Move,
    Watch,
    Call(usize),
    NextCall,
}

struct Player<'a> {
    history: &'a History,
    follower: Follower,
    now: Duration,
    calls_out: Vec<CallOut>,
    calls_started: usize,
    watch: VecDeque<Coming>,
    watches_opened: usize,
    moves: VecDeque<Duration>,
    entries: Vec<Entry>,
}

impl<'a> Player<'a> {
    fn new(history: &'a History) -> Self {
        Player {
            history,
            follower: Follower::new(history.delivery, history.seed),
            now: Duration::ZERO,
            calls_out: Vec::new(),
            calls_started: 0,
            watch: VecDeque::new(),
            watches_opened: 0,
            moves: history.moves.iter().map(|tick| TICK * *tick).collect(),
            entries: Vec::new(),
        }
    }

    /// Whether anything more happened before the end.
    fn step(&mut self) -> bool {
        let Some((at, source)) = self.next_source().filter(|(at, _)| *at < END) else { return false };
        self.now = at;
        match source {
            Source::Move => self.discovery_moves(),
            Source::Watch => self.watch_continues(),
            Source::Call(position) => self.call_continues(position),
            Source::NextCall => self.call_starts(),
        }
        true
    }

    fn next_source(&self) -> Option<(Duration, Source)> {
        let moves = self.moves.front().map(|at| (*at, Source::Move));
        let watch = self.watch.front().map(|(at, _)| (*at, Source::Watch));
        let calls = self.calls_out.iter().enumerate();
        let calls = calls.filter_map(|(n, call)| Some((call.front()?.0, Source::Call(n))));
        let next_call = self.follower.next_call().map(|at| (at.max(self.now), Source::NextCall));
        moves.into_iter().chain(watch).chain(calls).chain(next_call).min_by_key(|(at, _)| *at)
    }

    fn discovery_moves(&mut self) {
        self.moves.pop_front();
        self.calls_out.clear();
        self.watch.clear();
        self.notify(Event::Moved);
    }

    fn watch_continues(&mut self) {
        let Some((_, event)) = self.watch.pop_front() else { return };
        if event == Event::Heartbeat {
            self.calls_out.clear();
        }
        self.notify(event);
    }

    fn call_continues(&mut self, position: usize) {
        let Some((_, event)) = self.calls_out[position].pop_front() else { return };
        match event {
            Event::CallFailed(..) => drop(self.calls_out.remove(position)),
            Event::WatchOpened => self.watch_opens(),
            _ => {}
        }
        self.notify(event);
    }

    fn watch_opens(&mut self) {
        self.calls_out.clear();
        let outcome = &self.history.watches[self.watches_opened % self.history.watches.len()];
        self.watches_opened += 1;
        let mut at = self.now;
        self.watch.clear();
        for distance in &outcome.heartbeats {
            at += TICK * *distance;
            self.watch.push_back((at, Event::Heartbeat));
        }
        let closing = outcome.closes_after.map(|after| (at + TICK * after, Event::WatchClosed));
        self.watch.extend(closing);
    }

    fn call_starts(&mut self) {
        let outcome = self.history.calls[self.calls_started % self.history.calls.len()];
        self.calls_started += 1;
        let id = self.calls_started as CallId;
        self.calls_out.push(self.plan(id, outcome).into());
        self.notify(Event::CallStarted(id));
    }

    fn plan(&self, id: CallId, outcome: CallOutcome) -> Vec<Coming> {
        let failed = Event::CallFailed(id, CallFailure::Failed);
        match outcome {
            CallOutcome::Opens { after } => {
                let at = self.tick_after(after);
                vec![(at, Event::CallAnswered(id)), (at, Event::WatchOpened)]
            }
            CallOutcome::Refused { after, retry_after } => {
                let refused = Event::CallFailed(id, CallFailure::Refused { retry_after });
                vec![(self.tick_after(after), refused)]
            }
            CallOutcome::Fails { after } => vec![(self.tick_after(after), failed)],
            CallOutcome::Hangs => vec![(self.now + self.follower.call_timeout(), failed)],
            CallOutcome::FailsAfterHead { head_after, then_after } => {
                let head_at = self.tick_after(head_after);
                vec![(head_at, Event::CallAnswered(id)), (head_at + TICK * then_after, failed)]
            }
        }
    }

    /// The first tick so many ticks from now.
    fn tick_after(&self, ticks: u32) -> Duration {
        let passed = self.now.as_nanos().div_ceil(TICK.as_nanos());
        TICK * (passed as u32 + ticks)
    }

    fn notify(&mut self, event: Event) {
        self.follower.handle(self.now, event);
        self.entries.push(Entry {
            at: self.now,
            event,
            expires_at: self.follower.expires_at(),
            next_call: self.follower.next_call(),
        });
    }
}
