//! Random histories of calls, watches and moves, and their replay through a follower.

use liftrouter_discovery::{CallFailure, CallId, Delivery, Event, Follower};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::VecDeque;
use std::time::Duration;

/// Messages of the service and moves happen at multiples of this time.
pub const TICK: Duration = Duration::from_millis(100);
/// The end of a history.
pub const END: Duration = Duration::from_secs(60);
/// Limits the entries of a history, in case a follower calls without pause; the entries up to then are still checked.
const MAX_ENTRIES: usize = 3_000;

/// The outcome of a call. Times are ticks from its start.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Opens { after: u32 },
    Refused { after: u32, retry_after: Option<Duration> },
    Fails { after: u32 },
    Hangs,
    FailsAfterHead { head_after: u32, then_after: u32 },
}

/// The course of a watch: heartbeats with the ticks between them, then its end, or silence.
#[derive(Clone, Debug)]
struct WatchOutcome {
    heartbeats: Vec<u32>,
    closes_after: Option<u32>,
}

/// All outcomes for one follower. Calls and watches use them in turn, starting over at the end.
#[derive(Clone, Debug)]
pub struct History {
    delivery: Delivery,
    seed: u64,
    calls: Vec<CallOutcome>,
    watches: Vec<WatchOutcome>,
    /// The ticks at which discovery moves.
    moves: Vec<u32>,
}

/// An event and the follower's decisions after it.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub at: Duration,
    pub event: Event,
    pub expires_at: Option<Duration>,
    pub next_call: Option<Duration>,
}

impl Entry {
    /// Whether the event confirms the list.
    pub fn confirms_list(&self) -> bool {
        matches!(self.event, Event::WatchOpened | Event::Heartbeat)
    }
}

/// Generates histories for a way of delivery.
pub fn any_history(delivery: Delivery) -> impl Strategy<Value = History> {
    let mixed = (vec(any_call(delivery), 1..30), vec(any_watch(), 1..8));
    let short_lived = (vec(any_quick_call(), 1..6), vec(any_brief_watch(), 1..4));
    let long_pending = (vec(any_pending_call(), 1..6), vec(any_watch(), 1..8));
    let outcomes = match delivery {
        Delivery::OnRequest | Delivery::Relayed => prop_oneof![3 => mixed, 1 => short_lived].boxed(),
        Delivery::Pushed => prop_oneof![3 => mixed, 1 => short_lived, 1 => long_pending].boxed(),
    };
    let moves = vec(0..600_u32, 0..4);
    (any::<u64>(), outcomes, moves).prop_map(move |(seed, (calls, watches), mut moves)| {
        moves.sort_unstable();
        History { delivery, seed, calls, watches, moves }
    })
}

/// Calls that end soon, so that the budget is used up.
fn any_quick_call() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        4 => (0..=1_u32).prop_map(|after| CallOutcome::Opens { after }),
        1 => Just(CallOutcome::Fails { after: 0 }),
    ]
}

/// Calls that stay pending long after their response head, so that they accumulate.
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
    /// Drives a follower through this history.
    pub fn replay(&self) -> Vec<Entry> {
        let mut replay = Replay::new(self);
        while replay.entries.len() < MAX_ENTRIES && replay.step() {}
        assert!(!replay.entries.is_empty(), "the follower never called");
        replay.entries
    }
}

/// A future event and its time, unless another event cancels it.
type ScheduledEvent = (Duration, Event);

/// The future events of a pending call.
type PendingCall = VecDeque<ScheduledEvent>;

/// The source of the next event. For events at the same time, the earlier variant comes first.
#[derive(Clone, Copy)]
enum Source {
    Move,
    Watch,
    Call(usize),
    NextCall,
}

struct Replay<'a> {
    history: &'a History,
    follower: Follower,
    now: Duration,
    pending_calls: Vec<PendingCall>,
    calls_started: usize,
    watch: VecDeque<ScheduledEvent>,
    watches_opened: usize,
    moves: VecDeque<Duration>,
    entries: Vec<Entry>,
}

impl<'a> Replay<'a> {
    fn new(history: &'a History) -> Self {
        Replay {
            history,
            follower: Follower::new(history.delivery, history.seed),
            now: Duration::ZERO,
            pending_calls: Vec::new(),
            calls_started: 0,
            watch: VecDeque::new(),
            watches_opened: 0,
            moves: history.moves.iter().map(|tick| TICK * *tick).collect(),
            entries: Vec::new(),
        }
    }

    /// Processes the next event; returns whether there was one before the end.
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
        let calls = self.pending_calls.iter().enumerate();
        let calls = calls.filter_map(|(n, call)| Some((call.front()?.0, Source::Call(n))));
        let next_call = self.follower.next_call().map(|at| (at.max(self.now), Source::NextCall));
        moves.into_iter().chain(watch).chain(calls).chain(next_call).min_by_key(|(at, _)| *at)
    }

    fn discovery_moves(&mut self) {
        self.moves.pop_front();
        self.pending_calls.clear();
        self.watch.clear();
        self.notify(Event::Moved);
    }

    fn watch_continues(&mut self) {
        let Some((_, event)) = self.watch.pop_front() else { return };
        if event == Event::Heartbeat {
            self.pending_calls.clear();
        }
        self.notify(event);
    }

    fn call_continues(&mut self, position: usize) {
        let Some((_, event)) = self.pending_calls[position].pop_front() else { return };
        match event {
            Event::CallFailed(..) => drop(self.pending_calls.remove(position)),
            Event::WatchOpened => self.watch_opens(),
            _ => {}
        }
        self.notify(event);
    }

    fn watch_opens(&mut self) {
        self.pending_calls.clear();
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
        self.pending_calls.push(self.plan(id, outcome).into());
        self.notify(Event::CallStarted(id));
    }

    fn plan(&self, id: CallId, outcome: CallOutcome) -> Vec<ScheduledEvent> {
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

    /// The time of the tick that comes `ticks` after the next tick (or after now, if now is a tick).
    fn tick_after(&self, ticks: u32) -> Duration {
        let next_tick = self.now.as_nanos().div_ceil(TICK.as_nanos());
        TICK * (next_tick as u32 + ticks)
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
