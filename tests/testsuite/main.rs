//! The integration tests: a module for each feature, and a small support module.

// Nothing here runs on after a suspension of the machine, so clocks that stand still meanwhile do
// no harm.
#![allow(clippy::disallowed_methods)]

mod admin;
mod callers;
mod chaos;
mod ci;
mod clock;
mod control;
mod cordon;
mod crash;
mod crash_book;
mod dispatch_large;
mod events;
mod explain;
mod failure;
mod feed;
mod follow;
mod forwarder;
mod help;
mod incarnation;
mod invariant;
mod journal;
mod leave;
mod load;
mod lock;
mod orders;
mod overload;
mod pace;
mod path;
mod placement;
mod placement_large;
mod precedence;
mod random;
mod reach;
mod reach_core;
mod reach_soak;
mod regions;
mod registry;
mod rejection;
mod report;
mod residency;
mod rest;
mod rest_dispatch;
mod retry_budget;
mod retry_core;
mod route;
mod routed;
mod scaling;
mod settings;
mod sight;
mod silence;
mod size;
mod soak;
mod stop;
mod stream_build;
mod support;
mod tenure;
mod throttle;
mod throttle_dispatch;
mod throttle_issuer;
mod usage;
mod wall;
mod warm_up;
