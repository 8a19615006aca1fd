//! Online estimates of quantities that are known only once they are over, such as how long a
//! request holds a slot.
//!
//! [`Histogram`] is a decaying histogram over geometric buckets. In constant space and time it
//! gives the mean, any quantile, and the mean remainder of a quantity that has already run for some
//! time. The weight of older observations decays, so that the estimate follows a class whose
//! answers grow longer.

use std::time::Duration;

/// The number of buckets of a histogram.
const BUCKETS: usize = 64;
/// The upper bound of the first bucket, in seconds.
const FIRST_BOUND_SECONDS: f64 = 0.001;
/// The ratio of the upper bounds of neighbouring buckets: 64 buckets reach from 1 ms to about 11 h.
const BOUND_RATIO: f64 = 1.32;
/// The factor by which each new observation scales the weight of all older ones.
const DECAY_PER_OBSERVATION: f64 = 0.995;
/// The weight of the initial guess, in observations.
const GUESS_WEIGHT: f64 = 2.0;

/// A decaying histogram of durations.
#[derive(Clone, Debug)]
pub struct Histogram {
    weights: [f64; BUCKETS],
    sums: [f64; BUCKETS],
    /// The weight of the next observation. It grows instead of scaling down all older ones each
    /// time.
    next_weight: f64,
}

impl Histogram {
    /// Creates a histogram that holds only an initial guess.
    pub fn with_guess(guess: Duration) -> Self {
        let mut histogram = Self {
            weights: [0.0; BUCKETS],
            sums: [0.0; BUCKETS],
            next_weight: 1.0,
        };
        histogram.add(guess.as_secs_f64(), GUESS_WEIGHT);
        histogram
    }

    /// Records an observation.
    pub fn observe(&mut self, value: Duration) {
        self.next_weight /= DECAY_PER_OBSERVATION;
        self.add(value.as_secs_f64(), self.next_weight);
        if self.next_weight > 1e100 {
            self.rescale();
        }
    }

    fn add(&mut self, seconds: f64, weight: f64) {
        let bucket = bucket(seconds);
        self.weights[bucket] += weight;
        self.sums[bucket] += weight * seconds;
    }

    fn rescale(&mut self) {
        let next_weight = self.next_weight;
        self.weights
            .iter_mut()
            .chain(&mut self.sums)
            .for_each(|value| *value /= next_weight);
        self.next_weight = 1.0;
    }

    /// Returns the mean.
    pub fn mean(&self) -> Duration {
        self.mean_remaining(Duration::ZERO)
    }

    /// Returns the mean remainder of a quantity that has already run for `elapsed`.
    pub fn mean_remaining(&self, elapsed: Duration) -> Duration {
        let elapsed = elapsed.as_secs_f64();
        let first_bucket = if elapsed > 0.0 {
            bucket(elapsed) + 1
        } else {
            0
        };
        let first_bucket = first_bucket.min(BUCKETS);
        let weight: f64 = self.weights[first_bucket..].iter().sum();
        if weight <= 0.0 {
            // No observation was in a higher bucket: expect it to run for as long again.
            return Duration::from_secs_f64(elapsed);
        }
        let sum: f64 = self.sums[first_bucket..].iter().sum();
        Duration::from_secs_f64((sum / weight - elapsed).max(0.0))
    }

    /// Returns the quantile `q`, from 0 to 1, to the precision of a bucket.
    pub fn quantile(&self, q: f64) -> Duration {
        let total: f64 = self.weights.iter().sum();
        let mut remaining = total * q.clamp(0.0, 1.0);
        for (weight, sum) in self.weights.iter().zip(&self.sums) {
            remaining -= weight;
            if *weight > 0.0 && remaining <= total * 1e-9 {
                return Duration::from_secs_f64(sum / weight);
            }
        }
        self.mean()
    }
}

fn bucket(seconds: f64) -> usize {
    if seconds <= FIRST_BOUND_SECONDS {
        return 0;
    }
    let index = ((seconds / FIRST_BOUND_SECONDS).ln() / BOUND_RATIO.ln()).ceil();
    // The value is positive and clamped, so the cast is exact.
    (index.min((BUCKETS - 1) as f64)) as usize
}

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ewma {
    value: Option<f64>,
}

impl Ewma {
    /// Records an observation with a weight from 0 to 1.
    pub fn observe(&mut self, value: f64, weight: f64) {
        self.value = Some(match self.value {
            Some(old) => old + (value - old) * weight,
            None => value,
        });
    }

    /// Returns the average, or `None` before the first observation.
    pub fn get(self) -> Option<f64> {
        self.value
    }
}

/// The weight of an observation that is below a [`Peak`].
const PEAK_DECAY: f64 = 0.1;

/// The largest of the recent durations. It follows a longer one at once and shorter ones slowly.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Peak(Duration);

impl Peak {
    /// Records an observation.
    pub fn observe(&mut self, value: Duration) {
        let decayed = self.0.mul_f64(1.0 - PEAK_DECAY) + value.mul_f64(PEAK_DECAY);
        self.0 = value.max(decayed);
    }

    /// Returns the largest of the recent durations.
    pub fn get(self) -> Duration {
        self.0
    }
}
