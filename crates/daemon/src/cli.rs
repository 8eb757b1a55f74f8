//! The command line.

use crate::cluster;
use crate::config::{read_setup, ConfigError};
use crate::discovery::inventory_command::{self, InventoryFileError};
use crate::discovery::upstream::Upstream;
use crate::log;
use crate::operator::{self, Operator, OperatorError};
use crate::relay::{self, RelaySetup};
use crate::serve::{self, ServeError};
use crate::startup::StartupError;
use clap::{Args, Parser, Subcommand, ValueEnum};
use liftrouter_catalog::Subscription;
use liftrouter_discovery::Delivery;
use liftrouter_inventory::Format;
use std::error::Error as StdError;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// Exit code of a command that could not do its work.
const COMMAND_FAILED: u8 = 2;

/// A quota-keeping rate limiter on real sockets. Without a command it runs by the deployment's variables
/// (ROUTER_CONFIG and others).
#[allow(clippy::doc_markdown, reason = "clap prints this text as help")]
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
            // Few calls suit an agent too, and its lists expire.
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

impl From<To> for Format {
    fn from(to: To) -> Self {
        match to {
            To::Csv => Format::Csv,
            To::Yaml => Format::Yaml,
        }
    }
}

/// Why the limiter or a command came to no good end.
#[derive(Debug, Error)]
enum CliError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Operator(#[from] OperatorError),
    #[error(transparent)]
    Serve(#[from] ServeError),
    #[error(transparent)]
    Startup(#[from] StartupError),
    #[error(transparent)]
    Inventory(#[from] InventoryFileError),
    #[error("{0}")]
    ClusterStatus(Box<dyn StdError + Send + Sync>),
}

/// Reads the command line and runs what it names.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    log::start(cli.log);
    let Some(command) = cli.command else {
        return match run_limiter(cli.operator.as_deref()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                log("liftrouter", error);
                ExitCode::FAILURE
            }
        };
    };
    ExitCode::from(run_command(command).unwrap_or_else(|error| {
        log("liftrouter", error);
        COMMAND_FAILED
    }))
}

fn run_limiter(operator: Option<&Path>) -> Result<(), CliError> {
    let operator = operator.map_or(Ok(Operator::default()), operator::read)?;
    Ok(serve::run(read_setup()?, operator)?)
}

/// Runs a command; gives its exit code.
fn run_command(command: Command) -> Result<u8, CliError> {
    match command {
        Command::Inventory(command) => Ok(run_inventory_command(command)?),
        Command::Relay(args) => {
            relay::run(args.setup())?;
            Ok(0)
        }
        Command::Members { at, json } => {
            let status = cluster::show(&at, json).map_err(|error| CliError::ClusterStatus(error.into()))?;
            print!("{status}");
            Ok(0)
        }
    }
}

fn run_inventory_command(command: InventoryCommand) -> Result<u8, InventoryFileError> {
    match command {
        InventoryCommand::Check { file, json } => inventory_command::check(&file, json),
        InventoryCommand::Convert { file, to } => inventory_command::convert(&file, to.into()),
        InventoryCommand::Diff { old, new, json } => inventory_command::compare(&old, &new, json),
    }
}
