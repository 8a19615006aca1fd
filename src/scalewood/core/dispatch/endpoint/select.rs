//! The choice of an endpoint for a prompt that shares a prefix with others.
//!
//! All boxes compute the same order of endpoints for a prefix by rendezvous hashing. The first is
//! the prefix's home, which likely caches it. A prompt goes to the next endpoint in the order once
//! its home's cost (`cost`) exceeds that endpoint's by more than the cost of one step away from
//! home.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use super::{
    cost::{self, Cost, Model, Prompt},
    eligible::Eligible,
    Choice, Index, Overload, Prefill, Set, Unplaced,
};
use crate::core::{
    dispatch::message,
    load::{self, Load},
    name, rendezvous,
};

/// The number of ready endpoints up to which all are compared for each prompt.
const MAX_COMPARED_ENDPOINTS: usize = 256;
/// The number of further endpoints, in the order of choice, that are compared when the candidates
/// of the ring have no room.
const MAX_FURTHER_ENDPOINTS: usize = 32;
/// How long an endpoint is assumed to cache a shared prefix that was placed there.
const CACHED_FOR: Duration = Duration::from_secs(30);
/// The number of recorded prefixes from which on expired ones are removed more often.
const LARGE_PREFIX_COUNT: usize = 4096;
/// The least time between these removals, which go through all prefixes.
const MIN_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The endpoints where all boxes recently placed prompts with a shared prefix, and until when each
/// is assumed to cache it.
#[derive(Debug, Default)]
pub(super) struct Cached {
    placements: HashMap<message::Prefix, Vec<(Index, Duration)>>,
    last_sweep: Duration,
    /// The placements of this box that are not reported to other boxes yet.
    unreported: Vec<(message::Prefix, Index)>,
}

impl Cached {
    /// Returns the endpoints that likely cache a shared prefix.
    fn endpoints(&self, prefix: message::Prefix, now: Duration) -> Vec<Index> {
        let placements = self.placements.get(&prefix).into_iter().flatten();
        let valid = placements.filter(|(_, until)| *until > now);
        valid.map(|(index, _)| *index).collect()
    }

    /// Records a placement. Returns whether a placement by this box is to be reported to other
    /// boxes: it is new, or the last report is so old that they would soon forget it.
    fn record(&mut self, prefix: message::Prefix, index: Index, now: Duration) -> bool {
        let is_large = self.placements.len() >= LARGE_PREFIX_COUNT
            && now > self.last_sweep + MIN_SWEEP_INTERVAL;
        if is_large || now > self.last_sweep + CACHED_FOR {
            self.last_sweep = now;
            self.placements.retain(|_, placements| {
                placements.retain(|(_, until)| *until > now);
                !placements.is_empty()
            });
        }
        let placements = self.placements.entry(prefix).or_default();
        let known = placements.iter_mut().find(|(at, _)| *at == index);
        match known {
            Some((_, until)) if *until > now + CACHED_FOR / 2 => false,
            Some((_, until)) => {
                *until = now + CACHED_FOR;
                true
            }
            None => {
                placements.push((index, now + CACHED_FOR));
                true
            }
        }
    }

    /// Changes the endpoints' indexes; placements at removed endpoints are dropped.
    pub(super) fn reindex(&mut self, new: impl Fn(Index) -> Option<Index>) {
        for placements in self.placements.values_mut() {
            let moved = placements
                .iter()
                .filter_map(|(at, until)| Some((new(*at)?, *until)));
            *placements = moved.collect();
        }
        let unreported = self.unreported.iter();
        let moved = unreported.filter_map(|(prefix, at)| Some((*prefix, new(*at)?)));
        self.unreported = moved.collect();
    }
}

/// The best endpoint for a prompt.
struct Best {
    chosen: Eligible,
    /// Whether it likely caches the prompt's shared prefix.
    cached: bool,
    /// The predicted time to the first token there.
    first_token: Duration,
    /// By how much `first_token` exceeds the limit above which the prompt is refused.
    excess: Duration,
}

