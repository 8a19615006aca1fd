//! Limits of teams: token buckets for requests and for model tokens.
//!
//! A bucket holds as much as two seconds bring. Requests are charged when they
//! are taken; model tokens are charged when they are known, so a bucket may go
//! below zero, and the team then waits until it has filled again. A full bucket
//! says the same as none, so state is kept only for the teams in use.

use std::time::Duration;

use crate::core::unit;

/// How many seconds' worth a bucket holds.
pub const BURST_SECONDS: f64 = 2.0;

/// One bucket.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level: f64,
    at: Duration,
}

impl Bucket {
    /// A full bucket.
    pub fn full(rate: unit::Rate, now: Duration) -> Self {
        Self {
            level: capacity(rate),
            at: now,
        }
    }

    fn refill(&mut self, rate: unit::Rate, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + passed * rate.get()).min(capacity(rate));
        self.at = now.max(self.at);
    }

    /// Takes `amount` if the bucket holds it, else says how long until it would.
    pub fn take(&mut self, amount: f64, rate: unit::Rate, now: Duration) -> Result<(), Duration> {
        self.refill(rate, now);
        let need = amount.min(capacity(rate));
        if self.level >= need {
            self.level -= amount;
            return Ok(());
        }
        Err(wait(need - self.level, rate))
    }

    /// Takes `amount` whether the bucket holds it or not.
    pub fn charge(&mut self, amount: f64, rate: unit::Rate, now: Duration) {
        self.refill(rate, now);
        self.level -= amount;
    }

    /// Whether the bucket is full, and so need not be kept.
    pub fn is_full(&mut self, rate: unit::Rate, now: Duration) -> bool {
        self.refill(rate, now);
        self.level >= capacity(rate)
    }
}

fn capacity(rate: unit::Rate) -> f64 {
    (rate.get() * BURST_SECONDS).max(1.0)
}

/// The longest wait that is told to a caller.
const MAX_WAIT: Duration = Duration::from_secs(3600);

fn wait(missing: f64, rate: unit::Rate) -> Duration {
    if rate.get() <= 0.0 {
        return MAX_WAIT;
    }
    Duration::try_from_secs_f64(missing / rate.get())
        .unwrap_or(MAX_WAIT)
        .min(MAX_WAIT)
}
