//! The stop of a box: until when its open requests may begin at an endpoint, and when those that
//! have no answer yet get one.
//!
//! A box that stops goes on serving its open requests for a while. A request that waits keeps its
//! place as long as its answer can still be finished here. After that another box can serve it
//! sooner.

use std::time::Duration;

/// By how much a run may exceed the longest recent one, as a factor.
const RUN_MARGIN: f64 = 1.25;
/// The largest part of the drain time, as a divisor, that is kept free for runs that have begun.
/// Longer runs would leave no request any time to wait.
const MAX_RUN_DIVISOR: u32 = 2;
/// The part of the drain time, as a divisor, over which the requests that wait are spread when they
/// are given up: the other boxes get them back.
const SPREAD_DIVISOR: u32 = 10;
/// The part of the drain time, as a divisor, that is left to send answers, and the most of it.
const ANSWERING_DIVISOR: u32 = 8;
const MAX_ANSWERING_TIME: Duration = Duration::from_millis(200);

/// When a box that was told to stop ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// When the process ends, by its own clock.
    pub ends_at: Duration,
    /// How long before that it begins to wait for its open requests.
    pub drain: Duration,
}

impl Plan {
    /// Returns until when a request may wait to begin at an endpoint, if a run there takes up to
    /// `run`, as far as that is known. `spread`, from 0 to 1, tells apart the requests that wait.
    pub fn last_start(&self, run: Option<Duration>, spread: f64) -> Duration {
        let longest = self.drain / MAX_RUN_DIVISOR;
        let run = run.map_or(longest, |run| run.mul_f64(RUN_MARGIN).min(longest));
        let spread = (self.drain / SPREAD_DIVISOR).mul_f64(spread.clamp(0.0, 1.0));
        let last_answer = self.last_answer();
        last_answer.saturating_sub(run).saturating_sub(spread)
    }

    /// Returns when the requests that have no answer yet get one that says so.
    pub fn last_answer(&self) -> Duration {
        let answering = (self.drain / ANSWERING_DIVISOR).min(MAX_ANSWERING_TIME);
        self.ends_at.saturating_sub(answering)
    }
}
