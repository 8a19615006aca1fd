//! Online estimates of quantities that are known only afterwards.
//!
//! [`Histogram`] keeps a decaying histogram over geometric buckets: it gives a
//! mean, any quantile, and the mean of what is left once some part has passed, in
//! constant space and time. Older observations fade, so that the estimate follows
//! a class whose answers grow longer.

use std::time::Duration;

/// Buckets of a histogram.
const BUCKETS: usize = 64;
/// The upper bound of the first bucket, in seconds.
const FIRST: f64 = 0.001;
/// The ratio of neighbouring bounds: 64 buckets reach from 1 ms to about 13 h.
const RATIO: f64 = 1.32;
/// What an older observation keeps of its weight with each new one.
const FADE: f64 = 0.995;
/// The weight that the first guess has.
const GUESS_WEIGHT: f64 = 2.0;

/// A decaying histogram of durations.
#[derive(Clone, Debug)]
pub struct Histogram {
    weights: [f64; BUCKETS],
    sums: [f64; BUCKETS],
    /// The weight of the next observation; it grows, so that older ones fade.
    unit: f64,
}

impl Histogram {
    /// A histogram that knows only a first guess.
    pub fn with_guess(guess: Duration) -> Self {
        let mut fresh = Self {
            weights: [0.0; BUCKETS],
            sums: [0.0; BUCKETS],
            unit: 1.0,
        };
        fresh.add(guess.as_secs_f64(), GUESS_WEIGHT);
        fresh
    }

    /// Notes an observation.
    pub fn observe(&mut self, value: Duration) {
        self.unit /= FADE;
        self.add(value.as_secs_f64(), self.unit);
        if self.unit > 1e100 {
            self.rescale();
        }
    }

    fn add(&mut self, seconds: f64, weight: f64) {
        let bucket = bucket(seconds);
        self.weights[bucket] += weight;
        self.sums[bucket] += weight * seconds;
    }

    fn rescale(&mut self) {
        let unit = self.unit;
        self.weights
            .iter_mut()
            .chain(&mut self.sums)
            .for_each(|w| *w /= unit);
        self.unit = 1.0;
    }

    /// The mean.
    pub fn mean(&self) -> Duration {
        self.mean_left(Duration::ZERO)
    }

    /// The mean of what is left of a quantity of which `passed` has passed.
    pub fn mean_left(&self, passed: Duration) -> Duration {
        let passed = passed.as_secs_f64();
        let from = if passed > 0.0 { bucket(passed) + 1 } else { 0 };
        let from = from.min(BUCKETS);
        let weight: f64 = self.weights[from..].iter().sum();
        if weight <= 0.0 {
            // Past everything seen so far: expect as much again.
            return Duration::from_secs_f64(passed);
        }
        let sum: f64 = self.sums[from..].iter().sum();
        Duration::from_secs_f64((sum / weight - passed).max(0.0))
    }

    /// The quantile `q`, from 0 to 1, to the precision of a bucket.
    pub fn quantile(&self, q: f64) -> Duration {
        let total: f64 = self.weights.iter().sum();
        let mut left = total * q.clamp(0.0, 1.0);
        for (weight, sum) in self.weights.iter().zip(&self.sums) {
            left -= weight;
            if *weight > 0.0 && left <= total * 1e-9 {
                return Duration::from_secs_f64(sum / weight);
            }
        }
        self.mean()
    }
}

fn bucket(seconds: f64) -> usize {
    if seconds <= FIRST {
        return 0;
    }
    let index = ((seconds / FIRST).ln() / RATIO.ln()).ceil();
    // The value is positive and clamped, so the cast is exact.
    (index.min((BUCKETS - 1) as f64)) as usize
}

/// An exponentially weighted mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ewma {
    value: Option<f64>,
}

impl Ewma {
    /// Notes an observation with a weight from 0 to 1.
    pub fn observe(&mut self, value: f64, weight: f64) {
        self.value = Some(match self.value {
            Some(old) => old + (value - old) * weight,
            None => value,
        });
    }

    /// The mean, if anything was observed.
    pub fn get(self) -> Option<f64> {
        self.value
    }
}
