//! The command line.

use crate::cluster;
use crate::config::{read_setup, ConfigError};
use crate::discovery::inventory_command::{self, InventoryFileError};
use crate::discovery::upstream::Upstream;
use crate::log;
use crate::operator::{self, OperatorConfig, OperatorConfigError};
use crate::relay::{self, RelayConfig};
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

/// Exit code of a command that failed.
const COMMAND_FAILED: u8 = 2;

/// Rate limiter that enforces customers' quotas. Without a command it runs a limiter, configured by the environment
/// variables ROUTER_CONFIG, ROUTER_LISTEN and ROUTER_DISCOVERY.
#[allow(clippy::doc_markdown, reason = "clap prints this text as help")]
#[derive(Parser)]
#[command(name = "liftrouter", version)]
struct Cli {
    /// The operator's file (TOML).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Format of log lines.
    #[arg(long, value_name = "FORM", value_enum, default_value_t)]
    log: log::LogFormat,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Checks, converts and compares inventory files. Exit code: 0 success, 1 a file has faults, 2 a file cannot be
    /// read.
    #[command(subcommand)]
    Inventory(InventoryCommand),
    /// Runs a relay, which serves the endpoint lists of services to limiters and other relays until SIGTERM.
    Relay(RelayArgs),
    /// Prints the cluster members that a running limiter knows and the shards it holds. Exit code: 0 success, 2 the
    /// limiter cannot be queried.
    Members {
        /// Unix socket of the limiter: `ask` in section `[members]` of its operator's file.
        #[arg(long, value_name = "PATH")]
        at: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Arguments of the relay command. A relay follows either discovery or other relays.
#[derive(Args)]
struct RelayArgs {
    /// Address to listen on for limiters and other relays.
    #[arg(long, value_name = "ADDRESS")]
    listen: SocketAddr,
    /// Address of the discovery service. For a relay at the root of the tree.
    #[arg(long, value_name = "ADDRESS", conflicts_with = "relay", required_unless_present = "relay")]
    discovery: Option<SocketAddr>,
    /// Address of a relay nearer to the root. Repeat the option for replicas to fail over to.
    #[arg(long, value_name = "ADDRESS")]
    relay: Vec<SocketAddr>,
    /// Seed that spreads retries and the choice among relays. Should differ between relays.
    #[arg(long, default_value_t = 0)]
    seed: u64,
}

impl RelayArgs {
    fn setup(self) -> RelayConfig {
        let upstream = match self.discovery {
            // On-request delivery makes few calls, which works with an agent on the same machine too, and its lists
            // expire.
            Some(address) => Upstream::discovery(address, Delivery::OnRequest),
            None => Upstream::relays(self.relay, Subscription::All, self.seed),
        };
        RelayConfig { listen: self.listen, upstream: upstream.for_relay(), seed: self.seed }
    }
}

#[derive(Subcommand)]
enum InventoryCommand {
    /// Prints every fault of a file as `file:line:column: reason`.
    Check {
        /// Inventory file: .csv, .yaml or .yml.
        file: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Converts a file to another format and writes it to standard output.
    Convert {
        /// Inventory file: .csv, .yaml or .yml.
        file: PathBuf,
        /// Format of the output.
        #[arg(long)]
        to: InventoryFormat,
    },
    /// Prints the change to each node if the new file replaced the old one.
    Diff {
        /// Inventory file in use.
        old: PathBuf,
        /// Inventory file that would replace it.
        new: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Output formats of `inventory convert`.
#[derive(Clone, Copy, ValueEnum)]
enum InventoryFormat {
    Csv,
    Yaml,
}

impl From<InventoryFormat> for Format {
    fn from(format: InventoryFormat) -> Self {
        match format {
            InventoryFormat::Csv => Format::Csv,
            InventoryFormat::Yaml => Format::Yaml,
        }
    }
}

/// Why the limiter or a command failed.
#[derive(Debug, Error)]
enum CliError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    #[error(transparent)]
    Serve(#[from] ServeError),
    #[error(transparent)]
    Startup(#[from] StartupError),
    #[error(transparent)]
    Inventory(#[from] InventoryFileError),
    #[error("{0}")]
    ClusterStatus(Box<dyn StdError + Send + Sync>),
}

/// Parses the command line and runs the limiter or the given command.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    log::init(cli.log);
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
    let operator = operator.map_or(Ok(OperatorConfig::default()), operator::read)?;
    Ok(serve::run(read_setup()?, operator)?)
}

/// Runs a command and returns its exit code.
fn run_command(command: Command) -> Result<u8, CliError> {
    match command {
        Command::Inventory(command) => Ok(run_inventory_command(command)?),
        Command::Relay(args) => {
            relay::run(args.setup())?;
            Ok(0)
        }
        Command::Members { at, json } => {
            let status =
                cluster::query_status(&at, json).map_err(|error| CliError::ClusterStatus(error.into()))?;
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
