//! Retry budgets: how much a service's retries may add to its load.
//!
//! Each first attempt earns a part of a retry, each retry spends a whole one. When
//! many attempts fail at once the budget runs dry, and failures are told to the
//! callers in place of being multiplied. Waits between attempts have full jitter.

use std::time::Duration;

/// Settings of a budget.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What a first attempt earns, in retries.
    pub earned: f64,
    /// The most that is saved up, in retries.
    pub most: f64,
    /// The longest wait before the first retry; it doubles with each one.
    pub base: Duration,
    /// The longest wait before any retry.
    pub cap: Duration,
    /// Attempts at one request, the first included.
    pub attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            earned: 0.2,
            most: 20.0,
            base: Duration::from_millis(20),
            cap: Duration::from_millis(500),
            attempts: 4,
        }
    }
}

/// What all boxes together may send to a service beyond the first of each request, whatever
/// comes of it: what an endpoint turns away has arrived there too.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// For each request.
    pub ratio: f64,
    /// Beside that, in any window.
    pub slack: f64,
}

impl Default for Allowance {
    /// A fifth more load at most when everything fails, and some retries where there is next
    /// to no traffic to earn them.
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 20.0,
        }
    }
}

impl Allowance {
    /// One box's part, where so many use the service. Requests earn all of their ratio but a
    /// tenth, and the slack is shared out but for a fifth, for boxes that do not know yet
    /// of others that have started.
    pub fn part(&self, boxes: u32) -> (f64, f64) {
        const EARNED: f64 = 0.9;
        const SAVED: f64 = 0.8;
        let most = self.slack * SAVED / f64::from(boxes.max(1));
        // Below a whole retry a box could not make any.
        (self.ratio * EARNED, most.max(1.0))
    }
}

/// The retries that a service has left.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    saved: f64,
}

impl Budget {
    /// A full budget.
    pub fn new(settings: Settings) -> Self {
        Self {
            saved: settings.most,
            settings,
        }
    }

    /// Sets what a first attempt earns, and the most that is saved up.
    pub fn set(&mut self, (earned, most): (f64, f64)) {
        self.settings.earned = earned;
        self.settings.most = most;
        self.saved = self.saved.min(most);
    }

    /// Whether a retry is left.
    pub fn has_any(&self) -> bool {
        self.saved >= 1.0
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.settings.earned).min(self.settings.most);
    }

    /// Asks for a retry after `attempts` attempts. `random` is from 0 to 1. Returns
    /// how long to wait first, or nothing if the budget or the attempts are used up.
    pub fn spend(&mut self, attempts: u32, random: f64) -> Option<Duration> {
        if attempts >= self.settings.attempts || self.saved < 1.0 {
            return None;
        }
        self.saved -= 1.0;
        let doubled = self
            .settings
            .base
            .saturating_mul(1 << attempts.saturating_sub(1).min(16));
        Some(
            doubled
                .min(self.settings.cap)
                .mul_f64(random.clamp(0.0, 1.0)),
        )
    }
}
