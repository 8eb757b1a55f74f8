#!/bin/sh
# Builds the stand-ins and players of the cases. They use the standard library only, so no network is needed.
# The build of the deploy file comes before this.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
