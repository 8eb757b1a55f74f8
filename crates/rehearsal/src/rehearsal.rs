//! The conductor: starts a whole installation, plays the schedule, and ends everything it started.

use crate::daemon::{self, cpu_of, Limiter};
use crate::history::{Entry, Event, Recorder};
use crate::ledger::{judge, Facts, Judgement};
use crate::net::link::{Link, Reserved, Trouble};
use crate::scenario::{Kind, Scenario, Victim, WhenUnsure};
use crate::schedule::{draw, micros, seconds, Micros, Peer, Planned, Schedule};
use crate::standin::authoriser::Authoriser;
use crate::standin::clients::{Clients, Front};
use crate::standin::files::Files;
use crate::standin::keeper::Keeper;
use crate::standin::list::List;
use crate::standin::nodes::{Condition, Fleet};
use crate::standin::platform::flood;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until};

/// How often the kit looks how late it is itself.
const TICK: Duration = Duration::from_millis(20);
/// And what the processes have used.
const SAMPLE: Duration = Duration::from_secs(1);
/// How often it looks whether something has gone wrong with the kit.
const LOOK: Duration = Duration::from_millis(50);
/// After the longest deadline every client has stopped by then.
const SETTLE: Duration = Duration::from_millis(2_500);

/// How to rehearse.
pub struct Options {
    /// Everything is drawn from this.
    pub seed: u64,
    /// What starts the limiters, by the deployment's contract; given in turn where there are several.
    pub commands: Vec<String>,
    /// Where configurations and logs lie; it exists.
    pub folder: PathBuf,
    /// Told of what goes wrong with the kit itself: set by whoever notices, say a panic hook.
    pub trouble: Arc<Mutex<Option<String>>>,
    /// Turns true when the rehearsal is to be broken off.
    pub interrupted: watch::Receiver<bool>,
}

/// How far a rehearsal has come.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Since clients began, or none while limiters start.
    pub at: Option<Micros>,
    /// Requests that are over, and those served.
    pub done: usize,
    /// Served.
    pub served: usize,
    /// Names of the faults that last.
    pub faults: Vec<String>,
}

/// All that came of it.
pub struct Outcome {
    /// What was to happen.
    pub schedule: Arc<Schedule>,
    /// What did.
    pub history: Vec<Entry>,
    /// The judgement.
    pub judgement: Judgement,
    /// Why it was cut short, if it was.
    pub cut: Option<String>,
}

/// The links of one limiter.
pub(crate) struct Links {
    keepers: Vec<Arc<Link>>,
    list: Arc<Link>,
    authoriser: Arc<Link>,
    nodes: Vec<Arc<Link>>,
}

pub(crate) struct Stage {
    pub(crate) scenario: Arc<Scenario>,
    pub(crate) schedule: Arc<Schedule>,
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) links: Vec<Links>,
    pub(crate) keepers: Vec<Arc<Keeper>>,
    pub(crate) list: Arc<List>,
    pub(crate) files: Arc<Files>,
    pub(crate) authoriser: Option<Arc<Authoriser>>,
    /// Floods by the number of their fault.
    floods: Mutex<HashMap<u32, AbortHandle>>,
    pub(crate) fleet: Fleet,
    pub(crate) limiters: Vec<Arc<Limiter>>,
}

