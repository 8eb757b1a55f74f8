//! Counter keys change with each epoch, so that increments that were lost or doubled are forgotten with the
//! old key.
//!
//! What it can get wrong: in a new epoch the totals begin at zero, which [`super::counter_reply`] takes into
//! account. Held by `tests/decision/counter.rs`, `a_doubled_increment_is_gone_with_the_next_epoch`.

use crate::hash::fnv1a;

/// Seconds that share one key on the counter.
pub const EPOCH_SECONDS: f64 = 20.0;
/// Longest life of a key on the counter, in seconds.
const MAX_TTL_SECONDS: f64 = 60.0;

/// Number of the epoch of a time.
pub fn epoch_at(now: f64) -> i64 {
    (now / EPOCH_SECONDS).floor() as i64
}

/// Time at which an epoch begins.
pub fn epoch_start(epoch: i64) -> f64 {
    epoch as f64 * EPOCH_SECONDS
}

/// The counter's key for a customer in an epoch; the customer's name is hashed, so that keys are short and
/// hide it.
pub fn counter_key(customer: &str, epoch: i64) -> String {
    format!("{:016x}.{epoch}", fnv1a(customer))
}

/// Seconds after which the counter may forget a key.
pub fn counter_ttl_s() -> f64 {
    (EPOCH_SECONDS * 2.0).min(MAX_TTL_SECONDS)
}
