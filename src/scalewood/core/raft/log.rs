//! The log: a snapshot and the entries after it.

use std::{collections::VecDeque, fmt};

use serde::{Deserialize, Serialize};

use crate::core::{
    invariant,
    raft::{Members, Node, State},
};

/// A position in the log; the first entry has index 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Index(pub u64);

impl Index {
    /// Returns the index after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Index {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A term: an election period with at most one leader.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// Returns the term after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Payload<C> {
    /// No operation: the first entry of each leader's term.
    Empty,
    /// A command.
    Command(C),
    /// A membership, in force from this entry on, committed or not.
    Members(Members),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Its position in the log.
    pub index: Index,
    /// The term of the leader that created it.
    pub term: Term,
    /// Its content.
    pub payload: Payload<C>,
}

/// The size of an entry beside its command, in bytes; roughly.
const ENTRY_BYTES: usize = 64;
/// The size of a member in a membership entry, in bytes; roughly.
const MEMBER_BYTES: usize = 128;

impl<C> Entry<C> {
    /// Returns about how many bytes the entry takes, in memory and when stored.
    pub fn bytes<S: State<Command = C>>(&self) -> usize {
        let payload = match &self.payload {
            Payload::Empty => 0,
            Payload::Command(command) => S::command_bytes(command),
            Payload::Members(members) => members.addresses().count() * MEMBER_BYTES,
        };
        ENTRY_BYTES + payload
    }
}

/// The state after an entry; replaces the log up to and including that entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(bound = "S: State")]
pub struct Snapshot<S: State> {
    /// The last entry that it covers.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// The membership as of that entry.
    pub members: Members,
    /// The state after that entry.
    pub state: S,
}

/// A record to be made durable.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", bound = "S: State")]
pub enum Write<S: State> {
    /// The current term, and the node that this one voted for in it.
    Vote(Term, Option<Node>),
    /// Entries appended to the log.
    Append(Vec<Entry<S::Command>>),
    /// Removal of all entries from an index on.
    Truncate(Index),
    /// This node's own snapshot, which replaces the entries that it covers.
    Snapshot(Snapshot<S>),
    /// A snapshot received from the leader, which replaces the whole log.
    Restart(Snapshot<S>),
}

/// The durable state that a voter restarts from.
#[derive(Clone, Debug)]
pub struct Persisted<S: State> {
    /// The latest term.
    pub term: Term,
    /// The node that it voted for in that term.
    pub voted: Option<Node>,
    /// The latest snapshot.
    pub snapshot: Snapshot<S>,
    /// The log entries after the snapshot.
    pub entries: Vec<Entry<S::Command>>,
}

impl<S: State> Default for Persisted<S> {
    fn default() -> Self {
        Self {
            term: Term(0),
            voted: None,
            snapshot: Snapshot {
                index: Index(0),
                term: Term(0),
                members: Members::default(),
                state: S::default(),
            },
            entries: Vec::new(),
        }
    }
}

impl<S: State> Persisted<S> {
    /// Returns the initial state of the first voter of a new cluster.
    pub fn bootstrap(node: Node, address: std::net::SocketAddr) -> Self {
        let mut initial = Self::default();
        initial.snapshot.members = Members::single_voter(node, address);
        initial
    }

    /// Returns the initial state of each voter of a new cluster whose voters are all known in
    /// advance.
    pub fn bootstrap_with(members: Members) -> Self {
        let mut initial = Self::default();
        initial.snapshot.members = members;
        initial
    }

    /// Returns whether the voter has taken no part in the cluster yet: a first election reaches all.
    pub fn is_new(&self) -> bool {
        self.term == Term(0) && self.entries.is_empty() && self.snapshot.index == Index(0)
    }

    /// Applies a write that was read back from disk.
    pub fn replay(&mut self, write: Write<S>) {
        match write {
            Write::Vote(term, voted) => (self.term, self.voted) = (term, voted),
            Write::Append(entries) => self.entries.extend(entries),
            Write::Truncate(from) => self.entries.retain(|entry| entry.index < from),
            Write::Snapshot(snapshot) => {
                self.entries.retain(|entry| entry.index > snapshot.index);
                self.snapshot = snapshot;
            }
            Write::Restart(snapshot) => {
                self.entries.clear();
                self.snapshot = snapshot;
            }
        }
    }
}

/// The log in memory: a snapshot, the entries after it and the current membership.
#[derive(Debug)]
pub(super) struct Log<S: State> {
    snapshot: Snapshot<S>,
    entries: VecDeque<Entry<S::Command>>,
    /// The size of each entry, in bytes.
    sizes: VecDeque<usize>,
    members: Members,
}

impl<S: State> Log<S> {
    pub(super) fn new(snapshot: Snapshot<S>, entries: Vec<Entry<S::Command>>) -> Self {
        let members = snapshot.members.clone();
        let mut log = Self {
            snapshot,
            sizes: entries.iter().map(Entry::bytes::<S>).collect(),
            entries: entries.into(),
            members,
        };
        log.refresh_members();
        log
    }

