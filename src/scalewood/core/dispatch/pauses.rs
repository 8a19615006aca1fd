//! How many streams pause for longer than their class bears, by where they ran.
//!
//! A prompt that is read beside streams holds their tokens up. Whether that is more than
//! they bear depends on the endpoints, the prompts and the classes, so it is counted: the
//! part of the streams that paused too long, separately for short and long prompts, for
//! the endpoints meant for either, and for slow and fast ones.

use std::time::Duration;

/// The part that is expected before any stream was counted. Streams that run where they
/// belong are expected to do well, others are not.
const GUESS_HOME: f64 = 0.1;
const GUESS_FOREIGN: f64 = 0.5;
/// Streams that the guess counts for.
const GUESS_WEIGHT: f64 = 4.0;
/// The time, in seconds, in which a count fades to a third: the load beside streams changes
/// with bursts, which last some seconds.
const FADING: f64 = 15.0;

/// Where a stream runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Place {
    /// Whether its class has long prompts.
    pub(super) long: bool,
    /// Whether the endpoint is for prompts of the other kind.
    pub(super) foreign: bool,
    /// Whether the endpoint is slow beside the others.
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
    all: f64,
    at: Duration,
}

impl Count {
    fn faded(self, now: Duration) -> Self {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-passed / FADING).exp();
        Self {
            paused: self.paused * kept,
            all: self.all * kept,
            at: now,
        }
    }
}

/// What was counted.
#[derive(Clone, Debug, Default)]
pub(super) struct Pauses {
    counts: [Count; Place::COUNT],
}

impl Pauses {
    /// Notes a stream that has ended, and whether it paused too long.
    pub(super) fn observe(&mut self, place: Place, paused: bool, now: Duration) {
        let count = &mut self.counts[place.index()];
        *count = count.faded(now);
        count.all += 1.0;
        count.paused += f64::from(u8::from(paused));
    }

    /// The part of the streams at such a place that is expected to pause too long.
    pub(super) fn part(&self, place: Place, now: Duration) -> f64 {
        let guess = if place.foreign {
            GUESS_FOREIGN
        } else {
            GUESS_HOME
        };
        let Count { paused, all, .. } = self.counts[place.index()].faded(now);
        (paused + guess * GUESS_WEIGHT) / (all + GUESS_WEIGHT)
    }
}
