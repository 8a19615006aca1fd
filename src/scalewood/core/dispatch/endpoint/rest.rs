//! Endpoints that want nothing from a box for a while, and endpoints that have turned a request away.

use std::time::Duration;

use super::{Index, Seeker, Set};
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
            let Some(index) = self.names.get(&told.endpoint) else {
                continue;
            };
            let endpoint = &mut self.endpoints[index.0];
            // Another start of it has not asked for anything.
            if endpoint.start == Some(told.start) {
                endpoint.rests.insert(origin.clone(), now + told.left);
                self.resting = true;
            }
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

    /// Notes that an endpoint has turned a request away: what it has now is what it takes.
    ///
    /// With nothing at work it would look the least used of all, and draw the next request. And as
    /// its rest ends, it gets a few first: one more for each that it begins.
    pub(in crate::core::dispatch) fn refused(&mut self, index: Index, now: Duration) {
        /// What it counts beside a failure: nothing is lost by it but a try.
        const PART: f64 = 0.75;
        let endpoint = &mut self.endpoints[index.0];
        endpoint.ramp = endpoint.ramp.min(endpoint.running).max(1);
        endpoint.raise_risk(PART, now);
        self.rescore(index);
    }
}
