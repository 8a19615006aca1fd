//! How likely the next request at an endpoint fails, from what was met there of late.
//!
//! It rises with a failure, falls with an answer and fades with time, so that an endpoint
//! which fails a part of its requests shows, and one that has recovered is used.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The time, in seconds, in which the risk of a failure fades to a third: most faults last
/// for a few seconds.
const FADING: f64 = 4.0;
/// The risk below which an endpoint counts as sound, so that the memory of a fault that has
/// ended does not keep prompts from where they are kept.
const LEAST: f64 = 0.25;
/// The part of what is missing to certainty that a failure adds to the risk of the next.
const FAILED: f64 = 0.6;
/// The part of the risk that an answer leaves: it takes several to make up for a failure,
/// since an endpoint may fail a part of its requests.
const ANSWERED: f64 = 0.75;
/// The change of a chance, in thousandths, that is worth telling.
const NEWS: u16 = 125;

/// A chance, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Chance(pub u16);

impl Chance {
    /// Whether it differs so much from what was told that it is worth telling.
    pub fn is_news(self, told: Self) -> bool {
        self.0.abs_diff(told.0) >= NEWS || (self.0 == 0) != (told.0 == 0)
    }
}

/// The risk at an endpoint, as of a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Risk {
    value: f64,
    at: Duration,
}

impl Risk {
    /// A risk that was told.
    pub fn told(chance: Chance, now: Duration) -> Self {
        Self {
            value: f64::from(chance.0) / 1000.0,
            at: now,
        }
    }

    /// How likely the next request fails; nothing if that is unlikely.
    pub fn get(self, now: Duration) -> f64 {
        let risk = self.faded(now);
        if risk < LEAST {
            0.0
        } else {
            risk
        }
    }

    /// The same as a chance.
    pub fn chance(self, now: Duration) -> Chance {
        // The product is at most 1000, so the cast is exact.
        Chance((self.get(now) * 1000.0).round() as u16)
    }

    /// Whether it counts for nothing any more.
    pub fn has_faded(self, now: Duration) -> bool {
        self.get(now) == 0.0
    }

    fn faded(self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-passed / FADING).exp()
    }

    /// Notes that a request failed, with a weight from 0 to 1.
    pub fn raise(&mut self, weight: f64, now: Duration) {
        let risk = self.get(now);
        self.value = risk + (1.0 - risk) * FAILED * weight;
        self.at = now;
    }

    /// Notes that a request got its first token.
    pub fn lower(&mut self, now: Duration) {
        self.value = self.get(now) * ANSWERED;
        self.at = now;
    }
}
