//! The revisions that a box lacks, with the times of their first announcements.

use std::{collections::VecDeque, time::Duration};

use crate::core::unit;

/// The most announcements that are kept apart.
const MAX_ANNOUNCEMENTS: usize = 64;

/// A revision and the time since which it, or a later one, is known to exist.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    revision: unit::Revision,
    at: Duration,
}

/// The announced revisions that are not in force here, in rising order.
#[derive(Clone, Debug, Default)]
pub(super) struct Missing {
    announcements: VecDeque<Announcement>,
}

impl Missing {
    /// Records an announcement. It changes nothing unless the revision is newer than all others.
    pub(super) fn record(&mut self, revision: unit::Revision, now: Duration) {
        if self.newest().is_some_and(|newest| revision <= newest) {
            return;
        }
        if self.announcements.len() < MAX_ANNOUNCEMENTS {
            self.announcements
                .push_back(Announcement { revision, at: now });
        } else if let Some(last) = self.announcements.back_mut() {
            // Counts as announced earlier than it was, so it is overdue no later.
            last.revision = revision;
        }
    }

    /// Removes the revisions up to the one that is now in force.
    pub(super) fn remove_up_to(&mut self, own: unit::Revision) {
        let count = self.announcements.partition_point(|a| a.revision <= own);
        self.announcements.drain(..count);
    }

    /// Returns when the oldest missing revision was first announced.
    pub(super) fn since(&self) -> Option<Duration> {
        self.announcements.front().map(|a| a.at)
    }

    /// Returns the newest missing revision.
    pub(super) fn newest(&self) -> Option<unit::Revision> {
        self.announcements.back().map(|a| a.revision)
    }

    /// Returns the newest missing revision that was announced by the given time.
    pub(super) fn newest_announced_by(&self, time: Duration) -> Option<unit::Revision> {
        let count = self.announcements.partition_point(|a| a.at <= time);
        let last = count.checked_sub(1)?;
        self.announcements.get(last).map(|a| a.revision)
    }
}
