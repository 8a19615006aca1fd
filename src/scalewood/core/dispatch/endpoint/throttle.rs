//! Endpoints that limit the requests a second from all boxes together.

use std::{cmp::Reverse, time::Duration};

use super::{Endpoint, Set, LEANING};
use crate::core::{
    name, registry,
    throttle::{Alone, Limit, Wanted},
};

/// For how long, in seconds, permits are asked for ahead: a few exchanges with a voter, so that
/// those that a box gets are there when its requests come.
const AHEAD: f64 = 0.5;
/// The most endpoints of a service that permits are asked for at once: half a kilobyte.
const MOST_WANTED: usize = 16;
/// How many times its equal part of all limits a box has to be issued to count on it.
const UNEVEN: f64 = 1.5;
/// The requests a second below which a box wants permits for those alone that wait.
const SELDOM: f64 = 0.01;

/// A limit that has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Which start of it.
    pub start: registry::Start,
    /// Its limit; nothing once it has ended.
    pub limit: Option<Limit>,
}

/// Permits that a box was issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pass {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// How many.
    pub count: u32,
    /// Until when they hold, by this box's clock.
    pub until: Duration,
}

/// A box's own part of the limit of an endpoint that it leans to so far, beside so many others.
pub(super) fn alone(since: Option<Duration>, sharers: u32, leaning: u64) -> Option<Alone> {
    let alone = |since| Alone {
        since,
        boxes: sharers + 1,
        // Both are small, so the casts are exact.
        phase: leaning as f64 / LEANING as f64,
    };
    since.map(alone)
}

impl Endpoint {
    /// Whether this box may send to it now, as far as its limit is concerned.
    pub(super) fn is_within_limit(&self, now: Duration) -> bool {
        let limit = self.standing.limit;
        limit.is_none_or(|limit| self.permits.permits(limit, now))
    }

    /// Whether it serves and has a limit.
    fn is_limited(&self) -> bool {
        self.configured && self.leaving.is_none() && self.standing.limit.is_some()
    }
}

impl Set {
    /// Sets the limits that have changed.
    pub(in crate::core::dispatch) fn set_limits(&mut self, changes: &[Change]) {
        for change in changes {
            let Some(index) = self.names.get(&change.endpoint) else {
                continue;
            };
            let endpoint = &mut self.endpoints[index.0];
            if endpoint.start == Some(change.start) {
                endpoint.standing.limit = change.limit;
                self.limited |= change.limit.is_some();
            }
        }
        self.sum_limits();
    }

    /// Takes permits that were issued.
    pub(in crate::core::dispatch) fn take_permits(&mut self, passes: &[Pass], now: Duration) {
        for pass in passes {
            if let Some(index) = self.names.get(&pass.endpoint) {
                let permits = &mut self.endpoints[index.0].permits;
                permits.add(pass.count, pass.until);
                self.issued.add(pass.count, now);
            }
        }
    }

    /// Sets whether this box is issued no permits.
    pub(in crate::core::dispatch) fn set_alone(&mut self, since: Option<Duration>) {
        self.alone = since;
        for endpoint in &mut self.endpoints {
            let alone = alone(since, self.sharers, endpoint.leaning);
            endpoint.permits.set_alone(alone);
        }
    }

    /// Adds up the limits, if all endpoints that serve have one.
    pub(super) fn sum_limits(&mut self) {
        if !self.limited {
            return;
        }
        let serving = self.endpoints.iter().filter(|e| e.allowed() > 0);
        let limits = serving.map(|e| e.standing.limit.map(Limit::per_second));
        let (mut sum, mut all, mut any) = (0.0, true, false);
        for limit in limits {
            sum += limit.unwrap_or_default();
            all &= limit.is_some();
            any |= limit.is_some();
        }
        self.limited = any;
        self.limits = (any && all).then_some(sum);
    }

    /// The requests a second that this box may send, if all endpoints that serve limit theirs: its
    /// equal part of all limits, or what it is issued if that is more.
    pub(in crate::core::dispatch) fn throttled(&self, now: Duration) -> Option<f64> {
        let part = self.limits? / f64::from(self.sharers + 1);
        let issued = self.issued.rate(now);
        Some(if issued > part * UNEVEN { issued } else { part })
    }

    /// Requests that were kept from their home by its limit, since this was last taken.
    pub(in crate::core::dispatch) fn take_limited(&mut self) -> u32 {
        std::mem::take(&mut self.limit_kept)
    }

    /// The permits that a box wants which is asked so often and has so many requests that wait,
    /// those first of endpoints that most requests were kept from.
    pub(in crate::core::dispatch) fn wanted_permits(
        &mut self,
        a_second: f64,
        waiting: usize,
        now: Duration,
    ) -> Vec<Wanted> {
        // Endpoints may have been ejected, or have come back, meanwhile.
        self.sum_limits();
        if !self.limited || (waiting == 0 && a_second < SELDOM) {
            return Vec::new();
        }
        // A few requests at most, so the cast is exact.
        let soon = (a_second * AHEAD).ceil() as u32;
        let need = soon.saturating_add(u32::try_from(waiting).unwrap_or(u32::MAX));
        let limited = self.endpoints.iter_mut().filter(|e| e.is_limited());
        let mut wanted: Vec<_> = limited
            .map(|endpoint| {
                endpoint.kept_from /= 2;
                let place = (Reverse(endpoint.kept_from), endpoint.leaning);
                let count = need.saturating_sub(endpoint.permits.count(now));
                let endpoint = endpoint.name.clone();
                (place, Wanted { endpoint, count })
            })
            .filter(|(_, wanted)| wanted.count > 0)
            .collect();
        wanted.sort_by_key(|(place, _)| *place);
        let wanted = wanted.into_iter().take(MOST_WANTED);
        wanted.map(|(_, wanted)| wanted).collect()
    }
}