/// Rehearses a scenario, by the schedule that its seed draws or by another. Everything that it starts has ended when it returns, also where it is broken off.
///
/// # Errors
/// The installation cannot be set up.
pub async fn rehearse(
    scenario: Scenario,
    options: Options,
    schedule: Option<Schedule>,
    progress: impl Fn(Progress),
) -> io::Result<Outcome> {
    let scenario = Arc::new(scenario);
    let schedule = Arc::new(schedule.unwrap_or_else(|| draw(&scenario, options.seed)));
    let recorder: Arc<Recorder> = Arc::default();
    let (trouble, mut interrupted) = (options.trouble.clone(), options.interrupted.clone());
    let stage = Stage::set(scenario.clone(), schedule.clone(), recorder.clone(), options)?;
    let addresses: Vec<_> = stage.limiters.iter().map(|l| l.address).collect();
    let front = Front::new(&addresses, scenario.load.front_notice_s);
    front.ask_at(stage.limiters.iter().map(|l| l.grpc).collect());
    let secret = stage.fleet.shared.secret;
    let clients = Clients::new(scenario.clone(), schedule.clone(), recorder.clone(), front.clone(), secret);
    stage.introduce(&front);

    let why =
        |trouble: &Mutex<Option<String>>| trouble.lock().unwrap_or_else(PoisonError::into_inner).clone();
    progress(Progress::default());
    let mut cut = stage.start_limiters(&mut interrupted).await.err();
    let begin = recorder.now();
    if cut.is_none() {
        tokio::spawn(watch_lateness(recorder.clone()));
        tokio::spawn(sample(recorder.clone(), stage.limiters.clone()));
        let play = stage.play(begin, &clients, &progress);
        cut = tokio::select! {
            () = play => None,
            why = broken_off(&trouble, &mut interrupted) => Some(why),
        };
    }
    if cut.is_none() {
        // Limiters end as at a planned restart: whatever they lose then is a break as ever.
        for limiter in &stage.limiters {
            limiter.sample();
        }
        let ends: Vec<_> =
            stage.limiters.iter().cloned().map(|l| tokio::spawn(async move { l.stop().await })).collect();
        for end in ends {
            let _ = end.await;
        }
        cut = why(&trouble);
    }
    for limiter in &stage.limiters {
        limiter.kill_now();
    }
    let limit = Instant::now() + Duration::from_secs(5);
    while stage.limiters.iter().any(|l| l.pid().is_some()) && Instant::now() < limit {
        sleep(Duration::from_millis(10)).await;
    }
    let history = rebase(recorder.history(), begin);
    let facts = Facts { scenario: &scenario, schedule: &schedule };
    let judgement = judge(&facts, &history, cut.as_deref());
    Ok(Outcome { schedule, history, judgement, cut })
}

/// Counts time from when clients began; what came before is at 0.
fn rebase(mut history: Vec<Entry>, begin: Micros) -> Vec<Entry> {
    let shift = |at: &mut Micros| *at = at.saturating_sub(begin);
    for entry in &mut history {
        shift(&mut entry.at);
        match &mut entry.event {
            Event::Sent { due, .. } => shift(due),
            Event::Arrived { first, .. } => shift(first),
            _ => {}
        }
    }
    history
}

async fn broken_off(trouble: &Mutex<Option<String>>, interrupted: &mut watch::Receiver<bool>) -> String {
    loop {
        if let Some(why) = trouble.lock().unwrap_or_else(PoisonError::into_inner).clone() {
            return why;
        }
        tokio::select! {
            () = sleep(LOOK) => {}
            Ok(_) = interrupted.wait_for(|i| *i) => return "it was interrupted".into(),
        }
    }
}

pub(crate) async fn watch_lateness(recorder: Arc<Recorder>) {
    loop {
        let due = Instant::now() + TICK;
        sleep_until(due.into()).await;
        let by = due.elapsed().as_micros() as Micros;
        recorder.note(Event::Late { by });
    }
}

async fn sample(recorder: Arc<Recorder>, limiters: Vec<Arc<Limiter>>) {
    let own = Path::new("/proc/self");
    let before = cpu_of(own).unwrap_or_default();
    loop {
        for limiter in &limiters {
            limiter.sample();
        }
        if let Some(cpu) = cpu_of(own) {
            recorder.note(Event::KitUsage { cpu: cpu - before });
        }
        sleep(SAMPLE).await;
    }
}

