//! The command line.

use crate::cluster;
use crate::config::read_setup;
use crate::discovery::file;
use crate::discovery::upstream::Upstream;
use crate::log;
use crate::operator::{self, Operator};
use crate::relay::{self, RelaySetup};
use crate::serve::run;
use clap::{Args, Parser, Subcommand, ValueEnum};
use liftrouter_catalog::Subscription;
use liftrouter_discovery::Delivery;
use liftrouter_inventory::Form;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// A quota-keeping rate limiter on real sockets. Without a command it runs by the deployment's variables
/// (ROUTER_CONFIG and others).
#[derive(Parser)]
#[command(name = "liftrouter", version)]
struct Cli {
    /// The operator's own file, TOML.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// How lines of the log are written.
    #[arg(long, value_name = "FORM", value_enum, default_value_t)]
    log: log::Form,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Works on inventory files. Exit code: 0 done, 1 the file has faults, 2 it cannot be read.
    #[command(subcommand)]
    Inventory(InventoryCommand),
    /// Serves the list of servers, by services, to limiters and other relays, until SIGTERM.
    Relay(RelayArgs),
    /// Asks a limiter that runs who of the others is there, and what it holds. Exit code: 0 done, 2 it cannot be asked.
    Members {
        /// The Unix socket that its operator file names, `ask` in `[members]`.
        #[arg(long, value_name = "PATH")]
        at: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Whom a relay follows: discovery, or other relays.
#[derive(Args)]
struct RelayArgs {
    /// Where children come.
    #[arg(long, value_name = "ADDRESS")]
    listen: SocketAddr,
    /// Discovery, for a relay at the root.
    #[arg(long, value_name = "ADDRESS", conflicts_with = "relay", required_unless_present = "relay")]
    discovery: Option<SocketAddr>,
    /// A relay nearer to the root; several stand in for one another.
    #[arg(long, value_name = "ADDRESS")]
    relay: Vec<SocketAddr>,
    /// Spreads the retries and the choice of relays; another one for each relay.
    #[arg(long, default_value_t = 0)]
    seed: u64,
}

impl RelayArgs {
    fn setup(self) -> RelaySetup {
        let upstream = match self.discovery {
            // Sparing calls suit an agent too, and what it tells expires.
            Some(address) => Upstream::discovery(address, Delivery::OnRequest),
            None => Upstream::relays(self.relay, Subscription::All, self.seed),
        };
        RelaySetup { listen: self.listen, upstream: upstream.for_relay(), seed: self.seed }
    }
}

#[derive(Subcommand)]
enum InventoryCommand {
    /// Names every fault of a file as `file:line:column: reason`.
    Check {
        /// The file, .csv, .yaml or .yml.
        file: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Writes a file in another form to standard output.
    Convert {
        /// The file, .csv, .yaml or .yml.
        file: PathBuf,
        /// The form.
        #[arg(long)]
        to: To,
    },
    /// Says what adopting a file over another would do to each node.
    Diff {
        /// What is adopted.
        old: PathBuf,
        /// What would be.
        new: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum To {
    Csv,
    Yaml,
}

/// Reads the command line and does what it says.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    log::start(cli.log);
    if let Some(command) = cli.command {
        let done = match command {
            Command::Inventory(InventoryCommand::Check { file, json }) => file::check(&file, json),
            Command::Inventory(InventoryCommand::Convert { file, to: To::Csv }) => {
                file::convert(&file, Form::Csv)
            }
            Command::Inventory(InventoryCommand::Convert { file, to: To::Yaml }) => {
                file::convert(&file, Form::Yaml)
            }
            Command::Inventory(InventoryCommand::Diff { old, new, json }) => file::compare(&old, &new, json),
            Command::Relay(args) => relay::run(args.setup()).map(|()| 0),
            Command::Members { at, json } => cluster::show(&at, json).map(|text| {
                print!("{text}");
                0
            }),
        };
        return ExitCode::from(done.unwrap_or_else(|fault| {
            log("liftrouter", fault);
            2
        }));
    }
    let operator = cli.operator.map_or(Ok(Operator::default()), |path| operator::read(&path));
    match operator.and_then(|operator| run(read_setup()?, operator)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log("liftrouter", &fault);
            ExitCode::FAILURE
        }
    }
}
