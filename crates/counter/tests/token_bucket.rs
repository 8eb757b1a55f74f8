//! The token bucket and its overshoot.
#![allow(clippy::float_cmp, reason = "the expected values are exact in f64")]

use liftrouter_counter::TokenBucket;

#[test]
fn overshoot_is_that_of_the_worst_interval() {
    let mut bucket = TokenBucket::new(2.0, 10.0, 0.0);
    bucket.take(10.0, 0.0);
    assert_eq!(bucket.max_overshoot(), 0.0);
    bucket.take(4.0, 1.0);
    assert_eq!(bucket.max_overshoot(), 2.0);
    // The refill of 4 units in two seconds and a use of 3 leave an overdraft of 1, less than the maximum.
    bucket.take(3.0, 3.0);
    assert_eq!(bucket.max_overshoot(), 2.0);
    assert_eq!(bucket.level(100.0), 10.0);
}
