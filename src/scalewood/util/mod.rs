//! Utilities that all processes use: clock, locks, settings, sockets, log events and metrics.

pub mod clock;
pub mod event;
pub mod lock;
pub mod log;
pub mod metric;
pub mod resource;
pub mod settings;
pub mod signal;
pub mod socket;
