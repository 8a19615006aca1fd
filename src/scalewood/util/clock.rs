//! The clock, as an interface, so that tests and benchmarks can pass their own.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Tells the time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// The time since some fixed point of this process; never goes back.
    fn now(&self) -> Duration;

    /// Milliseconds since the Unix epoch; may jump.
    fn unix_ms(&self) -> u64;
}

/// The machine's clock.
#[derive(Clone, Copy, Debug)]
pub struct System {
    start: Instant,
}

impl System {
    /// How far the time lies ahead of the process's start. A request's age may be
    /// more than the process's, and its arrival must still be a valid time.
    pub const HEAD_START: Duration = Duration::from_secs(24 * 3600);
}

impl Default for System {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for System {
    fn now(&self) -> Duration {
        Self::HEAD_START + self.start.elapsed()
    }

    fn unix_ms(&self) -> u64 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// The hour of the day in UTC.
pub fn hour(unix_ms: u64) -> u8 {
    const HOUR_MS: u64 = 3_600_000;
    u8::try_from(unix_ms / HOUR_MS % 24).unwrap_or(0)
}
