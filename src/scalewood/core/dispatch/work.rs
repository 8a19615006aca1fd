//! The work that is due before a given time, in logarithmic time.
//!
//! A Fenwick tree over buckets of due time. Times outside of its window count in the first or
//! last bucket. Moving the window forward visits every entry, but is rare enough to be
//! negligible.

use std::time::Duration;

/// The number of buckets in the window; a power of two.
const BUCKETS: usize = 1024;
/// The width of a bucket.
const BUCKET_WIDTH: Duration = Duration::from_millis(100);

/// The bucket that an entry was counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Bucket(usize);

/// Work by due time, in slot-seconds.
#[derive(Clone, Debug)]
pub(super) struct Work {
    /// The time at which the window starts.
    window_start: Duration,
    /// The Fenwick tree; index 0 is unused.
    tree: Vec<f64>,
    total: f64,
}

impl Work {
    pub(super) fn new(window_start: Duration) -> Self {
        Self {
            window_start,
            tree: vec![0.0; BUCKETS + 1],
            total: 0.0,
        }
    }

    /// Returns whether the window has to be moved forward.
    pub(super) fn is_stale(&self, now: Duration) -> bool {
        now.saturating_sub(self.window_start) > BUCKET_WIDTH * (BUCKETS as u32 / 2)
    }

    fn bucket(&self, due: Duration) -> Bucket {
        let index = due.saturating_sub(self.window_start).as_millis() / BUCKET_WIDTH.as_millis();
        Bucket(usize::try_from(index).unwrap_or(BUCKETS).min(BUCKETS - 1))
    }

    /// Adds work that is due at a time; returns the bucket, which is needed to remove it.
    pub(super) fn add(&mut self, due: Duration, work: f64) -> Bucket {
        let bucket = self.bucket(due);
        self.update(bucket, work);
        bucket
    }

    /// Removes work that was added before.
    pub(super) fn remove(&mut self, bucket: Bucket, work: f64) {
        self.update(bucket, -work);
    }

    fn update(&mut self, bucket: Bucket, work: f64) {
        self.total += work;
        let mut i = bucket.0 + 1;
        while i <= BUCKETS {
            self.tree[i] += work;
            i += i & i.wrapping_neg();
        }
    }

    /// Returns the work that is due before a time, to the resolution of a bucket.
    pub(super) fn before(&self, due: Duration) -> f64 {
        let mut i = self.bucket(due).0;
        let mut sum = 0.0;
        while i > 0 {
            sum += self.tree[i];
            i -= i & i.wrapping_neg();
        }
        sum.max(0.0)
    }

    /// Returns the sum of all work.
    pub(super) fn total(&self) -> f64 {
        self.total.max(0.0)
    }
}
