//! The decision context: what each decision may depend on besides the state.

use crate::interface::Settings;

/// The settings and the time of the event that is handled.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    pub settings: &'a Settings,
    /// Seconds on the host's clock.
    pub now: f64,
}
