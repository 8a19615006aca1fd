//! Retries: how much all boxes together may add to a service's load by sending requests again.
//!
//! The attempts beyond the first one of each request are bounded over all boxes by an [`Allowance`].
//! Each box keeps a [`Budget`] for a service, to which each of its requests adds a fraction of a
//! retry. Voters lend capacity ([`Lender`]): it bounds what a budget carries from earlier, and fills by
//! itself, slowly. A process starts with an empty budget and no capacity, so restarts add nothing; and
//! no box derives its share from the number of boxes, which is wrong after restarts and in a cut.
//!
//! In any window all boxes together send at most what their budgets carry into it, `CARRIED_SHARE` of
//! the slack, what the lent capacity fills up in it, `FILLED_SHARE` of the slack, and what requests earn.
//!
//! When many attempts fail at once the budgets run out, and failures are returned to the callers
//! instead of being retried, which would multiply the load.

use std::time::Duration;

mod budget;
mod lease;
mod local;

pub use budget::{Budget, Place};
pub use lease::{Capacity, Lender, Lent, Want, LEASE_DURATION};
pub use local::{LocalBudget, Settings};

/// The waits between the attempts at a request, with full jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The longest wait before the first retry; it doubles with each further one.
    pub base: Duration,
    /// The upper limit of the longest wait.
    pub cap: Duration,
}

impl Backoff {
    /// Returns how long to wait after `attempts` attempts; `random` lies between 0 and 1.
    pub fn wait(self, attempts: u32, random: f64) -> Duration {
        let doubled = self
            .base
            .saturating_mul(1 << attempts.saturating_sub(1).min(16));
        doubled.min(self.cap).mul_f64(random.clamp(0.0, 1.0))
    }
}

/// The attempts that all boxes together may send to a service beyond the first one of each
/// request, whatever their outcome: an attempt that an endpoint refuses has put load on it too.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in any window in addition to `ratio`.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The part of the ratio that requests earn. The rest covers what a budget holds for a second without
/// lent capacity.
const EARNED_SHARE: f64 = 0.9;
/// The part of the slack that budgets may carry into a window. Together with [`FILLED_SHARE`] it leaves a
/// reserve for what a voter lends that takes the place of a lost one.
const CARRIED_SHARE: f64 = 0.45;
/// The part of the slack by which budgets fill up within a window.
const FILLED_SHARE: f64 = 0.4;

impl Default for Allowance {
    /// At most a fifth more load when everything fails, plus some retries where there is next to
    /// no traffic to earn them.
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 20.0,
            window: Duration::from_secs(10),
        }
    }
}

impl Allowance {
    /// Returns the retries that each request earns.
    pub fn earned_per_request(self) -> f64 {
        self.ratio * EARNED_SHARE
    }

    /// Returns the capacity that all voters together lend to boxes.
    pub fn lendable(self) -> f64 {
        self.slack * CARRIED_SHARE
    }

    /// Returns the retries with which lent capacity of one retry fills up in a time.
    fn filled(self, time: Duration) -> f64 {
        FILLED_SHARE / CARRIED_SHARE * time.as_secs_f64() / self.window.as_secs_f64()
    }
}

/// Returns a wait in whole seconds, at least one: one of the two nearest, chosen by a random number
/// from 0 to 1 so that the mean stays. If all were rounded up, waits that are spread over less than
/// a second would become the same.
pub fn whole_seconds(wait: Duration, random: f64) -> Duration {
    let fraction = f64::from(wait.subsec_nanos()) / 1e9;
    let seconds = wait.as_secs() + u64::from(random < fraction);
    Duration::from_secs(seconds.max(1))
}
