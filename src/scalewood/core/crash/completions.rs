//! The requests that completed recently at one box.
//!
//! A request that always crashes its endpoint never completes. One that completed shortly before an
//! endpoint ended under it was there by chance. Requests that many callers send complete all the
//! time, so this keeps them from being suspected however many endpoints end.

use std::time::Duration;

use crate::core::fingerprint::Checksum;

/// How long before the end of an endpoint a request must have completed to be harmless. A request
/// that begins to crash endpoints, after an upgrade for example, is suspected that much later.
pub const RECENT: Duration = Duration::from_secs(2);
/// The number of slots, of 16 bytes each. Two requests with the same slot displace each other.
const SLOTS: usize = 4096;

/// The requests that completed recently at one box.
#[derive(Debug, Default)]
pub struct Completions {
    /// Each slot has the last request and when it completed; empty until the first one has.
    slots: Vec<Option<(Checksum, Duration)>>,
}

impl Completions {
    /// Records that a request completed.
    pub fn record(&mut self, request: Checksum, now: Duration) {
        if self.slots.is_empty() {
            self.slots.resize(SLOTS, None);
        }
        self.slots[slot(request)] = Some((request, now));
    }

    /// Returns whether a request has completed within [`RECENT`].
    pub fn is_recent(&self, request: Checksum, now: Duration) -> bool {
        let last = self.slots.get(slot(request)).copied().flatten();
        last.is_some_and(|(known, at)| known == request && now <= at + RECENT)
    }
}

fn slot(request: Checksum) -> usize {
    // The checksum is uniformly distributed, and the remainder fits.
    (request.as_u64() % SLOTS as u64) as usize
}
