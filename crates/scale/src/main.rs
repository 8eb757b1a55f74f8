//! liftrouter-scale: plays a fleet on loopback, measures slopes, and reports what holds at the operators' size.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use liftrouter_scale::run::{self, Role, RunArguments};
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
    /// One process of a fleet; `run` starts these.
    #[command(subcommand, hide = true)]
    Role(Role),
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Run(arguments) => run::run(&arguments),
        Command::Role(role) => run::play_role(role).map(|()| ExitCode::SUCCESS),
    };
    result.unwrap_or_else(|error| {
        eprintln!("liftrouter-scale: {error}");
        ExitCode::from(2)
    })
}
