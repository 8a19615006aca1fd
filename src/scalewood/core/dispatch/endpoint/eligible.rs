//! Eligibility of endpoints for a request, and the granting of slots.
//!
//! All slots are granted through this module: only [`Set::eligible`] and [`Set::eligible_at`]
//! create an [`Eligible`], and [`Set::grant`] takes nothing else. So all conditions that rule out
//! an endpoint are checked in one place, whichever way it is chosen.

use std::time::Duration;

use super::{Endpoint, Index, Prefill, Score, Set};
use crate::core::{
    build,
    dispatch::{queue, Settings},
    invariant, name, registry, residency, throttle, warm_up,
};

/// How long after the first sign that an endpoint leaves a grant to it is tolerated.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// The operator's orders and the endpoint's own state that restrict new requests to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Admission {
    /// Whether its zone is cordoned, so that it gets no new requests.
    pub cordoned: bool,
    /// The region of its zone, if known.
    pub region: Option<name::Region>,
    /// Its current start, if it reports one.
    pub incarnation: registry::Start,
    /// The build of its software.
    pub build: build::Build,
    /// Its warm-up, unless that is known to be over.
    pub warming: Option<warm_up::Warming>,
    /// The requests per second that it accepts from all boxes together, if it limits them.
    pub limit: Option<throttle::Limit>,
}

/// The properties of a request that rule out endpoints.
#[derive(Clone, Copy, Debug)]
pub(in crate::core::dispatch) struct Constraints<'a> {
    /// The regions where the request may be served.
    pub(in crate::core::dispatch) allowed: &'a residency::Allowed,
    /// The box that would send the request.
    pub(in crate::core::dispatch) origin: &'a name::Box,
    /// The only build that may run the request, if there is such a constraint.
    pub(in crate::core::dispatch) build: Option<&'a build::Build>,
}

impl<'a> From<&'a queue::Lane> for Constraints<'a> {
    fn from(lane: &'a queue::Lane) -> Self {
        Self {
            allowed: &lane.allowed,
            origin: &lane.origin,
            build: lane.build.as_ref(),
        }
    }
}

/// An endpoint with a free slot that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Eligible {
    index: Index,
    score: Score,
}

impl Eligible {
    /// Returns the endpoint.
    pub(super) fn index(&self) -> Index {
        self.index
    }

    /// Returns its rank in the order of choice; the lowest comes first.
    pub(super) fn score(&self) -> Score {
        self.score
    }
}

impl Endpoint {
    /// Returns whether a request may be sent there, now or later.
    pub(super) fn may_serve(&self, constraints: Constraints<'_>) -> bool {
        !self.admission.cordoned && self.is_suitable(constraints)
    }

    /// Returns whether its region and its build may run a request.
    fn is_suitable(&self, constraints: Constraints<'_>) -> bool {
        let region = self.admission.region.as_ref();
        let is_build = |build: &build::Build| *build == self.admission.build;
        constraints.allowed.permits(region) && constraints.build.is_none_or(is_build)
    }

    /// Returns whether a request may be sent there now, regardless of warm-up, rate limit and
    /// slots.
    fn is_eligible(&self, constraints: Constraints<'_>) -> bool {
        self.may_serve(constraints) && !self.backoffs.contains_key(constraints.origin)
    }

    /// Returns its warm-up, while that lasts.
    pub(super) fn warming(&self, now: Duration) -> Option<warm_up::Warming> {
        self.admission
            .warming
            .filter(|warming| warming.is_active(now))
    }

    /// Returns whether its warm-up and its rate limit allow this box to send to it now.
    pub(super) fn may_send(&self, now: Duration) -> bool {
        let warming = self.warming(now);
        let is_warm = warming.is_none_or(|warming| self.pass.may_send(&warming, now));
        is_warm && self.is_within_limit(now)
    }
}

