//! How much work is due before a given time, in logarithmic time.
//!
//! A Fenwick tree over buckets of due time. Times outside of its window count in
//! the first or last bucket; the window is moved on now and then, which visits
//! every entry but so rarely that it does not count.

use std::time::Duration;

/// Buckets of the window; a power of two.
const BUCKETS: usize = 1024;
/// The width of a bucket.
const WIDTH: Duration = Duration::from_millis(100);

/// The bucket that an entry was counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Bucket(usize);

/// Work by due time.
#[derive(Clone, Debug)]
pub(super) struct Work {
    /// Where the window starts.
    origin: Duration,
    /// The tree; index 0 is unused.
    tree: Vec<f64>,
    total: f64,
}

impl Work {
    pub(super) fn new(origin: Duration) -> Self {
        Self {
            origin,
            tree: vec![0.0; BUCKETS + 1],
            total: 0.0,
        }
    }

    /// Whether the window should be moved on.
    pub(super) fn is_stale(&self, now: Duration) -> bool {
        now.saturating_sub(self.origin) > WIDTH * (BUCKETS as u32 / 2)
    }

    fn bucket(&self, due: Duration) -> Bucket {
        let index = due.saturating_sub(self.origin).as_millis() / WIDTH.as_millis();
        Bucket(usize::try_from(index).unwrap_or(BUCKETS).min(BUCKETS - 1))
    }

    /// Counts work that is due at a time; the bucket is needed to remove it.
    pub(super) fn add(&mut self, due: Duration, work: f64) -> Bucket {
        let bucket = self.bucket(due);
        self.update(bucket, work);
        bucket
    }

    /// Removes work that was counted before.
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

    /// The work that is due before a time, to the width of a bucket.
    pub(super) fn before(&self, due: Duration) -> f64 {
        let mut i = self.bucket(due).0;
        let mut sum = 0.0;
        while i > 0 {
            sum += self.tree[i];
            i -= i & i.wrapping_neg();
        }
        sum.max(0.0)
    }

    /// All work.
    pub(super) fn total(&self) -> f64 {
        self.total.max(0.0)
    }
}
