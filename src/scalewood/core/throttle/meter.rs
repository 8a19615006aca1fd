//! A moving average of an event rate.

use std::time::Duration;

/// The average rate of recent events, weighted by an exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    rate: f64,
    updated_at: Duration,
}

impl Meter {
    /// The time constant of the decay, in seconds.
    const TIME_CONSTANT_SECONDS: f64 = 2.0;

    /// Returns the rate in events per second.
    pub fn rate(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / Self::TIME_CONSTANT_SECONDS).exp()
    }

    /// Records events.
    pub fn add(&mut self, count: u32, now: Duration) {
        self.rate = self.rate(now) + f64::from(count) / Self::TIME_CONSTANT_SECONDS;
        self.updated_at = now;
    }
}
