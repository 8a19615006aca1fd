//! Counts over a sliding window of five seconds.

use std::{ops::AddAssign, time::Duration};

/// The width of a bucket.
const BUCKET_WIDTH: Duration = Duration::from_millis(250);
/// The number of buckets that are kept: five seconds, the time over which refusals are judged.
const BUCKETS: usize = 20;

/// Counts by the time at which they were added. Counts older than all buckets are dropped.
#[derive(Clone, Copy, Debug)]
pub(super) struct Window<T> {
    buckets: [T; BUCKETS],
    /// The number of the newest bucket, counted from the clock's zero.
    newest: u64,
}

impl<T: Copy + Default> Default for Window<T> {
    fn default() -> Self {
        Self {
            buckets: [T::default(); BUCKETS],
            newest: 0,
        }
    }
}

impl<T: Copy + Default + AddAssign> Window<T> {
    /// Adds counts to the current bucket.
    pub(super) fn add(&mut self, counts: T, now: Duration) {
        let number = bucket_number(now);
        self.advance(number);
        self.buckets[bucket_index(number)] += counts;
    }

    /// Returns the sum over the last `within`, to the precision of a bucket.
    pub(super) fn sum(&self, within: Duration, now: Duration) -> T {
        let number = bucket_number(now);
        let buckets = within.as_millis().div_ceil(BUCKET_WIDTH.as_millis());
        let oldest = number.saturating_sub(u64::try_from(buckets).unwrap_or(u64::MAX));
        let oldest_kept = self.newest.saturating_sub(BUCKETS as u64 - 1);
        let mut sum = T::default();
        for number in oldest.max(oldest_kept)..=self.newest {
            sum += self.buckets[bucket_index(number)];
        }
        sum
    }

    /// Makes bucket `number` the newest one, and clears the buckets after the former newest one.
    fn advance(&mut self, number: u64) {
        let passed = number.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 0..passed {
            self.buckets[bucket_index(number - step)] = T::default();
        }
        self.newest = self.newest.max(number);
    }
}

fn bucket_number(now: Duration) -> u64 {
    u64::try_from(now.as_millis() / BUCKET_WIDTH.as_millis()).unwrap_or(u64::MAX)
}

fn bucket_index(number: u64) -> usize {
    usize::try_from(number % BUCKETS as u64).unwrap_or(0)
}
