//! Following the configuration: from a voter, or from a peer that has it.

use jsonrpsee::{core::SubscriptionResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};

use crate::core::{change, name, unit};

/// News of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Update {
    /// What makes a revision out of one before.
    Step(change::Step),
    /// A piece of a whole document, as JSON.
    Piece(Piece),
    /// Nothing new; the source is alive and at this revision.
    Alive(unit::Revision),
}

/// A piece of a whole document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The document's revision.
    pub revision: unit::Revision,
    /// Whether it is the last piece.
    pub last: bool,
    /// The piece.
    pub text: String,
}

/// Bytes of a document in one piece, at most.
pub const PIECE: usize = 128 * 1024;

/// Gives out the configuration.
#[rpc(server, client, namespace = "source")]
pub trait Source {
    /// Follows the configuration from a revision on.
    #[subscription(name = "follow" => "update", unsubscribe = "leave", item = Update)]
    async fn follow(&self, who: name::Box, from: unit::Revision) -> SubscriptionResult;
}
