//! Warm-up: endpoints that have just started bear only a few requests a second.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the endpoints of a service warm up after a start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// How long it takes, in milliseconds.
    pub takes_ms: u64,
    /// Requests a second that one endpoint bears meanwhile, from all boxes together.
    pub per_second: f64,
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
