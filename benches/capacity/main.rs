//! The slopes behind `docs/CAPACITY.md`: what a daemon's work costs by its size.
//!
//! `cargo bench --bench capacity`. Each slope is a fit (least squares) over several
//! sizes in one run; names as arguments pick some of the parts.

// Nothing here outlasts a suspension of the machine.
#![allow(clippy::disallowed_methods)]

#[path = "../../tests/testsuite/support/mod.rs"]
#[expect(
    dead_code,
    reason = "the benchmark uses only a part of the test support"
)]
mod support;

mod config;
mod control;
mod fit;
mod gossip;
mod process;
mod streams;

fn main() {
    let picked: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with('-'))
        .collect();
    let runs = |name: &str| picked.is_empty() || picked.iter().any(|p| p == name);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be made");
    if runs("config") {
        config::measure();
    }
    if runs("gossip") {
        gossip::measure();
    }
    if runs("streams") {
        runtime.block_on(streams::measure());
    }
    if runs("control") {
        runtime.block_on(control::measure());
    }
}
