//! Derives a customer's demand at all limiters from the counter's replies.
//!
//! Each reply is compared with the previous one of the same epoch. An increment that was not added is
//! reported again with the next call; one that timed out is not, since it may have been added. A total that
//! grew by less than this limiter's own increment shows that the counter lost its counts: totals then count
//! as missing until a reply is consistent with the previous one. Held by `tests/decision/counter.rs` and
//! `tests/decision/quota_share.rs`.

use super::counter_encoding::{units_per_step, Baseline, Usage};
use super::counter_epoch::epoch_start;
use super::customer::Customer;
use super::probabilistic_admission::{admission_probability, PlanAdmission};
use super::shared_bucket::ReadingTimes;
use super::usage_report::{CounterCall, CALL_PERIOD_SECONDS};
use super::usage_totals::UsageReading;
use super::Quota;
use crate::context::Context;
use crate::ewma::ewma;
use crate::interface::{Outcome, Plan};

/// Weight of the latest interval in the mean interval between replies.
const REPLY_INTERVAL_GAIN: f64 = 0.3;
/// Shortest time, in seconds, by which a reading is divided to get a rate.
const MIN_SPAN_SECONDS: f64 = CALL_PERIOD_SECONDS / 4.0;

impl Quota {
    /// Handles the outcome of a counter call, which took `elapsed_s` seconds.
    pub fn on_counter_reply(
        &mut self,
        Context { settings, now }: Context,
        key: &str,
        outcome: Outcome,
        total: f64,
        elapsed_s: f64,
    ) {
        self.counter_health.on_reply(outcome, elapsed_s, settings.counter_timeout_s);
        let Some(call) = self.pending_calls.remove(key) else { return };
        let Some(customer) = self.customers.get_mut(&call.customer) else { return };
        customer.call_in_flight = false;
        let plan = &settings.plans[customer.plan_index];
        if outcome != Outcome::Ok {
            if outcome != Outcome::Timeout {
                customer.restore_unreported(&call, plan);
            }
            return;
        }
        if !customer.update_totals(&call, plan, total, self.usable_quota_ratio, now) {
            return;
        }
        let Some(totals) = customer.totals else { return };
        let probability =
            admission_probability(plan, self.usable_quota_ratio, &customer.shared_bucket, totals);
        self.plan_admissions.resize(settings.plans.len(), PlanAdmission::INITIAL);
        self.plan_admissions[customer.plan_index].update(probability);
    }
}

impl Customer {
    /// Queues the units of a call that the counter did not add for the next report.
    fn restore_unreported(&mut self, call: &CounterCall, plan: &Plan) {
        let step = units_per_step(plan);
        self.unreported.accepted += call.steps.accepted * step;
        self.unreported.rejected += call.steps.rejected * step;
    }

    /// Updates the totals from the counter's total after a call. Returns false if it shows that the counter
    /// lost its counts.
    fn update_totals(
        &mut self,
        call: &CounterCall,
        plan: &Plan,
        total: f64,
        usable_quota_ratio: f64,
        now: f64,
    ) -> bool {
        let read = Usage::unpack(total);
        let baseline = self.baseline.in_epoch(call.epoch);
        let epoch_start = epoch_start(call.epoch);
        // Within an epoch, all that the reading covers was added since the last reply, even if the counter
        // lost its counts in between.
        let counted_from = if self.baseline.epoch == call.epoch { self.last_reply_at } else { epoch_start };
        let span_s = (now - counted_from).max(MIN_SPAN_SECONDS);
        // Own demand is divided by the whole time since the previous reply, part of which may lie in the last
        // epoch: otherwise a rare request would look like a large share just after the start of an epoch.
        let own_span_s = (now - self.last_reply_at).max(MIN_SPAN_SECONDS);
        let previous_reply = std::mem::replace(&mut self.last_reply_at, now);
        self.baseline = Baseline { epoch: call.epoch, steps: read };
        let accepted = read.accepted - baseline.accepted;
        let rejected = read.rejected - baseline.rejected;
        self.totals_lost = total < 0.0 || accepted < call.steps.accepted || rejected < call.steps.rejected;
        if self.totals_lost {
            // The averages stay valid: the loss of counts does not change the demand.
            return false;
        }
        let step = units_per_step(plan);
        let times = ReadingTimes { previous_reply, epoch_start, now };
        self.shared_bucket.update(plan, plan.rate * usable_quota_ratio, accepted * step, self.totals, &times);
        self.reply_interval_s = ewma(self.reply_interval_s, own_span_s, REPLY_INTERVAL_GAIN);
        let reading = UsageReading {
            own_demand: (call.steps.accepted + call.steps.rejected) * step,
            own_span_s,
            demand: (accepted + rejected) * step,
            accepted: accepted * step,
            span_s,
        };
        self.totals = Some(self.totals.unwrap_or_default().updated(&reading, self.reply_interval_s, now));
        true
    }
}
