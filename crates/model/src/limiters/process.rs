//! The process of a limiter: a state machine that takes what is done to it, and gives what the world is to carry out.

use liftrouter_stage::history::Process;
use liftrouter_stage::schedule::Micros;
use std::collections::BTreeSet;

/// After SIGTERM a limiter accepts for so long.
const ACCEPT_ON: Micros = 600_000;
/// After that it looks so often whether all is answered.
const SHUTDOWN_POLL: Micros = 10_000;
/// So long after SIGTERM the front has noticed.
const NOTICED: Micros = 300_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Dead,
    Starting,
    Running,
}

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessEvent {
    /// A fault kills it.
    Kill { fault: u32 },
    /// A fault sends it SIGTERM.
    Terminate { fault: u32 },
    /// A fault stops it.
    Pause { fault: u32 },
    /// What a fault did is over: it goes on, or is started again, if no other fault holds it.
    Undo { fault: u32 },
    /// A life takes clients from now on.
    Up { life: u32 },
    /// A life that finishes may end, if nothing is open any more.
    Finish { life: u32, idle: bool },
}

/// What the world carries out for a process, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessEffect {
    /// The history notes it.
    Note(Process),
    /// A new life is up after the time that a start takes.
    UpAfterStart { life: u32 },
    /// The module is made anew, with nothing from an earlier life.
    Boot,
    /// It goes on with its inbox.
    Work,
    /// All that a life held is lost.
    Die { life: u32, asked: bool, code: Option<i32> },
    /// The front takes a life out after a pause.
    WithdrawAfter { pause: Micros, life: u32 },
    /// It looks after a pause whether it may end.
    FinishAfter { pause: Micros, life: u32 },
}

/// The state of a process, and the faults that hold it.
pub(crate) struct ProcessState {
    /// The number of its present life, or of the last one.
    life: u32,
    state: State,
    paused: bool,
    finishing: bool,
    killed_by: BTreeSet<u32>,
    terminated_by: BTreeSet<u32>,
    paused_by: BTreeSet<u32>,
}

impl ProcessState {
    /// A process that is not up yet, of the first life.
    pub fn new() -> ProcessState {
        ProcessState {
            life: 1,
            state: State::Dead,
            paused: false,
            finishing: false,
            killed_by: BTreeSet::new(),
            terminated_by: BTreeSet::new(),
            paused_by: BTreeSet::new(),
        }
    }

    /// The number of its present life, or of the last one.
    pub fn life(&self) -> u32 {
        self.life
    }

    pub fn is_running(&self) -> bool {
        self.state == State::Running
    }

    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Whether this life runs.
    pub fn runs(&self, life: u32) -> bool {
        self.is_running() && self.life == life
    }

    /// Takes what happens.
    pub fn handle(&mut self, event: ProcessEvent) -> Vec<ProcessEffect> {
        let mut effects = Vec::new();
        match event {
            ProcessEvent::Kill { fault } => self.kill(fault, &mut effects),
            ProcessEvent::Terminate { fault } => self.terminate(fault, &mut effects),
            ProcessEvent::Pause { fault } => self.pause(fault, &mut effects),
            ProcessEvent::Undo { fault } => self.undo(fault, &mut effects),
            ProcessEvent::Up { life } => self.up(life, &mut effects),
            ProcessEvent::Finish { life, idle } => self.finish(life, idle, &mut effects),
        }
        effects
    }

    fn kill(&mut self, fault: u32, effects: &mut Vec<ProcessEffect>) {
        self.killed_by.insert(fault);
        match self.state {
            State::Dead => {}
            State::Starting => {
                self.state = State::Dead;
                effects.push(ProcessEffect::Note(Process::Killed));
                effects.push(ProcessEffect::Note(Process::Ended(true, None)));
            }
            State::Running => {
                effects.push(ProcessEffect::Note(Process::Killed));
                self.resume(effects);
                self.die(None, effects);
            }
        }
    }

    fn terminate(&mut self, fault: u32, effects: &mut Vec<ProcessEffect>) {
        self.terminated_by.insert(fault);
        if !self.is_running() || self.finishing {
            return;
        }
        self.finishing = true;
        effects.push(ProcessEffect::Note(Process::Terminated));
        self.resume(effects);
        effects.push(ProcessEffect::WithdrawAfter { pause: NOTICED, life: self.life });
        effects.push(ProcessEffect::FinishAfter { pause: ACCEPT_ON, life: self.life });
    }

    fn pause(&mut self, fault: u32, effects: &mut Vec<ProcessEffect>) {
        self.paused_by.insert(fault);
        if self.is_running() && !self.paused && !self.finishing {
            self.paused = true;
            effects.push(ProcessEffect::Note(Process::Paused));
        }
    }

    fn undo(&mut self, fault: u32, effects: &mut Vec<ProcessEffect>) {
        let ended = self.killed_by.remove(&fault) | self.terminated_by.remove(&fault);
        let paused = self.paused_by.remove(&fault);
        if paused && self.paused_by.is_empty() {
            self.resume(effects);
        }
        if ended {
            self.start_unless_held(effects);
        }
    }

    fn up(&mut self, life: u32, effects: &mut Vec<ProcessEffect>) {
        if self.life != life || self.is_running() {
            return;
        }
        self.state = State::Running;
        (self.paused, self.finishing) = (false, false);
        effects.push(ProcessEffect::Boot);
        effects.push(ProcessEffect::Note(Process::Ready));
    }

    fn finish(&mut self, life: u32, idle: bool, effects: &mut Vec<ProcessEffect>) {
        if !self.runs(life) {
            return;
        }
        if !idle {
            return effects.push(ProcessEffect::FinishAfter { pause: SHUTDOWN_POLL, life });
        }
        self.die(Some(0), effects);
        self.start_unless_held(effects);
    }

    fn resume(&mut self, effects: &mut Vec<ProcessEffect>) {
        if std::mem::take(&mut self.paused) {
            effects.push(ProcessEffect::Note(Process::Resumed));
            effects.push(ProcessEffect::Work);
        }
    }

    fn die(&mut self, code: Option<i32>, effects: &mut Vec<ProcessEffect>) {
        self.state = State::Dead;
        effects.push(ProcessEffect::Die { life: self.life, asked: true, code });
    }

    fn start_unless_held(&mut self, effects: &mut Vec<ProcessEffect>) {
        if self.state == State::Dead && self.killed_by.is_empty() && self.terminated_by.is_empty() {
            self.life += 1;
            self.state = State::Starting;
            effects.push(ProcessEffect::Note(Process::Started));
            effects.push(ProcessEffect::UpAfterStart { life: self.life });
        }
    }
}
