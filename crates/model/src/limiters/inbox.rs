//! What a limiter has been sent and has not come to yet: it works on one event at a time.

use super::In;
use crate::figures::Figures;
use crate::world::{What, World};
use liftrouter_stage::schedule::Micros;
use std::collections::VecDeque;

/// The share of the time for an event that a timer takes.
const TIMER_SHARE: f64 = 0.1;

/// The inbox of a limiter.
#[derive(Default)]
pub(super) struct Inbox {
    events: VecDeque<In>,
    working: bool,
}

impl Inbox {
    pub fn push(&mut self, event: In) {
        self.events.push_back(event);
    }

    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Begins to work on the next event, if one waits and none is worked on; how long that takes.
    fn begin(&mut self, figures: &Figures) -> Option<Micros> {
        if self.working {
            return None;
        }
        let takes = duration(self.events.front()?, figures);
        self.working = true;
        Some(takes)
    }

    /// The time for the event that is worked on is over.
    fn finish(&mut self) {
        self.working = false;
    }

    fn pop(&mut self) -> Option<In> {
        self.events.pop_front()
    }

    pub fn take_all(&mut self) -> VecDeque<In> {
        std::mem::take(&mut self.events)
    }
}

fn duration(event: &In, figures: &Figures) -> Micros {
    let takes = match event {
        In::Asked(_) => figures.request_us,
        In::Ended(..) => figures.answer_us,
        In::Timer(_) | In::Limit(_) | In::CallLimit(_) => TIMER_SHARE * figures.news_us,
        _ => figures.news_us,
    };
    takes as Micros
}

impl World<'_> {
    /// Something comes to a limiter: it lies there until the limiter gets to it.
    pub(crate) fn news(&mut self, l: u16, life: u32, news: In) {
        let gate = self.gate(l);
        if gate.runs(life) {
            gate.inbox.push(news);
            self.work_on(l);
        }
    }

    /// A limiter turns to the next event, unless it is paused.
    pub(super) fn work_on(&mut self, l: u16) {
        let gate = &mut self.gates[usize::from(l)];
        if gate.process.is_paused() {
            return;
        }
        if let Some(takes) = gate.inbox.begin(&self.figures) {
            self.queue.after(takes, What::Work(l, gate.life()));
        }
    }

    /// The time for an event is over: the limiter hears it.
    pub(crate) fn work(&mut self, l: u16, life: u32) {
        let gate = self.gate(l);
        if !gate.runs(life) {
            return;
        }
        gate.inbox.finish();
        if gate.process.is_paused() {
            return;
        }
        if let Some(news) = gate.inbox.pop() {
            self.hear(l, news);
        }
        self.work_on(l);
    }
}