impl Stage {
    pub(crate) fn set(
        scenario: Arc<Scenario>,
        schedule: Arc<Schedule>,
        recorder: Arc<Recorder>,
        options: Options,
    ) -> io::Result<Stage> {
        let (limiters, nodes) = (scenario.limiters.count, scenario.nodes.count);
        let links: Vec<Links> = (0..limiters)
            .map(|_| Links {
                keepers: (0..scenario.keeper.count).map(|_| Link::new()).collect(),
                list: Link::new(),
                authoriser: Link::new(),
                nodes: (0..nodes).map(|_| Link::new()).collect(),
            })
            .collect();
        let keepers: Vec<_> = (0..scenario.keeper.count)
            .map(|_| Keeper::new(scenario.keeper.clone(), recorder.clone()))
            .collect();
        let list = List::new(recorder.clone());
        let node_links = links.iter().map(|l| l.nodes.clone()).collect();
        let fleet = Fleet::start(
            scenario.clone(),
            schedule.clone(),
            recorder.clone(),
            list.clone(),
            node_links,
            None,
        )?;
        let files = Files::new(&scenario.list, options.folder.clone(), list.clone(), recorder.clone());
        let authoriser = scenario.authoriser.clone().map(|a| Authoriser::new(a, recorder.clone()));
        let (mut operators, mut reserved) = (Vec::new(), Vec::new());
        for (n, links) in links.iter().enumerate() {
            let own = (Reserved::any()?, Reserved::any()?);
            let serve = |(keeper, link): (&Arc<Keeper>, &Arc<Link>)| {
                keeper.serve(n as u16, link.clone(), Reserved::any()?)
            };
            let at = keepers.iter().zip(&links.keepers).map(serve).collect::<io::Result<Vec<_>>>()?;
            let mut operator = files.keep(n as u16)?;
            if scenario.load.permissions > 0.0 {
                let listen = own.1.address;
                operator.push_str(&format!("[grpc]\nlisten = '{listen}'\nstreams = 1000\n"));
            }
            if let Some(authoriser) = &authoriser {
                let at = authoriser.serve(n as u16, links.authoriser.clone(), Reserved::any()?)?;
                operator.push_str(&asking(&scenario, at));
            }
            operator.push_str(&judging(&scenario, &at));
            operators.push(operator);
            reserved.push((own, at));
        }
        let shared = Arc::new(daemon::Shared {
            operators,
            commands: options.commands,
            folder: options.folder,
            scenario: scenario.clone(),
            seed: options.seed,
            recorder: recorder.clone(),
            list: list.clone(),
            trouble: options.trouble,
            front: Mutex::default(),
            started: AtomicU64::new(0),
        });
        let mut all = Vec::new();
        for ((n, links), (own, keepers_at)) in links.iter().enumerate().zip(reserved) {
            let n = n as u16;
            let list_at = list.serve(n, links.list.clone(), Reserved::any()?)?;
            all.push(Limiter::new(n, keepers_at[0], list_at, own, shared.clone())?);
        }
        let (limiters, floods) = (all, Mutex::default());
        Ok(Stage {
            scenario,
            schedule,
            recorder,
            links,
            keepers,
            list,
            files,
            authoriser,
            floods,
            fleet,
            limiters,
        })
    }

    pub(crate) fn introduce(&self, front: &Arc<Front>) {
        for limiter in &self.limiters {
            limiter.introduce(front);
        }
    }

    pub(crate) async fn start_limiters(&self, interrupted: &mut watch::Receiver<bool>) -> Result<(), String> {
        let starts: Vec<_> =
            self.limiters.iter().cloned().map(|l| tokio::spawn(async move { l.start().await })).collect();
        for start in starts {
            tokio::select! {
                started = start => started.map_err(|e| e.to_string())??,
                Ok(_) = interrupted.wait_for(|i| *i) => return Err("it was interrupted".into()),
            }
        }
        Ok(())
    }

    /// Plays the whole schedule, and waits until every client has stopped.
    async fn play(&self, begin: Micros, clients: &Arc<Clients>, progress: &impl Fn(Progress)) {
        let mut steps: Vec<(Micros, Step)> = Vec::new();
        steps.extend(self.schedule.arrivals.iter().enumerate().map(|(n, a)| (a.at, Step::Ask(n))));
        for (n, fault) in self.schedule.faults.iter().enumerate() {
            steps.push((fault.at, Step::Begin(n)));
            steps.extend(fault.until.map(|until| (until, Step::Undo(n))));
        }
        steps.extend((0..=seconds(self.schedule.end) as u64).map(|s| (s * 1_000_000, Step::Tell)));
        steps.push((self.schedule.end, Step::Tell));
        steps.sort_by_key(|(at, step)| (*at, step.order()));
        let mut lasting: Vec<usize> = Vec::new();
        for (at, step) in steps {
            sleep_until(self.recorder.instant(begin + at).into()).await;
            match step {
                Step::Ask(n) => clients.send(n),
                Step::Begin(n) => {
                    let fault = &self.schedule.faults[n];
                    self.recorder.note(Event::Fault { id: fault.id, on: true });
                    if fault.until.is_some() {
                        lasting.push(n);
                    }
                    self.begin(fault);
                }
                Step::Undo(n) => {
                    let fault = &self.schedule.faults[n];
                    self.recorder.note(Event::Fault { id: fault.id, on: false });
                    lasting.retain(|l| *l != n);
                    self.undo(fault);
                }
                Step::Tell => progress(Progress {
                    at: Some(at),
                    done: clients.done.load(Ordering::SeqCst),
                    served: clients.served.load(Ordering::SeqCst),
                    faults: lasting.iter().map(|n| self.schedule.faults[*n].label(&self.scenario)).collect(),
                }),
            }
        }
        let limit = Instant::now() + Duration::from_secs_f64(self.scenario.longest_deadline()) + SETTLE;
        while clients.open() > 0 && Instant::now() < limit {
            sleep(LOOK).await;
        }
        clients.look_at_kept();
    }

