//! The world: what is in it, and what happens next.

use crate::clients::{Door, Open};
use crate::counts::{Call, Keeper};
use crate::figures::{Draws, Figures};
use crate::limiters::{Attempt, Gate, In, ProcessEvent};
use crate::links::Links;
use crate::list::List;
use crate::nodes::Node;
use crate::queue::Queue;
use liftrouter_stage::history::{Entry, Event, NodeNews, Over, Process, TryId};
use liftrouter_stage::scenario::{Kind, Scenario, Through};
use liftrouter_stage::schedule::{micros, Micros, Schedule};
use std::collections::HashMap;

/// The simulated Unix time at which a play begins, in seconds.
pub(crate) const EPOCH: f64 = 1_800_000_000.0;
/// Clients wait so much longer than their deadlines, and the play ends after that.
const SETTLE: Micros = 2_500_000;

/// What happens.
pub(crate) enum What {
    /// A client sends its request for the first time, or a further try of it.
    Ask(usize),
    Try(usize, usize),
    /// A try comes to a limiter's socket.
    Came(TryId, u16, u32),
    /// Its client's patience is over, or it leaves.
    Stop(TryId),
    Leave(TryId),
    /// An answer comes to its client: status and advice. Or its connection ends.
    Reply(TryId, u16, f64),
    Lost(TryId, u32),
    /// A limiter turns to the next of its news; something new comes to it.
    Work(u16, u32),
    News(u16, u32, In),
    /// A connection to a node stands; a request comes to it, and is taken up.
    Connected(usize),
    At(usize),
    Serve(usize),
    /// A node is done with a request.
    Done(u16, u32, usize),
    /// An answer is let out by its link.
    Passes(usize, Reply),
    /// A probe comes to a node.
    Probe(u16, u32, u16, u32),
    /// A call comes to the keeper, has its turn, is done, and its answer is back.
    CallAt(usize),
    CallTurn(usize),
    CallDone(usize, f64),
    /// News of the list are out; a limiter is told; its watch falls silent.
    Release,
    Tell(u16),
    Silent(u16, u32),
    /// A fault begins, or is over.
    Begin(usize),
    Undo(usize),
    /// A limiter takes clients; the front takes it out; it ends once nothing is open.
    Up(u16, u32),
    Withdraw(u16, u32),
    Finish(u16, u32),
}

/// What a node answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reply {
    pub how: Over,
    pub outcome: liftrouter_decision::Outcome,
    pub units: Option<u32>,
    pub keeps: bool,
}

pub(crate) struct World<'a> {
    pub s: &'a Scenario,
    pub schedule: &'a Schedule,
    pub figures: Figures,
    pub queue: Queue<What>,
    pub history: Vec<Entry>,
    pub wires: Draws,
    pub links: Links,
    pub gates: Vec<Gate>,
    pub doors: Vec<Door>,
    pub open: HashMap<TryId, Open>,
    pub nodes: Vec<Node>,
    /// Keys that nodes remember, and until when.
    pub keys: HashMap<usize, Micros>,
    pub attempts: Vec<Attempt>,
    /// Attempts that have come to nodes.
    pub arrived: u32,
    /// Attempts of a try whose connections are open.
    pub connected: HashMap<TryId, Vec<usize>>,
    pub keeper: Keeper,
    pub calls: Vec<Call>,
    pub list: List,
    /// Processes of limiters so far, for their seeds.
    pub started: u64,
}

/// Whether a scenario can be modelled.
///
/// # Errors
/// What it has that the model does not, by the scenario's own words.
pub fn fits(s: &Scenario) -> Result<(), String> {
    let has = [
        (s.authoriser.is_some(), "authoriser"),
        (s.list.through != Through::Discovery, "list.through"),
        (s.keeper.judged || s.keeper.count > 1, "keeper.judged"),
    ];
    if let Some((_, what)) = has.iter().find(|(has, _)| *has) {
        return Err(format!("{}: {what} is not modelled", s.name));
    }
    let faults = s.faults.iter().map(|f| f.get_ref().what.get_ref().as_str());
    let modelled = |name: &str| {
        !matches!(
            Kind::named(name),
            Some(Kind::ResetFlood | Kind::StandInPanics | Kind::FileDamaged | Kind::FileMissing)
        )
    };
    match faults.into_iter().find(|name| !modelled(name)) {
        Some(name) => Err(format!("{}: the fault {name} is not modelled", s.name)),
        None => Ok(()),
    }
}

