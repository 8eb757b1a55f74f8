//! Starts, ends and pauses of limiters, as the world carries them out.

use super::process::{ProcessEffect, ProcessEvent};
use super::{Gate, In};
use crate::world::{What, World};
use liftrouter_decision::{Limiter, Settings};
use liftrouter_stage::history::{Event, Process, TryId};
use liftrouter_stage::schedule::micros;
use liftrouter_stage::settings::settings;
use serde::Deserialize;

/// Sets the seeds of modules apart from others that are made of the schedule's.
const MODULE_SEED: u64 = 0xa076_1d64_78bd_642f;

impl World<'_> {
    /// Something happens to a limiter's process.
    pub(crate) fn process_event(&mut self, l: u16, event: ProcessEvent) {
        for effect in self.gate(l).process.handle(event) {
            self.apply_process_effect(l, effect);
        }
    }

    /// Ends a limiter that finishes, if nothing is open any more.
    pub(crate) fn finish(&mut self, l: u16, life: u32) {
        let idle = self.gate(l).is_idle();
        self.process_event(l, ProcessEvent::Finish { life, idle });
    }

    /// The front takes out a limiter that is about to end.
    pub(crate) fn withdraw(&mut self, l: u16, life: u32) {
        if self.gate(l).life() == life {
            self.doors[usize::from(l)].up = false;
        }
    }

    fn apply_process_effect(&mut self, l: u16, effect: ProcessEffect) {
        match effect {
            ProcessEffect::Note(what) => self.note_process(l, what),
            ProcessEffect::UpAfterStart { life } => {
                let takes = micros(self.figures.start_ms / 1e3);
                self.queue.after(takes, What::Up(l, life));
            }
            ProcessEffect::Boot => self.boot(l),
            ProcessEffect::Work => self.work_on(l),
            ProcessEffect::Die { life, asked, code } => {
                self.lose_all(l, life);
                self.note_process(l, Process::Ended(asked, code));
                self.door_down(l);
            }
            ProcessEffect::WithdrawAfter { pause, life } => {
                self.queue.after(pause, What::Withdraw(l, life));
            }
            ProcessEffect::FinishAfter { pause, life } => self.queue.after(pause, What::Finish(l, life)),
        }
    }

    fn note_process(&mut self, limiter: u16, what: Process) {
        self.note(Event::Limiter { limiter, what });
    }

    /// Makes a module anew, which reads the list.
    fn boot(&mut self, l: u16) {
        let now = self.now();
        let nth = self.started;
        self.started += 1;
        let seed = (self.schedule.seed ^ MODULE_SEED).wrapping_mul(nth * 2 + 1);
        // Made by the kit for the daemon: what it cannot read is a fault of ours, and shows as no module at all.
        let settings = Settings::deserialize(settings(self.s, usize::from(l))).unwrap_or_default();
        let gate = self.gate(l);
        gate.reset();
        gate.module = Some(Limiter::new(settings, seed, gate.clock(now)));
        let lines = self.list.snapshot(l);
        self.listed(l, true, lines);
        let door = &mut self.doors[usize::from(l)];
        (door.up, door.down_since) = (true, None);
    }

    /// The connections of a limiter end, with all that it held.
    fn lose_all(&mut self, l: u16, life: u32) {
        let gate = self.gate(l);
        gate.module = None;
        let requests = gate.requests.take_all();
        let unread = gate.inbox.take_all();
        for asked in &requests {
            if let Some(key) = asked.running {
                self.close(key);
            }
        }
        let owed = requests.into_iter().filter(|asked| asked.owed).map(|asked| asked.id);
        let unread = unread.into_iter().filter_map(|news| match news {
            In::Asked(id) => Some(id),
            _ => None,
        });
        let lost: Vec<TryId> = owed.chain(unread).collect();
        for id in lost {
            let wire = self.wires.wire();
            self.queue.after(wire, What::Lost(id, life));
        }
    }

    fn door_down(&mut self, l: u16) {
        let now = self.now();
        let door = &mut self.doors[usize::from(l)];
        if door.up && door.down_since.is_none() {
            door.down_since = Some(now);
        }
    }
}

impl Gate {
    /// Whether nothing is open.
    fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.inbox.is_empty()
    }

    /// Forgets what an earlier life held.
    fn reset(&mut self) {
        let process = std::mem::replace(&mut self.process, super::ProcessState::new());
        *self = Gate { process, ..Gate::new(self.number, self.skew) };
    }
}
