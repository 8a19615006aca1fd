//! Snapshots: log compaction, and installation of a received snapshot.

use std::time::Duration;

use crate::core::raft::{Snapshot, State, Voter, Write};

/// How many times as long the log may become while a node is being sent the snapshot. If the
/// snapshot were replaced meanwhile, its transfer would start again.
const MAX_DEFERRAL: usize = 4;

impl<S: State> Voter<S> {
    /// Compacts the log once enough entries have been applied since the snapshot, by number or by
    /// size.
    pub(super) fn compact(&mut self, now: Duration) {
        let snapshot_index = self.log.snapshot().index;
        let count = self.applied.0 - snapshot_index.0;
        if count == 0 || !self.is_compaction_due(count, now) {
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
        self.drop_sent_pieces();
    }

    /// Returns whether the log is to be compacted, when so many entries were applied since the
    /// snapshot. A snapshot is written anew each time, so its size counts too: what is written for
    /// compaction stays in proportion to the entries.
    fn is_compaction_due(&self, count: u64, now: Duration) -> bool {
        let bytes = self
            .log
            .bytes_between(self.log.snapshot().index, self.applied);
        let max_bytes = self.settings.compact_after_bytes.max(self.state.bytes());
        let deferral = if self.is_sending_snapshot(now) {
            MAX_DEFERRAL
        } else {
            1
        };
        count >= self.settings.compact_after.saturating_mul(deferral as u64)
            || bytes >= max_bytes.saturating_mul(deferral)
    }

    /// Replaces the log and the state by a received snapshot.
    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot<S>) {
        self.output.writes.push(Write::Restart(snapshot.clone()));
        self.committed = snapshot.index;
        self.applied = snapshot.index;
        self.state = snapshot.state.clone();
        self.log.reset_to(snapshot);
    }
}
