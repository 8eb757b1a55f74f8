//! The inputs of every decision besides the limiter's state.

use crate::interface::Settings;

/// The settings and the time of the event that is being handled.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    pub settings: &'a Settings,
    /// Seconds on the host's clock.
    pub now: f64,
}
