//! A customer's account at this limiter.
//!
//! An account is evicted only when a new one would hold no more units: otherwise an idle customer would get
//! its burst twice. Held by `tests/decision/quota_accounts.rs`.

use super::counter_encoding::{Baseline, Usage};
use super::counter_epoch::EPOCH_SECONDS;
use super::hard_limit::HardLimit;
use super::shared_bucket::SharedBucket;
use super::token_bucket::TokenBucket;
use super::usage_report::CALL_PERIOD_SECONDS;
use super::usage_totals::UsageTotals;
use crate::interface::Plan;

/// Seconds without a request after which an account may be evicted.
const IDLE_TIMEOUT_SECONDS: f64 = 60.0;
/// The same while a new customer needs the place of an account.
const IDLE_TIMEOUT_WHEN_FULL_SECONDS: f64 = 1.0;
/// Age in epochs beyond which totals are not used, even if the counter is up.
const STALE_TOTALS_EPOCHS: f64 = 2.0;

/// The state of one customer at this limiter.
pub struct Customer {
    /// Index of the customer's plan in the settings.
    pub plan_index: usize,
    /// Number of limiters that the customer's requests can reach.
    pub reachable_instances: f64,
    pub bucket: TokenBucket,
    pub hard_limit: HardLimit,
    /// The customer's attempts in flight from this limiter.
    pub in_flight: u32,
    pub shared_bucket: SharedBucket,
    /// Units not yet reported to the counter.
    pub unreported: Usage,
    /// A counter call for the customer has no reply yet.
    pub call_in_flight: bool,
    pub next_call_at: f64,
    pub last_reply_at: f64,
    /// Mean seconds between replies.
    pub reply_interval_s: f64,
    pub baseline: Baseline,
    pub totals: Option<UsageTotals>,
    /// The latest reply showed that the counter lost its counts: `totals` are not to be used.
    pub totals_lost: bool,
}

impl Customer {
    /// The account of a customer that is new to this limiter or was evicted.
    pub fn new(
        plan_index: usize,
        plan: &Plan,
        reachable_instances: f64,
        request_units: f64,
        limiter_started_at: f64,
        now: f64,
    ) -> Self {
        Customer {
            plan_index,
            reachable_instances,
            bucket: TokenBucket::new((plan.burst / reachable_instances).max(request_units), now),
            hard_limit: HardLimit::new(plan, reachable_instances, now - limiter_started_at),
            in_flight: 0,
            shared_bucket: SharedBucket::full(plan),
            unreported: Usage::default(),
            call_in_flight: false,
            next_call_at: now,
            last_reply_at: limiter_started_at,
            reply_interval_s: CALL_PERIOD_SECONDS,
            baseline: Baseline::none(),
            totals: None,
            totals_lost: false,
        }
    }

    /// The totals, unless none were read yet or the counter lost its counts.
    pub fn known_totals(&self) -> Option<UsageTotals> {
        self.totals.filter(|_| !self.totals_lost)
    }

    /// The totals from which a share of the quota may be computed: recent, and read from a usable counter.
    pub fn usable_totals(&self, usable_quota_ratio: f64, now: f64) -> Option<UsageTotals> {
        self.known_totals().filter(|totals| {
            usable_quota_ratio > 0.0 && now - totals.read_at <= STALE_TOTALS_EPOCHS * EPOCH_SECONDS
        })
    }

    /// Whether this limiter's even share of the plan's burst is less than one unit.
    pub fn is_below_one_token(&self, plan: &Plan) -> bool {
        plan.burst < self.reachable_instances
    }

    /// Changes the plan from the next request on. This grants no units: those of the former plan are kept as far
    /// as the new one can hold them, and accrue at its rate from now on. Otherwise a customer could get a burst
    /// with each change.
    pub fn change_plan(&mut self, plan_index: usize, plan: &Plan, request_units: f64) {
        self.plan_index = plan_index;
        self.bucket.limit_to((plan.burst / self.reachable_instances).max(request_units));
        self.hard_limit.limit_to(plan.hard_limit_burst / self.reachable_instances);
        self.shared_bucket.limit_to(plan.burst);
    }

    /// Draws the units of an admitted request from what the plan limits.
    pub fn draw(&mut self, plan: &Plan, units: f64) {
        if plan.rate > 0.0 {
            self.bucket.draw(units);
        }
        if plan.hard_limit_rate > 0.0 {
            self.hard_limit.draw(units);
        }
    }

    /// Settles units that were estimated too low (or too high, if negative). The correction is reported to
    /// the counter only while units are accumulated for the next call: at other times a call represents many
    /// requests.
    pub fn settle(&mut self, plan: &Plan, correction: f64, now: f64) {
        if plan.rate > 0.0 {
            self.bucket.draw(correction);
        }
        let reported = if now < self.next_call_at { correction } else { 0.0 };
        self.unreported.accepted = (self.unreported.accepted + reported).max(0.0);
    }

    /// Whether the account is idle and a new one would hold no more units than it.
    pub fn is_evictable(&self, plan: &Plan, max_request_units: f64, now: f64) -> bool {
        self.is_evictable_after(IDLE_TIMEOUT_SECONDS, plan, max_request_units, now)
    }

    /// Whether the account may make room for that of a new customer: as [`Customer::is_evictable`], but sooner, and only
    /// if all its usage was reported.
    pub fn is_replaceable(&self, plan: &Plan, max_request_units: f64, now: f64) -> bool {
        self.unreported.is_zero()
            && self.is_evictable_after(IDLE_TIMEOUT_WHEN_FULL_SECONDS, plan, max_request_units, now)
    }

    fn is_evictable_after(&self, idle_timeout_s: f64, plan: &Plan, max_request_units: f64, now: f64) -> bool {
        let idle_s = now - self.bucket.refilled_at();
        let shortfall = (plan.burst / self.reachable_instances).max(max_request_units) - self.bucket.tokens();
        let is_full = idle_s * plan.rate / self.reachable_instances >= shortfall
            && idle_s * plan.hard_limit_rate >= plan.hard_limit_burst;
        let is_limited = plan.rate.max(plan.hard_limit_rate) > 0.0;
        !(self.call_in_flight || self.in_flight > 0 || idle_s < idle_timeout_s || (is_limited && !is_full))
    }
}
