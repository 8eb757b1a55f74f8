//! Rules by a class's idempotency: whether a request may be retried, at which endpoints, and whether it may
//! be rejected after an attempt.
//!
//! An idempotent request may always be retried. A request without an idempotency key is retried only if no
//! attempt may have run. One with a key is retried at endpoints that recognize it, wherever its earlier
//! attempts may have run, and within its deduplication window, counted from the first of these attempts. What
//! it can get wrong: an attempt counts as run until its outcome
//! proves otherwise, so some retries are not sent although they would be safe. Held by
//! `tests/decision/retry.rs`.

use super::attempt::Attempt;
use super::in_flight_request::InFlightRequest;
use crate::context::Context;
use crate::endpoints::Constraints;
use crate::interface::{Class, DeduplicationScope, Idempotency, Settings};

/// Ratio of the deduplication window within which a request may be retried; the rest allows for differences
/// between the clocks of limiter and endpoints.
const USABLE_WINDOW_RATIO: f64 = 0.9;
/// Ticks subtracted from the end of that time, so that an attempt is written before it.
const SEND_MARGIN_TICKS: f64 = 2.0;

impl InFlightRequest {
    /// For a class with idempotency keys, the attempts that may have run, in order of their sending.
    fn deduplicated_attempts(&self, class: &Class) -> impl Iterator<Item = &Attempt> {
        let has_key = class.idempotency == Idempotency::IdempotencyKey;
        self.attempts.iter().filter(move |attempt| attempt.may_have_run && has_key)
    }

    /// The constraints on the endpoint of the next attempt.
    pub fn constraints(&self, settings: &Settings) -> Constraints<'_> {
        let class = &settings.classes[self.class];
        Constraints {
            class: self.class,
            scope: class.deduplication_scope,
            may_have_run: self.deduplicated_attempts(class).map(|attempt| &attempt.locations).collect(),
            tried: self.attempts.iter().map(|attempt| &attempt.endpoint).collect(),
        }
    }

    /// The constraints that the earlier attempts set on the endpoint of the one in flight.
    pub fn constraints_in_flight(&self, settings: &Settings) -> Constraints<'_> {
        let class = &settings.classes[self.class];
        let ended = self.deduplicated_attempts(class).filter(|attempt| !attempt.is_in_flight);
        Constraints {
            class: self.class,
            scope: class.deduplication_scope,
            may_have_run: ended.map(|attempt| &attempt.locations).collect(),
            tried: Vec::new(),
        }
    }

    /// Time by which a further attempt must be written, while the endpoints still recognize the idempotency
    /// key; infinite if no deduplication applies.
    pub fn send_deadline(&self, settings: &Settings) -> f64 {
        let class = &settings.classes[self.class];
        // The deduplication window starts with the first attempt that may have run.
        self.deduplicated_attempts(class).next().map_or(f64::INFINITY, |attempt| {
            attempt.sent_at + class.deduplication_window_s * USABLE_WINDOW_RATIO
                - settings.tick_interval_s * SEND_MARGIN_TICKS
        })
    }

    /// Whether the idempotency of the request's class permits a retry now.
    pub fn effect_allows_retry(&self, Context { settings, now }: Context) -> bool {
        match settings.classes[self.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => !self.may_have_run(),
            Idempotency::IdempotencyKey => now < self.send_deadline(settings),
        }
    }

    /// Whether the client may be told that a retry is safe: the request had no effect, or repeating it has no
    /// further effect.
    pub fn may_be_rejected(&self, settings: &Settings) -> bool {
        let class = &settings.classes[self.class];
        let is_deduplicated_everywhere = class.idempotency == Idempotency::IdempotencyKey
            && class.deduplication_scope == DeduplicationScope::All;
        class.idempotency == Idempotency::Idempotent || is_deduplicated_everywhere || !self.may_have_run()
    }
}
