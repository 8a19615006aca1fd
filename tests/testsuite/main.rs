//! The tests: a module for each feature, and a small support module.

mod admin;
mod callers;
mod chaos;
mod ci;
mod control;
mod events;
mod explain;
mod failure;
mod feed;
mod help;
mod invariant;
mod journal;
mod load;
mod orders;
mod pace;
mod path;
mod placement;
mod random;
mod registry;
mod route;
mod routed;
mod settings;
mod size;
mod soak;
mod stop;
mod support;
