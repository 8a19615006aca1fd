//! Agreement among voters on one log of commands.
//!
//! The algorithm is Raft: a leader for each term, elected by a majority, appends
//! commands to its log and sends them on; what a majority has on disk is committed
//! and applied by all in the same order. On top of that:
//!
//! - A voter is its box *and* the identity in its data folder ([`Node`]). A folder
//!   that is empty or another's has another identity, so it is no voter: it joins as
//!   a learner, and votes once it has caught up and its membership is committed.
//! - A candidate first asks whether it could win (`elect`), so that a voter that
//!   comes back from a cut does not unseat a leader that works.
//! - A voter that hears from a leader votes for nobody else for the shortest
//!   election time. So a leader that a majority has answered knows that nobody else
//!   leads before that time is over: this is its lease ([`Voter::lease`]).
//!   A voter that has just started waits as long, since it has forgotten whom it
//!   heard.
//! - Membership changes by one voter at a time (`members`).
//! - A leader repairs the membership by itself where that is set (`repair`).
//! - The log before a snapshot is dropped; who lags behind it gets the snapshot in
//!   pieces (`snapshot`).
//!
//! [`Voter::step`] takes one input and the time and returns an [`Output`]. The driver
//! must make the writes durable *before* it sends the messages and gives the answers.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    net::SocketAddr,
    time::Duration,
};

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::core::name;

mod elect;
mod log;
mod members;
mod message;
mod repair;
mod replicate;
mod snapshot;

pub use log::{Entry, Index, Kept, Payload, Snapshot, Term, Write};
pub use members::{Members, Request as MembersRequest};
pub use message::{Message, Piece};

/// What the log's commands act on.
pub trait State: Clone + fmt::Debug + Default + Serialize + DeserializeOwned {
    /// A command of the log.
    type Command: Clone + fmt::Debug + PartialEq + Serialize + DeserializeOwned;
    /// The answer to a command.
    type Answer: Clone + fmt::Debug;

    /// Applies a committed command. Must depend on nothing but the state and the
    /// command.
    fn apply(&mut self, command: &Self::Command) -> Self::Answer;
}

/// The identity of a data folder; made at its initialisation, never again.
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

/// A voter or learner: a box with a data folder.
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

/// Settings of a voter.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The shortest time without a leader after which a voter stands for election;
    /// the longest is twice that.
    pub election: Duration,
    /// The time between two signs of life of a leader.
    pub heartbeat: Duration,
    /// Kept free at the end of a lease, for clocks that run at other speeds.
    pub margin: Duration,
    /// The most entries in one message.
    pub batch: usize,
    /// The most bytes of a snapshot in one message.
    pub piece: usize,
    /// Applied entries after which the log is compacted.
    pub compact: u64,
    /// Whether, and how, the leader repairs the membership by itself.
    pub repair: Option<Repair>,
}

/// How a leader repairs the membership by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Repair {
    /// How long a voter may be silent before it is removed.
    pub silence: Duration,
    /// Voters that must be heard without the silent one, or it stays.
    pub remaining: usize,
}

impl Default for Repair {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(1500),
            remaining: 3,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            election: Duration::from_millis(1000),
            heartbeat: Duration::from_millis(200),
            margin: Duration::from_millis(200),
            batch: 64,
            piece: 64 * 1024,
            compact: 256,
            repair: None,
        }
    }
}

/// Names a proposal towards the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<A> {
    /// It is committed and applied.
    Applied(A),
    /// It was not taken, since this voter does not lead; maybe the other does.
    NotLeader(Option<Node>),
    /// This voter lost the lead; the proposal may still be committed.
    Unknown,
    /// It was refused, for the reason given.
    Refused(String),
}

/// What a voter is told.
#[derive(Clone, Debug)]
pub enum Input<S: State> {
    /// Another node's message.
    Message(Node, Message<S>),
    /// A command to agree on.
    Propose(Ticket, S::Command),
    /// A change of the membership to agree on.
    Members(Ticket, MembersRequest),
    /// A node that is no member wants to become one.
    Join(Node, SocketAddr),
    /// The process is about to stop: hand the lead on.
    Leave,
    /// Time has passed.
    Tick,
}

/// What a step wants done, in this order.
#[derive(Clone, Debug)]
pub struct Output<S: State> {
    /// To be made durable first.
    pub writes: Vec<Write<S>>,
    /// To be sent then.
    pub sends: Vec<(Node, Message<S>)>,
    /// Answers to proposals.
    pub answers: Vec<(Ticket, Outcome<S::Answer>)>,
}

impl<S: State> Default for Output<S> {
    fn default() -> Self {
        Self {
            writes: Vec::new(),
            sends: Vec::new(),
            answers: Vec::new(),
        }
    }
}

impl<S: State> Output<S> {
    /// Adds what a later step wants done.
    pub fn merge(&mut self, later: Self) {
        self.writes.extend(later.writes);
        self.sends.extend(later.sends);
        self.answers.extend(later.answers);
    }
}

/// What a leader knows of another node.
#[derive(Clone, Debug)]
struct Progress {
    /// The next entry to send.
    next: Index,
    /// The last entry known to be on its disk.
    matched: Index,
    /// The send time of the latest message that it answered.
    answered: Duration,
    /// Since when this node leads it.
    tracked: Duration,
    /// The send time of the latest message.
    sent: Duration,
    /// How much of a snapshot it has, while one is sent.
    piece: Option<usize>,
}

/// What a voter does.
#[derive(Clone, Debug)]
enum Role {
    Follower {
        leader: Option<Node>,
    },
    /// Asks whether it could win, or (`real`) for votes.
    Candidate {
        real: bool,
        votes: Vec<Node>,
    },
    Leader {
        peers: BTreeMap<Node, Progress>,
        term_start: Index,
        tickets: VecDeque<(Index, Ticket)>,
    },
}

