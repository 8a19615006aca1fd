//! Endpoints that asked a box to back off (`Retry-After`).
//!
//! An endpoint that refuses a request without naming a time is used as before: where endpoints
//! refuse a part of their requests, avoiding them serves fewer requests than trying again.

use std::time::Duration;

use super::{Constraints, Set};
use crate::core::{backoff, name};

impl Set {
    /// Records the endpoints that asked a box to back off, as that box reports them.
    pub(in crate::core::dispatch) fn record_backoffs(
        &mut self,
        origin: &name::Box,
        backoffs: &[backoff::Notice],
        now: Duration,
    ) {
        for notice in backoffs {
            let Some(index) = self.names.get(&notice.endpoint).copied() else {
                continue;
            };
            let endpoint = &mut self.endpoints[index.0];
            // A different start of the endpoint has not asked for this.
            if endpoint.start != Some(notice.start) {
                continue;
            }
            endpoint
                .backoffs
                .insert(origin.clone(), now + notice.remaining);
            // What it runs now is what it can take. When the backoff ends it gets no more than
            // that at first, and one more with each first token.
            endpoint.ramp = endpoint.ramp.min(endpoint.running).max(1);
            self.any_backing_off = true;
            self.rescore(index);
        }
    }

    /// Removes all backoffs that a box reported.
    pub(in crate::core::dispatch) fn forget_backoffs(&mut self, origin: &name::Box) {
        for endpoint in &mut self.endpoints {
            endpoint.backoffs.remove(origin);
        }
    }

    /// Removes the backoffs that are over.
    pub(super) fn end_backoffs(&mut self, now: Duration) {
        if !self.any_backing_off {
            return;
        }
        self.any_backing_off = false;
        for endpoint in &mut self.endpoints {
            endpoint.backoffs.retain(|_, until| *until > now);
            self.any_backing_off |= !endpoint.backoffs.is_empty();
        }
    }

    /// Returns whether any endpoint may have asked any box to back off.
    pub(in crate::core::dispatch) fn has_backoffs(&self) -> bool {
        self.any_backing_off
    }

    /// Returns when the first backoff ends, if all endpoints that may serve a request asked its
    /// box to back off; otherwise `None`.
    pub(in crate::core::dispatch) fn backoff_until(
        &self,
        constraints: Constraints<'_>,
    ) -> Option<Duration> {
        let serving = self.endpoints.iter();
        let serving = serving.filter(|e| e.configured && e.leaving_since.is_none());
        let serving = serving.filter(|e| e.may_serve(constraints));
        let until = serving.map(|e| e.backoffs.get(constraints.origin).copied());
        until.collect::<Option<Vec<_>>>()?.into_iter().min()
    }
}
