#!/bin/sh
# Builds the stand-ins and drivers of the review's scripts. Needs no network: they use std alone.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked \
    --manifest-path review/standins/Cargo.toml --target-dir target/review
