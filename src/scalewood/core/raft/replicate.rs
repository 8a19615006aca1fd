//! Log replication from the leader to all other members.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::core::raft::{
    message::{Append, Message, Stored},
    Entry, Index, Node, Outcome, Payload, Progress, Role, State, Ticket, Voter, Write,
};

impl<S: State> Voter<S> {
    /// Becomes the leader of the current term, and appends an empty entry to it.
    pub(super) fn become_leader(&mut self, now: Duration) {
        let term_start = self.log.last_index().next();
        self.role = Role::Leader {
            peers: BTreeMap::new(),
            term_start,
            tickets: VecDeque::new(),
        };
        self.outgoing.clear();
        self.leader_heard_at = now;
        self.track_peers(now);
        self.append_as_leader(Payload::Empty);
        self.advance_commit();
        self.send_all(now);
    }

    /// Aligns the tracked peers with the membership: one for each other voter and learner.
    pub(super) fn track_peers(&mut self, now: Duration) {
        let last = self.log.last_index();
        let others = self.log.members().members_except(&self.own);
        let Role::Leader { peers, .. } = &mut self.role else {
            return;
        };
        peers.retain(|node, _| others.contains(node));
        for node in others {
            peers.entry(node).or_insert(Progress {
                next: last.next(),
                matched: Index(0),
                acked_send_time: Duration::ZERO,
                tracked_since: now,
                last_send_time: Duration::ZERO,
                piece_offset: None,
            });
        }
    }

    /// Appends an entry of this leader's term to its log, and persists it.
    pub(super) fn append_as_leader(&mut self, payload: Payload<S::Command>) -> Index {
        let entry = Entry {
            index: self.log.last_index().next(),
            term: self.term,
            payload,
        };
        let index = entry.index;
        self.output.writes.push(Write::Append(vec![entry.clone()]));
        self.log.append(vec![entry]);
        index
    }

    /// Appends a command to the log if this node leads, else answers that it does not.
    pub(super) fn propose(&mut self, ticket: Ticket, command: S::Command, now: Duration) {
        if !self.is_leader() {
            self.output
                .answers
                .push((ticket, Outcome::NotLeader(self.leader())));
            return;
        }
        let waiting = self
            .log
            .bytes_between(self.committed, self.log.last_index());
        if waiting + S::command_bytes(&command) > self.settings.max_uncommitted_bytes {
            let why = "too many or too large changes wait for a majority of the voters; try again";
            let refused = Outcome::Refused(why.into());
            self.output.answers.push((ticket, refused));
            return;
        }
        let index = self.append_as_leader(Payload::Command(command));
        self.record_ticket(index, ticket);
        self.advance_commit();
        self.send_all(now);
    }

    /// Remembers which proposal to answer once an entry is applied.
    pub(super) fn record_ticket(&mut self, index: Index, ticket: Ticket) {
        if let Role::Leader { tickets, .. } = &mut self.role {
            tickets.push_back((index, ticket));
        }
    }

    /// Does a leader's periodic work: heartbeats, promotion of learners and membership repair.
    /// A leader that no majority has answered for twice the shortest election timeout steps down.
    pub(super) fn tick_leader(&mut self, now: Duration) {
        let Role::Leader { peers, .. } = &self.role else {
            return;
        };
        let answered_at = self
            .majority_answered_at(peers)
            .unwrap_or(now)
            .max(self.leader_heard_at);
        if now.saturating_sub(answered_at) > self.settings.election_timeout_min * 2 {
            self.become_follower(self.term, None, now);
            return;
        }
        let heartbeat = self.settings.heartbeat;
        let due = peers
            .iter()
            .filter(|(_, p)| now.saturating_sub(p.last_send_time) >= heartbeat);
        let due: Vec<_> = due.map(|(node, _)| node.clone()).collect();
        for node in due {
            self.send_to(&node, now);
        }
        self.promote_learners(now);
        self.repair(now);
    }

    /// Returns the latest time such that a majority has answered a message sent then or later,
    /// this node included. A leader that is the only voter gets a time far in the future.
    pub(super) fn majority_answered_at(
        &self,
        peers: &BTreeMap<Node, Progress>,
    ) -> Option<Duration> {
        let members = self.log.members();
        let mut send_times: Vec<_> = members
            .voters()
            .map(|node| {
                if *node == self.own {
                    Duration::MAX / 4
                } else {
                    peers
                        .get(node)
                        .map_or(Duration::ZERO, |progress| progress.acked_send_time)
                }
            })
            .collect();
        send_times.sort_by(|a, b| b.cmp(a));
        send_times.get(self.majority().checked_sub(1)?).copied()
    }

    /// Sends to every other member what it lacks, or a heartbeat.
    pub(super) fn send_all(&mut self, now: Duration) {
        let Role::Leader { peers, .. } = &self.role else {
            return;
        };
        let nodes: Vec<_> = peers.keys().cloned().collect();
        for node in nodes {
            self.send_to(&node, now);
        }
    }

