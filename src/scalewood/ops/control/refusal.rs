//! Which refused heartbeats are logged: a writer that sends wrong ones without end must not fill
//! the log.

use std::{collections::BTreeMap, time::Duration};

use crate::core::registry;

/// How often one reason is logged at most.
const EVERY: Duration = Duration::from_secs(5);

/// When each reason was last logged, and how often it was met since.
#[derive(Debug, Default)]
pub(super) struct Lines(BTreeMap<registry::Reason, (Duration, u64)>);

impl Lines {
    /// Notes a refusal; returns how many were not logged before it, if this one is to be.
    pub(super) fn note(&mut self, reason: registry::Reason, now: Duration) -> Option<u64> {
        let Some((last, untold)) = self.0.get_mut(&reason) else {
            self.0.insert(reason, (now, 0));
            return Some(0);
        };
        if now < *last + EVERY {
            *untold += 1;
            return None;
        }
        *last = now;
        Some(std::mem::take(untold))
    }
}
