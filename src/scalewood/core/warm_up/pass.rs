//! A box's right to send to one endpoint that warms up.
//!
//! The right is a lease with an end, and a token bucket that holds one request. The arithmetic:
//! a lease is held by one box at a time for each hub that gives it, and each new holder begins
//! with an empty bucket. So the holders of one hub's leases together are granted no more than
//! `rate * t + 1` requests in any time `t`, whoever they are. Between a grant and its sending up
//! to [`SENT_WITHIN`] passes, so what is sent in one second was granted in a second and that.
//! Hubs do not agree with each other, so each has its part of what may arrive.

use std::time::Duration;

use super::Warming;

/// How long a grant waits for being sent, at most, but for a box that is frozen between the two:
/// what it then sends late is one request. Ten times what the event loop of a box under full
/// load takes.
const SENT_WITHIN: Duration = Duration::from_millis(100);
/// How many requests a bucket holds.
const BURST: f64 = 1.0;
/// The fewest hubs that are taken to give leases of one endpoint: a zone has two voters as a
/// rule, and its boxes go from one to the other when it is lost.
const LEAST_HUBS: u32 = 2;
/// What sums of many small parts may be wrong by.
const ROUNDING: f64 = 1e-9;

/// The requests a second that the holders of one hub's leases may send, where so many hubs
/// give leases of the endpoint.
fn rate(warming: &Warming, hubs: u32) -> f64 {
    let part = warming.most / f64::from(hubs.max(LEAST_HUBS));
    let rate = (part - BURST).max(0.0) / (1.0 + SENT_WITHIN.as_secs_f64());
    rate.min(warming.per_second)
}

/// A box's right to send to an endpoint; the default permits nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pass {
    /// Until when it holds, by the box's clock.
    until: Duration,
    /// How many hubs give leases of the endpoint.
    hubs: u32,
    /// What the bucket held at a time.
    level: f64,
    at: Duration,
}

impl Pass {
    /// Takes a lease until a time. One that had run out may have been another box's meanwhile,
    /// so it starts with nothing.
    pub fn renew(&mut self, until: Duration, hubs: u32, now: Duration) {
        if now >= self.until {
            self.level = 0.0;
            self.at = now;
        }
        self.until = self.until.max(until);
        self.hubs = hubs;
    }

    /// Whether it holds.
    pub fn holds(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Whether a request may be sent now.
    pub fn permits(&self, warming: &Warming, now: Duration) -> bool {
        self.holds(now) && self.level(warming, now) + ROUNDING >= 1.0
    }

    /// Counts a request that is sent now.
    pub fn take(&mut self, warming: &Warming, now: Duration) {
        self.level = (self.level(warming, now) - 1.0).max(0.0);
        self.at = now.max(self.at);
    }

    fn level(&self, warming: &Warming, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        (self.level + passed * rate(warming, self.hubs)).min(BURST)
    }
}
