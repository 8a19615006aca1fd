//! Consensus among voters on one log of commands.
//!
//! The algorithm is Raft: in each term a majority elects at most one leader, which appends
//! commands to its log and replicates them. An entry is committed once a majority has it on
//! disk, and all nodes apply committed entries in the same order. Choices beyond basic Raft:
//!
//! - A node is a box together with the identity in its data folder ([`Node`]). With an empty
//!   folder, or that of another box, the identity differs, so the node is not a voter. It joins
//!   as a learner, and votes once it has caught up and its membership is committed.
//! - A candidate runs a pre-vote (`elect`), so that a voter that returns from a network
//!   partition does not depose a working leader.
//! - A voter that has heard from a leader votes for no other node until the shortest election
//!   timeout has passed. So a leader that a majority has answered knows that there is no other
//!   leader until then: this is its lease ([`Voter::lease`]). A voter that has just started
//!   waits as long, since it does not know which leader it heard from before.
//! - The membership changes by one voter at a time (`members`).
//! - If configured, the leader repairs the membership without an operator (`repair`).
//! - The log up to a snapshot is discarded once its entries reach a number or a size (`snapshot`).
//!   A node that lacks discarded entries is sent the snapshot.
//! - Messages are bounded by their size. A snapshot, and an entry over that size, is sent in pieces,
//!   between which other messages can pass (`piece`).
//!
//! [`Voter::step`] takes one input and the current time, and returns an [`Output`]. The caller
//! must make the writes durable *before* it sends the messages and delivers the answers.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::core::name;

mod elect;
mod log;
mod members;
mod message;
mod piece;
mod repair;
mod replicate;
mod snapshot;

pub use log::{Entry, Index, Payload, Persisted, Snapshot, Term, Write};
pub use members::{Members, Request as MembersRequest};
pub use message::{Message, Piece};

/// The replicated state machine, to which commands are applied.
pub trait State: Clone + fmt::Debug + Default + Serialize + DeserializeOwned {
    /// A command of the log.
    type Command: Clone + fmt::Debug + PartialEq + Serialize + DeserializeOwned;
    /// The answer to a command.
    type Answer: Clone + fmt::Debug;

    /// Applies a committed command. The result must depend only on the state and the command,
    /// so that all nodes reach the same state.
    fn apply(&mut self, command: &Self::Command) -> Self::Answer;

    /// Returns about how many bytes a command takes, in memory and when stored.
    fn command_bytes(command: &Self::Command) -> usize;

    /// Returns about how many bytes the state takes when stored.
    fn bytes(&self) -> usize;
}

/// The identity of a data folder; generated when the folder is initialised, and never changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Identity(pub u64);

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl std::str::FromStr for Identity {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// A voter or learner: a box together with the identity in its data folder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Node {
    /// The box.
    pub name: name::Box,
    /// The identity in its data folder.
    pub identity: Identity,
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.identity)
    }
}

/// Settings of a voter or learner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The shortest election timeout, after which a voter that hears from no leader starts an
    /// election. The timeout is drawn at random between this and twice this.
    pub election_timeout_min: Duration,
    /// The time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// The time by which a lease ends early, since clocks may run at different speeds.
    pub lease_margin: Duration,
    /// The most entries in one message.
    pub max_entries: usize,
    /// The most bytes of entries in one message. A single entry over this is sent in pieces.
    pub max_append_bytes: usize,
    /// The most bytes of a snapshot or an entry in one piece; exceeded only to end on a whole
    /// character.
    pub max_piece_bytes: usize,
    /// The number of entries applied since the last snapshot after which the log is compacted.
    pub compact_after: u64,
    /// The size of the entries applied since the last snapshot, in bytes, after which the log is
    /// compacted, if they are also as large as the state.
    pub compact_after_bytes: usize,
    /// The most bytes of entries that may wait for a majority; a proposal beyond them is refused.
    /// So this is also the largest entry.
    pub max_uncommitted_bytes: usize,
    /// How the leader repairs the membership without an operator; absent if it does not.
    pub repair: Option<Repair>,
}

/// Settings of the membership repair by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Repair {
    /// How long a member may go without answering before it is removed.
    pub max_silence: Duration,
    /// The number of other voters that must respond for a silent voter to be removed.
    pub min_responsive: usize,
}

impl Default for Repair {
    fn default() -> Self {
        Self {
            max_silence: Duration::from_millis(1500),
            min_responsive: 3,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            election_timeout_min: Duration::from_millis(1000),
            heartbeat: Duration::from_millis(200),
            lease_margin: Duration::from_millis(200),
            max_entries: 64,
            max_append_bytes: 1 << 20,
            max_piece_bytes: 128 << 10,
            compact_after: 256,
            compact_after_bytes: 4 << 20,
            max_uncommitted_bytes: 24 << 20,
            repair: None,
        }
    }
}

