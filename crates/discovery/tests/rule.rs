//! Compares the follower with a simple reference model, over random histories.
//!
//! A history defines the outcome of each call and watch, and when discovery moves. The test drives the follower through
//! it as a caller would, and compares its decisions with the model.

#[path = "rule/history.rs"]
mod history;
#[path = "rule/situation.rs"]
mod situation;

use history::{any_history, Entry, History, END, TICK};
use liftrouter_discovery::{CallFailure, Delivery, Event, Follower};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use situation::Situation;
use std::collections::BTreeSet;
use std::time::Duration;

/// A limiter counts as notified of a change this long after the service had it.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// After a move to another service, the limiter counts as notified of that service's list after this time.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// A list from relays is stale this long after its last heartbeat.
const STALE_AFTER: Duration = Duration::from_secs(8);
/// Changes are made this long after a tick, so that none coincides with a heartbeat.
const AFTER_TICK: Duration = Duration::from_millis(1);

/// A second call may start this long before the list expires, and not until this long after the first one.
const OVERLAP_BEFORE_EXPIRY: Duration = Duration::from_millis(2_500);
const OVERLAP_AFTER_START: Duration = Duration::from_secs(1);

/// Pushed: the interval between calls, the interval while one has its response head, and the maximum of pending calls.
const PUSHED_INTERVAL: Duration = Duration::from_millis(200);
const PUSHED_INTERVAL_ANSWERED: Duration = Duration::from_millis(500);
const MAX_PUSHED_CALLS: usize = 10;

/// This number of limiters must spread their first retries over at least `MIN_SPREAD`.
const SPREAD_LIMITERS: u64 = 100;
const MIN_SPREAD: Duration = Duration::from_millis(100);

/// Tolerance for rounding errors of the follower.
const ROUNDING: Duration = Duration::from_micros(1);

