//! When a box sends a request that is held back to an endpoint once more.
//!
//! A harmless request that many callers send alike may be held back by mistake. As nothing of it is
//! sent any more, it can't complete and be cleared. No process decides alone which box tries it:
//! each box that has refused the request often waits for a time of its own, and the first one
//! reports the trial to all others before their times come.

use std::time::Duration;

use crate::core::{fingerprint::Fingerprint, name, rendezvous};

/// How often a box must have refused a request before it tries it. Callers that resend a request
/// that crashes endpoints seldom reach one box that often.
const MIN_REFUSALS: u32 = 10;
/// The shortest time between the last end and a trial.
const MIN_DELAY: Duration = Duration::from_secs(5);
/// The mean time between the times of two boxes, several times as long as a report between boxes
/// takes.
const DELAY_PER_BOX: Duration = Duration::from_secs(5);

/// The trials of a request as known to one process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Standing {
    /// The number of trials that were begun since the request completed last.
    pub(super) begun: usize,
    /// Whether no end has become known since the last of them was begun.
    pub(super) is_under_way: bool,
    /// How often this process has refused the request.
    pub(super) refusals: u32,
    /// When this process learnt of the last end.
    pub(super) last_end_at: Duration,
}

/// Decides for one box when it tries requests that are held back.
#[derive(Clone, Debug)]
pub struct Trials {
    own: name::Box,
    /// The number of boxes, including this one.
    boxes: u32,
}

impl Trials {
    /// Returns the trials of a box among so many.
    pub fn new(own: name::Box, boxes: u32) -> Self {
        Self {
            own,
            boxes: boxes.max(1),
        }
    }

    /// Returns whether this box may try a request now, if another trial is allowed.
    pub(super) fn is_due(&self, request: &Fingerprint, standing: Standing, now: Duration) -> bool {
        !standing.is_under_way
            && standing.refusals >= MIN_REFUSALS
            && now >= standing.last_end_at + self.delay(request, standing.begun)
    }

    /// Returns how long after the last end this box tries a request that has been tried `begun` times: a
    /// time that is spread evenly over the boxes. It differs for each trial, so that two boxes whose
    /// times are close do not both begin each one.
    fn delay(&self, request: &Fingerprint, begun: usize) -> Duration {
        const STEPS: u64 = 1 << 20;
        let parts = [self.own.as_str(), &request.to_string(), &begun.to_string()];
        let hash = rendezvous::hash(&parts);
        // The remainder is below 2^20, so the cast is exact.
        let part = (hash % STEPS) as f64 / STEPS as f64;
        MIN_DELAY + DELAY_PER_BOX.saturating_mul(self.boxes).mul_f64(part)
    }
}
