//! liftrouter: a quota-keeping rate limiter on real sockets.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    liftrouter::cli::main()
}