/// The caller's identifier for a proposal, under which the answer is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<A> {
    /// It is committed and applied.
    Applied(A),
    /// It was not accepted, since this node is not the leader; holds the presumed leader.
    NotLeader(Option<Node>),
    /// This node lost its leadership; the proposal may still be committed.
    Unknown,
    /// It was refused, for the given reason; empty for a membership change that was committed.
    Refused(String),
}

/// An input to a voter.
#[derive(Clone, Debug)]
pub enum Input<S: State> {
    /// A message from another node.
    Message(Node, Message<S>),
    /// A command to agree on.
    Propose(Ticket, S::Command),
    /// A membership change to agree on.
    Members(Ticket, MembersRequest),
    /// A node that is not a member asks to become one.
    Join(Node, SocketAddr),
    /// The process is about to stop: a leader transfers its leadership.
    Stop,
    /// Time has passed.
    Tick,
}

/// The effects of a step, to be carried out in the order of the fields.
#[derive(Clone, Debug)]
pub struct Output<S: State> {
    /// Records to be made durable before anything else.
    pub writes: Vec<Write<S>>,
    /// Messages to be sent once the writes are durable.
    pub messages: Vec<(Node, Message<S>)>,
    /// Answers to proposals, to be delivered once the writes are durable.
    pub answers: Vec<(Ticket, Outcome<S::Answer>)>,
}

impl<S: State> Default for Output<S> {
    fn default() -> Self {
        Self {
            writes: Vec::new(),
            messages: Vec::new(),
            answers: Vec::new(),
        }
    }
}

impl<S: State> Output<S> {
    /// Appends the effects of a later step.
    pub fn merge(&mut self, later: Self) {
        self.writes.extend(later.writes);
        self.messages.extend(later.messages);
        self.answers.extend(later.answers);
    }
}

/// What a leader knows about another node. Send times are on the leader's own clock.
#[derive(Clone, Debug)]
struct Progress {
    /// The next entry to send.
    next: Index,
    /// The last entry known to be on the node's disk and equal to the leader's.
    matched: Index,
    /// The send time of the latest message that the node has answered.
    acked_send_time: Duration,
    /// When this leader began to track the node.
    tracked_since: Duration,
    /// The send time of the latest message to the node.
    last_send_time: Duration,
    /// How many bytes of a snapshot or an entry the node has, while one is sent to it in pieces.
    piece_offset: Option<usize>,
}

/// The role of a node in its current term.
#[derive(Clone, Debug)]
enum Role {
    Follower {
        leader: Option<Node>,
    },
    /// Collects votes: binding ones if `real`, else pre-votes.
    Candidate {
        real: bool,
        votes: Vec<Node>,
    },
    Leader {
        peers: BTreeMap<Node, Progress>,
        /// The first entry of the leader's term.
        term_start: Index,
        /// The open proposals with their log entries, the oldest first.
        tickets: VecDeque<(Index, Ticket)>,
    },
}

/// A voter's or learner's view of the cluster, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The node.
    pub node: Node,
    /// Its current term.
    pub term: Term,
    /// The node that it considers the leader.
    pub leader: Option<Node>,
    /// The last entry that it knows to be committed.
    pub committed: Index,
    /// The last entry of its log.
    pub last: Index,
    /// The latest membership in its log, committed or not.
    pub members: Members,
}

/// The state machine of one voter or learner.
#[derive(Debug)]
pub struct Voter<S: State> {
    settings: Settings,
    own: Node,
    random: SmallRng,
    role: Role,
    term: Term,
    voted_for: Option<Node>,
    log: log::Log<S>,
    committed: Index,
    applied: Index,
    state: S,
    /// When a leader was last heard from; at first the time of the start.
    leader_heard_at: Duration,
    /// When this node starts an election if no leader is heard from.
    election_at: Duration,
    /// Whether the state includes all entries that were committed when the node started. The
    /// commit index is not part of the durable state, so this is not known at the start.
    caught_up: bool,
    /// What is being received in pieces.
    incoming: Option<piece::Incoming>,
    /// What is being sent in pieces, as text.
    outgoing: BTreeMap<piece::Key, Arc<str>>,
    output: Output<S>,
}

impl<S: State> Voter<S> {
    /// Creates a voter from its durable state.
    pub fn new(
        settings: Settings,
        own: Node,
        persisted: Persisted<S>,
        seed: u64,
        now: Duration,
    ) -> Self {
        let state = persisted.snapshot.state.clone();
        let snapshot_index = persisted.snapshot.index;
        let mut voter = Self {
            settings,
            own,
            random: SmallRng::seed_from_u64(seed),
            role: Role::Follower { leader: None },
            term: persisted.term,
            voted_for: persisted.voted,
            log: log::Log::new(persisted.snapshot, persisted.entries),
            committed: snapshot_index,
            applied: snapshot_index,
            state,
            leader_heard_at: now,
            election_at: now,
            caught_up: false,
            incoming: None,
            outgoing: BTreeMap::new(),
            output: Output::default(),
        };
        voter.reset_election(now);
        voter
    }

