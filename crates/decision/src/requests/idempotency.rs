//! Rules by a class's idempotency: whether a request may be retried, at which endpoints, and whether it may
//! be rejected after an attempt.
//!
//! An idempotent request may always be retried. A request without an idempotency key is retried only if no
//! attempt may have run. One with a key is retried within its deduplication scope and window, counted from
//! the first attempt that may have run. What it can get wrong: an attempt counts as run until its outcome
//! proves otherwise, so some retries are not sent although they would be safe. Held by
//! `tests/decision/retry.rs`.

use super::attempt::Attempt;
use super::in_flight_request::InFlightRequest;
use crate::context::Context;
use crate::endpoints::{Constraints, DeduplicationBinding};
use crate::interface::{Class, DeduplicationScope, Idempotency, Settings};

/// Ratio of the deduplication window within which a request may be retried; the rest allows for differences
/// between the clocks of limiter and endpoints.
const USABLE_WINDOW_RATIO: f64 = 0.9;
/// Ticks subtracted from the end of that time, so that an attempt is written before it.
const SEND_MARGIN_TICKS: f64 = 2.0;

impl InFlightRequest {
    /// For a class with idempotency keys, the first attempt that may have run; the deduplication window
    /// starts with it.
    fn first_deduplicated_attempt(&self, class: &Class) -> Option<&Attempt> {
        let has_key = class.idempotency == Idempotency::IdempotencyKey;
        self.attempts.iter().find(|attempt| attempt.may_have_run && has_key)
    }

    /// The constraints on the endpoint of the next attempt.
    pub fn constraints(&self, settings: &Settings) -> Constraints<'_> {
        let class = &settings.classes[self.class];
        let binding = self.first_deduplicated_attempt(class).map(|attempt| DeduplicationBinding {
            scope: class.deduplication_scope,
            location: &attempt.location,
        });
        Constraints {
            class: self.class,
            binding,
            tried: self.attempts.iter().map(|attempt| &attempt.endpoint).collect(),
        }
    }

    /// Time by which a further attempt must be written, while the endpoints still recognize the idempotency
    /// key; infinite if no deduplication applies.
    pub fn send_deadline(&self, settings: &Settings) -> f64 {
        let class = &settings.classes[self.class];
        self.first_deduplicated_attempt(class).map_or(f64::INFINITY, |attempt| {
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
