//! Snapshots: log compaction, and transfer to nodes that lack discarded entries.

use std::time::Duration;

use crate::core::raft::{
    message::{Message, Piece},
    Index, Node, Role, Snapshot, State, Voter, Write,
};

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct Incoming {
    from: Node,
    index: Index,
    text: String,
}

/// A serialized snapshot that is being sent.
#[derive(Debug)]
pub(super) struct Outgoing {
    index: Index,
    text: String,
}

impl<S: State> Voter<S> {
    /// Compacts the log once `settings.compact_after` entries have been applied since the snapshot.
    pub(super) fn compact(&mut self) {
        let snapshot_index = self.log.snapshot().index;
        if self.applied.0 - snapshot_index.0 < self.settings.compact_after {
            return;
        }
        let Some(term) = self.log.term_at(self.applied) else {
            return;
        };
        let snapshot = Snapshot {
            index: self.applied,
            term,
            members: self.log.members_as_of(self.applied),
            state: self.state.clone(),
        };
        self.output.writes.push(Write::Snapshot(snapshot.clone()));
        self.log.compact(snapshot);
    }

    /// Sends a node the next part of the snapshot.
    pub(super) fn send_piece(&mut self, node: &Node, now: Duration) {
        let snapshot = self.log.snapshot();
        if self
            .outgoing
            .as_ref()
            .is_none_or(|outgoing| outgoing.index != snapshot.index)
        {
            // A snapshot is plain data, so serializing it does not fail.
            let Ok(text) = serde_json::to_string(snapshot) else {
                return;
            };
            self.outgoing = Some(Outgoing {
                index: snapshot.index,
                text,
            });
        }
        let Some(outgoing) = &self.outgoing else {
            return;
        };
        let Role::Leader { peers, .. } = &self.role else {
            return;
        };
        let offset = peers.get(node).and_then(|p| p.snapshot_bytes).unwrap_or(0);
        let offset = if outgoing.text.is_char_boundary(offset) {
            offset
        } else {
            0
        };
        let end = outgoing
            .text
            .len()
            .min(offset + self.settings.max_piece_bytes);
        let end = (end..=outgoing.text.len()).find(|i| outgoing.text.is_char_boundary(*i));
        let text = outgoing.text[offset..end.unwrap_or(outgoing.text.len())].to_owned();
        let piece = Piece {
            term: self.term,
            index: outgoing.index,
            offset,
            length: outgoing.text.len(),
            text,
            sent: now,
        };
        self.output
            .messages
            .push((node.clone(), Message::Piece(piece)));
    }

    /// Handles a part of a leader's snapshot.
    pub(super) fn handle_piece(&mut self, from: Node, piece: Piece, now: Duration) {
        if !self.accept_leader(&from, piece.term, now) {
            self.reply(from, false, self.log.last_index(), None, piece.sent);
            return;
        }
        if piece.index <= self.committed {
            // This node already has all that the snapshot covers.
            self.reply(from, true, self.committed, None, piece.sent);
            return;
        }
        let sent = piece.sent;
        match self.assemble(&from, piece) {
            Assembled::Part(length) => {
                self.reply(from, false, self.committed, Some(length), sent);
            }
            Assembled::Whole(snapshot) => {
                let index = snapshot.index;
                self.install_snapshot(*snapshot);
                self.reply(from, true, index, None, sent);
            }
        }
    }

    /// Adds a part to those received so far, and returns how much of the snapshot there is. A part
    /// that does not follow on them is ignored.
    fn assemble(&mut self, from: &Node, piece: Piece) -> Assembled<S> {
        let is_same_transfer = |i: &Incoming| i.from == *from && i.index == piece.index;
        let mut incoming = self
            .incoming
            .take()
            .filter(is_same_transfer)
            .unwrap_or_else(|| Incoming {
                from: from.clone(),
                index: piece.index,
                text: String::new(),
            });
        if incoming.text.len() == piece.offset {
            incoming.text.push_str(&piece.text);
        }
        if incoming.text.len() < piece.length {
            let length = incoming.text.len();
            self.incoming = Some(incoming);
            return Assembled::Part(length);
        }
        match serde_json::from_str(&incoming.text) {
            Ok(snapshot) => Assembled::Whole(Box::new(snapshot)),
            // The text was assembled wrongly: the transfer starts again from the first byte.
            Err(_) => Assembled::Part(0),
        }
    }

    /// Replaces the log and the state by a received snapshot.
    fn install_snapshot(&mut self, snapshot: Snapshot<S>) {
        self.output.writes.push(Write::Restart(snapshot.clone()));
        self.committed = snapshot.index;
        self.applied = snapshot.index;
        self.state = snapshot.state.clone();
        self.log.reset_to(snapshot);
    }
}

/// How much of a snapshot has been received.
enum Assembled<S: State> {
    /// This many bytes from its start.
    Part(usize),
    /// All of it.
    Whole(Box<Snapshot<S>>),
}
