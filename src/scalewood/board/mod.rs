//! The blackboard: the shared state of one process, which its controllers read and write.
//!
//! Controllers do not call each other. Each reads state here, decides with the functions of `core`,
//! and writes state here. State that many requests use is sharded, each shard under its own lock.

pub mod feed;

pub mod entry;
pub mod view;
