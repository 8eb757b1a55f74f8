//! liftrouter-scale: plays a fleet on loopback, measures slopes, and reports what holds at the operators' size.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use liftrouter_scale::capacity::{self, ReportArgs};
use liftrouter_scale::run::{self, Role, RunArguments};
use liftrouter_scale::slopes::{self, SlopesArgs};
use std::process::ExitCode;

/// What a fleet of thousands of limiters costs.
#[derive(Parser)]
#[command(name = "liftrouter-scale", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays fleets on loopback, measures what they cost, and checks that every limiter follows the list.
    Run(RunArguments),
    /// Measures how the cost of single parts grows with their input.
    Slopes(SlopesArgs),
    /// Works the tables of the capacity page out anew from the stored records, and draws the slopes.
    Report(ReportArgs),
    /// One process of a fleet; `run` starts these.
    #[command(subcommand, hide = true)]
    Role(Role),
}

fn main() -> ExitCode {
    let done = |()| ExitCode::SUCCESS;
    let result = match Cli::parse().command {
        Command::Run(arguments) => run::run(&arguments).map_err(|error| error.to_string()),
        Command::Slopes(arguments) => slopes::run(&arguments).map(done).map_err(|error| error.to_string()),
        Command::Report(arguments) => {
            capacity::report(&arguments).map(done).map_err(|error| error.to_string())
        }
        Command::Role(role) => run::play_role(role).map(done).map_err(|error| error.to_string()),
    };
    result.unwrap_or_else(|error| {
        eprintln!("liftrouter-scale: {error}");
        ExitCode::from(2)
    })
}