/// Plays a schedule, and gives what was seen.
///
/// # Errors
/// The scenario has something that is not modelled.
pub fn play(scenario: &Scenario, schedule: &Schedule, figures: &Figures) -> Result<Vec<Entry>, String> {
    fits(scenario)?;
    let mut world = World::new(scenario, schedule, figures);
    let until = schedule.end + micros(scenario.longest_deadline()) + SETTLE;
    while let Some(what) = world.queue.next(until) {
        world.happen(what);
    }
    Ok(world.history)
}

impl<'a> World<'a> {
    fn new(s: &'a Scenario, schedule: &'a Schedule, figures: &Figures) -> World<'a> {
        let mut clocks = Draws::new(schedule.seed, "clocks", figures);
        let skew = |_| clocks.even() * figures.clocks_ms / 1e3;
        let skews: Vec<f64> = (0..s.limiters.count).map(skew).collect();
        let mut world = World {
            s,
            schedule,
            figures: figures.clone(),
            queue: Queue::default(),
            history: Vec::new(),
            wires: Draws::new(schedule.seed, "wires", figures),
            links: Links::default(),
            gates: skews.into_iter().enumerate().map(|(n, skew)| Gate::new(n as u16, skew)).collect(),
            doors: (0..s.limiters.count).map(|_| Door::default()).collect(),
            open: HashMap::new(),
            nodes: Vec::new(),
            keys: HashMap::new(),
            attempts: Vec::new(),
            arrived: 0,
            connected: HashMap::new(),
            keeper: Keeper::new(&s.keeper),
            calls: Vec::new(),
            list: List::new(s.limiters.count),
            started: 0,
        };
        for n in 0..s.nodes.count {
            world.nodes.push(Node::new(s.nodes.cores, schedule.speeds[n]));
            let entry = world.start_node(n as u16, false);
            world.list.put(entry);
        }
        for n in 0..s.limiters.count {
            // Clients begin when all are ready.
            world.note(Event::Limiter { limiter: n as u16, what: Process::Started });
            world.process_event(n as u16, ProcessEvent::Up { life: 1 });
        }
        for (n, fault) in schedule.faults.iter().enumerate() {
            if let Some(until) = fault.until {
                world.queue.at(until, What::Undo(n));
            }
            world.queue.at(fault.at, What::Begin(n));
        }
        // One after the other: a million need not stand in the queue at once.
        if let Some(first) = schedule.arrivals.first() {
            world.queue.at(first.at, What::Ask(0));
        }
        world
    }

    pub fn now(&self) -> Micros {
        self.queue.now()
    }

    pub fn note(&mut self, event: Event) {
        let at = self.queue.now();
        self.history.push(Entry { at, event });
    }

    pub fn note_node(&mut self, node: u16, life: u32, what: NodeNews) {
        self.note(Event::Node { node, life, what });
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Ask(index) => self.ask(index),
            What::Try(index, n) => self.try_again(index, n),
            What::Came(id, limiter, life) => self.news(limiter, life, In::Asked(id)),
            What::Stop(id) => self.stop(id),
            What::Leave(id) => self.leave(id),
            What::Reply(id, status, advice) => self.reply(id, status, advice),
            What::Lost(id, life) => self.lost(id, life),
            What::Work(limiter, life) => self.work(limiter, life),
            What::News(limiter, life, news) => self.news(limiter, life, news),
            What::Connected(key) => self.connected(key),
            What::At(key) => self.at_node(key),
            What::Serve(key) => self.serve(key),
            What::Done(node, life, key) => self.done(node, life, key),
            What::Passes(key, reply) => self.passes(key, reply),
            What::Probe(limiter, life, node, node_life) => self.probed(limiter, life, node, node_life),
            What::CallAt(call) => self.call_at(call),
            What::CallTurn(call) => self.call_turn(call),
            What::CallDone(call, total) => self.call_done(call, total),
            What::Release => self.release(),
            What::Tell(limiter) => self.tell(limiter),
            What::Silent(limiter, life) => self.list_silent(limiter, life),
            What::Begin(n) => self.begin(n),
            What::Undo(n) => self.undo(n),
            What::Up(limiter, life) => self.process_event(limiter, ProcessEvent::Up { life }),
            What::Withdraw(limiter, life) => self.withdraw(limiter, life),
            What::Finish(limiter, life) => self.finish(limiter, life),
        }
    }
}
