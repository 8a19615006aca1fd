//! Limits how many refused heartbeats are logged: a sender of endless invalid heartbeats must not
//! fill the log.

use std::{collections::BTreeMap, time::Duration};

use crate::core::registry;

/// The shortest time between two log lines with the same reason.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// When each reason was last logged, and how many refusals since then were not logged.
#[derive(Debug, Default)]
pub(super) struct Limiter(BTreeMap<registry::Reason, (Duration, u64)>);

impl Limiter {
    /// Records a refusal. Returns `None` if it is not to be logged, else the number of refusals for
    /// the same reason that were not logged since the last line.
    pub(super) fn record(&mut self, reason: registry::Reason, now: Duration) -> Option<u64> {
        let Some((last, unlogged)) = self.0.get_mut(&reason) else {
            self.0.insert(reason, (now, 0));
            return Some(0);
        };
        if now < *last + MIN_LOG_INTERVAL {
            *unlogged += 1;
            return None;
        }
        *last = now;
        Some(std::mem::take(unlogged))
    }
}