/// What a voter shows of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The node.
    pub node: Node,
    /// Its term.
    pub term: Term,
    /// Whom it takes for the leader.
    pub leader: Option<Node>,
    /// The last committed entry.
    pub committed: Index,
    /// The last entry of its log.
    pub last: Index,
    /// The members of its log.
    pub members: Members,
}

/// A voter or learner.
#[derive(Debug)]
pub struct Voter<S: State> {
    settings: Settings,
    own: Node,
    random: SmallRng,
    role: Role,
    term: Term,
    voted: Option<Node>,
    log: log::Log<S>,
    committed: Index,
    applied: Index,
    state: S,
    /// When the last sign of a leader came, or the start.
    heard: Duration,
    /// When this node stands for election.
    election_at: Duration,
    /// Whether its state holds all that was committed when it started. What is
    /// committed is not on disk, so a node that starts does not know.
    caught_up: bool,
    /// A snapshot that is being received.
    incoming: Option<snapshot::Incoming>,
    /// The text of the snapshot that is being sent.
    outgoing: Option<snapshot::Outgoing>,
    output: Output<S>,
}

impl<S: State> Voter<S> {
    /// A voter that starts from what it kept.
    pub fn new(settings: Settings, own: Node, kept: Kept<S>, seed: u64, now: Duration) -> Self {
        let state = kept.snapshot.state.clone();
        let start = kept.snapshot.index;
        let mut voter = Self {
            settings,
            own,
            random: SmallRng::seed_from_u64(seed),
            role: Role::Follower { leader: None },
            term: kept.term,
            voted: kept.voted,
            log: log::Log::new(kept.snapshot, kept.entries),
            committed: start,
            applied: start,
            state,
            heard: now,
            election_at: now,
            caught_up: false,
            incoming: None,
            outgoing: None,
            output: Output::default(),
        };
        voter.reset_election(now);
        voter
    }

    /// Applies what is known to have been committed before the start. Committed entries are
    /// never dropped again, so the state then is one that was in force, if not the newest:
    /// the voter is not caught up by this.
    pub fn recall(&mut self, committed: Index) {
        self.committed = self.committed.max(committed.min(self.log.last()));
        self.apply_committed();
    }

    /// Takes an input; returns what it wants done.
    pub fn step(&mut self, input: Input<S>, now: Duration) -> Output<S> {
        match input {
            Input::Message(from, message) => self.message(from, message, now),
            Input::Propose(ticket, command) => self.propose(ticket, command, now),
            Input::Members(ticket, request) => self.change_members(ticket, request, now),
            Input::Join(node, address) => self.admit(node, address, now),
            Input::Leave => self.hand_over(now),
            Input::Tick => self.tick(now),
        }
        self.apply_committed();
        self.compact();
        std::mem::take(&mut self.output)
    }

    fn message(&mut self, from: Node, message: Message<S>, now: Duration) {
        match message {
            Message::Ask(ask) => self.asked_for_vote(from, ask, now),
            Message::Vote(vote) => self.got_vote(from, vote, now),
            Message::Append(append) => self.got_entries(from, append, now),
            Message::Stored(stored) => self.got_stored(from, stored, now),
            Message::Piece(piece) => self.got_piece(from, piece, now),
            Message::Stand(term) => self.told_to_stand(term, now),
        }
    }

    fn tick(&mut self, now: Duration) {
        if matches!(self.role, Role::Leader { .. }) {
            self.lead(now);
        } else if now >= self.election_at {
            self.stand(false, now);
        }
    }

    fn is_voter(&self) -> bool {
        self.log.members().is_voter(&self.own)
    }

    fn majority(&self) -> usize {
        self.log.members().majority()
    }

    fn reset_election(&mut self, now: Duration) {
        let spread = self.random.random_range(1.0..2.0);
        self.election_at = now + self.settings.election.mul_f64(spread);
    }

    /// Applies what is committed, and answers whose proposals these are.
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
            self.note_caught_up(term_start);
        }
    }

    /// Notes whether the state holds all that a leader has committed.
    fn note_caught_up(&mut self, committed: Index) {
        self.caught_up |= self.applied >= committed;
    }

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

    /// The state after the last applied command.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// The last committed entry.
    pub fn committed(&self) -> Index {
        self.committed
    }

    /// The term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// This node.
    pub fn node(&self) -> &Node {
        &self.own
    }

    /// The entry at an index, if the log still has it.
    pub fn entry(&self, index: Index) -> Option<&Entry<S::Command>> {
        self.log.get(index)
    }

    /// Whether this node leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Whom this node takes for the leader.
    pub fn leader(&self) -> Option<Node> {
        match &self.role {
            Role::Leader { .. } => Some(self.own.clone()),
            Role::Follower { leader } => leader.clone(),
            Role::Candidate { .. } => None,
        }
    }

    /// How the node stands.
    pub fn status(&self) -> Status {
        Status {
            node: self.own.clone(),
            term: self.term,
            leader: self.leader(),
            committed: self.committed,
            last: self.log.last(),
            members: self.log.members().clone(),
        }
    }

    /// Whether the state holds all that was committed when this node started: before
    /// that it may lie behind what was shown to others.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Whether the state is what is in force now: this node leads under a lease. A
    /// follower learns of a commit only with the leader's next message.
    pub fn is_current(&self, now: Duration) -> bool {
        self.lease().is_some_and(|until| until > now)
    }

    /// Until when this node may act as the only leader, if it leads and knows of all
    /// that was committed before its term.
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
        let answered = self.answered_by_majority(peers)?;
        Some(answered + self.settings.election.saturating_sub(self.settings.margin))
    }
}
