//! A fleet of one size: its processes, and what they report together.

use super::arguments::RunArguments;
use super::error::RunError;
use super::messages::{
    Command, DiscoveryStatus, HollowStatus, LimiterStatus, LoadStatus, PhaseLag, Report, Traffic,
};
use super::process::{Interrupt, RoleProcess, Usage};
use super::real::{RealLimiter, RealSetup, ScratchFolder};
use super::relays::RelayTree;
use super::standin::discovery::REAL_REGION;
use super::standin::service_name;
use clap::ValueEnum;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Processes beside the limiters: discovery, counter, servers, and the load generator.
const OTHER_PROCESSES: usize = 4;

/// The size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Hollow limiters.
    pub hollow: usize,
    /// Servers in the list.
    pub servers: usize,
}

/// What every process of hollow limiters is started with.
#[derive(Debug)]
struct HollowPlan {
    discovery: Vec<SocketAddr>,
    relays: Vec<SocketAddr>,
    services: usize,
    counter: SocketAddr,
    peers: usize,
}

/// A process of hollow limiters.
#[derive(Debug)]
struct HollowGroup {
    process: RoleProcess,
    first: usize,
    count: usize,
    /// Memory of the process before it had limiters.
    empty_mb: f64,
}

/// CPU time and memory by role.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetUsage {
    /// Discovery.
    pub discovery: Usage,
    /// The counter.
    pub counter: Usage,
    /// The servers.
    pub servers: Usage,
    /// All hollow limiters.
    pub hollow: Usage,
    /// All real limiters.
    pub real: Usage,
    /// All relays.
    pub relay: Usage,
    /// The load generator.
    pub load: Usage,
}

impl FleetUsage {
    /// Each role and its name.
    pub fn roles(&self) -> [(&'static str, Usage); 7] {
        [
            ("discovery", self.discovery),
            ("counter", self.counter),
            ("servers", self.servers),
            ("hollow", self.hollow),
            ("real", self.real),
            ("relay", self.relay),
            ("load", self.load),
        ]
    }

    /// Resident memory of all processes.
    pub fn resident_mb(&self) -> f64 {
        self.roles().iter().map(|(_, usage)| usage.resident_mb).sum()
    }
}

/// A running fleet; its processes end with it.
#[derive(Debug)]
pub struct Fleet {
    arguments: RunArguments,
    size: FleetSize,
    interrupt: Interrupt,
    hollow_plan: HollowPlan,
    // Limiters end before those that they ask.
    load: Option<RoleProcess>,
    real: Vec<RealLimiter>,
    hollow: Vec<HollowGroup>,
    relays: Option<RelayTree>,
    discovery: RoleProcess,
    counter: RoleProcess,
    servers: RoleProcess,
    /// Lags that processes reported before they were killed.
    former_lags: Vec<PhaseLag>,
    folder: ScratchFolder,
}

/// How many processes a fleet has, the coordinator among them.
pub fn process_count(arguments: &RunArguments, hollow: usize) -> usize {
    let limiters = hollow + arguments.real;
    let leaves = arguments.leaf_relays(limiters);
    1 + OTHER_PROCESSES
        + leaves
        + root_relays(leaves)
        + arguments.real
        + hollow.div_ceil(usize::from(arguments.hollow_per_process))
}

/// Roots of a tree with so many leaves: one in each region of discovery, where there are leaves for both.
fn root_relays(leaves: usize) -> usize {
    leaves.min(REAL_REGION)
}

impl Fleet {
    /// Starts all processes and their limiters.
    pub fn start(arguments: &RunArguments, size: FleetSize, interrupt: &Interrupt) -> Result<Self, RunError> {
        let needed = process_count(arguments, size.hollow);
        if needed > arguments.max_processes {
            return Err(RunError::TooManyProcesses { needed, limit: arguments.max_processes });
        }
        let servers = RoleProcess::spawn("servers", &[])?;
        let counter = RoleProcess::spawn("counter", &[])?;
        let port = ready(&servers, interrupt)?.first().map_or(0, SocketAddr::port);
        let counters = ready(&counter, interrupt)?;
        let discovery = RoleProcess::spawn("discovery", &discovery_arguments(arguments, size, port))?;
        let regions = ready(&discovery, interrupt)?;
        let limiters = size.hollow + arguments.real;
        let relays = match arguments.leaf_relays(limiters) {
            0 => None,
            leaves => {
                let program = daemon_program(arguments)?;
                let discovery = &regions[..root_relays(leaves)];
                Some(RelayTree::start(&program, discovery, leaves, interrupt)?)
            }
        };
        let hollow_plan = HollowPlan {
            discovery: regions[..REAL_REGION].to_vec(),
            relays: relays.as_ref().map_or(Vec::new(), RelayTree::addresses),
            services: arguments.services_of(size.servers),
            counter: counters[0],
            peers: size.hollow + arguments.real,
        };
        let mut fleet = Fleet {
            arguments: arguments.clone(),
            size,
            interrupt: interrupt.clone(),
            hollow_plan,
            load: None,
            real: Vec::new(),
            hollow: Vec::new(),
            relays,
            discovery,
            counter,
            servers,
            former_lags: Vec::new(),
            folder: ScratchFolder::create()?,
        };
        fleet.start_real(regions[REAL_REGION], counters[1])?;
        fleet.start_hollow()?;
        Ok(fleet)
    }

