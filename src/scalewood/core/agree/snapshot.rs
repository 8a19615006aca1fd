//! Snapshots: compaction, and sending them in pieces to who lags behind.

use std::time::Duration;

use crate::core::agree::{
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

/// The text of a snapshot that is being sent.
#[derive(Debug)]
pub(super) struct Outgoing {
    index: Index,
    text: String,
}

impl<S: State> Voter<S> {
    /// Compacts the log once enough entries are applied.
    pub(super) fn compact(&mut self) {
        let covered = self.log.snapshot().index;
        if self.applied.0 - covered.0 < self.settings.compact {
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

    /// Sends a node the next piece of the snapshot.
    pub(super) fn send_piece(&mut self, node: &Node, now: Duration) {
        let snapshot = self.log.snapshot();
        if self
            .outgoing
            .as_ref()
            .is_none_or(|outgoing| outgoing.index != snapshot.index)
        {
            // A snapshot of plain data always has a text.
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
        let offset = peers.get(node).and_then(|p| p.piece).unwrap_or(0);
        let offset = if outgoing.text.is_char_boundary(offset) {
            offset
        } else {
            0
        };
        let end = outgoing.text.len().min(offset + self.settings.piece);
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
            .sends
            .push((node.clone(), Message::Piece(piece)));
    }

    pub(super) fn got_piece(&mut self, from: Node, piece: Piece, now: Duration) {
        if !self.heed(&from, piece.term, now) {
            self.reply(from, false, self.log.last(), None, piece.sent);
            return;
        }
        if piece.index <= self.committed {
            // It lags less than the leader thinks.
            self.reply(from, true, self.committed, None, piece.sent);
            return;
        }
        let sent = piece.sent;
        match self.gather(&from, piece) {
            Gathered::Part(length) => {
                self.reply(from, false, self.committed, Some(length), sent);
            }
            Gathered::Whole(snapshot) => {
                let index = snapshot.index;
                self.restart_from(*snapshot);
                self.reply(from, true, index, None, sent);
            }
        }
    }

    /// Adds a piece to what has come.
    fn gather(&mut self, from: &Node, piece: Piece) -> Gathered<S> {
        let fits = |i: &Incoming| i.from == *from && i.index == piece.index;
        let mut incoming = self
            .incoming
            .take()
            .filter(fits)
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
            return Gathered::Part(length);
        }
        match serde_json::from_str(&incoming.text) {
            Ok(snapshot) => Gathered::Whole(Box::new(snapshot)),
            // A text that does not parse was put together wrongly: from the start.
            Err(_) => Gathered::Part(0),
        }
    }

    fn restart_from(&mut self, snapshot: Snapshot<S>) {
        self.output.writes.push(Write::Restart(snapshot.clone()));
        self.committed = snapshot.index;
        self.applied = snapshot.index;
        self.state = snapshot.state.clone();
        self.log.restart(snapshot);
    }
}

/// What a piece makes of a snapshot.
enum Gathered<S: State> {
    /// This many bytes have come.
    Part(usize),
    /// All of it has come.
    Whole(Box<Snapshot<S>>),
}
