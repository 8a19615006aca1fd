//! The probability that the next request at an endpoint fails, estimated from recent outcomes
//! there.
//!
//! The estimate rises with each failure, falls with each answer and decays with time. It stays
//! visible for an endpoint that fails only some of its requests, and an endpoint that has recovered
//! is used again.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The time constant, in seconds, of the decay: after it the risk has fallen to 1/e, about a third.
/// Most faults last for a few seconds.
const DECAY_SECONDS: f64 = 4.0;
/// A lower risk is reported as zero, so that a fault that is over does not keep prompts away from
/// the endpoint that caches their prefix.
const MIN_RISK: f64 = 0.25;
/// The fraction of the remaining distance to 1 that a failure of full weight adds to the risk.
const FAILURE_STEP: f64 = 0.6;
/// The factor that an answer applies to the risk. Several answers make up for one failure, since an
/// endpoint may fail only some of its requests.
const ANSWER_FACTOR: f64 = 0.75;
/// The smallest change of a probability, in thousandths, that is reported to other processes.
const MIN_REPORTED_CHANGE_THOUSANDTHS: u16 = 125;

/// A probability, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Chance(pub u16);

impl Chance {
    /// Returns whether the probability differs enough from the last reported one to be reported
    /// again. A change to or from zero always does.
    pub fn differs_enough(self, last: Self) -> bool {
        self.0.abs_diff(last.0) >= MIN_REPORTED_CHANGE_THOUSANDTHS || (self.0 == 0) != (last.0 == 0)
    }
}

/// The risk of failure at an endpoint, as of the time `at`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Risk {
    value: f64,
    at: Duration,
}

impl Risk {
    /// Creates a risk from a probability that another process reported.
    pub fn from_report(chance: Chance, now: Duration) -> Self {
        Self {
            value: f64::from(chance.0) / 1000.0,
            at: now,
        }
    }

    /// Returns the probability that the next request fails, or zero if it is below `MIN_RISK`.
    pub fn get(self, now: Duration) -> f64 {
        let risk = self.decayed(now);
        if risk < MIN_RISK {
            0.0
        } else {
            risk
        }
    }

    /// Returns the same probability in thousandths.
    pub fn chance(self, now: Duration) -> Chance {
        // The product is at most 1000, so the cast is exact.
        Chance((self.get(now) * 1000.0).round() as u16)
    }

    /// Returns whether the risk has decayed so far that it is reported as zero.
    pub fn is_negligible(self, now: Duration) -> bool {
        self.get(now) == 0.0
    }

    fn decayed(self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-elapsed / DECAY_SECONDS).exp()
    }

    /// Records a failed request; `weight`, from 0 to 1, scales its effect.
    pub fn record_failure(&mut self, weight: f64, now: Duration) {
        let risk = self.get(now);
        self.value = risk + (1.0 - risk) * FAILURE_STEP * weight;
        self.at = now;
    }

    /// Records a request that got its first token.
    pub fn record_answer(&mut self, now: Duration) {
        self.value = self.get(now) * ANSWER_FACTOR;
        self.at = now;
    }
}