    /// Returns the current membership: that of the latest membership entry, committed or not.
    pub(super) fn members(&self) -> &Members {
        &self.members
    }

    /// Recomputes the current membership after the entries have changed.
    fn refresh_members(&mut self) {
        let latest = self
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Members(members) => Some(members),
                Payload::Empty | Payload::Command(_) => None,
            });
        self.members = latest.unwrap_or(&self.snapshot.members).clone();
    }

    /// Returns the index of the latest membership entry, or of the snapshot if there is none.
    pub(super) fn members_index(&self) -> Index {
        let is_membership =
            |entry: &&Entry<S::Command>| matches!(entry.payload, Payload::Members(_));
        self.entries
            .iter()
            .rev()
            .find(is_membership)
            .map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Returns the membership that was in force as of an entry.
    pub(super) fn members_as_of(&self, index: Index) -> Members {
        let up_to_index = self
            .entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= index);
        let mut memberships = up_to_index.filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members),
            Payload::Empty | Payload::Command(_) => None,
        });
        memberships.next().unwrap_or(&self.snapshot.members).clone()
    }

    /// Returns the snapshot that the log starts from.
    pub(super) fn snapshot(&self) -> &Snapshot<S> {
        &self.snapshot
    }

    /// Returns the index of the last entry, or of the snapshot if there are no entries.
    pub(super) fn last_index(&self) -> Index {
        self.entries
            .back()
            .map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Returns the term of the last entry, or of the snapshot if there are no entries.
    pub(super) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the position that an index has among the entries after the snapshot, whether or
    /// not there is an entry; `None` if the snapshot covers it.
    fn position(&self, index: Index) -> Option<usize> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        usize::try_from(offset).ok()
    }

    /// Returns the entry at an index, if it is in the log and not covered by the snapshot.
    pub(super) fn get(&self, index: Index) -> Option<&Entry<S::Command>> {
        self.entries.get(self.position(index)?)
    }

    /// Returns the term of the entry at an index, which may be the snapshot's last entry.
    pub(super) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the size of the entry at an index, in bytes; 0 if it is not in the log.
    pub(super) fn entry_bytes(&self, index: Index) -> usize {
        let position = self.position(index);
        let size = position.and_then(|position| self.sizes.get(position));
        size.copied().unwrap_or_default()
    }

    /// Returns the size of the entries after an index up to another one, in bytes.
    pub(super) fn bytes_between(&self, after: Index, up_to: Index) -> usize {
        let begin = self.position(after.next()).unwrap_or_default();
        let end = self.position(up_to.next()).unwrap_or_default();
        let sizes = self.sizes.iter().take(end).skip(begin);
        sizes.sum()
    }

    /// Returns up to `max_entries` entries of up to `max_bytes` from an index on, but at least one;
    /// none if the snapshot covers the first one.
    pub(super) fn entries_from(
        &self,
        index: Index,
        max_entries: usize,
        max_bytes: usize,
    ) -> Vec<Entry<S::Command>> {
        let Some(position) = self.position(index) else {
            return Vec::new();
        };
        let mut total = 0;
        let fits = |(i, (_, size)): &(usize, (&Entry<S::Command>, &usize))| {
            total += **size;
            *i == 0 || total <= max_bytes
        };
        self.entries
            .iter()
            .zip(&self.sizes)
            .skip(position)
            .take(max_entries)
            .enumerate()
            .take_while(fits)
            .map(|(_, (entry, _))| entry.clone())
            .collect()
    }

    /// Appends entries, which must follow the last one.
    pub(super) fn append(&mut self, entries: Vec<Entry<S::Command>>) {
        self.sizes.extend(entries.iter().map(Entry::bytes::<S>));
        self.entries.extend(entries);
        self.refresh_members();
    }

    /// Removes the entries from an index on, none of which may be committed.
    pub(super) fn truncate(&mut self, from: Index, committed: Index) {
        invariant::check(from > committed, invariant::Rule::CommittedStays, || {
            format!("entries from {from} on are dropped while {committed} is committed")
        });
        if let Some(position) = self.position(from) {
            self.entries.truncate(position);
            self.sizes.truncate(position);
        }
        self.refresh_members();
    }

    /// Replaces the entries that a snapshot covers by the snapshot.
    pub(super) fn compact(&mut self, snapshot: Snapshot<S>) {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index <= snapshot.index)
        {
            self.entries.pop_front();
            self.sizes.pop_front();
        }
        self.snapshot = snapshot;
    }

    /// Replaces the whole log by a snapshot.
    pub(super) fn reset_to(&mut self, snapshot: Snapshot<S>) {
        self.entries.clear();
        self.sizes.clear();
        self.members = snapshot.members.clone();
        self.snapshot = snapshot;
    }
}
