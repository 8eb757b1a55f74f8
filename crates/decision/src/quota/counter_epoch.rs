//! Counter keys change with each epoch, so that lost or duplicated increments are dropped with the old key.
//!
//! What it can get wrong: the totals of a new epoch start at zero, which [`super::counter_reply`] takes into
//! account. Held by `tests/decision/counter.rs`, `the_effect_of_a_duplicated_increment_ends_with_the_epoch`.

use crate::hash::fnv1a;

/// Length of an epoch: the seconds for which a customer's counter key stays the same.
pub const EPOCH_SECONDS: f64 = 20.0;
/// Upper bound of a counter key's time to live, in seconds.
const MAX_TTL_SECONDS: f64 = 60.0;

/// Number of the epoch that contains a time.
pub fn epoch_at(now: f64) -> i64 {
    (now / EPOCH_SECONDS).floor() as i64
}

/// Time at which an epoch begins.
pub fn epoch_start(epoch: i64) -> f64 {
    epoch as f64 * EPOCH_SECONDS
}

/// The counter key of a customer in an epoch. The customer's name is hashed, which keeps keys short and does
/// not reveal the name.
pub fn counter_key(customer: &str, epoch: i64) -> String {
    format!("{:016x}.{epoch}", fnv1a(customer))
}

/// Time to live of a counter key, in seconds.
pub fn counter_ttl_s() -> f64 {
    (EPOCH_SECONDS * 2.0).min(MAX_TTL_SECONDS)
}