    fn start_real(&mut self, discovery: SocketAddr, counter: SocketAddr) -> Result<(), RunError> {
        let program = daemon_program(&self.arguments)?;
        for index in 0..self.arguments.real {
            let setup = RealSetup {
                program: program.clone(),
                number: (self.size.hollow + index) as u32,
                peers: self.hollow_plan.peers as u32,
                discovery,
                counter,
                delivery: self.arguments.delivery,
                relays: self.relays.as_ref().map(|tree| {
                    let service = (self.size.hollow + index) % self.hollow_plan.services;
                    (tree.addresses(), service_name(service))
                }),
                seed: self.arguments.seed + index as u64,
            };
            self.real.push(RealLimiter::start(&setup, self.folder.path(), &self.interrupt)?);
        }
        if !self.real.is_empty() {
            let addresses: Vec<_> = self.real.iter().map(|real| real.address.to_string()).collect();
            let load = RoleProcess::spawn(
                "load",
                &[
                    option("limiters", addresses.join(",")),
                    option("requests-per-second", self.arguments.requests_per_second),
                    option("seed", self.arguments.seed),
                ],
            )?;
            ready(&load, &self.interrupt)?;
            self.load = Some(load);
        }
        Ok(())
    }

    fn start_hollow(&mut self) -> Result<(), RunError> {
        let per_process = usize::from(self.arguments.hollow_per_process);
        for first in (0..self.size.hollow).step_by(per_process) {
            let count = per_process.min(self.size.hollow - first);
            let group = self.spawn_group(first, count)?;
            self.hollow.push(group);
        }
        for group in &mut self.hollow {
            ready(&group.process, &self.interrupt)?;
            group.empty_mb = Usage::of(group.process.id())?.resident_mb;
        }
        for group in &mut self.hollow {
            group.process.tell(&Command::Start)?;
        }
        Ok(())
    }

    fn spawn_group(&self, first: usize, count: usize) -> Result<HollowGroup, RunError> {
        let arguments = &self.arguments;
        let addresses: Vec<_> = self.hollow_plan.discovery.iter().map(SocketAddr::to_string).collect();
        let delivery = arguments.delivery.to_possible_value();
        let mut options = vec![
            option("count", count),
            option("first", first),
            option("peers", self.hollow_plan.peers),
            option("discovery", addresses.join(",")),
            option("counter", self.hollow_plan.counter),
            option("services", self.hollow_plan.services),
            option("counter-calls-per-second", arguments.counter_calls_per_second),
            option("delivery", delivery.as_ref().map_or("on-request", |value| value.get_name())),
            option("seed", arguments.seed),
        ];
        if !self.hollow_plan.relays.is_empty() {
            let relays: Vec<_> = self.hollow_plan.relays.iter().map(SocketAddr::to_string).collect();
            options.push(option("relays", relays.join(",")));
        }
        if first == 0 && arguments.has_straggler() {
            options.push("--straggler".to_owned());
        }
        let process = RoleProcess::spawn("hollow", &options)?;
        Ok(HollowGroup { process, first, count, empty_mb: 0.0 })
    }

    /// Kills the last processes of hollow limiters, and starts them anew.
    pub fn replace_groups(&mut self, groups: usize) -> Result<(), RunError> {
        let kept = self.hollow.len().saturating_sub(groups);
        for mut group in self.hollow.split_off(kept) {
            let status = hollow_status(&mut group.process, &self.interrupt)?;
            self.former_lags.extend(status.lags);
            let (first, count) = (group.first, group.count);
            // The process ends here, by its own id.
            drop(group);
            let mut group = self.spawn_group(first, count)?;
            ready(&group.process, &self.interrupt)?;
            group.empty_mb = Usage::of(group.process.id())?.resident_mb;
            group.process.tell(&Command::Start)?;
            self.hollow.push(group);
        }
        Ok(())
    }

    /// Ends one relay.
    pub fn kill_relay(&mut self) {
        if let Some(tree) = &mut self.relays {
            tree.kill_leaf();
        }
    }

    /// The most that one relay has used, if there are relays.
    pub fn largest_relay(&self) -> Result<Option<Usage>, RunError> {
        self.relays.as_ref().map(RelayTree::largest).transpose()
    }

    /// How many processes of hollow limiters there are.
    pub fn group_count(&self) -> usize {
        self.hollow.len()
    }

    /// Tells discovery what to do.
    pub fn tell_discovery(&mut self, command: &Command) -> Result<(), RunError> {
        self.discovery.tell(command)
    }

    /// Tells the first process of hollow limiters what to do.
    pub fn tell_first_group(&mut self, command: &Command) -> Result<(), RunError> {
        match self.hollow.first_mut() {
            Some(group) => group.process.tell(command),
            None => Ok(()),
        }
    }

    /// Tells all processes of hollow limiters what to do.
    pub fn tell_hollow(&mut self, command: &Command) -> Result<(), RunError> {
        self.hollow.iter_mut().try_for_each(|group| group.process.tell(command))
    }

