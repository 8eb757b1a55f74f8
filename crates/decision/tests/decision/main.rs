//! Tests of the decision module with scripted events, one file per behavior.

mod admission;
mod authorization;
mod class_breaker;
mod concurrency_limit;
mod counter;
mod endpoint_list;
mod endpoint_selection;
mod fleet_limit;
mod limiter;
mod outlier_detection;
mod plan_change;
mod quota_accounts;
mod quota_share;
mod quota_shared_bucket;
mod relocation;
mod request_answers;
mod retry;
mod settings;
mod slow_attempt;
mod slow_start;
mod support;
