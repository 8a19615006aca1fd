//! Shared prompt prefixes, as dispatchers and hubs exchange them.

use serde::{Deserialize, Serialize};

use crate::core::unit;

/// A hash of the beginning of a prompt. Prompts with the same prefix may share an engine's cached
/// work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Prefix(pub u64);

/// The placement key of a prompt whose beginning other prompts share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementKey {
    /// The hash of the shared beginning.
    pub prefix: Prefix,
    /// The length of the shared beginning.
    pub shared: unit::Tokens,
}
