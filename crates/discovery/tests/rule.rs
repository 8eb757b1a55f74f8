//! The follower against the rule it serves, over random histories.
//!
//! A history says what becomes of each call and watch, and when discovery moves. The follower is driven as its
//! caller drives it; what it allowed is then compared with a plain statement of the rule.

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

/// A change counts as notified so long after the service had it.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// What another service has at a move to it counts as notified so long after the move.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// A list from relays is stale so long after its last heartbeat.
const STALE_AFTER: Duration = Duration::from_secs(8);
/// A change is made so long after a tick, so that it never falls together with a heartbeat.
const AFTER_TICK: Duration = Duration::from_millis(1);

/// A second call may go out so long before the list expires, and so long after the first one.
const OVERLAP_BEFORE_EXPIRY: Duration = Duration::from_millis(2_500);
const OVERLAP_AFTER_START: Duration = Duration::from_secs(1);

/// Pushed: the interval of calls, the same while one has the head of its answer, and the most calls at once.
const PUSHED_INTERVAL: Duration = Duration::from_millis(200);
const PUSHED_INTERVAL_ANSWERED: Duration = Duration::from_millis(500);
const PUSHED_CALLS: usize = 10;

/// So many limiters spread their first retries over at least this time.
const SPREAD_LIMITERS: u64 = 100;
const MIN_SPREAD: Duration = Duration::from_millis(100);

/// Rounding of the follower's arithmetic.
const ROUNDING: Duration = Duration::from_micros(1);

