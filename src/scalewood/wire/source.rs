//! Subscriptions to the configuration, which voters and entry boxes serve.

use jsonrpsee::{core::SubscriptionResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};

use crate::core::{change, name, unit};

/// An update of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Update {
    /// A step from an earlier revision to a later one.
    Step(change::Step),
    /// A piece of a complete document, as JSON.
    Piece(Piece),
    /// A keep-alive: the source is at this revision.
    Alive(unit::Revision),
}

/// A piece of a complete document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The document's revision.
    pub revision: unit::Revision,
    /// Whether it is the last piece.
    pub last: bool,
    /// The piece's part of the document's JSON.
    pub text: String,
}

/// The size of a piece in bytes. A piece ends at the first character boundary at or after this
/// size.
pub const PIECE_BYTES: usize = 128 * 1024;

/// Distributes the configuration.
#[rpc(server, client, namespace = "source")]
pub trait Source {
    /// Subscribes to the configuration from a revision onwards.
    #[subscription(name = "follow" => "update", unsubscribe = "leave", item = Update)]
    async fn follow(&self, who: name::Box, from: unit::Revision) -> SubscriptionResult;
}
