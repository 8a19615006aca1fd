//! Endpoints that asked a box to back off (`Retry-After`).
//!
//! An endpoint that refuses a request without naming a time is used as before: where endpoints
//! refuse a part of their requests, avoiding them serves fewer requests than trying again.

use std::time::Duration;

use super::{Seeker, Set};
use crate::core::{name, rest};

impl Set {
    /// Records the endpoints that asked a box to back off, as that box reports them.
    pub(in crate::core::dispatch) fn note_rests(
        &mut self,
        origin: &name::Box,
        rests: &[rest::Told],
        now: Duration,
    ) {
        for told in rests {
            let Some(index) = self.names.get(&told.endpoint).copied() else {
                continue;
            };
            let endpoint = &mut self.endpoints[index.0];
            // A different start of the endpoint has not asked for this.
            if endpoint.start != Some(told.start) {
                continue;
            }
            endpoint.rests.insert(origin.clone(), now + told.left);
            // What it runs now is what it can take. When the back-off ends it gets no more than
            // that at first, and one more with each first token.
            endpoint.ramp = endpoint.ramp.min(endpoint.running).max(1);
            self.any_resting = true;
            self.rescore(index);
        }
    }

    /// Removes all back-offs that a box reported.
    pub(in crate::core::dispatch) fn forget_rests(&mut self, origin: &name::Box) {
        for endpoint in &mut self.endpoints {
            endpoint.rests.remove(origin);
        }
    }

    /// Removes the back-offs that are over.
    pub(super) fn end_rests(&mut self, now: Duration) {
        if !self.any_resting {
            return;
        }
        self.any_resting = false;
        for endpoint in &mut self.endpoints {
            endpoint.rests.retain(|_, until| *until > now);
            self.any_resting |= !endpoint.rests.is_empty();
        }
    }

    /// Returns whether any endpoint may have asked any box to back off.
    pub(in crate::core::dispatch) fn has_rests(&self) -> bool {
        self.any_resting
    }

    /// Returns when the first back-off ends, if all endpoints that may serve a request asked its
    /// box to back off; otherwise `None`.
    pub(in crate::core::dispatch) fn rest_until(&self, seeker: Seeker<'_>) -> Option<Duration> {
        let serving = self.endpoints.iter();
        let serving = serving.filter(|e| e.configured && e.leaving_since.is_none());
        let serving = serving.filter(|e| e.may_serve(seeker.allowed));
        let until = serving.map(|e| e.rests.get(seeker.origin).copied());
        until.collect::<Option<Vec<_>>>()?.into_iter().min()
    }
}
