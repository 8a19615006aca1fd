//! scalewood routes language-model traffic, and plain services beside it, by
//! service level and priority.
//!
//! The library is layered so that every decision can be run without a network:
//!
//! - [`core`] holds what things are and how decisions are made. It does no I/O
//!   and has no clock; every call is given the time.
//! - [`board`] holds the facts of one process, in shards under their own locks.
//! - [`ops`] holds the controllers, which read the board, decide through
//!   `core`, act, and write the board.
//! - [`wire`] holds the messages between processes and the HTTP edges.
//! - [`store`] holds what is kept on disk.
//! - [`util`] holds the clock, settings, log events and metrics.

pub mod board;
pub mod core;
pub mod ops;
pub mod store;
pub mod util;
pub mod wire;