/// Runs 400 cases from a fixed seed.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// A list may be used exactly until the limiter counts as notified of a change that the list may lack.
    #[test]
    fn a_list_is_used_until_a_change_counts_as_notified(history in any_history(Delivery::OnRequest)) {
        let entries = history.replay();
        for at in instants() {
            let past = past(&entries, at);
            let uses = past.last().and_then(|entry| entry.expires_at).is_some_and(|expires_at| at < expires_at);
            prop_assert_eq!(uses, may_use(past, at), "at {:?}", at);
        }
    }

    /// There is one pending call at a time; a second one starts only shortly before the list expires, and only when the
    /// first has been pending for a while.
    #[test]
    fn a_second_call_goes_out_only_before_expiry(history in any_history(Delivery::OnRequest)) {
        for_each_call(&history, |situation, at| {
            let [first] = situation.pending_calls.as_slice() else {
                assert!(situation.pending_calls.is_empty(), "{at:?}: a third call");
                return;
            };
            let expires_at = expiry(situation).expect("a second call without a list");
            assert!(at < expires_at, "{at:?}: a second call after the expiry at {expires_at:?}");
            assert!(at + OVERLAP_BEFORE_EXPIRY >= expires_at, "{at:?}: expiry only at {expires_at:?}");
            assert!(at >= first.started_at + OVERLAP_AFTER_START, "{at:?}: {first:?}");
        });
    }

    /// No call starts before the end of `Retry-After` or of the shortest backoff.
    #[test]
    fn retry_after_and_backoff_are_obeyed(history in any_history(Delivery::OnRequest)) {
        for_each_call(&history, |situation, at| {
            let earliest = situation.earliest_retry();
            assert!(at + ROUNDING >= earliest, "{at:?}: not before {earliest:?}: {situation:?}");
        });
    }

    /// The calls in any time window stay within the budget, also across moves.
    #[test]
    fn the_budget_holds_in_any_window(history in any_history(Delivery::OnRequest)) {
        for_each_call(&history, |situation, at| {
            let earliest = situation.earliest_in_budget();
            assert!(at + ROUNDING >= earliest, "{at:?}: not before {earliest:?}: {:?}", situation.starts);
        });
    }

    /// No call starts while a watch sends heartbeats.
    #[test]
    fn no_call_starts_while_a_watch_has_heartbeats(history in any_history(Delivery::OnRequest)) {
        for_each_call(&history, |situation, at| assert!(at >= situation.watch_times_out_at(), "{at:?}"));
    }

    /// While no call is pending, one is due in time: the backoff is bounded and resets after a heartbeat, and only
    /// `Retry-After`, the budget or a watch with heartbeats may delay the call further.
    #[test]
    fn a_call_is_due_in_time(history in any_history(Delivery::OnRequest)) {
        for_each_entry(&history, |situation, entry| {
            if situation.pending_calls.is_empty() {
                let latest = latest_call(situation, entry.at);
                let due = entry.next_call.expect("no call is pending and none is due");
                assert!(due <= latest + ROUNDING, "due {due:?}, after {latest:?}: {situation:?}");
            }
        });
    }

    /// The second call is due in time before the list expires.
    #[test]
    fn a_second_call_is_due_in_time(history in any_history(Delivery::OnRequest)) {
        for_each_entry(&history, |situation, entry| {
            let ([first], Some(expires_at)) = (situation.pending_calls.as_slice(), expiry(situation)) else { return };
            let overlap = expires_at.saturating_sub(OVERLAP_BEFORE_EXPIRY);
            let latest = latest_call(situation, entry.at).max(overlap).max(first.started_at + OVERLAP_AFTER_START);
            if latest + ROUNDING < expires_at {
                let due = entry.next_call.expect("no second call is due");
                assert!(due <= latest + ROUNDING, "due {due:?}, after {latest:?}: {situation:?}");
            }
        });
    }

    /// Pushed calls respect their interval and the maximum of pending calls.
    #[test]
    fn pushed_calls_are_paced(history in any_history(Delivery::Pushed)) {
        for_each_call(&history, |situation, at| {
            assert!(situation.pending_calls.len() < MAX_PUSHED_CALLS, "{at:?}: {} pending calls", situation.pending_calls.len());
            assert!(at >= pushed_call_due(situation), "{at:?}: {situation:?}");
        });
    }

    /// Pushed calls are due as soon as their interval and the maximum of pending calls allow.
    #[test]
    fn pushed_calls_are_due_in_time(history in any_history(Delivery::Pushed)) {
        for_each_entry(&history, |situation, entry| {
            let due = (situation.pending_calls.len() < MAX_PUSHED_CALLS).then(|| pushed_call_due(situation));
            assert_eq!(entry.next_call, due, "{:?}: {situation:?}", entry.at);
        });
    }

    /// Calls to relays stay within the same budget.
    #[test]
    fn the_budget_holds_with_relays(history in any_history(Delivery::Relayed)) {
        for_each_call(&history, |situation, at| {
            let earliest = situation.earliest_in_budget();
            assert!(at + ROUNDING >= earliest, "{at:?}: not before {earliest:?}: {:?}", situation.starts);
        });
    }

    /// A list from relays becomes stale exactly when a change may have been missing for the specified time.
    #[test]
    fn a_list_from_relays_is_stale_in_time(history in any_history(Delivery::Relayed)) {
        let mut expires_at = None;
        for entry in history.replay() {
            match entry.event {
                Event::WatchOpened | Event::Heartbeat => expires_at = Some(entry.at + STALE_AFTER),
                Event::Moved => expires_at = expires_at.map(|at| at.min(entry.at + NOTIFIED_AFTER_MOVE)),
                _ => {}
            }
            prop_assert_eq!(entry.expires_at, expires_at, "at {:?}", entry.at);
        }
    }

    /// Pushed lists never expire.
    #[test]
    fn pushed_lists_never_expire(history in any_history(Delivery::Pushed)) {
        for_each_entry(&history, |_, entry| assert_eq!(entry.expires_at, None));
    }
}

/// Limiters whose calls fail at the same time do not retry at the same time.
#[test]
fn retries_are_spread() {
    assert_retries_are_spread(CallFailure::Failed);
    assert_retries_are_spread(CallFailure::Refused { retry_after: None });
}

