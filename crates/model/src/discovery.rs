//! Carries out what the list of servers asks for: over the links, and in the world's order.

use crate::limiters::In;
use crate::links::End;
use crate::list::{Line, ListEffect, ListEvent, Watcher};
use crate::world::{What, World};
use liftrouter_decision::EndpointEntry;
use liftrouter_stage::history::Event;
use liftrouter_stage::schedule::Micros;

impl World<'_> {
    /// A node changes, which the list knows of after so many seconds.
    pub(crate) fn announce(&mut self, line: Line, after: f64) {
        self.list_event(ListEvent::Announced { line, after });
    }

    pub(crate) fn release(&mut self) {
        self.list_event(ListEvent::ReleaseDue);
    }

    /// Sends a limiter the changes that it has not been sent, if its watch can take them.
    pub(crate) fn tell(&mut self, limiter: u16) {
        if !self.watch_stalled(limiter) && self.gates[usize::from(limiter)].listens() {
            self.list_event(ListEvent::WatchReady { limiter });
        }
    }

    /// The watch of a limiter has begun to be silent.
    pub(crate) fn list_falls_silent(&mut self, limiter: u16) {
        let life = self.gates[usize::from(limiter)].life();
        self.list_event(ListEvent::WatchStalled(Watcher { limiter, life }));
    }

    /// A silent watch has timed out, unless it can be used again.
    pub(crate) fn list_silent(&mut self, limiter: u16, life: u32) {
        let stalled = self.watch_stalled(limiter);
        self.list_event(ListEvent::WatchChecked { watcher: Watcher { limiter, life }, stalled });
    }

    fn watch_stalled(&self, limiter: u16) -> bool {
        let effect = self.links.effect(limiter, End::List);
        effect.held || effect.dropping || effect.resetting
    }

    fn list_event(&mut self, event: ListEvent) {
        let now = self.now();
        for effect in self.list.handle(event, now) {
            self.apply_list_effect(effect);
        }
    }

    fn apply_list_effect(&mut self, effect: ListEffect) {
        match effect {
            ListEffect::ReleaseAt(at) => self.queue.at(at, What::Release),
            ListEffect::Offer => (0..self.gates.len()).for_each(|limiter| self.tell(limiter as u16)),
            ListEffect::Deliver { limiter, changes } => self.deliver(limiter, changes),
            ListEffect::CheckAfter { pause, watcher } => {
                self.queue.after(pause, What::Silent(watcher.limiter, watcher.life));
            }
            ListEffect::ReportBroken(watcher) => self.news(watcher.limiter, watcher.life, In::Broken),
        }
    }

    fn deliver(&mut self, limiter: u16, changes: Vec<Line>) {
        for line in &changes {
            self.note(Event::Told { limiter, node: line.node, life: line.life, state: line.state });
        }
        let delay = self.links.effect(limiter, End::List).delay;
        let wire = self.wires.wire() + delay.as_micros() as Micros;
        let life = self.gates[usize::from(limiter)].life();
        self.queue.after(wire, What::News(limiter, life, In::Listed(changes)));
    }

    /// A line as the decision module knows it.
    pub(crate) fn entry(&self, line: &Line) -> EndpointEntry {
        line.server_entry(self.nodes[usize::from(line.node)].id.clone(), &self.s.rooms)
    }
}
