//! Storage on disk: the data folder of a voter.

pub mod folder;
pub mod hints;
pub mod identity;
pub mod journal;
pub mod latency;
pub mod media;
