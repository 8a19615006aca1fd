//! The clock, as an interface, so that tests and benchmarks can pass their own.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::ClockId;

/// Tells the time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// The time since some fixed point. It never goes back, is not set by anybody, and counts the
    /// time for which the process was stopped or its machine suspended.
    fn now(&self) -> Duration;

    /// Milliseconds since the Unix epoch; may jump.
    fn unix_ms(&self) -> u64;
}

/// The machine's clock.
///
/// It counts from the machine's boot. The usual steady clock stands still while the machine is
/// suspended: a lease would then outlast its time by the others' clocks, and what was heard before
/// would be taken for fresh. Timers go by the steady clock and ring late after a suspension, as
/// they do in a process that was stopped; so what has expired is told by this clock, never by a
/// timer that has not rung yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl System {
    /// How far the time lies ahead of the machine's boot. A request's age may be more than that
    /// of the machine, and its arrival must still be a valid time.
    pub const HEAD_START: Duration = Duration::from_secs(24 * 3600);
}

impl Clock for System {
    fn now(&self) -> Duration {
        let since_boot = ClockId::CLOCK_BOOTTIME.now();
        let since_boot = since_boot.expect("Linux has had this clock since 2.6.39");
        Self::HEAD_START + Duration::from(since_boot)
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
