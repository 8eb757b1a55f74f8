//! The time that the platform gives a limiter to shut down.

use super::Limiter;
use std::time::{Duration, Instant};

/// SIGKILL follows SIGTERM after this time plus the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The part of the longest deadline beyond this does not delay SIGKILL.
const MAX_DEADLINE_S: f64 = 3.0;

/// How long after SIGTERM a limiter whose longest deadline this is would be killed.
pub fn killed_after(deadline_s: f64) -> Duration {
    KILL_DELAY + Duration::from_secs_f64(deadline_s.min(MAX_DEADLINE_S))
}

/// Waits for the limiter to exit, which has to be with code 0 and before SIGKILL; returns the time that it took.
pub fn assert_clean_exit(limiter: &mut Limiter, terminated: Instant, deadline_s: f64) -> Duration {
    let status = limiter.wait();
    let (took, killed) = (terminated.elapsed(), killed_after(deadline_s));
    assert_eq!(status.code(), Some(0), "{}", limiter.errors());
    assert!(took < killed, "{took:?}, killed after {killed:?}");
    took
}