    /// What is measured from now on belongs to this phase.
    pub fn begin_phase(&mut self, name: &str) -> Result<(), RunError> {
        let command = Command::Phase(name.to_owned());
        self.tell_hollow(&command)?;
        self.load.iter_mut().try_for_each(|load| load.tell(&command))
    }

    /// How discovery stands.
    pub fn discovery_status(&mut self) -> Result<DiscoveryStatus, RunError> {
        match self.discovery.status(&self.interrupt)? {
            Report::Discovery(status) => Ok(status),
            _ => Err(RunError::ProcessEnded { role: "discovery".to_owned() }),
        }
    }

    /// What the counter has counted of the hollow limiters.
    pub fn counter_traffic(&mut self) -> Result<Traffic, RunError> {
        match self.counter.status(&self.interrupt)? {
            Report::Traffic(traffic) => Ok(traffic.first().copied().unwrap_or_default()),
            _ => Err(RunError::ProcessEnded { role: "counter".to_owned() }),
        }
    }

    /// What the load generator has measured in this phase.
    pub fn load_status(&mut self) -> Result<Option<LoadStatus>, RunError> {
        let Some(load) = &mut self.load else { return Ok(None) };
        match load.status(&self.interrupt)? {
            Report::Load(status) => Ok(Some(status)),
            _ => Err(RunError::ProcessEnded { role: "load".to_owned() }),
        }
    }

    /// How all hollow limiters stand, and the lags so far.
    pub fn hollow_status(&mut self) -> Result<HollowStatus, RunError> {
        let mut all = HollowStatus { limiters: Vec::new(), lags: self.former_lags.clone() };
        // All are asked before any answer is waited for.
        for group in &mut self.hollow {
            group.process.tell(&Command::Status)?;
        }
        for group in &mut self.hollow {
            let status = read_hollow_status(&group.process, &self.interrupt)?;
            all.limiters.extend(status.limiters);
            all.lags.extend(status.lags);
        }
        Ok(all)
    }

    /// How each hollow limiter stands.
    pub fn limiters(&mut self) -> Result<Vec<LimiterStatus>, RunError> {
        Ok(self.hollow_status()?.limiters)
    }

    /// What the processes have used; an error where it is more than they may.
    pub fn usage(&self) -> Result<FleetUsage, RunError> {
        let usage = FleetUsage {
            discovery: Usage::of(self.discovery.id())?,
            counter: Usage::of(self.counter.id())?,
            servers: Usage::of(self.servers.id())?,
            hollow: Usage::of_all(self.hollow.iter().map(|group| group.process.id()))?,
            real: Usage::of_all(self.real.iter().map(RealLimiter::id))?,
            relay: self.relays.as_ref().map(RelayTree::usage).transpose()?.unwrap_or_default(),
            load: Usage::of_all(self.load.iter().map(RoleProcess::id))?,
        };
        let (used_mb, limit_mb) = (usage.resident_mb(), self.arguments.memory_mb);
        if used_mb > limit_mb as f64 {
            return Err(RunError::TooMuchMemory { used_mb, limit_mb });
        }
        Ok(usage)
    }

    /// Memory of the processes of hollow limiters before they had limiters.
    pub fn empty_hollow_mb(&self) -> f64 {
        self.hollow.iter().map(|group| group.empty_mb).sum()
    }
}

fn ready(process: &RoleProcess, interrupt: &Interrupt) -> Result<Vec<SocketAddr>, RunError> {
    match process.next_report(interrupt)? {
        Report::Ready(addresses) => Ok(addresses),
        _ => Err(RunError::ProcessEnded { role: "a process that was not ready".to_owned() }),
    }
}

fn hollow_status(process: &mut RoleProcess, interrupt: &Interrupt) -> Result<HollowStatus, RunError> {
    process.tell(&Command::Status)?;
    read_hollow_status(process, interrupt)
}

fn read_hollow_status(process: &RoleProcess, interrupt: &Interrupt) -> Result<HollowStatus, RunError> {
    match process.next_report(interrupt)? {
        Report::Hollow(status) => Ok(status),
        _ => Err(RunError::ProcessEnded { role: "hollow".to_owned() }),
    }
}

fn discovery_arguments(arguments: &RunArguments, size: FleetSize, port: u16) -> Vec<String> {
    let mut options = vec![
        option("servers", size.servers),
        option("services", arguments.services_of(size.servers)),
        option("port", port),
        option("seed", arguments.seed),
    ];
    if arguments.lose_one_message {
        options.push("--lose-one-message".to_owned());
    }
    options
}

fn option(name: &str, value: impl std::fmt::Display) -> String {
    format!("--{name}={value}")
}

/// The program of real limiters: as told, or beside this one.
fn daemon_program(arguments: &RunArguments) -> Result<PathBuf, RunError> {
    if let Some(program) = &arguments.daemon {
        return Ok(program.clone());
    }
    let own = std::env::current_exe().map_err(RunError::io("cannot find this program"))?;
    Ok(own.with_file_name("liftrouter"))
}