/// Limiters that get the same `Retry-After` do not retry at the same time.
#[test]
fn retries_after_the_same_retry_after_are_spread() {
    assert_retries_are_spread(CallFailure::Refused { retry_after: Some(Duration::from_secs(3)) });
}

fn assert_retries_are_spread(failure: CallFailure) {
    let retry_time = |seed| {
        let mut follower = Follower::new(Delivery::OnRequest, seed);
        follower.handle(Duration::ZERO, Event::CallStarted(1));
        follower.handle(TICK, Event::CallFailed(1, failure));
        follower.next_call().expect("no retry is due")
    };
    let times: BTreeSet<Duration> = (0..SPREAD_LIMITERS).map(retry_time).collect();
    let first_and_last = times.first().zip(times.last());
    let spread = first_and_last.map_or(Duration::ZERO, |(first, last)| last.saturating_sub(*first));
    assert_eq!(times.len() as u64, SPREAD_LIMITERS, "{failure:?}: some retry together");
    assert!(spread >= MIN_SPREAD, "{failure:?}: all retry within {spread:?}");
}

/// Times halfway between ticks, at which the service has no events.
fn instants() -> impl Iterator<Item = Duration> {
    (0..).map(|tick| TICK * tick + TICK / 2).take_while(|at| *at < END)
}

fn past(entries: &[Entry], at: Duration) -> &[Entry] {
    &entries[..entries.partition_point(|entry| entry.at <= at)]
}

/// Whether the list may be used: the limiter does not yet count as notified of any change that the list may lack.
fn may_use(past: &[Entry], at: Duration) -> bool {
    let Some(confirmed) = past.iter().rposition(Entry::confirms_list) else { return false };
    let confirmed_at = past[confirmed].at;
    let changes = (0..).map(|tick| TICK * tick + AFTER_TICK).take_while(|made_at| *made_at <= at);
    let notified =
        changes.filter(|made_at| *made_at > confirmed_at).any(|made_at| made_at + NOTIFIED_AFTER <= at);
    let moves = past[confirmed..].iter().filter(|entry| entry.event == Event::Moved);
    let notified_by_another =
        moves.map(|entry| entry.at + NOTIFIED_AFTER_MOVE).any(|notified_at| notified_at <= at);
    !notified && !notified_by_another
}

/// When the list expires according to the model.
fn expiry(situation: &Situation) -> Option<Duration> {
    let confirmed_at = situation.last_confirmed_at?;
    let moves = situation.moves_since.iter().map(|at| *at + NOTIFIED_AFTER_MOVE);
    moves.chain([confirmed_at + NOTIFIED_AFTER]).min()
}

/// The latest time at which a call must be due, given the watch, backoff, `Retry-After` and budget.
fn latest_call(situation: &Situation, now: Duration) -> Duration {
    let limits = [situation.watch_times_out_at(), situation.latest_retry(), situation.earliest_in_budget()];
    limits.into_iter().fold(now, Duration::max)
}

fn pushed_call_due(situation: &Situation) -> Duration {
    let answered = situation.pending_calls.iter().any(|call| call.answered);
    let interval = if answered { PUSHED_INTERVAL_ANSWERED } else { PUSHED_INTERVAL };
    let interval_ends_at = situation.last_started.map_or(Duration::ZERO, |at| at + interval);
    interval_ends_at.max(situation.watch_times_out_at())
}

/// Calls `check` for each started call, with the situation just before it.
fn for_each_call(history: &History, mut check: impl FnMut(&Situation, Duration)) {
    let mut situation = Situation::default();
    for entry in history.replay() {
        if let Event::CallStarted(_) = entry.event {
            check(&situation, entry.at);
        }
        situation.record(entry.at, entry.event);
    }
}

/// Calls `check` for the follower's decisions after each event, with the situation after it.
fn for_each_entry(history: &History, mut check: impl FnMut(&Situation, &Entry)) {
    let mut situation = Situation::default();
    for entry in history.replay() {
        situation.record(entry.at, entry.event);
        check(&situation, &entry);
    }
}