impl Set {
    /// Returns the endpoints with a free slot that a request may be sent to, in the order of
    /// choice.
    pub(super) fn eligible<'a>(
        &'a self,
        constraints: Constraints<'a>,
        now: Duration,
    ) -> impl Iterator<Item = Eligible> + 'a {
        let ready = self.ready.iter();
        let free = ready.map(|(score, index)| Eligible {
            index: *index,
            score: *score,
        });
        free.filter(move |free| {
            let endpoint = &self.endpoints[free.index.0];
            endpoint.is_eligible(constraints) && endpoint.may_send(now)
        })
    }

    /// Returns an endpoint if it has a free slot and a request may be sent to it.
    pub(super) fn eligible_at(
        &self,
        index: Index,
        constraints: Constraints<'_>,
        now: Duration,
    ) -> Option<Eligible> {
        let endpoint = &self.endpoints[index.0];
        let score = endpoint.score?;
        let may_send = endpoint.is_eligible(constraints) && endpoint.may_send(now);
        may_send.then_some(Eligible { index, score })
    }

    /// Returns whether any endpoint has a free slot that this box may use now.
    pub(in crate::core::dispatch) fn has_free(&self, now: Duration) -> bool {
        let mut ready = self.ready.iter();
        ready.any(|(_, index)| self.endpoints[index.0].may_send(now))
    }

    /// Returns and resets two counts: requests granted to endpoints that warm up, and requests
    /// diverted from their home because it warms up.
    pub(in crate::core::dispatch) fn take_warm_up_counts(&mut self) -> (u32, u32) {
        (
            std::mem::take(&mut self.sent_to_warming),
            std::mem::take(&mut self.diverted_by_warm_up),
        )
    }

    /// Records leases of endpoints that warm up, given by one of `hubs` hubs.
    pub(in crate::core::dispatch) fn set_leases(
        &mut self,
        leased: &[name::Endpoint],
        until: Duration,
        hubs: u32,
        now: Duration,
    ) {
        for name in leased {
            if let Some(index) = self.names.get(name) {
                self.endpoints[index.0].pass.renew(until, hubs, now);
            }
        }
    }

    /// Returns the endpoints of this zone that warm up with their recent diverted requests, the
    /// highest count first. Halves the counts first, so that older requests count less.
    pub(in crate::core::dispatch) fn wanted_leases(
        &mut self,
        now: Duration,
    ) -> Vec<(u32, name::Endpoint)> {
        if !self.any_warming {
            return Vec::new();
        }
        let near = self.endpoints.iter_mut();
        let near = near.filter(|e| e.configured && !e.in_other_zone && e.leaving_since.is_none());
        let warming = near.filter(|e| e.warming(now).is_some());
        let wanted = warming.map(|endpoint| (endpoint.diverted / 2, endpoint));
        let mut wanted: Vec<_> = wanted
            .map(|(diverted, endpoint)| {
                endpoint.diverted = diverted;
                (diverted, endpoint.bias, endpoint.name.clone())
            })
            .collect();
        wanted.sort_by(|a, b| (b.0, a.1).cmp(&(a.0, b.1)));
        let wanted = wanted.into_iter();
        wanted.map(|(count, _, name)| (count, name)).collect()
    }

    /// Returns whether a request may be sent to some endpoint with a free slot.
    pub(in crate::core::dispatch) fn has_free_for(
        &self,
        constraints: Constraints<'_>,
        now: Duration,
    ) -> bool {
        self.eligible(constraints, now).next().is_some()
    }

    /// Returns whether a request may be sent to an endpoint as soon as a slot becomes free there.
    /// At an endpoint that limits its request rate, a free slot alone is not enough. A lease for a
    /// warm-up is not checked.
    pub(in crate::core::dispatch) fn may_use_freed_slot(
        &self,
        index: Index,
        constraints: Constraints<'_>,
        now: Duration,
    ) -> bool {
        let endpoint = &self.endpoints[index.0];
        endpoint.is_eligible(constraints) && endpoint.is_within_limit(now)
    }

    /// Returns whether no endpoint may serve a request, even once slots become free.
    pub(in crate::core::dispatch) fn is_unservable(&self, constraints: Constraints<'_>) -> bool {
        let serving = |e: &&Endpoint| e.configured && e.leaving_since.is_none();
        let mut serving = self.endpoints.iter().filter(serving);
        !serving.any(|endpoint| endpoint.may_serve(constraints))
    }

    /// Returns whether only a cordon keeps a request from some serving endpoint.
    pub(in crate::core::dispatch) fn has_cordoned(&self, constraints: Constraints<'_>) -> bool {
        let serving = |e: &&Endpoint| e.configured && e.leaving_since.is_none();
        let mut serving = self.endpoints.iter().filter(serving);
        serving.any(|e| e.admission.cordoned && e.is_suitable(constraints))
    }

    /// Takes a slot for a prompt.
    pub(super) fn grant(&mut self, to: Eligible, prompt: Prefill, now: Duration) {
        self.check_grant(to.index, now);
        let endpoint = &mut self.endpoints[to.index.0];
        if let Some(warming) = endpoint.warming(now) {
            endpoint.pass.take(&warming, now);
            self.sent_to_warming += 1;
        }
        if let Some(limit) = endpoint.admission.limit {
            endpoint.permits.take(limit, now);
        }
        self.take(to.index, prompt, now);
    }

    /// Adds a run that another dispatcher granted, with its prompt's tokens. Its endpoint may be
    /// unknown here.
    pub(in crate::core::dispatch) fn adopt(
        &mut self,
        name: &name::Endpoint,
        prompt: Prefill,
        answered: bool,
        now: Duration,
        settings: &Settings,
    ) -> Index {
        let index = self.index_or_add(name, settings);
        self.take(index, prompt, now);
        if answered {
            self.record_first_token(index, prompt, now);
        }
        index
    }

    fn check_grant(&self, index: Index, now: Duration) {
        let endpoint = &self.endpoints[index.0];
        invariant::check(
            endpoint
                .leaving_since
                .is_none_or(|since| now.saturating_sub(since) <= LEAVING_GRACE),
            invariant::Rule::LeavingGrant,
            || format!("grant to leaving endpoint {}", endpoint.name),
        );
        invariant::check(
            !endpoint.admission.cordoned,
            invariant::Rule::CordonedGrant,
            || {
                format!(
                    "grant to {} in cordoned zone {}",
                    endpoint.name, endpoint.zone
                )
            },
        );
        invariant::check(
            endpoint.may_send(now),
            invariant::Rule::WarmingGrant,
            || {
                format!(
                    "grant to {}, which warms up or limits its requests, without a lease or permit",
                    endpoint.name
                )
            },
        );
        invariant::check(
            endpoint.running < endpoint.slots,
            invariant::Rule::SlotHolder,
            || {
                format!(
                    "{} of {} slots of {} held",
                    endpoint.running, endpoint.slots, endpoint.name
                )
            },
        );
    }

    fn take(&mut self, index: Index, prompt: Prefill, now: Duration) {
        let endpoint = &mut self.endpoints[index.0];
        if endpoint.pending_runs == 0 {
            endpoint.waiting_since = now;
        }
        endpoint.pending_runs += 1;
        endpoint.pending_prefill += prompt.tokens;
        endpoint.less_urgent.add(prompt.tier, prompt.tokens);
        endpoint.cached += prompt.tokens;
        endpoint.running += 1;
        self.busy.insert(index);
        self.running += 1;
        self.rescore(index);
    }
}