    fn room(&self, n: usize) -> usize {
        n % self.scenario.rooms.len()
    }

    fn trouble(&self, fault: &Planned, trouble: Trouble) {
        let links = &self.links[fault.victim];
        match fault.peer {
            Peer::Keeper => links.keepers.iter().for_each(|link| link.begin(fault.id, trouble)),
            Peer::List => links.list.begin(fault.id, trouble),
            Peer::Authoriser => links.authoriser.begin(fault.id, trouble),
            Peer::Node(n) => links.nodes[n].begin(fault.id, trouble),
            Peer::All => {
                let all = links.nodes.iter().chain(&links.keepers).chain([&links.list, &links.authoriser]);
                all.for_each(|link| link.begin(fault.id, trouble));
            }
        }
    }

    /// Cuts what crosses between a room and the others. Keepers are dealt over the rooms as nodes are; list and
    /// authoriser stand in the first room; a limiter's agent of the list stands beside it, and is silent while it
    /// hears nothing.
    fn cut_room(&self, fault: &Planned) {
        for (l, links) in self.links.iter().enumerate() {
            let inside = self.room(l) == fault.victim;
            for (n, link) in links.nodes.iter().enumerate() {
                if inside != (self.room(n) == fault.victim) {
                    link.begin(fault.id, Trouble::Cut);
                }
            }
            for (n, link) in links.keepers.iter().enumerate() {
                if inside != (self.room(n) == fault.victim) {
                    link.begin(fault.id, Trouble::Cut);
                }
            }
            if inside != (fault.victim == 0) {
                links.authoriser.begin(fault.id, Trouble::Cut);
                links.list.begin(fault.id, Trouble::Held);
            }
        }
    }

    fn begin(&self, fault: &Planned) {
        let id = fault.id;
        let node = || &self.fleet.nodes[fault.victim];
        let limiter = || &self.limiters[fault.victim];
        let authoriser = || self.authoriser.iter();
        let keeper = || &self.keepers[fault.victim];
        let seed = self.schedule.seed ^ u64::from(id);
        let address = |done: io::Result<()>| done.expect("an address for a node's process");
        match fault.kind {
            Kind::KeeperSilent => keeper().fall_silent(id),
            Kind::KeeperSlow => keeper().slow_down(id, fault.size),
            Kind::KeeperRefusing => keeper().refuse(id),
            Kind::KeeperForgets => keeper().forget(fault.size, seed),
            Kind::KeeperStale => keeper().freeze(id),
            Kind::KeeperSplit => {
                let inside = (0..self.links.len()).filter(|l| self.room(*l) == fault.victim);
                self.keepers[0].split(id, inside.map(|l| l as u16).collect(), fault.size, seed);
            }
            Kind::KeeperSwapped => keeper().swap(fault.size, seed),
            Kind::KeeperDoubled => keeper().double(id),
            Kind::RoomCut => self.cut_room(fault),
            Kind::LinkCut => self.trouble(fault, Trouble::Cut),
            Kind::LinkHeld => self.trouble(fault, Trouble::Held),
            Kind::LinkDropping => self.trouble(fault, Trouble::Dropping),
            Kind::LinkSlow => self.trouble(fault, Trouble::Slow(Duration::from_secs_f64(fault.size / 1e3))),
            Kind::LinkReset => self.trouble(fault, Trouble::Reset),
            Kind::NodeKilled => address(node().want(id, Condition::Down)),
            Kind::NodeVanished => address(node().want(id, Condition::Vanished)),
            Kind::NodeDraining | Kind::RollingDeploy => address(node().want(id, Condition::Draining)),
            Kind::NodeRestarted => address(node().restart()),
            Kind::NodeSlow => node().slow_down(id, fault.size),
            Kind::NodeStalling => node().stall(id),
            Kind::NodeRubbish => node().spoil(id),
            Kind::ListSilent => self.links.iter().for_each(|l| l.list.begin(id, Trouble::Held)),
            Kind::ListLate => self.list.be_late(id, fault.size),
            Kind::ListDrains => node().list_drains(id, true),
            Kind::FileDamaged => self.files.damage(id),
            Kind::FileMissing => self.files.remove(id),
            Kind::AuthoriserSilent => authoriser().for_each(|a| a.fall_silent(id)),
            Kind::AuthoriserSlow => authoriser().for_each(|a| a.slow_down(id, fault.size)),
            Kind::AuthoriserRefusing => authoriser().for_each(|a| a.refuse(id)),
            Kind::AuthoriserRubbish => authoriser().for_each(|a| a.spoil(id)),
            Kind::AuthoriserGoaway => authoriser().for_each(|a| a.leave(id)),
            Kind::ResetFlood => {
                let flood = tokio::spawn(flood(limiter().grpc, fault.size)).abort_handle();
                self.floods.lock().unwrap_or_else(PoisonError::into_inner).insert(id, flood);
            }
            Kind::LimiterKilled => limiter().kill(id),
            Kind::LimiterTerminated => limiter().terminate(id),
            Kind::LimiterPaused => limiter().pause(id),
            Kind::StandInPanics => {
                tokio::spawn(async { panic!("a stand-in that the scenario makes fail") });
            }
        }
    }

