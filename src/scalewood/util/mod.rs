//! What every process needs: the clock, settings, log events and metrics.

pub mod clock;
pub mod event;
pub mod lock;
pub mod log;
pub mod metric;
pub mod settings;
pub mod signal;
pub mod socket;
