//! Warm-up: endpoints that have just started bear only a few requests a second.
//!
//! The bound is on what all boxes together send to one endpoint in any one second, so no box
//! may decide by itself. What is known of an endpoint's warm-up is a [`Belief`]; while it lasts,
//! a box sends to the endpoint only by a [`Pass`], which it gets from a hub's [`Leases`] and
//! which runs out by itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};

mod belief;
mod lease;
mod pass;
mod uncordoned;

pub use belief::{Belief, Source};
pub use lease::{Leases, LEASE};
pub use pass::Pass;
pub use uncordoned::Uncordoned;

/// How the endpoints of a service warm up after a start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// How long it takes, in milliseconds.
    pub takes_ms: u64,
    /// Requests a second that one endpoint bears meanwhile, from all boxes together.
    pub per_second: f64,
}

impl Rate {
    /// How long it takes.
    pub fn takes(&self) -> Duration {
        Duration::from_millis(self.takes_ms)
    }

    /// Whether it says anything that can be kept to.
    pub fn is_usable(&self) -> bool {
        self.takes_ms > 0 && self.per_second.is_finite() && self.per_second > 0.0
    }
}

/// How much longer an endpoint warms up, in milliseconds, counted from when that is told: who
/// passes it on takes off the time that has passed since it was heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Left(pub u64);

impl Left {
    /// What is left after some time.
    #[must_use]
    pub fn after(self, passed: Duration) -> Self {
        let passed = u64::try_from(passed.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(passed))
    }

    /// Whether it is warm.
    pub fn is_over(self) -> bool {
        self.0 == 0
    }
}

/// How far a deployment lets the requests in one second go beyond an endpoint's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Leeway {
    /// By what the rate may be multiplied.
    pub factor: f64,
    /// How many requests may come on top.
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
    /// The most requests that one endpoint may get in any one second, from all boxes together.
    pub fn most(&self, rate: &Rate) -> f64 {
        rate.per_second * self.factor + self.slack
    }
}

/// An endpoint that warms up, as a dispatcher needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warming {
    /// Until when, by the clock of this process.
    pub until: Duration,
    /// The most requests in any one second from all boxes together.
    pub most: f64,
    /// The requests a second that it bears for long.
    pub per_second: f64,
}

impl Warming {
    /// An endpoint of a service that warms up until a time.
    pub fn new(until: Duration, rate: &Rate, leeway: &Leeway) -> Self {
        Self {
            until,
            most: leeway.most(rate),
            per_second: rate.per_second,
        }
    }

    /// Whether it is still warming up.
    pub fn lasts(&self, now: Duration) -> bool {
        now < self.until
    }
}
