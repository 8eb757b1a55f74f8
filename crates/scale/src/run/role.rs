//! The processes of a fleet, as the coordinator starts them, and how they talk to it.

use super::error::RunError;
use super::hollow::{self, HollowArguments};
use super::load::{self, LoadArguments};
use super::messages::{Command, Report};
use super::standin::counter;
use super::standin::discovery::{self, DiscoveryArguments};
use super::standin::servers;
use clap::Subcommand;
use std::io::{stdin, stdout, BufRead, Write};
use std::thread;
use tokio::runtime::Builder;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::LocalSet;

/// What one process of a fleet does.
#[derive(Clone, Debug, Subcommand)]
pub enum Role {
    /// The stand-in of discovery.
    Discovery(DiscoveryArguments),
    /// The stand-in of the counter.
    Counter,
    /// The servers.
    Servers,
    /// Hollow limiters.
    Hollow(HollowArguments),
    /// The load generator.
    Load(LoadArguments),
}

/// Plays a role until standard input closes.
pub fn play_role(role: Role) -> Result<(), RunError> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(RunError::io("cannot start the runtime"))?;
    let commands = read_commands();
    LocalSet::new().block_on(&runtime, async move {
        match role {
            Role::Discovery(arguments) => discovery::play(arguments, commands).await,
            Role::Counter => counter::play(commands).await,
            Role::Servers => servers::play(commands).await,
            Role::Hollow(arguments) => hollow::play(arguments, commands).await,
            Role::Load(arguments) => load::play(arguments, commands).await,
        }
    })
}

/// Commands that come on standard input. The channel closes with it.
fn read_commands() -> UnboundedReceiver<Command> {
    let (sender, commands) = unbounded_channel();
    thread::spawn(move || {
        for line in stdin().lock().lines().map_while(Result::ok) {
            let Ok(command) = serde_json::from_str(&line) else { return };
            if sender.send(command).is_err() {
                return;
            }
        }
    });
    commands
}

/// Writes a report on standard output.
pub fn report(report: &Report) -> Result<(), RunError> {
    let mut line = serde_json::to_vec(report)?;
    line.push(b'\n');
    let mut out = stdout().lock();
    out.write_all(&line).and_then(|()| out.flush()).map_err(RunError::io("cannot report"))
}