impl Set {
    /// Chooses the endpoint for a prompt and takes a slot there.
    pub(in crate::core::dispatch) fn choose_endpoint(
        &mut self,
        prompt: &Prompt<'_>,
        model: &Model<'_>,
        avoid: Option<&name::Endpoint>,
        now: Duration,
    ) -> Result<Choice, Unplaced> {
        let candidates = self.candidates(prompt, now);
        let mut best = self.best_of(&candidates, prompt, model, avoid, now);
        let is_late = best.as_ref().is_none_or(|best| !best.excess.is_zero());
        if is_late && self.ready.len() > MAX_COMPARED_ENDPOINTS {
            // Other endpoints may have room, though they do not cache the prefix.
            let others = self
                .eligible(prompt.constraints, now)
                .take(MAX_FURTHER_ENDPOINTS);
            let wider: Vec<_> = candidates.into_iter().chain(others).collect();
            best = self.best_of(&wider, prompt, model, avoid, now);
        }
        let Best {
            chosen,
            cached: is_cached,
            first_token,
            excess,
        } = best.ok_or(Unplaced::NoSlot)?;
        let index = chosen.index();
        if !excess.is_zero() {
            return Err(Unplaced::Overload(Overload {
                first_token,
                excess,
            }));
        }
        let prefix = prompt.placement_key.prefix;
        if self.cached.record(prefix, index, now) {
            self.cached.unreported.push((prefix, index));
        }
        let choice = self.choice(index, prompt, is_cached);
        let taken = Prefill {
            tokens: choice.prefill_tokens,
            tier: prompt.tier,
        };
        self.grant(chosen, taken, now);
        Ok(choice)
    }

    /// Returns the best of the candidates for a prompt.
    fn best_of(
        &mut self,
        candidates: &[Eligible],
        prompt: &Prompt<'_>,
        model: &Model<'_>,
        avoid: Option<&name::Endpoint>,
        now: Duration,
    ) -> Option<Best> {
        let eligible_endpoints = candidates.iter();
        let mut candidates: Vec<_> = eligible_endpoints
            .map(|eligible| (self.weight(eligible.index(), prompt), *eligible))
            .collect();
        candidates.sort_unstable_by_key(|(weight, eligible)| Reverse((*weight, eligible.index())));
        candidates.dedup_by_key(|(_, eligible)| eligible.index());
        let best = candidates.first().map(|(weight, _)| *weight);
        self.count_diverted(prompt, best, now);
        let mut cached_at = self.cached.endpoints(prompt.placement_key.prefix, now);
        // Ignores endpoints of the other group, where the prompt would disturb the streams.
        cached_at.retain(|index| !self.is_foreign(*index, prompt));
        let step_cost = cost::step_cost(prompt, model);
        // If the prefix is cached nowhere, its home costs no more than an endpoint that caches it.
        // Steps are counted separately in the two groups.
        let mut steps = [Cost::from(!cached_at.is_empty()); 2];
        let ranked = candidates.into_iter().map(|(_, eligible)| {
            let index = eligible.index();
            let endpoint = &self.endpoints[index.0];
            let foreign = self.is_foreign(index, prompt);
            let is_cached = cached_at.contains(&index);
            let mut distance_cost = 0;
            if !is_cached {
                let steps = &mut steps[usize::from(foreign)];
                distance_cost = step_cost * *steps;
                // Prompts that pass such an endpoint are together again at the next one.
                *steps += Cost::from(!cost::is_likely_to_fail(endpoint, model, now));
            }
            let avoided = avoid == Some(&endpoint.name);
            let is_suspect = endpoint.in_other_zone && self.zones.is_suspect(&endpoint.zone, now);
            let cost = distance_cost + self.cost(endpoint, prompt, model, now);
            ((avoided, is_suspect, cost), eligible, is_cached)
        });
        let (_, chosen, cached) = ranked.min_by_key(|(rank, ..)| *rank)?;
        let first_token =
            cost::first_token(&self.endpoints[chosen.index().0], prompt, cached, model);
        Some(Best {
            chosen,
            cached,
            first_token,
            excess: prompt.excess(first_token),
        })
    }

    /// Returns the endpoints to compare for a prompt. If few are ready, that is all eligible ones;
    /// otherwise the prefix's candidates on the ring and those that likely cache the prefix.
    fn candidates(&self, prompt: &Prompt<'_>, now: Duration) -> Vec<Eligible> {
        if self.ready.len() <= MAX_COMPARED_ENDPOINTS {
            return self.eligible(prompt.constraints, now).collect();
        }
        let prefix = prompt.placement_key.prefix;
        let at = |index| self.eligible_at(index, prompt.constraints, now);
        let mut candidates = self.ring.candidates(prefix.0, |index| at(index).is_some());
        candidates.extend(self.cached.endpoints(prefix, now));
        candidates.into_iter().filter_map(at).collect()
    }

