//! The `liftrouter` program: a rate limiter that enforces shared quotas per customer.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    liftrouter::cli::main()
}
