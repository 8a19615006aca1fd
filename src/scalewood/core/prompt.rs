//! What prompts share, as dispatchers and hubs tell it.

use serde::{Deserialize, Serialize};

use crate::core::unit;

/// A hash over the start of a prompt. Prompts with the same prefix may share an
/// engine's cached work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Prefix(pub u64);

/// What decides where a prompt that others share is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    /// The part of the prompt that others share.
    pub prefix: Prefix,
    /// The tokens of that part.
    pub shared: unit::Tokens,
}