    fn undo(&self, fault: &Planned) {
        let id = fault.id;
        match fault.kind.about().victim {
            Victim::Node => {
                self.fleet.nodes[fault.victim].undo(id).expect("an address for a node's process");
            }
            Victim::Limiter => self.limiters[fault.victim].undo(id),
            _ => {}
        }
        self.keepers.iter().for_each(|k| k.undo(id));
        self.list.undo(id);
        self.files.undo(id);
        self.authoriser.iter().for_each(|a| a.undo(id));
        if let Some(flood) = self.floods.lock().unwrap_or_else(PoisonError::into_inner).remove(&id) {
            flood.abort();
        }
        for links in &self.links {
            links.keepers.iter().for_each(|link| link.undo(id));
            links.list.undo(id);
            links.authoriser.undo(id);
            links.nodes.iter().for_each(|link| link.undo(id));
        }
    }
}

/// What a limiter's operator file says of the authoriser.
fn asking(s: &Scenario, at: SocketAddr) -> String {
    let Some(a) = &s.authoriser else { return String::new() };
    let classes = a.classes.iter().map(|(class, when)| {
        let when = if *when == WhenUnsure::Pass { "pass" } else { "refuse" };
        format!("{class} = '{when}'")
    });
    format!(
        "[[authoriser]]\nname = 'stand-in'\naddress = '{at}'\nclasses = {{ {} }}\ntimeout_ms = {}\nconnections = {}\n",
        classes.collect::<Vec<_>>().join(", "),
        a.timeout_ms.ceil(),
        a.connections
    )
}

/// What a limiter's operator file says of the keepers, the first of which its configuration names.
fn judging(s: &Scenario, at: &[SocketAddr]) -> String {
    let k = &s.keeper;
    if !k.judged {
        return String::new();
    }
    let others: Vec<_> = at.iter().skip(1).map(|a| format!("'{a}'")).collect();
    let pace = if k.paced { format!("calls_per_s = {}\n", k.calls_per_s.ceil()) } else { String::new() };
    format!(
        "[keeper]\nevery_ms = {}\nroll_ms = {}\nsettle_s = {}\njitter_ms = {}\nothers = [{}]\n{pace}",
        k.every_ms,
        k.roll_ms,
        k.settle_s,
        k.every_ms,
        others.join(", ")
    )
}

enum Step {
    Undo(usize),
    Begin(usize),
    Ask(usize),
    Tell,
}

impl Step {
    fn order(&self) -> u8 {
        match self {
            Step::Undo(_) => 0,
            Step::Begin(_) => 1,
            Step::Ask(_) => 2,
            Step::Tell => 3,
        }
    }
}

/// A folder of its own for a rehearsal, below the system's for temporary files.
///
/// # Errors
/// As the system says.
pub fn scratch() -> io::Result<PathBuf> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let name = format!("liftrouter-rehearse-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// The longest that a rehearsal of this scenario takes, start and end included, in microseconds.
pub fn at_most(scenario: &Scenario) -> Micros {
    micros(scenario.length_s + 2.0 * scenario.longest_deadline() + 45.0)
}
