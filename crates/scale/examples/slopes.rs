//! The subcommand `slopes` by itself: `cargo run --release -p liftrouter-scale --example slopes -- slopes`.

use clap::{Parser, Subcommand};
use liftrouter_scale::slopes::{self, SlopesArgs};
use std::process::ExitCode;

#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measures slopes.
    Slopes(SlopesArgs),
}

fn main() -> ExitCode {
    let Command::Slopes(arguments) = Cli::parse().command;
    match slopes::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
