//! The blackboard: the facts of one process that its controllers read and write.
//!
//! No controller calls another. Each reads facts here, decides through `core`, and
//! writes facts here; state that many requests touch stands in shards, each under
//! its own lock.

pub mod feed;

pub mod entry;
pub mod view;
