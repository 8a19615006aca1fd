//! Rate limits that endpoints set for all boxes together.

use std::{cmp::Reverse, time::Duration};

use super::{Endpoint, Set, MAX_BIAS};
use crate::core::{
    name, registry,
    throttle::{Fallback, Limit, Wanted},
};

/// The time, in seconds, for whose expected requests permits are requested in advance: a few
/// exchanges with a voter, so that the permits are here when the requests come.
const PREFETCH_SECONDS: f64 = 0.5;
/// The maximum number of endpoints of a service in one request for permits: half a kilobyte.
const MAX_WANTED_ENDPOINTS: usize = 16;
/// A box relies on the permits that it is issued once their rate exceeds its equal share of all
/// limits by this factor.
const MIN_ISSUED_FACTOR: f64 = 1.5;
/// The rate, in requests per second, below which a box asks for permits only for requests that are
/// already waiting.
const MIN_PREFETCH_REQUESTS_PER_SECOND: f64 = 0.01;

/// A changed rate limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// The start of the endpoint that the limit applies to.
    pub start: registry::Start,
    /// The limit, or `None` once it has ended.
    pub limit: Option<Limit>,
}

/// Permits issued to this box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedPermits {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// The number of permits.
    pub count: u32,
    /// Their expiry, by this box's clock.
    pub until: Duration,
}

/// Returns a box's own share of an endpoint's limit while no permits are issued. The bias shifts
/// its own permits in time against those of other boxes.
pub(super) fn own_share(since: Option<Duration>, other_boxes: u32, bias: u64) -> Option<Fallback> {
    let fallback = |since| Fallback {
        since,
        boxes: other_boxes + 1,
        // Both are small, so the casts are exact.
        phase: bias as f64 / MAX_BIAS as f64,
    };
    since.map(fallback)
}

impl Endpoint {
    /// Returns whether the rate limit, if any, allows this box to send to it now.
    pub(super) fn is_within_limit(&self, now: Duration) -> bool {
        let limit = self.admission.limit;
        limit.is_none_or(|limit| self.permits.may_send(limit, now))
    }

    /// Returns whether it serves requests and has a rate limit.
    fn is_limited(&self) -> bool {
        self.configured && self.leaving_since.is_none() && self.admission.limit.is_some()
    }
}

impl Set {
    /// Applies changed rate limits.
    pub(in crate::core::dispatch) fn set_limits(&mut self, changes: &[Change]) {
        for change in changes {
            let Some(index) = self.names.get(&change.endpoint) else {
                continue;
            };
            let endpoint = &mut self.endpoints[index.0];
            if endpoint.start == Some(change.start) {
                endpoint.admission.limit = change.limit;
                self.any_limited |= change.limit.is_some();
            }
        }
        self.sum_limits();
    }

    /// Adds permits that were issued.
    pub(in crate::core::dispatch) fn add_permits(
        &mut self,
        issued: &[IssuedPermits],
        now: Duration,
    ) {
        for issued in issued {
            if let Some(index) = self.names.get(&issued.endpoint) {
                let permits = &mut self.endpoints[index.0].permits;
                permits.add(issued.count, issued.until);
                self.issue_rate.add(issued.count, now);
            }
        }
    }

    /// Sets since when this box has been issued no permits; `None` while it is issued some.
    pub(in crate::core::dispatch) fn set_permits_unavailable(&mut self, since: Option<Duration>) {
        self.permits_unavailable_since = since;
        for endpoint in &mut self.endpoints {
            let fallback = own_share(since, self.other_boxes, endpoint.bias);
            endpoint.permits.set_fallback(fallback);
        }
    }

    /// Recomputes the sum of the limits, which exists only if all serving endpoints have one.
    pub(super) fn sum_limits(&mut self) {
        if !self.any_limited {
            return;
        }
        let serving = self.endpoints.iter().filter(|e| e.allowed() > 0);
        let limits = serving.map(|e| e.admission.limit.map(Limit::per_second));
        let (mut sum, mut all, mut any) = (0.0, true, false);
        for limit in limits {
            sum += limit.unwrap_or_default();
            all &= limit.is_some();
            any |= limit.is_some();
        }
        self.any_limited = any;
        self.limit_sum = (any && all).then_some(sum);
    }

    /// Returns the requests per second that this box may send if all serving endpoints limit
    /// theirs: its equal share of all limits, or the rate at which it is issued permits if that is
    /// well above the share.
    pub(in crate::core::dispatch) fn sendable_rate(&self, now: Duration) -> Option<f64> {
        let share = self.limit_sum? / f64::from(self.other_boxes + 1);
        let issued = self.issue_rate.rate(now);
        Some(if issued > share * MIN_ISSUED_FACTOR {
            issued
        } else {
            share
        })
    }

    /// Returns and resets the number of requests diverted from their home by its limit.
    pub(in crate::core::dispatch) fn take_limit_diversions(&mut self) -> u32 {
        std::mem::take(&mut self.diverted_by_limit)
    }

    /// Returns the permits to request, given the rate of arriving requests and the number of
    /// waiting ones. Endpoints from which most requests were diverted come first. Halves the
    /// counts of diverted requests, so that older ones count less.
    pub(in crate::core::dispatch) fn wanted_permits(
        &mut self,
        requests_per_second: f64,
        waiting: usize,
        now: Duration,
    ) -> Vec<Wanted> {
        // Endpoints may have been ejected or become active again since the last change.
        self.sum_limits();
        if !self.any_limited
            || (waiting == 0 && requests_per_second < MIN_PREFETCH_REQUESTS_PER_SECOND)
        {
            return Vec::new();
        }
        // A few requests at most, so the cast is exact.
        let expected = (requests_per_second * PREFETCH_SECONDS).ceil() as u32;
        let need = expected.saturating_add(u32::try_from(waiting).unwrap_or(u32::MAX));
        let limited = self.endpoints.iter_mut().filter(|e| e.is_limited());
        let mut wanted: Vec<_> = limited
            .map(|endpoint| {
                endpoint.diverted /= 2;
                let order = (Reverse(endpoint.diverted), endpoint.bias);
                let count = need.saturating_sub(endpoint.permits.count(now));
                let endpoint = endpoint.name.clone();
                (order, Wanted { endpoint, count })
            })
            .filter(|(_, wanted)| wanted.count > 0)
            .collect();
        wanted.sort_by_key(|(order, _)| *order);
        let wanted = wanted.into_iter().take(MAX_WANTED_ENDPOINTS);
        wanted.map(|(_, wanted)| wanted).collect()
    }
}
