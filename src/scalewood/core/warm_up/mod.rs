//! Warm-up: an endpoint that has just started can handle only a few requests per second.
//!
//! The limit is on the requests that all boxes together send to one endpoint in any one second, so
//! no box can decide alone. What is known about an endpoint's warm-up is a [`State`]. While it
//! lasts, a box sends to the endpoint only with a [`Pass`], which it gets from a hub's [`Leases`]
//! and which expires by itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};

mod lease;
mod pass;
mod state;
mod uncordoned;

pub use lease::{Leases, LEASE_DURATION};
pub use pass::Pass;
pub use state::{Source, State};
pub use uncordoned::Uncordoned;

/// How the endpoints of a service warm up after a start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// The duration of the warm-up, in milliseconds.
    pub takes_ms: u64,
    /// The requests per second that one endpoint can handle during warm-up, from all boxes
    /// together.
    pub per_second: f64,
}

impl Rate {
    /// Returns the duration of the warm-up.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.takes_ms)
    }

    /// Returns whether the values are positive and finite.
    pub fn is_usable(&self) -> bool {
        self.takes_ms > 0 && self.per_second.is_finite() && self.per_second > 0.0
    }
}

/// The remaining time of an endpoint's warm-up, in milliseconds, counted from when it is sent. A
/// process that forwards it subtracts the time since it received it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Remaining(pub u64);

impl Remaining {
    /// Returns what remains after some time.
    #[must_use]
    pub fn after(self, elapsed: Duration) -> Self {
        let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(elapsed))
    }

    /// Returns whether the warm-up has ended.
    pub fn is_over(self) -> bool {
        self.0 == 0
    }
}

/// How far a deployment allows the requests in one second to exceed an endpoint's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Leeway {
    /// The factor by which the rate is multiplied.
    pub factor: f64,
    /// The number of requests that are added.
    pub slack: f64,
}

impl Default for Leeway {
    fn default() -> Self {
        Self {
            factor: 1.0,
            slack: 0.0,
        }
    }
}

impl Leeway {
    /// Returns the most requests that one endpoint may get in any one second, from all boxes
    /// together.
    pub fn max_in_one_second(&self, rate: &Rate) -> f64 {
        rate.per_second * self.factor + self.slack
    }
}

/// The warm-up of an endpoint, as a dispatcher needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warming {
    /// The end of the warm-up, by the clock of this process.
    pub until: Duration,
    /// The most requests in any one second, from all boxes together.
    pub max_in_one_second: f64,
    /// The requests per second that the endpoint can sustain.
    pub per_second: f64,
}

impl Warming {
    /// Returns the limits of an endpoint that warms up until a time.
    pub fn new(until: Duration, rate: &Rate, leeway: &Leeway) -> Self {
        Self {
            until,
            max_in_one_second: leeway.max_in_one_second(rate),
            per_second: rate.per_second,
        }
    }

    /// Returns whether the endpoint is still warming up.
    pub fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }
}
