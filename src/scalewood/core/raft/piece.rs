//! Transfer in pieces: of snapshots, and of entries that are too large for one message.
//!
//! A node is sent one piece at a time, and the next one when it has answered. Heartbeats repeat a
//! piece that was lost.

use std::time::Duration;

use crate::core::raft::{
    message::{Append, Content, Message, Piece},
    Index, Node, Role, Snapshot, State, Term, Voter,
};

/// What is sent, and the entry at which it ends.
pub(super) type Key = (Content, Index);

/// A transfer that is being received.
#[derive(Debug)]
pub(super) struct Incoming {
    from: Node,
    key: Key,
    text: String,
}

/// How much of a transfer has been received.
enum Assembled {
    /// This many bytes from its start.
    Part(usize),
    /// All of it, as text.
    Whole(String),
}

impl<S: State> Voter<S> {
    /// Sends a node the next piece of the snapshot.
    pub(super) fn send_snapshot_piece(&mut self, node: &Node, now: Duration) {
        let key = (Content::Snapshot, self.log.snapshot().index);
        if !self.outgoing.contains_key(&key) {
            // A snapshot is plain data, so serializing it does not fail.
            let Ok(text) = serde_json::to_string(self.log.snapshot()) else {
                return;
            };
            self.outgoing
                .retain(|(content, _), _| *content != Content::Snapshot);
            self.outgoing.insert(key, text.into());
        }
        self.send_piece(node, key, now);
    }

    /// Sends a node the next piece of an entry; `before_term` is the term of the entry before it.
    pub(super) fn send_entry_piece(
        &mut self,
        node: &Node,
        index: Index,
        before_term: Term,
        now: Duration,
    ) {
        let key = (Content::Append, index);
        if !self.outgoing.contains_key(&key) {
            let append = Append {
                term: self.term,
                before: Index(index.0 - 1),
                before_term,
                entries: self.log.get(index).into_iter().cloned().collect(),
                committed: self.committed,
                sent: now,
            };
            // An entry is plain data, so serializing it does not fail.
            let Ok(text) = serde_json::to_string(&append) else {
                return;
            };
            self.outgoing.insert(key, text.into());
        }
        self.send_piece(node, key, now);
    }

    fn send_piece(&mut self, node: &Node, key: Key, now: Duration) {
        let Some(whole) = self.outgoing.get(&key) else {
            return;
        };
        let Role::Leader { peers, .. } = &self.role else {
            return;
        };
        let offset = peers.get(node).and_then(|p| p.piece_offset).unwrap_or(0);
        let offset = if whole.is_char_boundary(offset) {
            offset
        } else {
            0
        };
        let end = whole.len().min(offset + self.settings.max_piece_bytes);
        let end = (end..=whole.len()).find(|i| whole.is_char_boundary(*i));
        let text = whole[offset..end.unwrap_or(whole.len())].to_owned();
        let (content, index) = key;
        let piece = Piece {
            term: self.term,
            content,
            index,
            offset,
            length: whole.len(),
            text,
            sent: now,
        };
        self.output
            .messages
            .push((node.clone(), Message::Piece(piece)));
    }

    /// Drops the texts that no node is being sent.
    pub(super) fn drop_sent_pieces(&mut self) {
        let Role::Leader { peers, .. } = &self.role else {
            return;
        };
        let snapshot_index = self.log.snapshot().index;
        self.outgoing.retain(|(content, index), _| match content {
            Content::Snapshot => {
                *index == snapshot_index && peers.values().any(|peer| peer.next <= *index)
            }
            Content::Append => peers.values().any(|peer| peer.next == *index),
        });
    }

    /// Returns whether a node that has answered lately is being sent the snapshot.
    pub(super) fn is_sending_snapshot(&self, now: Duration) -> bool {
        let Role::Leader { peers, .. } = &self.role else {
            return false;
        };
        let snapshot_index = self.log.snapshot().index;
        peers.values().any(|peer| {
            let silence = now.saturating_sub(peer.acked_send_time);
            peer.next <= snapshot_index && silence < self.settings.election_timeout_min * 2
        })
    }

    /// Handles a piece that a leader sent.
    pub(super) fn handle_piece(&mut self, from: Node, piece: Piece, now: Duration) {
        if !self.accept_leader(&from, piece.term, now) {
            self.reply(from, false, self.log.last_index(), None, piece.sent);
            return;
        }
        if piece.index <= self.committed {
            // This node already has all that is sent.
            self.reply(from, true, self.committed, None, piece.sent);
            return;
        }
        let (content, sent) = (piece.content, piece.sent);
        let received = match self.assemble(&from, piece) {
            Assembled::Part(length) => Some(length),
            Assembled::Whole(text) => match content {
                Content::Snapshot => self.receive_snapshot(&from, &text, sent),
                Content::Append => self.receive_entry(&from, &text, sent, now),
            },
        };
        if let Some(length) = received {
            self.reply(from, false, self.committed, Some(length), sent);
        }
    }

    /// Adds a piece to those received so far. One that does not follow on them is ignored.
    fn assemble(&mut self, from: &Node, piece: Piece) -> Assembled {
        let key = (piece.content, piece.index);
        let is_same_transfer = |i: &Incoming| i.from == *from && i.key == key;
        let mut incoming = self
            .incoming
            .take()
            .filter(is_same_transfer)
            .unwrap_or_else(|| Incoming {
                from: from.clone(),
                key,
                text: String::with_capacity(piece.length),
            });
        if incoming.text.len() == piece.offset {
            incoming.text.push_str(&piece.text);
        }
        if incoming.text.len() < piece.length {
            let length = incoming.text.len();
            self.incoming = Some(incoming);
            return Assembled::Part(length);
        }
        Assembled::Whole(incoming.text)
    }

    /// Installs a snapshot that was received. Returns the number of bytes to go on from if its text
    /// was assembled wrongly.
    fn receive_snapshot(&mut self, from: &Node, text: &str, sent: Duration) -> Option<usize> {
        let Ok(snapshot) = serde_json::from_str::<Snapshot<S>>(text) else {
            return Some(0);
        };
        let index = snapshot.index;
        self.install_snapshot(snapshot);
        self.reply(from.clone(), true, index, None, sent);
        None
    }

    /// Handles an entry that was received, as [`receive_snapshot`](Self::receive_snapshot) does.
    fn receive_entry(
        &mut self,
        from: &Node,
        text: &str,
        sent: Duration,
        now: Duration,
    ) -> Option<usize> {
        let Ok(append) = serde_json::from_str::<Append<S::Command>>(text) else {
            return Some(0);
        };
        let append = Append { sent, ..append };
        self.handle_append(from.clone(), append, now);
        None
    }
}
