//! How old what is known of endpoints may be, by how often they tell.

use std::time::Duration;

/// How late a heartbeat may come, with its way over voters to a box.
const LATE: Duration = Duration::from_millis(4500);
/// How late the heartbeats of endpoints that started together may come.
const FIRST_LATE: Duration = Duration::from_millis(200);
/// How late the first heartbeat after a loss of power may come.
const LATE_AGAIN: Duration = Duration::from_millis(1100);

/// The times that follow from how often endpoints tell of themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time between two heartbeats of an endpoint.
    pub heartbeat: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(1200),
        }
    }
}

impl Timing {
    /// How long an endpoint may be silent before it is forgotten: one heartbeat is lost, and the
    /// next one is late.
    pub fn silence(&self) -> Duration {
        2 * self.heartbeat + LATE
    }

    /// How long an endpoint that served before a loss of power is used without being heard of:
    /// two heartbeats and some.
    pub fn restored(&self) -> Duration {
        2 * self.heartbeat + LATE_AGAIN
    }

    /// How long after the first endpoint was heard of others that are heard of count as having
    /// served before: some heartbeats.
    pub(super) fn found(&self) -> Duration {
        4 * self.heartbeat + FIRST_LATE
    }

    /// When an endpoint that tells no incarnation started, by a heartbeat that arrives now: in
    /// milliseconds of this process's clock, before its zero as well.
    pub(super) fn started(&self, sequence: u64, now: Duration) -> i64 {
        let now = i64::try_from(now.as_millis()).unwrap_or(i64::MAX);
        let running = self.heartbeat.as_millis().saturating_mul(sequence.into());
        now.saturating_sub(i64::try_from(running).unwrap_or(i64::MAX))
    }
}
