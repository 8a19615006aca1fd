//! scalewood routes language-model traffic, and plain services beside it, by
//! service level and priority.
//!
//! The library is layered so that every decision can be tested without a network:
//!
//! - [`core`] holds the data types and the decision logic. It does no I/O and reads no clock;
//!   callers pass the time.
//! - [`board`] holds the shared state of a process, in shards with a lock each.
//! - [`ops`] holds the controllers, which read the board, decide by `core`, act, and update the
//!   board.
//! - [`wire`] holds the messages between processes and the bodies of the administration API.
//! - [`store`] holds the voters' storage on disk.
//! - [`util`] holds the clock, settings, log events and metrics.

pub mod board;
pub mod core;
pub mod ops;
pub mod store;
pub mod util;
pub mod wire;