    /// Sends a node the entries that it lacks, or a part of the snapshot if those were discarded;
    /// a heartbeat if it lacks nothing.
    pub(super) fn send_to(&mut self, node: &Node, now: Duration) {
        let Role::Leader { peers, .. } = &mut self.role else {
            return;
        };
        let Some(progress) = peers.get_mut(node) else {
            return;
        };
        progress.last_send_time = now;
        let before = Index(progress.next.0 - 1);
        let Some(before_term) = self.log.term_at(before) else {
            self.send_snapshot_piece(node, now);
            return;
        };
        let max_bytes = self.settings.max_append_bytes;
        if self.log.entry_bytes(progress.next) > max_bytes {
            let index = progress.next;
            self.send_entry_piece(node, index, before_term, now);
            return;
        }
        let entries = self
            .log
            .entries_from(progress.next, self.settings.max_entries, max_bytes);
        // Assumes that the entries arrive; an answer that rejects them moves `next` back.
        if let Some(last) = entries.last() {
            progress.next = last.index.next();
        }
        let append = Append {
            term: self.term,
            before,
            before_term,
            entries,
            committed: self.committed,
            sent: now,
        };
        self.output
            .messages
            .push((node.clone(), Message::Append(append)));
    }

    /// Handles entries or a heartbeat from a leader.
    pub(super) fn handle_append(&mut self, from: Node, append: Append<S::Command>, now: Duration) {
        if !self.accept_leader(&from, append.term, now) {
            self.reply(from, false, self.log.last_index(), None, append.sent);
            return;
        }
        let Append {
            before,
            before_term,
            entries,
            committed,
            sent,
            ..
        } = append;
        if before < self.log.snapshot().index {
            // All entries that the snapshot covers are committed, so they equal the leader's.
            let snapshot_index = self.log.snapshot().index;
            let after_snapshot: Vec<_> = entries
                .into_iter()
                .filter(|entry| entry.index > snapshot_index)
                .collect();
            let last = after_snapshot
                .last()
                .map_or(snapshot_index, |entry| entry.index);
            self.merge_entries(after_snapshot);
            self.commit_to(committed.min(last));
            self.apply_committed();
            self.update_caught_up(committed);
            self.reply(from, true, last, None, sent);
            return;
        }
        if self.log.term_at(before) != Some(before_term) {
            let resume_after = Index(before.0.saturating_sub(1))
                .min(self.log.last_index())
                .max(self.committed);
            self.reply(from, false, resume_after, None, sent);
            return;
        }
        let last = entries.last().map_or(before, |entry| entry.index);
        self.merge_entries(entries);
        self.commit_to(committed.min(last));
        self.apply_committed();
        self.update_caught_up(committed);
        self.reply(from, true, last, None, sent);
    }

    /// Appends the entries that are new here, after removing those that conflict with the
    /// leader's.
    fn merge_entries(&mut self, entries: Vec<Entry<S::Command>>) {
        let mut new_entries = entries.into_iter().peekable();
        while new_entries
            .peek()
            .is_some_and(|e| self.log.term_at(e.index) == Some(e.term))
        {
            new_entries.next();
        }
        let new_entries: Vec<_> = new_entries.collect();
        let Some(first) = new_entries.first() else {
            return;
        };
        if first.index <= self.log.last_index() {
            self.log.truncate(first.index, self.committed);
            self.output.writes.push(Write::Truncate(first.index));
        }
        self.output.writes.push(Write::Append(new_entries.clone()));
        self.log.append(new_entries);
    }

    /// Answers entries or a part of a snapshot; see [`Stored`] for the arguments.
    pub(super) fn reply(
        &mut self,
        to: Node,
        fitted: bool,
        index: Index,
        piece: Option<usize>,
        sent: Duration,
    ) {
        let stored = Stored {
            term: self.term,
            fitted,
            index,
            piece,
            sent,
        };
        self.output.messages.push((to, Message::Stored(stored)));
    }

    /// Raises the commit index, never lowers it.
    fn commit_to(&mut self, index: Index) {
        self.committed = self.committed.max(index);
    }

    /// Handles a follower's answer to entries or a part of a snapshot.
    pub(super) fn handle_stored(&mut self, from: Node, stored: Stored, now: Duration) {
        if stored.term > self.term {
            self.become_follower(stored.term, None, now);
            return;
        }
        let last = self.log.last_index();
        let Role::Leader { peers, .. } = &mut self.role else {
            return;
        };
        let Some(progress) = peers.get_mut(&from).filter(|_| stored.term == self.term) else {
            return;
        };
        progress.acked_send_time = progress.acked_send_time.max(stored.sent);
        progress.piece_offset = stored.piece;
        // A later message to the node is answered too; answering each would send pieces twice.
        let is_last_answer = stored.sent >= progress.last_send_time;
        if stored.fitted {
            progress.matched = progress.matched.max(stored.index);
            progress.next = progress.next.max(progress.matched.next());
        } else if stored.piece.is_none() {
            progress.next = stored.index.next().max(progress.matched.next());
        }
        let behind = progress.next <= last || stored.piece.is_some();
        self.advance_commit();
        self.drop_sent_pieces();
        if behind && (stored.piece.is_none() || is_last_answer) {
            self.send_to(&from, now);
        }
    }

    /// Commits the entries that a majority has on disk, if the last of them is of the current
    /// term.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader { peers, .. } = &self.role else {
            return;
        };
        let last = self.log.last_index();
        let mut matched: Vec<_> = self
            .log
            .members()
            .voters()
            .map(|node| {
                if *node == self.own {
                    last
                } else {
                    peers
                        .get(node)
                        .map_or(Index(0), |progress| progress.matched)
                }
            })
            .collect();
        matched.sort_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.majority() - 1).copied() else {
            return;
        };
        if self.log.term_at(index) == Some(self.term) {
            self.commit_to(index);
        }
    }
}
