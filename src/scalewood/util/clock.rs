//! The clock interface, so that tests and benchmarks can supply their own clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::ClockId;

/// A source of monotonic time and of the time of day.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time since a fixed point. It can't be set, and includes the time for
    /// which the process was stopped or its machine was suspended.
    fn now(&self) -> Duration;

    /// Returns the time of day in milliseconds since the Unix epoch; it may jump.
    fn unix_ms(&self) -> u64;
}

/// The operating system's clock, which counts from the machine's boot.
///
/// `CLOCK_MONOTONIC` stops while the machine is suspended: a lease would then outlast its term by
/// the clocks of other machines, and old messages would be taken for recent ones. Timers use
/// `CLOCK_MONOTONIC` and fire late after a suspension, as they do in a process that was stopped.
/// So expiry is always decided by this clock, never by whether a timer has fired.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl System {
    /// An offset that is added to the time since boot. A request may be older than the machine's
    /// uptime, and its arrival must still be a valid time.
    pub const BOOT_OFFSET: Duration = Duration::from_secs(24 * 3600);
}

impl Clock for System {
    fn now(&self) -> Duration {
        let since_boot = ClockId::CLOCK_BOOTTIME.now();
        let since_boot = since_boot.expect("Linux has had this clock since 2.6.39");
        Self::BOOT_OFFSET + Duration::from(since_boot)
    }

    fn unix_ms(&self) -> u64 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Returns the hour of the day in UTC, from 0 to 23.
pub fn hour(unix_ms: u64) -> u8 {
    const HOUR_MS: u64 = 3_600_000;
    u8::try_from(unix_ms / HOUR_MS % 24).unwrap_or(0)
}