    /// Counts a prompt as diverted if its home, by weight, is an endpoint that may not be used
    /// because it warms up or limits its request rate. `best` is the highest weight of the others.
    fn count_diverted(&mut self, prompt: &Prompt<'_>, best: Option<u64>, now: Duration) {
        if !self.any_warming && !self.any_limited {
            return;
        }
        let ready = self.ready.iter().map(|(_, index)| *index);
        let barred = ready.filter(|index| !self.endpoints[index.0].may_send(now));
        let home = barred.max_by_key(|index| self.weight(*index, prompt));
        let Some(home) = home.filter(|home| Some(self.weight(*home, prompt)) > best) else {
            return;
        };
        let endpoint = &mut self.endpoints[home.0];
        endpoint.diverted += 1;
        if endpoint.is_within_limit(now) {
            self.diverted_by_warm_up += 1;
        } else {
            self.diverted_by_limit += 1;
        }
    }

    fn choice(&self, index: Index, prompt: &Prompt<'_>, cached: bool) -> Choice {
        let endpoint = &self.endpoints[index.0];
        Choice {
            endpoint: index,
            prefill_tokens: prompt.prefill_tokens(cached),
            ahead: endpoint.ahead(prompt.tier),
            cached,
            place: Some(prompt.place(endpoint)),
        }
    }

    /// Returns whether an endpoint belongs to the other group of prompt lengths.
    fn is_foreign(&self, index: Index, prompt: &Prompt<'_>) -> bool {
        prompt.is_foreign(&self.endpoints[index.0])
    }

    /// Records the placements of other boxes.
    pub(in crate::core::dispatch) fn record_placed(
        &mut self,
        placements: &[load::Placement],
        now: Duration,
    ) {
        for placement in placements {
            if let Some(index) = self.names.get(&placement.endpoint) {
                self.cached.record(placement.prefix, *index, now);
            }
        }
    }

    /// Returns the placements of this box since they were last taken.
    pub(in crate::core::dispatch) fn take_placements(&mut self) -> Vec<load::Placement> {
        let unreported = std::mem::take(&mut self.cached.unreported);
        let placement = |(prefix, index): (_, Index)| load::Placement {
            prefix,
            endpoint: self.endpoints[index.0].name.clone(),
        };
        unreported.into_iter().map(placement).collect()
    }

    fn weight(&self, index: Index, prompt: &Prompt<'_>) -> u64 {
        rendezvous::mix(prompt.placement_key.prefix.0 ^ self.endpoints[index.0].hash)
    }

    /// Returns the fraction of the slots of the endpoints for short prompts that is in use.
    pub(in crate::core::dispatch) fn short_prompt_utilisation(&self) -> f64 {
        let for_short = self.endpoints.iter();
        let for_short = for_short.filter(|e| e.configured && e.for_short);
        let (own, others, slots) = for_short.fold((0, 0, 0), |(own, others, slots), e| {
            (own + e.running, others + e.others.running, slots + e.slots)
        });
        let running = if self.others_known {
            own + others
        } else {
            own * (self.other_boxes + 1)
        };
        f64::from(running) / f64::from(slots.max(1))
    }

    /// Replaces the load of other boxes, or clears it if it is not known.
    pub(in crate::core::dispatch) fn set_others(&mut self, others: Option<&load::Loads>) {
        self.others_known = others.is_some();
        for endpoint in &mut self.endpoints {
            let load = others.and_then(|others| others.get(&endpoint.name));
            endpoint.others = load.copied().unwrap_or_default();
        }
        let unknown = others.into_iter().flatten();
        let unknown = unknown.filter(|(name, _)| !self.names.contains_key(*name));
        self.unknown_loads = unknown.map(|(name, load)| (name.clone(), *load)).collect();
        self.rescore_all();
    }

    /// Updates the load of other boxes at some endpoints.
    pub(in crate::core::dispatch) fn change_others(&mut self, changed: &[load::EndpointLoad]) {
        for load::EndpointLoad { endpoint, load } in changed {
            if let Some(index) = self.names.get(endpoint).copied() {
                self.endpoints[index.0].others = *load;
                self.rescore(index);
            } else if *load == Load::default() {
                self.unknown_loads.remove(endpoint);
            } else {
                self.unknown_loads.insert(endpoint.clone(), *load);
            }
        }
    }

    /// Returns the load of this box at each endpoint where it has requests.
    pub(in crate::core::dispatch) fn loads(
        &self,
    ) -> impl Iterator<Item = (name::Endpoint, Load)> + '_ {
        let loaded = self.busy.iter().filter(|index| self.is_latest(**index));
        loaded.map(|index| {
            let endpoint = &self.endpoints[index.0];
            let load = Load {
                pending_prefill: endpoint.pending_prefill,
                less_urgent: endpoint.less_urgent,
                cached: endpoint.cached,
                running: endpoint.running,
            };
            (endpoint.name.clone(), load)
        })
    }
}
