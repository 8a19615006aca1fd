//! A box's right to send to one endpoint that warms up.
//!
//! It consists of a lease, which expires, and a token bucket with room for one request. A hub
//! leases the endpoint to one box at a time, and each new holder starts with an empty bucket. So in
//! any time `t`, all holders of one hub's leases together are granted at most `rate * t + 1`
//! requests. A granted request is sent within [`MAX_SEND_DELAY`], so the requests sent in one
//! second were granted within one second plus that delay. Hubs do not coordinate, so each has a
//! share of the limit.

use std::time::Duration;

use super::Warming;

/// The longest time from a grant until the request is sent, which is ten times the time that the
/// event loop of a box under full load takes. A box that is frozen in between exceeds it, by one
/// request.
const MAX_SEND_DELAY: Duration = Duration::from_millis(100);
/// How many requests a bucket holds.
const BUCKET_CAPACITY: f64 = 1.0;
/// The fewest hubs among which the limit is divided: a zone usually has two voters, and its boxes
/// move from one to the other when one is lost.
const MIN_HUBS: u32 = 2;
/// The tolerance for rounding errors in the sum of many small amounts.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Returns the requests per second that the holders of one hub's leases may send, when `hubs` hubs
/// lease the endpoint.
fn rate(warming: &Warming, hubs: u32) -> f64 {
    let share = warming.max_in_one_second / f64::from(hubs.max(MIN_HUBS));
    let rate = (share - BUCKET_CAPACITY).max(0.0) / (1.0 + MAX_SEND_DELAY.as_secs_f64());
    rate.min(warming.per_second)
}

/// A box's right to send to an endpoint; by default it may not send.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pass {
    /// When the lease expires, by the box's clock.
    until: Duration,
    /// How many hubs lease the endpoint.
    hubs: u32,
    /// The bucket's level at `updated_at`, in requests.
    level: f64,
    updated_at: Duration,
}

impl Pass {
    /// Records a lease that expires at `until`. If the last one has expired, another box may have
    /// held one since, so the bucket starts empty.
    pub fn renew(&mut self, until: Duration, hubs: u32, now: Duration) {
        if now >= self.until {
            self.level = 0.0;
            self.updated_at = now;
        }
        self.until = self.until.max(until);
        self.hubs = hubs;
    }

    /// Returns whether the lease is valid.
    pub fn is_valid(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns whether a request may be sent now.
    pub fn may_send(&self, warming: &Warming, now: Duration) -> bool {
        self.is_valid(now) && self.level(warming, now) + ROUNDING_TOLERANCE >= 1.0
    }

    /// Removes a request that is sent now from the bucket.
    pub fn take(&mut self, warming: &Warming, now: Duration) {
        self.level = (self.level(warming, now) - 1.0).max(0.0);
        self.updated_at = now.max(self.updated_at);
    }

    fn level(&self, warming: &Warming, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.level + elapsed * rate(warming, self.hubs)).min(BUCKET_CAPACITY)
    }
}
