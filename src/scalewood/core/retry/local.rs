//! Retry budgets that boxes keep by themselves, for requests of scalewood's own API.

use std::time::Duration;

use super::Backoff;

/// Settings of a budget.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The retries that a first attempt adds to the budget.
    pub earned_per_request: f64,
    /// The most retries that the budget holds.
    pub capacity: f64,
    /// The longest wait before the first retry; it doubles with each further one.
    pub base: Duration,
    /// The upper limit of the longest wait.
    pub cap: Duration,
    /// The most attempts at one request, including the first.
    pub attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            earned_per_request: 0.2,
            capacity: 20.0,
            base: Duration::from_millis(20),
            cap: Duration::from_millis(500),
            attempts: 4,
        }
    }
}

/// The retries that a service has left at one box, whatever other boxes send.
#[derive(Clone, Debug)]
pub struct LocalBudget {
    settings: Settings,
    available: f64,
}

impl LocalBudget {
    /// Creates a full budget.
    pub fn new(settings: Settings) -> Self {
        Self {
            available: settings.capacity,
            settings,
        }
    }

    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.available =
            (self.available + self.settings.earned_per_request).min(self.settings.capacity);
    }

    /// Takes a retry from the budget after `attempts` attempts; `random` lies between 0 and 1.
    /// Returns how long to wait first, or `None` if the budget or the attempts are used up.
    pub fn spend(&mut self, attempts: u32, random: f64) -> Option<Duration> {
        if attempts >= self.settings.attempts || self.available < 1.0 {
            return None;
        }
        self.available -= 1.0;
        let Settings { base, cap, .. } = self.settings;
        Some(Backoff { base, cap }.wait(attempts, random))
    }

    /// Returns a retry that was not used.
    pub fn give_back(&mut self) {
        self.available = (self.available + 1.0).min(self.settings.capacity);
    }

    /// Returns why no retry follows after `attempts` attempts, if none does.
    pub fn denial(&self, attempts: u32) -> Option<&'static str> {
        if attempts >= self.settings.attempts {
            return Some("attempts");
        }
        (self.available < 1.0).then_some("budget")
    }
}
