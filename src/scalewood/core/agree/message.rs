//! What voters tell each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::agree::{Entry, Index, State, Term};

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", bound = "S: State")]
pub enum Message<S: State> {
    /// A candidate asks for a vote.
    Ask(Ask),
    /// The answer.
    Vote(Vote),
    /// A leader sends entries, or none as a sign of life.
    Append(Append<S::Command>),
    /// The answer to entries and pieces.
    Stored(Stored),
    /// A leader sends a piece of its snapshot.
    Piece(Piece),
    /// A leader that stops tells a follower to stand for election at once.
    Stand(Term),
}

/// A candidate asks for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Whether it counts; else the candidate only asks whether it could win.
    pub real: bool,
    /// Whether a leader has told the candidate to stand.
    pub handed_over: bool,
    /// The term that it stands for.
    pub term: Term,
    /// The last entry of its log.
    pub last: Index,
    /// That entry's term.
    pub last_term: Term,
}

/// The answer to a candidate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// As in the question.
    pub real: bool,
    /// As in the question if granted, else the voter's term.
    pub term: Term,
    /// Whether the candidate gets the vote.
    pub granted: bool,
}

/// A leader's entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Append<C> {
    /// The leader's term.
    pub term: Term,
    /// The entry before the first one sent.
    pub before: Index,
    /// That entry's term.
    pub before_term: Term,
    /// The entries.
    pub entries: Vec<Entry<C>>,
    /// The last committed entry.
    pub committed: Index,
    /// When the leader sent this, by its own clock; the answer gives it back.
    pub sent: Duration,
}

/// A follower's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The follower's term.
    pub term: Term,
    /// Whether the log fitted.
    pub fitted: bool,
    /// If it fitted, the last entry that is on disk and equals the leader's; else
    /// where the leader should try next.
    pub index: Index,
    /// The bytes of a snapshot that have come, while one is received.
    pub piece: Option<usize>,
    /// The send time of the message that this answers.
    pub sent: Duration,
}

/// A piece of a leader's snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The leader's term.
    pub term: Term,
    /// The last entry that the snapshot covers.
    pub index: Index,
    /// Where in the snapshot's text the piece stands, in bytes.
    pub offset: usize,
    /// The length of the whole text, in bytes.
    pub length: usize,
    /// The piece.
    pub text: String,
    /// When the leader sent this, by its own clock.
    pub sent: Duration,
}
