#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/5 to review/8 start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
