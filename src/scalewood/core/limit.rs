//! Rate limits of teams: token buckets for requests and for model tokens.
//!
//! A bucket holds two seconds' worth of its rate. Requests are charged when they are accepted;
//! model tokens are charged once their number is known, so a bucket may go below zero, and the
//! team then waits until it has refilled. A full bucket is equivalent to none, so state is kept
//! only for the teams in use.

use std::time::Duration;

use crate::core::unit;

/// The capacity of a bucket, in seconds of its rate.
pub const BURST_SECONDS: f64 = 2.0;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level: f64,
    updated_at: Duration,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn full(rate: unit::Rate, now: Duration) -> Self {
        Self {
            level: capacity(rate),
            updated_at: now,
        }
    }

    fn refill(&mut self, rate: unit::Rate, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.level = (self.level + elapsed * rate.get()).min(capacity(rate));
        self.updated_at = now.max(self.updated_at);
    }

    /// Takes `amount` if the bucket holds it, or if the bucket is full and `amount` exceeds its
    /// capacity. Otherwise returns how long until it can be taken.
    pub fn take(&mut self, amount: f64, rate: unit::Rate, now: Duration) -> Result<(), Duration> {
        self.refill(rate, now);
        let need = amount.min(capacity(rate));
        if self.level >= need {
            self.level -= amount;
            return Ok(());
        }
        Err(wait(need - self.level, rate))
    }

    /// Takes `amount`, even if the bucket goes below zero.
    pub fn charge(&mut self, amount: f64, rate: unit::Rate, now: Duration) {
        self.refill(rate, now);
        self.level -= amount;
    }

    /// Returns whether the bucket is full, so that its state need not be kept.
    pub fn is_full(&mut self, rate: unit::Rate, now: Duration) -> bool {
        self.refill(rate, now);
        self.level >= capacity(rate)
    }
}

fn capacity(rate: unit::Rate) -> f64 {
    (rate.get() * BURST_SECONDS).max(1.0)
}

/// The longest wait that is reported to a caller.
const MAX_WAIT: Duration = Duration::from_secs(3600);

fn wait(missing: f64, rate: unit::Rate) -> Duration {
    if rate.get() <= 0.0 {
        return MAX_WAIT;
    }
    Duration::try_from_secs_f64(missing / rate.get())
        .unwrap_or(MAX_WAIT)
        .min(MAX_WAIT)
}
