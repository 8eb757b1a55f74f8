//! The decision module; its interface is in `interface.rs`.
//!
//! Cut by what is decided: [`quota`] whether a customer may, [`fleet`] which server can, [`life`] what
//! becomes of a request in between. Each holds its own state; `life` calls the other two, and they know
//! nobody.

mod fleet;
mod life;
mod quota;

use crate::interface::*;
use life::Life;
use quota::{AGE_OUT, PERIOD};

/// Periods between two ticks from which the limiter itself stood still.
const STALL: f64 = 0.5;

const T_TICK: u64 = 0;
const T_DUE: u64 = 1;
const T_PATIENCE: u64 = 2;
const T_PERMIT: u64 = 3;

fn fresh(mean: f64, sample: f64, gain: f64) -> f64 {
    mean + (sample - mean) * gain
}

/// FNV-1a: the same at every limiter.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// What every decision is made in view of: the settings and the time of the event.
#[derive(Clone, Copy)]
struct View<'a> {
    set: &'a Settings,
    now: f64,
}

/// One limiter's decisions.
pub struct Limiter {
    set: Settings,
    ticking: bool,
    /// Last tick, and until when what is late is this limiter's own fault, not the servers'.
    ticked: f64,
    stalled: f64,
    life: Life,
    follow: bool,
    lost_list: bool,
}

impl Limiter {
    /// A limiter that knows nothing yet.
    pub fn new(set: Settings, seed: u64, now: f64) -> Self {
        Limiter {
            ticking: false,
            ticked: now,
            stalled: now,
            life: Life::new(&set, seed, now),
            follow: set.polls_discovery,
            lost_list: false,
            set,
        }
    }

    /// Takes one event in and appends what is to be done, in order.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        let Limiter { set, life, .. } = self;
        let view = View { set, now };
        // By a flag, not the time: a real clock has moved on since `new` when the first event comes.
        if !std::mem::replace(&mut self.ticking, true) {
            out.push(Action::SetTimer { at: now + PERIOD / 10.0, token: T_TICK });
        }
        if std::mem::take(&mut self.follow) {
            out.push(Action::WatchEndpoints);
        }
        match event {
            Event::EndpointList(entries) => life.fleet.listed(view, &entries, true),
            Event::EndpointChanges(entries) => life.fleet.listed(view, &entries, false),
            Event::DiscoveryFailed => self.lost_list = true,
            Event::Request(r) => life.admit(view, r, false, out),
            Event::Authorization(r) => life.admit(view, r, true, out),
            Event::StreamStarted { id } => life.streaming(id),
            Event::AttemptEnded {
                id,
                attempt,
                request_finished: finished,
                outcome,
                elapsed: took,
                units,
                ..
            } => {
                life.ended(view, id, attempt, (finished, outcome, took, units.unwrap_or(0.0)), out);
            }
            Event::ClientDisconnected { id } => {
                life.permit_over(view, id);
                life.finish(view, id, out);
            }
            Event::CounterReply { key: name, outcome, total, elapsed: took } => {
                life.quota.counted(view, &name, outcome, total, took);
            }
            Event::CounterValidity { usable_quota_ratio: share } => life.quota.view = share.clamp(0.0, 1.0),
            Event::HealthChecked { .. } => {}
            Event::Timer { token } => match (token % 4, token / 4) {
                (T_TICK, _) => {
                    // Woken late, with all that came meanwhile: what looks late now is no server's fault.
                    self.stalled = if now - self.ticked > STALL * PERIOD { now } else { self.stalled };
                    if (now / AGE_OUT).floor() > (self.ticked / AGE_OUT).floor() {
                        life.quota.age_out(view);
                    }
                    self.ticked = now;
                    life.fleet.survey(view);
                    // A broken subscription is asked for again, at the pace of the ticks.
                    self.follow |= std::mem::take(&mut self.lost_list);
                    out.push(Action::SetTimer { at: now + PERIOD / 10.0, token: T_TICK });
                }
                (T_DUE, id) if life.unanswered(id) => {
                    out.push(Action::Fail { id });
                    life.finish(view, id, out);
                }
                (T_PERMIT, id) => life.permit_over(view, id),
                (_, id) => life.impatient(view, id, self.stalled, out),
            },
        }
    }
}