/// Several hundred cases, the same in each run.
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

    /// A list may be used exactly until a change that it may lack counts as notified.
    #[test]
    fn a_list_is_used_until_a_change_counts_as_notified(history in any_history(Delivery::OnRequest)) {
        let entries = history.play();
        for at in instants() {
            let past = past(&entries, at);
            let uses = past.last().and_then(|entry| entry.expires_at).is_some_and(|expires_at| at < expires_at);
            prop_assert_eq!(uses, may_use(past, at), "at {:?}", at);
        }
    }

    /// One call at a time; a second one only shortly before the list expires, when the first has been out for long.
    #[test]
    fn a_second_call_goes_out_only_before_expiry(history in any_history(Delivery::OnRequest)) {
        for_each_call(&history, |situation, at| {
            let [first] = situation.calls_out.as_slice() else {
                assert!(situation.calls_out.is_empty(), "{at:?}: a third call");
                return;
            };
            let expires_at = expiry(situation).expect("a second call without a list");
            assert!(at < expires_at, "{at:?}: a second call after the expiry at {expires_at:?}");
            assert!(at + OVERLAP_BEFORE_EXPIRY >= expires_at, "{at:?}: expiry only at {expires_at:?}");
            assert!(at >= first.started_at + OVERLAP_AFTER_START, "{at:?}: {first:?}");
        });
    }

    /// No call goes out before the time that the service advised, or within the least backoff.
    #[test]
    fn retry_after_and_backoff_are_obeyed(history in any_history(Delivery::OnRequest)) {
        for_each_call(&history, |situation, at| {
            let earliest = situation.earliest_retry();
            assert!(at + ROUNDING >= earliest, "{at:?}: not before {earliest:?}: {situation:?}");
        });
    }

    /// No window has more calls than the budget, whatever moves it has.
    #[test]
    fn the_budget_holds_in_any_window(history in any_history(Delivery::OnRequest)) {
        for_each_call(&history, |situation, at| {
            let earliest = situation.earliest_in_budget();
            assert!(at + ROUNDING >= earliest, "{at:?}: not before {earliest:?}: {:?}", situation.starts);
        });
    }

    /// Nothing is called while a watch gives heartbeats.
    #[test]
    fn a_living_watch_is_left_alone(history in any_history(Delivery::OnRequest)) {
        for_each_call(&history, |situation, at| assert!(at >= situation.watch_silent_at(), "{at:?}"));
    }

    /// While no call is out, one is due in time: backoff starts anew after a heartbeat, is bounded, and only
    /// advice, budget or a living watch may delay it further.
    #[test]
    fn a_call_is_due_in_time(history in any_history(Delivery::OnRequest)) {
        for_each_entry(&history, |situation, entry| {
            if situation.calls_out.is_empty() {
                let latest = latest_call(situation, entry.at);
                let due = entry.next_call.expect("no call is out and none is due");
                assert!(due <= latest + ROUNDING, "due {due:?}, after {latest:?}: {situation:?}");
            }
        });
    }

    /// A list about to expire does get its second call.
    #[test]
    fn a_second_call_is_due_in_time(history in any_history(Delivery::OnRequest)) {
        for_each_entry(&history, |situation, entry| {
            let ([first], Some(expires_at)) = (situation.calls_out.as_slice(), expiry(situation)) else { return };
            let overlap = expires_at.saturating_sub(OVERLAP_BEFORE_EXPIRY);
            let latest = latest_call(situation, entry.at).max(overlap).max(first.started_at + OVERLAP_AFTER_START);
            if latest + ROUNDING < expires_at {
                let due = entry.next_call.expect("no second call is due");
                assert!(due <= latest + ROUNDING, "due {due:?}, after {latest:?}: {situation:?}");
            }
        });
    }

    /// Pushed calls keep their interval and number.
    #[test]
    fn pushed_calls_are_paced(history in any_history(Delivery::Pushed)) {
        for_each_call(&history, |situation, at| {
            assert!(situation.calls_out.len() < PUSHED_CALLS, "{at:?}: {} calls out", situation.calls_out.len());
            assert!(at >= pushed_call_due(situation), "{at:?}: {situation:?}");
        });
    }

    /// Pushed calls are due as soon as their interval and number allow it.
    #[test]
    fn pushed_calls_are_due_in_time(history in any_history(Delivery::Pushed)) {
        for_each_entry(&history, |situation, entry| {
            let due = (situation.calls_out.len() < PUSHED_CALLS).then(|| pushed_call_due(situation));
            assert_eq!(entry.next_call, due, "{:?}: {situation:?}", entry.at);
        });
    }

    /// Calls to relays keep to the same budget.
    #[test]
    fn the_budget_holds_with_relays(history in any_history(Delivery::Relayed)) {
        for_each_call(&history, |situation, at| {
            let earliest = situation.earliest_in_budget();
            assert!(at + ROUNDING >= earliest, "{at:?}: not before {earliest:?}: {:?}", situation.starts);
        });
    }

    /// A list from relays is stale as soon as a change may be missing for the stated time, and no sooner.
    #[test]
    fn a_list_from_relays_is_stale_in_time(history in any_history(Delivery::Relayed)) {
        let mut expires_at = None;
        for entry in history.play() {
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

/// Limiters that fail in the same instant do not retry in the same instant.
#[test]
fn retries_are_spread() {
    assert_retries_are_spread(CallFailure::Failed);
    assert_retries_are_spread(CallFailure::Refused { retry_after: None });
}

/// Limiters that are given the same advice do not retry in the same instant.
#[test]
fn retries_after_the_same_advice_are_spread() {
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

/// Instants between ticks, where no event of the service falls.
fn instants() -> impl Iterator<Item = Duration> {
    (0..).map(|tick| TICK * tick + TICK / 2).take_while(|at| *at < END)
}

fn past(entries: &[Entry], at: Duration) -> &[Entry] {
    &entries[..entries.partition_point(|entry| entry.at <= at)]
}

/// Whether a list may be used: no change that could have been made without its knowledge counts as notified.
fn may_use(past: &[Entry], at: Duration) -> bool {
    let Some(confirmed) = past.iter().rposition(Entry::is_sign_of_life) else { return false };
    let confirmed_at = past[confirmed].at;
    let changes = (0..).map(|tick| TICK * tick + AFTER_TICK).take_while(|made_at| *made_at <= at);
    let notified =
        changes.filter(|made_at| *made_at > confirmed_at).any(|made_at| made_at + NOTIFIED_AFTER <= at);
    let moves = past[confirmed..].iter().filter(|entry| entry.event == Event::Moved);
    let notified_by_another =
        moves.map(|entry| entry.at + NOTIFIED_AFTER_MOVE).any(|notified_at| notified_at <= at);
    !notified && !notified_by_another
}

/// When the list expires, by the rule.
fn expiry(situation: &Situation) -> Option<Duration> {
    let confirmed_at = situation.last_sign_of_life?;
    let moves = situation.moves_since.iter().map(|at| *at + NOTIFIED_AFTER_MOVE);
    moves.chain([confirmed_at + NOTIFIED_AFTER]).min()
}

/// When a call must be due at the latest, as far as the watch, backoff, advice and budget are concerned.
fn latest_call(situation: &Situation, now: Duration) -> Duration {
    let limits = [situation.watch_silent_at(), situation.latest_retry(), situation.earliest_in_budget()];
    limits.into_iter().fold(now, Duration::max)
}

fn pushed_call_due(situation: &Situation) -> Duration {
    let answered = situation.calls_out.iter().any(|call| call.answered);
    let interval = if answered { PUSHED_INTERVAL_ANSWERED } else { PUSHED_INTERVAL };
    let paced = situation.last_started.map_or(Duration::ZERO, |at| at + interval);
    paced.max(situation.watch_silent_at())
}

/// Checks each call with the situation just before it began.
fn for_each_call(history: &History, mut check: impl FnMut(&Situation, Duration)) {
    let mut situation = Situation::default();
    for entry in history.play() {
        if let Event::CallStarted(_) = entry.event {
            check(&situation, entry.at);
        }
        situation.note(entry.at, entry.event);
    }
}

/// Checks the follower's decisions after each event with the situation then.
fn for_each_entry(history: &History, mut check: impl FnMut(&Situation, &Entry)) {
    let mut situation = Situation::default();
    for entry in history.play() {
        situation.note(entry.at, entry.event);
        check(&situation, &entry);
    }
}
