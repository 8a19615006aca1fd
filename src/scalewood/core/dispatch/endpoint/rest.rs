//! Endpoints that want nothing from a box for a while.
//!
//! One that turns a request away and names no time is as good as before: where endpoints turned
//! away a part of what they got, to avoid them served fewer requests than to try again.

use std::time::Duration;

use super::{Seeker, Set};
use crate::core::{name, rest};

impl Set {
    /// Notes the endpoints that rest from a box, as it tells.
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
            // Another start of it has not asked for anything.
            if endpoint.start != Some(told.start) {
                continue;
            }
            endpoint.rests.insert(origin.clone(), now + told.left);
            // What it has now is what it takes. As the rest ends it gets no more at first, and one
            // more with each that it begins.
            endpoint.ramp = endpoint.ramp.min(endpoint.running).max(1);
            self.resting = true;
            self.rescore(index);
        }
    }

    /// Forgets the rests that a box told of.
    pub(in crate::core::dispatch) fn forget_rests(&mut self, origin: &name::Box) {
        for endpoint in &mut self.endpoints {
            endpoint.rests.remove(origin);
        }
    }

    /// Ends the rests whose time is over.
    pub(super) fn end_rests(&mut self, now: Duration) {
        if !self.resting {
            return;
        }
        self.resting = false;
        for endpoint in &mut self.endpoints {
            endpoint.rests.retain(|_, until| *until > now);
            self.resting |= !endpoint.rests.is_empty();
        }
    }

    /// Whether any endpoint may rest from any box.
    pub(in crate::core::dispatch) fn has_rests(&self) -> bool {
        self.resting
    }

    /// When the first of them ends its rest, where all endpoints rest that may serve a request;
    /// nothing where one does not.
    pub(in crate::core::dispatch) fn rest_until(&self, seeker: Seeker<'_>) -> Option<Duration> {
        let serving = self.endpoints.iter();
        let serving = serving.filter(|e| e.configured && e.leaving.is_none());
        let serving = serving.filter(|e| e.may_serve(seeker.allowed));
        let until = serving.map(|e| e.rests.get(seeker.origin).copied());
        until.collect::<Option<Vec<_>>>()?.into_iter().min()
    }
}
