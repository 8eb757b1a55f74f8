//! Clients and the front that deals them over the limiters, as the kit has them.

use crate::limiters::In;
use crate::world::{What, World};
use liftrouter_stage::history::{Body, Event, TryId};
use liftrouter_stage::scenario::Effect;
use liftrouter_stage::schedule::{micros, Arrival, Micros};

/// A client that got no answer in time waits so much longer before it stops, for the judge to see.
const PATIENCE: Micros = 1_000_000;

/// A limiter as the front knows it.
#[derive(Default)]
pub(crate) struct Door {
    pub up: bool,
    /// When it went down, in truth.
    pub down_since: Option<Micros>,
}

/// A try that has no end yet.
pub(crate) struct Open {
    pub limiter: u16,
    /// When its client gives up.
    pub due: Micros,
    pub life: u32,
}

enum Ended {
    Served,
    Refused(Option<Micros>),
    Failed,
    Unreached,
    Left,
}

impl World<'_> {
    pub(crate) fn ask(&mut self, index: usize) {
        if let Some(next) = self.schedule.arrivals.get(index + 1) {
            self.queue.at(next.at, What::Ask(index + 1));
        }
        self.try_again(index, 0);
    }

    fn takes(&mut self, limiter: usize) -> bool {
        let (now, notice) = (self.now(), micros(self.s.load.front_notice_s));
        let door = &mut self.doors[limiter];
        if door.down_since.is_some_and(|since| now >= since + notice) {
            (door.up, door.down_since) = (false, None);
        }
        door.up
    }

    /// The limiter of a set for a draw: that one, or the next that is up; none of them up, that one.
    fn route(&mut self, first: usize, spread: usize, place: usize) -> usize {
        let count = self.gates.len();
        let at = |place: usize| (first + place % spread.max(1)) % count;
        (0..spread).map(|n| at(place + n)).find(|l| self.takes(*l)).unwrap_or_else(|| at(place))
    }

    pub(crate) fn try_again(&mut self, index: usize, n: usize) {
        let arrival = &self.schedule.arrivals[index];
        let customer = &self.schedule.customers[arrival.customer];
        let limiter = self.route(customer.first, customer.spread, arrival.tries[n].place);
        let (id, now) = (Arrival::id(index, n), self.now());
        let due = arrival.at + micros(self.s.classes[arrival.class].deadline_ms / 1e3);
        let gate = &self.gates[limiter];
        if !gate.listens() {
            self.note(Event::Unreached { id, limiter: limiter as u16 });
            return self.ended(id, Ended::Unreached);
        }
        let (limiter, life) = (limiter as u16, gate.life());
        self.note(Event::Sent { id, limiter, due });
        self.open.insert(id, Open { limiter, due, life });
        let wire = self.wires.wire();
        self.queue.after(wire, What::Came(id, limiter, life));
        self.queue.at(due + PATIENCE, What::Stop(id));
        let leaves = match arrival.permission {
            Some(permission) => permission.resets.map(|after| now + after),
            None => arrival.leaves.map(|after| arrival.at + after),
        };
        if let Some(at) = leaves.filter(|_| n == 0) {
            self.queue.at(at, What::Leave(id));
        }
    }

    pub(crate) fn stop(&mut self, id: TryId) {
        if self.over(id).is_some() {
            self.note(Event::Unanswered { id });
            self.ended(id, Ended::Failed);
        }
    }

    pub(crate) fn leave(&mut self, id: TryId) {
        if self.over(id).is_some() {
            self.note(Event::Left { id });
            self.ended(id, Ended::Left);
        }
    }

    /// The connection of a try ends without an answer, with the process that held it.
    pub(crate) fn lost(&mut self, id: TryId, life: u32) {
        if self.open.get(&id).is_some_and(|open| open.life == life) {
            self.open.remove(&id);
            self.note(Event::Lost { id, bytes: 0 });
            self.ended(id, Ended::Failed);
        }
    }

    pub(crate) fn reply(&mut self, id: TryId, status: u16, advice: f64) {
        if self.open.remove(&id).is_none() {
            return;
        }
        // As it is written: to the millisecond.
        let advice = Some(micros((advice * 1e3).round() / 1e3)).filter(|a| *a > 0);
        self.note(Event::Answered { id, status, advice, body: Body::Own });
        let ended = match status {
            200 => Ended::Served,
            429 | 503 => Ended::Refused(advice),
            _ => Ended::Failed,
        };
        self.ended(id, ended);
    }

    /// The client ends a try by itself, which its limiter sees.
    fn over(&mut self, id: TryId) -> Option<()> {
        let open = self.open.remove(&id)?;
        let wire = self.wires.wire();
        self.queue.after(wire, What::News(open.limiter, open.life, In::Gone(id)));
        Some(())
    }

    fn ended(&mut self, id: TryId, ended: Ended) {
        let Some((index, n)) = Arrival::of_id(id) else { return };
        let arrival = &self.schedule.arrivals[index];
        let class = &self.s.classes[arrival.class];
        let advice = match ended {
            Ended::Served | Ended::Left => return,
            Ended::Refused(advice) => advice.filter(|_| arrival.heeds),
            Ended::Failed if class.effect == Effect::Unsafe => return,
            Ended::Failed | Ended::Unreached => None,
        };
        let Some(next) = arrival.tries.get(n + 1) else { return };
        let pause = next.backoff.max(advice.unwrap_or_default());
        // A keyed request is sent again only while its key is sure to be remembered.
        if self.now() + pause < arrival.at + micros(class.deadline_ms / 1e3) {
            self.queue.after(pause, What::Try(index, n + 1));
        }
    }
}
