//! The time limits of the registry, derived from the heartbeat interval.

use std::time::Duration;

/// How late a heartbeat may reach a box, by way of the voters.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(4500);
/// How far apart the heartbeats of endpoints that started together may arrive.
const MAX_STARTUP_SKEW: Duration = Duration::from_millis(200);
/// How late the first heartbeat after a power loss may arrive.
const MAX_DELAY_AFTER_POWER_LOSS: Duration = Duration::from_millis(1100);

/// The time limits that follow from the heartbeat interval.
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
    /// Returns how long an endpoint may be silent before it is forgotten: one heartbeat is lost,
    /// and the next one is late.
    pub fn max_silence(&self) -> Duration {
        2 * self.heartbeat + MAX_HEARTBEAT_DELAY
    }

    /// Returns how long an endpoint that served before a power loss is used without a new
    /// heartbeat: two intervals, and the delay of the first one.
    pub fn restored_timeout(&self) -> Duration {
        2 * self.heartbeat + MAX_DELAY_AFTER_POWER_LOSS
    }

    /// Returns how long after the first endpoint was heard others count as having served before
    /// this process started: four intervals, and the spread of arrivals.
    pub(super) fn startup_window(&self) -> Duration {
        4 * self.heartbeat + MAX_STARTUP_SKEW
    }

    /// Returns when an endpoint started, as estimated from the sequence number of a heartbeat that
    /// arrives now, in milliseconds of this process's clock. Negative if it was before the clock's
    /// zero.
    pub(super) fn start_time_ms(&self, sequence: u64, now: Duration) -> i64 {
        let now = i64::try_from(now.as_millis()).unwrap_or(i64::MAX);
        let running = self.heartbeat.as_millis().saturating_mul(sequence.into());
        now.saturating_sub(i64::try_from(running).unwrap_or(i64::MAX))
    }
}