    /// Processes an input and returns the resulting effects.
    pub fn step(&mut self, input: Input<S>, now: Duration) -> Output<S> {
        match input {
            Input::Message(from, message) => self.handle_message(from, message, now),
            Input::Propose(ticket, command) => self.propose(ticket, command, now),
            Input::Members(ticket, request) => self.change_members(ticket, request, now),
            Input::Join(node, address) => self.admit(node, address, now),
            Input::Stop => self.transfer_leadership(now),
            Input::Tick => self.tick(now),
        }
        self.apply_committed();
        self.compact(now);
        std::mem::take(&mut self.output)
    }

    fn handle_message(&mut self, from: Node, message: Message<S>, now: Duration) {
        match message {
            Message::RequestVote(request) => self.handle_vote_request(from, request, now),
            Message::Vote(vote) => self.handle_vote(from, vote, now),
            Message::Append(append) => self.handle_append(from, append, now),
            Message::Stored(stored) => self.handle_stored(from, stored, now),
            Message::Piece(piece) => self.handle_piece(from, piece, now),
            Message::TimeoutNow(term) => self.handle_timeout_now(term, now),
        }
    }

    fn tick(&mut self, now: Duration) {
        if matches!(self.role, Role::Leader { .. }) {
            self.tick_leader(now);
        } else if now >= self.election_at {
            self.start_election(false, now);
        }
    }

    fn is_voter(&self) -> bool {
        self.log.members().is_voter(&self.own)
    }

    fn majority(&self) -> usize {
        self.log.members().majority()
    }

    /// Restarts the election timeout, with a random length.
    fn reset_election(&mut self, now: Duration) {
        let timeout_factor = self.random.random_range(1.0..2.0);
        self.election_at = now + self.settings.election_timeout_min.mul_f64(timeout_factor);
    }

    /// Applies committed entries, and answers the proposals that they came from.
    fn apply_committed(&mut self) {
        while self.applied < self.committed {
            let index = self.applied.next();
            let Some(entry) = self.log.get(index) else {
                break;
            };
            let answer = match &entry.payload {
                Payload::Command(command) => Some(self.state.apply(command)),
                Payload::Empty | Payload::Members(_) => None,
            };
            self.applied = index;
            self.answer(index, answer);
        }
        self.step_down_if_removed();
        if let Role::Leader { term_start, .. } = &self.role {
            let term_start = *term_start;
            self.update_caught_up(term_start);
        }
    }

    /// Records whether the state includes all entries that a leader has committed.
    fn update_caught_up(&mut self, committed: Index) {
        self.caught_up |= self.applied >= committed;
    }

    /// Answers the proposal of an applied entry, if this leader has one.
    fn answer(&mut self, index: Index, answer: Option<S::Answer>) {
        let Role::Leader { tickets, .. } = &mut self.role else {
            return;
        };
        if tickets.front().is_none_or(|(at, _)| *at != index) {
            return;
        }
        let Some((_, ticket)) = tickets.pop_front() else {
            return;
        };
        let outcome = match answer {
            Some(answer) => Outcome::Applied(answer),
            None => Outcome::Refused(String::new()),
        };
        self.output.answers.push((ticket, outcome));
    }

    /// Returns the state after the last applied command.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Returns the last entry that is known to be committed.
    pub fn committed(&self) -> Index {
        self.committed
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns this node's name and identity.
    pub fn node(&self) -> &Node {
        &self.own
    }

    /// Returns the entry at an index, if the log still has it.
    pub fn entry(&self, index: Index) -> Option<&Entry<S::Command>> {
        self.log.get(index)
    }

    /// Returns whether this node is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Returns the node that this one considers the leader.
    pub fn leader(&self) -> Option<Node> {
        match &self.role {
            Role::Leader { .. } => Some(self.own.clone()),
            Role::Follower { leader } => leader.clone(),
            Role::Candidate { .. } => None,
        }
    }

    /// Returns this node's view of the cluster.
    pub fn status(&self) -> Status {
        Status {
            node: self.own.clone(),
            term: self.term,
            leader: self.leader(),
            committed: self.committed,
            last: self.log.last_index(),
            members: self.log.members().clone(),
        }
    }

    /// Returns whether the state includes all entries that were committed when this node
    /// started. Until then it may be older than what clients have already seen.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns until when this node is certain to be the only leader, or `None` if it does not
    /// lead, or has not yet applied all entries that were committed before its term.
    pub fn lease(&self) -> Option<Duration> {
        let Role::Leader {
            peers, term_start, ..
        } = &self.role
        else {
            return None;
        };
        if self.applied < *term_start {
            return None;
        }
        let answered_at = self.majority_answered_at(peers)?;
        Some(
            answered_at
                + self
                    .settings
                    .election_timeout_min
                    .saturating_sub(self.settings.lease_margin),
        )
    }
}
