//! Prints a Markdown table of the time that a fleet of limiters needs to reach discovery again after a fault.

#[path = "../tests/support/mod.rs"]
mod support;

use liftrouter_discovery::{Delivery, Follower};
use std::time::Duration;
use support::{Fleet, Outcome, Scenario};

const SEEDS: u64 = 10;
const LIMITERS: [usize; 4] = [1, 6, 30, 300];
const ALL_CALLS_SECONDS: [u64; 3] = [2, 4, 8];
const SCENARIOS: [Scenario; 4] =
    [Scenario::WatchesEnd, Scenario::Outage, Scenario::OutageThenSlow, Scenario::Silence];

fn main() {
    println!("| limiters | all calls, s | scenario | first, s | median, s | last, s | calls a limiter | refused | expired, s |");
    println!("|--:|--:|:--|--:|--:|--:|--:|--:|--:|");
    for scenario in SCENARIOS {
        for limiters in LIMITERS {
            // The slow service has a fixed cost per call, so `all_calls` has no effect.
            let all_calls = if scenario == Scenario::OutageThenSlow { &[0][..] } else { &ALL_CALLS_SECONDS };
            for seconds in all_calls {
                print_row(limiters, Duration::from_secs(*seconds), scenario);
            }
        }
    }
    println!();
    println!("Times are the median over {SEEDS} seeds, with the range, from the service's return. A simulation ends 120 s");
    println!("after it: `never` means not until then, and the other figures of such a row depend on this end. Where one call");
    println!("costs more than 0.5 s, a call that waits for 2 s times out before its response; where it costs more than");
    println!("2.5 s (1 limiter, 4 s and 8 s), none can succeed.");
}

fn print_row(limiters: usize, all_calls: Duration, scenario: Scenario) {
    let simulate = |seed| {
        let fleet = Fleet { limiters, all_calls, scenario, seed };
        (fleet.min_work(), fleet.simulate(|seed| Follower::new(Delivery::OnRequest, seed)))
    };
    let (works, outcomes): (Vec<Duration>, Vec<Outcome>) = (0..SEEDS).map(simulate).unzip();
    let total = (limiters as u64 * SEEDS) as f64;
    let calls: usize = outcomes.iter().map(Outcome::total_calls).sum();
    let refused: usize = outcomes.iter().map(|outcome| outcome.refused).sum();
    let expired: Duration = outcomes.iter().flat_map(|outcome| &outcome.expired).sum();
    println!(
        "| {limiters} | {:.1} | {scenario:?} | {} | {} | {} | {:.1} | {:.1} | {:.2} |",
        works[0].as_secs_f64(),
        over_seeds(&outcomes, |_| 0),
        over_seeds(&outcomes, |count| count / 2),
        over_seeds(&outcomes, |count| count - 1),
        calls as f64 / total,
        refused as f64 / SEEDS as f64,
        expired.as_secs_f64() / total,
    );
}

/// The median and range, over the seeds, of the notification time of the limiter with a given rank. A limiter that is
/// never notified ranks last.
fn over_seeds(outcomes: &[Outcome], rank: impl Fn(usize) -> usize) -> String {
    let mut times: Vec<f64> = outcomes.iter().map(|outcome| time_of_rank(outcome, &rank)).collect();
    times.sort_by(f64::total_cmp);
    let shown = |time: f64| if time.is_finite() { format!("{time:.2}") } else { "never".to_owned() };
    let (least, median, most) = (times[0], times[times.len() / 2], times[times.len() - 1]);
    format!("{} ({}..{})", shown(median), shown(least), shown(most))
}

fn time_of_rank(outcome: &Outcome, rank: impl Fn(usize) -> usize) -> f64 {
    let seconds =
        |notified: &Option<Duration>| notified.map_or(f64::INFINITY, |notified| notified.as_secs_f64());
    let mut times: Vec<f64> = outcome.notified_after.iter().map(seconds).collect();
    times.sort_by(f64::total_cmp);
    times[rank(times.len())]
}
