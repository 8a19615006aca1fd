//! Endpoints whose streams pause.
//!
//! A stream that pauses for longer than its class allows may run at an endpoint that has stopped, for a while or for good.
//! It shows that long before the endpoint counts as silent, so new requests avoid the endpoint until
//! it gives a sign of life. The other boxes hear of both as outcomes of requests.

use std::time::Duration;

use super::{Endpoint, Index, Set};

/// How long a pause counts without any further sign. By then the requests at the endpoint are so late that they
/// count against it themselves.
const MAX_AGE: Duration = Duration::from_secs(2);

impl Endpoint {
    /// Returns whether its streams pause.
    pub(super) fn is_paused(&self, now: Duration) -> bool {
        self.paused_at.is_some_and(|at| now < at + MAX_AGE)
    }
}

impl Set {
    /// Records that a stream there pauses for too long.
    pub(in crate::core::dispatch) fn record_pause(&mut self, index: Index, now: Duration) {
        if self.links_lost {
            return;
        }
        let endpoint = &mut self.endpoints[index.0];
        if !endpoint.is_paused(now) {
            self.newly_paused.insert(index);
        }
        endpoint.paused_at = Some(now);
    }

    /// Records that a stream there goes on after a pause.
    pub(in crate::core::dispatch) fn record_resumed(&mut self, index: Index, now: Duration) {
        if self.end_pause(index) {
            self.endpoints[index.0].lower_risk(now);
            self.unreported.insert(index);
            self.rescore(index);
        }
    }

    /// Ends a pause. Returns whether it was counted as a failure.
    pub(super) fn end_pause(&mut self, index: Index) -> bool {
        let has_paused = self.endpoints[index.0].paused_at.take().is_some();
        has_paused && !self.newly_paused.remove(&index)
    }

    /// Counts pauses that have not ended meanwhile as failures: a stream that goes on reports its pause and its
    /// end at once.
    pub(super) fn count_pauses(&mut self, now: Duration) {
        for index in std::mem::take(&mut self.newly_paused) {
            self.endpoints[index.0].raise_risk(1.0, now);
            self.unreported.insert(index);
            self.rescore(index);
        }
    }
}
