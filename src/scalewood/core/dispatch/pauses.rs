//! How many streams pause for longer than their class allows, by where they run.
//!
//! Processing a prompt delays the tokens of the streams that run beside it. Whether the delay
//! is too long depends on the endpoints, the prompts and the classes, so it is measured: the
//! fraction of streams that paused too long, separately for short and long prompts, for
//! endpoints meant for either, and for slow and fast endpoints.

use std::time::Duration;

/// The fraction of streams that pause too long, assumed before any was counted: few at endpoints
/// meant for their kind of prompt, more at the others.
const PRIOR_OWN_GROUP_FRACTION: f64 = 0.1;
const PRIOR_FOREIGN_FRACTION: f64 = 0.5;
/// The number of streams that the assumed fraction counts for.
const PRIOR_STREAMS: f64 = 4.0;
/// The time, in seconds, in which counts decay to about a third (1/e): the load beside streams
/// changes with bursts, which last some seconds.
const DECAY_S: f64 = 15.0;

/// Where a stream runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Place {
    /// Whether its class has long prompts.
    pub(super) long: bool,
    /// Whether the endpoint is meant for prompts of the other kind.
    pub(super) foreign: bool,
    /// Whether the endpoint is slower than its peers.
    pub(super) slow: bool,
}

impl Place {
    const COUNT: usize = 8;

    fn index(self) -> usize {
        usize::from(self.long) * 4 + usize::from(self.foreign) * 2 + usize::from(self.slow)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    paused: f64,
    total: f64,
    updated_at: Duration,
}

impl Count {
    fn decayed(self, now: Duration) -> Self {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        let factor = (-passed / DECAY_S).exp();
        Self {
            paused: self.paused * factor,
            total: self.total * factor,
            updated_at: now,
        }
    }
}

/// The decayed counts of streams, by place.
#[derive(Clone, Debug, Default)]
pub(super) struct Pauses {
    counts: [Count; Place::COUNT],
}

impl Pauses {
    /// Records a stream that has ended, and whether it paused too long.
    pub(super) fn observe(&mut self, place: Place, paused: bool, now: Duration) {
        let count = &mut self.counts[place.index()];
        *count = count.decayed(now);
        count.total += 1.0;
        count.paused += f64::from(u8::from(paused));
    }

    /// Returns the fraction of streams at a place that is expected to pause too long.
    pub(super) fn fraction(&self, place: Place, now: Duration) -> f64 {
        let prior = if place.foreign {
            PRIOR_FOREIGN_FRACTION
        } else {
            PRIOR_OWN_GROUP_FRACTION
        };
        let Count { paused, total, .. } = self.counts[place.index()].decayed(now);
        (paused + prior * PRIOR_STREAMS) / (total + PRIOR_STREAMS)
    }
}
