//! Messages between voters and learners.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::raft::{Entry, Index, State, Term};

/// The size of a message beside its entries or its piece, in bytes; roughly.
const MESSAGE_BYTES: usize = 256;

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", bound = "S: State")]
pub enum Message<S: State> {
    /// A candidate's request for a vote (Raft's RequestVote).
    #[serde(rename = "ask")]
    RequestVote(VoteRequest),
    /// The answer to a request for a vote.
    Vote(Vote),
    /// A leader's entries, or none for a heartbeat (Raft's AppendEntries).
    Append(Append<S::Command>),
    /// A follower's answer to `Append` and `Piece`.
    Stored(Stored),
    /// A part of a leader's snapshot (Raft's InstallSnapshot) or of a large entry.
    Piece(Piece),
    /// A leader that stops tells a follower to start an election at once (Raft's TimeoutNow).
    #[serde(rename = "stand")]
    TimeoutNow(Term),
}

impl<S: State> Message<S> {
    /// Returns about how many bytes the message takes.
    pub fn bytes(&self) -> usize {
        let content = match self {
            Self::Append(append) => append.entries.iter().map(Entry::bytes::<S>).sum(),
            Self::Piece(piece) => piece.text.len(),
            Self::RequestVote(_) | Self::Vote(_) | Self::Stored(_) | Self::TimeoutNow(_) => 0,
        };
        MESSAGE_BYTES + content
    }
}

/// A candidate's request for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Whether the vote is binding; false in a pre-vote, which only finds out whether the
    /// candidate could win.
    pub real: bool,
    /// Whether the leader has transferred its leadership to the candidate.
    pub handed_over: bool,
    /// The term that the candidate wants to lead.
    pub term: Term,
    /// The index of the last entry of the candidate's log.
    pub last: Index,
    /// The term of that entry.
    pub last_term: Term,
}

/// The answer to a request for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Copied from the request.
    pub real: bool,
    /// The request's term if the vote is granted, else the voter's term.
    pub term: Term,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Entries of a leader's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Append<C> {
    /// The leader's term.
    pub term: Term,
    /// The index of the entry that precedes the first one sent.
    pub before: Index,
    /// The term of that entry.
    pub before_term: Term,
    /// The entries; empty for a heartbeat.
    pub entries: Vec<Entry<C>>,
    /// The index of the leader's last committed entry.
    pub committed: Index,
    /// The send time on the leader's clock, which the answer returns.
    pub sent: Duration,
}

/// A follower's answer to entries or a part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The follower's term.
    pub term: Term,
    /// Whether the follower's log matched at the entry that precedes those sent, or the
    /// snapshot is complete.
    pub fitted: bool,
    /// If `fitted`, the last entry that is on disk and equals the leader's; else the last entry
    /// that may match, after which the leader should resume.
    pub index: Index,
    /// The bytes of a snapshot or an entry received so far, while a transfer is in progress.
    pub piece: Option<usize>,
    /// The send time of the message that this answers, on the leader's clock.
    pub sent: Duration,
}

/// What is sent in pieces.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Content {
    /// A [`Snapshot`](super::Snapshot).
    #[default]
    Snapshot,
    /// An [`Append`] with a single entry.
    Append,
}

/// A part of a leader's snapshot or of a large entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The leader's term.
    pub term: Term,
    /// What it is a part of.
    #[serde(default)]
    pub content: Content,
    /// The last entry that the snapshot covers, or the index of the entry.
    pub index: Index,
    /// The position of the part in the serialized whole, in bytes.
    pub offset: usize,
    /// The length of the serialized whole, in bytes.
    pub length: usize,
    /// The part itself, as JSON text.
    pub text: String,
    /// The send time on the leader's clock.
    pub sent: Duration,
}
