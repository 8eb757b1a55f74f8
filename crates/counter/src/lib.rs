//! The client side of the counter service, without I/O: selection of the active counter, validation of its totals, and
//! bounds on the error of a quota while a counter fails.
//!
//! [`CounterValidator`] validates one counter with dedicated calls to a sentinel counter and an instance census.
//! [`CounterMonitor`] validates all counters of an instance and follows their [`Failover`]. [`Pacer`] limits the rate of
//! calls, and [`PauseDetector`] detects pauses of the process. [`ErrorBound`] bounds how far a customer's use over all
//! instances may deviate from its quota while the counter is unavailable, has lost counts, answers with old totals, or
//! is split. `docs/design/keeper.md` derives the bounds; `tests/bounds.rs` checks the decision module against them with
//! simulated instances and counters.
//!
//! All times are seconds on a clock that the caller supplies.
//!
//! ```
//! use liftrouter_counter::{ErrorBound, Fault, Quota, Timing};
//!
//! let quota =
//!     Quota { rate: 6.5, burst: 30.0, max_request_units: 4.0, instance_count: 3, hard_limit_factor: 2.0 };
//! let timing = Timing::default();
//! let unavailable = ErrorBound::under(&quota, &timing, Fault::Unavailable { duration_s: 60.0 });
//! let arbitrary = ErrorBound::under(&quota, &timing, Fault::Arbitrary { duration_s: 60.0 });
//! assert!(unavailable.overshoot < arbitrary.overshoot);
//! ```

mod assessment;
mod census;
mod error_bound;
mod failover;
mod monitor;
mod pacing;
mod pause_detector;
mod sentinel;
mod settings;
mod token_bucket;
mod validator;
mod verdict;

pub use assessment::Assessment;
pub use error_bound::{ErrorBound, Fault, Quota, Timing, RANDOM_REJECTION_RATIO};
pub use failover::{ActiveCounter, Failover, FailoverPolicy, Switch, SwitchReason};
pub use monitor::CounterMonitor;
pub use pacing::{Pacer, PacingSettings};
pub use pause_detector::PauseDetector;
pub use settings::ValidationSettings;
pub use token_bucket::TokenBucket;
pub use validator::{CallResult, CounterValidator, ValidationCall};
pub use verdict::{Validity, Verdict};
