//! The endpoints of a service, and the choice of one for each request.
//!
//! Slots are counted by what was granted, which is known exactly. Load reports lag behind, so they
//! only lower the preference for an endpoint by the requests that queue inside it. Endpoints with a
//! free slot are kept in an ordered index, so that the least used one is found in logarithmic time.
//!
//! An endpoint that fails repeatedly is ejected for a while, then probed with a single request,
//! then given more requests as it succeeds. Only a bounded fraction of the endpoints is ejected at
//! once: if more of them fail, the cause is likely elsewhere.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    num::NonZeroU32,
    time::Duration,
};

use crate::core::{
    dispatch::{message, pauses, placement, prefill, zone, Settings},
    estimate,
    load::{self, Load},
    name, registry, rendezvous, risk,
    throttle::{Meter, Permits},
    unit, warm_up,
};

mod backoff;
mod cost;
mod eligible;
mod health;
mod pause;
mod restart;
mod ring;
mod select;
mod slots;
mod throttle;

pub use eligible::Admission;
pub(super) use eligible::Constraints;
pub use throttle::{Change as LimitChange, IssuedPermits};
pub(super) use {
    cost::{Model, Prompt},
    slots::Wanted,
};

/// The state of an endpoint's outlier ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Active,
    /// Gets no requests until this time.
    Ejected(Duration),
    /// Gets a single request, whose outcome decides whether it becomes active or is ejected again.
    Probing,
}

/// An index into a [`Set`], stable until unconfigured endpoints are removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Index(usize);

/// The prompt of a run as it is counted at its endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Prefill {
    /// The prompt's tokens to be prefilled there: those that are not cached.
    pub(super) tokens: u64,
    /// The tier of the request.
    pub(super) tier: unit::Tier,
}

/// A chosen endpoint, with a slot taken there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) endpoint: Index,
    /// The tokens of the prompt to be prefilled there.
    pub(super) prefill_tokens: u64,
    /// The tokens of other prompts waiting for prefill there when the prompt was placed.
    pub(super) ahead: prefill::Ahead,
    /// Whether the endpoint likely caches the prompt's shared prefix.
    pub(super) cached: bool,
    /// The kind of placement, if the prompt was placed by its shared prefix.
    pub(super) place: Option<pauses::Place>,
}

/// The reason why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unplaced {
    /// No slot is free.
    NoSlot,
    /// The request would be late, or its caller would leave before the first token.
    Overload(Overload),
}

/// By how much a request misses the time within which it must start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Overload {
    /// The predicted time to its first token.
    pub(super) first_token: Duration,
    /// By how much that exceeds the limit.
    pub(super) excess: Duration,
}

/// Returns the placeholder zone of an endpoint that is not configured.
fn unknown_zone() -> name::Zone {
    "unknown".parse().expect("the name is valid")
}

/// The rank of an endpoint in the order of choice, in thousandths of its slots; the lowest comes
/// first.
type Score = u64;

#[derive(Debug)]
struct Endpoint {
    name: name::Endpoint,
    slots: u32,
    running: u32,
    state: State,
    /// Since when it has been known to leave.
    leaving_since: Option<Duration>,
    /// Whether it is configured. Runs may continue at an endpoint that no longer is.
    configured: bool,
    /// The sum of the weights of failures since the last success, up to a bound.
    failures: u32,
    /// The number of ejections since it last succeeded with its full number of slots.
    ejections: u32,
    /// The slots that it may use during slow start.
    ramp: u32,
    /// The mean seconds per token, or per call of a plain service.
    seconds_per_unit: estimate::Ewma,
    /// Its speed relative to the median of its peers, above 0 and at most 1.
    speed: f64,
    /// The requests queued inside the endpoint, by its load reports.
    backlog: u32,
    /// Whether it is in another zone than this box.
    in_other_zone: bool,
    /// Whether it is in another region than this box.
    in_other_region: bool,
    /// Its rank in the order of endpoints that is the same at all boxes.
    rank: usize,
    /// The hash of its name, which enters its rendezvous weights.
    hash: u64,
    /// Its zone.
    zone: name::Zone,
    /// Restrictions on sending it new requests.
    admission: Admission,
    /// The start (incarnation) that this entry stands for, once it has been configured.
    start: Option<registry::Start>,
    /// The boxes that it asked to back off (`Retry-After`), with the end of each backoff.
    backoffs: BTreeMap<name::Box, Duration>,
    /// This box's lease to send to it while it warms up.
    pass: warm_up::Pass,
    /// This box's permits to send to it while it limits its request rate.
    permits: Permits,
    /// Recent requests whose home it is but that went elsewhere for lack of a lease or permit;
    /// halved at each request for leases or permits.
    diverted: u32,
    /// Whether it is slow compared with its peers.
    slow: bool,
    /// Whether it belongs to the group for short prompts when the endpoints are split by prompt
    /// length.
    for_short: bool,
    /// The capacity of its KV cache in tokens, if known.
    memory: Option<unit::Tokens>,
    /// The uncached tokens of this box's prompts there that have no first token yet.
    pending_prefill: u64,
    /// For each tier, the part of `pending_prefill` that belongs to less urgent requests.
    less_urgent: load::LessUrgent,
    /// The tokens of this box's running prompts in its KV cache, without shared prefixes that were
    /// cached before.
    cached: u64,
    /// The load of the other boxes there.
    others: Load,
    /// The number of boxes among which its slots are divided, while it must not be sent more than it can
    /// run.
    divided_among: Option<NonZeroU32>,
    /// The runs of this box there that have no first token yet.
    pending_runs: u32,
    /// The probability that the next request fails.
    risk: risk::Risk,
    /// The part of the score that is due to the risk, in thousandths of its slots.
    risk_penalty: u64,
    /// The outcomes of requests of this box that are not reported to other boxes yet.
    outcomes: load::OutcomeCounts,
    /// This box's constant penalty for it, in thousandths of its slots; see [`MAX_BIAS`].
    bias: u64,
    /// When the last first token came or, if that is later, when `pending_runs` last rose from 0.
    waiting_since: Duration,
    /// When a stream there was last reported to pause, unless there was a sign of life since.
    paused_at: Option<Duration>,
    /// Its key in `ready`, if it is in there.
    score: Option<Score>,
    /// Its contribution to `Set::allowed`.
    counted_allowed: u32,
}

impl Endpoint {
    /// Returns how many requests it may run at once.
    fn allowed(&self) -> u32 {
        if !self.configured || self.leaving_since.is_some() || self.admission.cordoned {
            return 0;
        }
        match self.state {
            State::Ejected(_) => 0,
            State::Probing => 1,
            State::Active => self.own_slots().min(self.ramp).max(1),
        }
    }

    /// Returns how many of its slots this box may use: all, or an equal part if they are divided.
    fn own_slots(&self) -> u32 {
        let slots = self.effective_slots();
        self.divided_among.map_or(slots, |boxes| slots / boxes)
    }

    /// Returns whether the requests of all boxes leave no slot free that they must not exceed.
    fn is_full(&self) -> bool {
        self.divided_among.is_some() && self.running + self.others.running >= self.slots
    }

    /// Returns its slots, scaled down by its relative speed.
    fn effective_slots(&self) -> u32 {
        // The product is at most `slots`, so the cast is exact.
        (f64::from(self.slots) * self.speed).ceil() as u32
    }

    /// Subtracts a prompt whose first token has come or will never come.
    fn subtract_pending_prefill(&mut self, prompt: Prefill) {
        self.pending_prefill = self.pending_prefill.saturating_sub(prompt.tokens);
        self.less_urgent.remove(prompt.tier, prompt.tokens);
    }

    fn score(&self) -> Option<Score> {
        let allowed = self.allowed();
        if self.running >= allowed || self.is_full() {
            return None;
        }
        let running = self.running + self.others.running;
        let used = u64::from(running + 1) * 1000 / u64::from(allowed);
        let distance = u64::from(self.in_other_zone) * OTHER_ZONE_PENALTY
            + u64::from(self.in_other_region) * OTHER_REGION_PENALTY
            + self.bias;
        let waits = u64::from(self.backlog);
        Some(u64::from(self.failures) * 1_000_000 + self.risk_penalty + used + distance + waits)
    }
}

/// The configuration of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Its name.
    pub name: name::Endpoint,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is marked as leaving.
    pub leaving: bool,
    /// Whether it is in another zone than this box; endpoints of this zone are preferred.
    pub in_other_zone: bool,
    /// Its rank in an order of endpoints that is the same at all boxes and alternates between
    /// zones.
    pub rank: usize,
    /// Its zone.
    pub zone: name::Zone,
    /// Whether it is slow compared with the other endpoints of its service.
    pub slow: bool,
    /// The capacity of its KV cache in tokens, if known.
    pub memory: Option<unit::Tokens>,
    /// Restrictions on sending it new requests.
    pub admission: Admission,
}

/// The endpoints of a service.
#[derive(Debug, Default)]
pub(super) struct Set {
    endpoints: Vec<Endpoint>,
    /// The latest start of each endpoint.
    names: HashMap<name::Endpoint, Index>,
    /// The endpoints with a free slot, in the order of choice.
    ready: BTreeSet<(Score, Index)>,
    ring: ring::Ring,
    /// The endpoints where this box has running requests.
    busy: BTreeSet<Index>,
    /// The endpoints with outcomes that are not reported to other boxes yet.
    unreported: BTreeSet<Index>,
    /// The endpoints with a pause that is not counted as a failure yet.
    newly_paused: BTreeSet<Index>,
    /// Whether any endpoint may be warming up.
    any_warming: bool,
    hints: HashMap<message::Prefix, slots::Hint>,
    cached: select::Cached,
    allowed: u32,
    running: u32,
    last_refresh: Duration,
    /// The number of boxes that use the endpoints, besides this one.
    other_boxes: u32,
    /// Whether the load of those boxes is known.
    others_known: bool,
    /// Recent failures of endpoints in other zones.
    zones: zone::Zones,
    /// Requests granted to endpoints that warm up, and requests diverted from their home because it
    /// warms up; both since they were last taken.
    sent_to_warming: u32,
    diverted_by_warm_up: u32,
    /// The region of this box, if known.
    region: Option<name::Region>,
    /// Whether any endpoint may have asked any box to back off.
    any_backing_off: bool,
    /// Whether any endpoint may limit its request rate.
    any_limited: bool,
    /// The sum of all limits, in requests per second, if all serving endpoints have one.
    limit_sum: Option<f64>,
    /// The rate at which this box is issued permits.
    issue_rate: Meter,
    /// Requests diverted from their home by its limit, since this was last taken.
    diverted_by_limit: u32,
    /// Since when this box has been issued no permits and has used an equal share of each limit
    /// instead.
    permits_unavailable_since: Option<Duration>,
    /// The number of endpoints that are not configured.
    unconfigured: usize,
    /// When the next ejected endpoint is to be probed.
    probe_at: Option<Duration>,
    /// The load of other boxes at endpoints that are not known here yet.
    unknown_loads: HashMap<name::Endpoint, Load>,
    /// Whether this box has lost its links to the endpoints.
    links_lost: bool,
    /// Whether the endpoints fail if they reject too many requests.
    rejections_limited: bool,
}

/// The score penalty, in thousandths of the slots, of an endpoint in another zone: how much fuller
/// one of this zone may be and still come first.
const OTHER_ZONE_PENALTY: u64 = 300;
/// The additional penalty of an endpoint in another region. The round trip there takes about as
/// long as a short call's work, so nearly all slots nearby are used first.
const OTHER_REGION_PENALTY: u64 = 700;
/// The upper bound of a box's constant penalty for an endpoint, in thousandths of the slots. A box
/// learns the load of the others later than many calls take, so without different preferences all
/// boxes would send to the endpoint that was least used a moment ago. It is below
/// `OTHER_ZONE_PENALTY`, so that it decides only within a zone.
const MAX_BIAS: u64 = 200;
/// The score penalty, in thousandths of the slots, of an endpoint that is certain to fail: it is
/// used only once the others have twice as many requests as slots.
const MAX_RISK_PENALTY: f64 = 2000.0;

/// Unconfigured endpoints are removed once they are at least one in this many.
const REMOVAL_DIVISOR: usize = 64;

/// Returns whether two regions are known and differ.
fn is_other_region(own: Option<&name::Region>, other: Option<&name::Region>) -> bool {
    own.zip(other).is_some_and(|(own, other)| own != other)
}

impl Set {
    /// Creates an empty set for a box in a region.
    pub(super) fn new(region: Option<name::Region>) -> Self {
        Self {
            region,
            ..Self::default()
        }
    }

    /// Replaces the configuration. Endpoints that are no longer configured keep their runs.
    pub(super) fn configure(&mut self, specs: &[Spec], now: Duration, settings: &Settings) {
        for endpoint in &mut self.endpoints {
            endpoint.configured = false;
        }
        self.any_warming = false;
        for spec in specs {
            let index = self.set_spec(spec, now, settings);
            self.endpoints[index.0].rank = spec.rank;
        }
        let unconfigured = self.endpoints.iter().filter(|e| !e.configured);
        self.unconfigured = unconfigured.count();
        self.assign_prompt_groups();
        self.rescore_all();
        self.sum_limits();
    }

    /// Changes the configuration of some endpoints and removes others from it. A new endpoint ranks
    /// last in the common order until the next full configuration.
    pub(super) fn change(
        &mut self,
        specs: &[Spec],
        gone: &[name::Endpoint],
        now: Duration,
        settings: &Settings,
    ) {
        for name in gone {
            let Some(index) = self.names.get(name).copied() else {
                continue;
            };
            let configured = &mut self.endpoints[index.0].configured;
            self.unconfigured += usize::from(std::mem::take(configured));
            self.rescore(index);
        }
        for spec in specs {
            let index = self.set_spec(spec, now, settings);
            self.rescore(index);
        }
        self.sum_limits();
    }

    fn set_spec(&mut self, spec: &Spec, now: Duration, settings: &Settings) -> Index {
        let index = self.index_of_start(&spec.name, spec.admission.incarnation, settings);
        let endpoint = &mut self.endpoints[index.0];
        if !endpoint.configured {
            self.unconfigured = self.unconfigured.saturating_sub(1);
        }
        endpoint.configured = true;
        endpoint.slots = spec.slots;
        endpoint.in_other_zone = spec.in_other_zone;
        endpoint.zone = spec.zone.clone();
        endpoint.admission = spec.admission.clone();
        endpoint.in_other_region =
            is_other_region(self.region.as_ref(), spec.admission.region.as_ref());
        endpoint.slow = spec.slow;
        endpoint.memory = spec.memory;
        self.any_warming |= spec.admission.warming.is_some();
        self.any_limited |= spec.admission.limit.is_some();
        match (spec.leaving, endpoint.leaving_since) {
            (true, None) => endpoint.leaving_since = Some(now),
            (false, Some(_)) => endpoint.leaving_since = None,
            _ => {}
        }
        index
    }

    /// Assigns the endpoints to the groups for short and for long prompts.
    fn assign_prompt_groups(&mut self) {
        let configured = self.endpoints.iter_mut().filter(|e| e.configured);
        let mut in_order: Vec<_> = configured.collect();
        in_order.sort_by_key(|endpoint| endpoint.rank);
        let slow: Vec<_> = in_order.iter().map(|endpoint| endpoint.slow).collect();
        for (endpoint, short) in in_order.into_iter().zip(placement::partition(&slow)) {
            endpoint.for_short = short;
        }
    }

    fn index_or_add(&mut self, name: &name::Endpoint, settings: &Settings) -> Index {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let index = Index(self.endpoints.len());
        self.names.insert(name.clone(), index);
        self.unconfigured += 1;
        let others = self.unknown_loads.remove(name).unwrap_or_default();
        let hash = rendezvous::hash(&[name.as_str()]);
        self.ring.add(hash, index);
        let bias = rendezvous::hash(&[&settings.seed.to_string(), name.as_str()]) % MAX_BIAS;
        let mut permits = Permits::default();
        permits.set_fallback(throttle::own_share(
            self.permits_unavailable_since,
            self.other_boxes,
            bias,
        ));
        self.endpoints.push(Endpoint {
            name: name.clone(),
            slots: 0,
            running: 0,
            state: State::Active,
            leaving_since: None,
            configured: false,
            failures: 0,
            ejections: 0,
            ramp: settings.ramp,
            seconds_per_unit: estimate::Ewma::default(),
            speed: 1.0,
            backlog: 0,
            in_other_zone: false,
            in_other_region: false,
            rank: usize::MAX,
            hash,
            zone: unknown_zone(),
            admission: Admission::default(),
            start: None,
            backoffs: BTreeMap::new(),
            pass: warm_up::Pass::default(),
            permits,
            diverted: 0,
            slow: false,
            for_short: true,
            memory: None,
            pending_prefill: 0,
            less_urgent: load::LessUrgent::default(),
            cached: 0,
            others,
            divided_among: self.divided_among(),
            pending_runs: 0,
            risk: risk::Risk::default(),
            risk_penalty: 0,
            outcomes: load::OutcomeCounts::default(),
            bias,
            waiting_since: Duration::ZERO,
            paused_at: None,
            score: None,
            counted_allowed: 0,
        });
        index
    }

    /// Records that an endpoint leaves, or that it no longer does. The time of the first such
    /// report is kept.
    pub(super) fn set_leaving(&mut self, name: &name::Endpoint, leaving: bool, now: Duration) {
        let Some(index) = self.names.get(name).copied() else {
            return;
        };
        let endpoint = &mut self.endpoints[index.0];
        if leaving {
            endpoint.leaving_since.get_or_insert(now);
        } else {
            endpoint.leaving_since = None;
        }
        self.rescore(index);
    }

    /// Records a load report: the number of requests queued inside the endpoint.
    pub(super) fn set_backlog(&mut self, name: &name::Endpoint, waiting: u32) {
        let Some(index) = self.names.get(name).copied() else {
            return;
        };
        self.endpoints[index.0].backlog = waiting;
        self.rescore(index);
    }

    /// Returns how many requests may run at once at all endpoints together.
    pub(super) fn allowed(&self) -> u32 {
        self.allowed
    }

    /// Returns how many endpoints are configured.
    pub(super) fn configured_count(&self) -> usize {
        self.endpoints.len() - self.unconfigured
    }

    /// Returns how many requests run.
    pub(super) fn running(&self) -> u32 {
        self.running
    }

    pub(super) fn name(&self, index: Index) -> &name::Endpoint {
        &self.endpoints[index.0].name
    }

    /// Sets the number of boxes that use the endpoints, including this one.
    pub(super) fn set_box_count(&mut self, count: u32) {
        self.other_boxes = count.saturating_sub(1);
        if self.rejections_limited {
            self.set_rejections_limited(true);
        }
    }

    /// Sets whether the endpoints must not be sent more than they can run.
    pub(super) fn set_rejections_limited(&mut self, limited: bool) {
        self.rejections_limited = limited;
        let divided_among = self.divided_among();
        for i in 0..self.endpoints.len() {
            if self.endpoints[i].divided_among != divided_among {
                self.endpoints[i].divided_among = divided_among;
                self.rescore(Index(i));
            }
        }
    }

    /// Returns the number of boxes among which each endpoint's slots are divided, if they are.
    fn divided_among(&self) -> Option<NonZeroU32> {
        let boxes = NonZeroU32::MIN.saturating_add(self.other_boxes);
        self.rejections_limited.then_some(boxes)
    }

    /// Releases the slot and the prompt tokens of a run; `answered` tells whether it got its first
    /// token.
    pub(super) fn free(&mut self, index: Index, prompt: Prefill, answered: bool) {
        let endpoint = &mut self.endpoints[index.0];
        endpoint.cached = endpoint.cached.saturating_sub(prompt.tokens);
        if !answered {
            endpoint.pending_runs = endpoint.pending_runs.saturating_sub(1);
            endpoint.subtract_pending_prefill(prompt);
        }
        endpoint.running = endpoint.running.saturating_sub(1);
        if endpoint.running == 0 {
            self.busy.remove(&index);
        }
        self.running = self.running.saturating_sub(1);
        self.rescore(index);
    }

    fn rescore_all(&mut self) {
        for i in 0..self.endpoints.len() {
            self.rescore(Index(i));
        }
    }

    /// Recomputes an endpoint's score and its contribution to the allowed requests.
    fn rescore(&mut self, index: Index) {
        let endpoint = &mut self.endpoints[index.0];
        if let Some(score) = endpoint.score.take() {
            self.ready.remove(&(score, index));
        }
        endpoint.score = endpoint.score();
        if let Some(score) = endpoint.score {
            self.ready.insert((score, index));
        }
        let allowed = endpoint.allowed();
        self.allowed = self.allowed - endpoint.counted_allowed + allowed;
        endpoint.counted_allowed = allowed;
    }

    /// Returns a view of each endpoint that is configured or still runs a request.
    pub(super) fn views(&self) -> impl Iterator<Item = View> + '_ {
        self.endpoints
            .iter()
            .filter(|e| e.configured || e.running > 0)
            .map(|e| View {
                name: e.name.clone(),
                slots: e.slots,
                running: e.running,
                others: e.others.running,
                allowed: e.allowed(),
                ejected: matches!(e.state, State::Ejected(_)),
                leaving: e.leaving_since.is_some(),
                warming: e.admission.warming.map(|warming| warming.until),
            })
    }

    /// Removes the unconfigured endpoints, if nothing runs. This takes linear time, so it waits
    /// until they are a fair part of all.
    pub(super) fn remove_unconfigured(&mut self) {
        let is_below_threshold = self.unconfigured * REMOVAL_DIVISOR < self.endpoints.len();
        if self.running > 0 || self.unconfigured == 0 || is_below_threshold {
            return;
        }
        self.unconfigured = 0;
        let mut next = 0;
        let stays = self.endpoints.iter().map(|endpoint| {
            let index = Index(next);
            next += usize::from(endpoint.configured);
            endpoint.configured.then_some(index)
        });
        let new: Vec<Option<Index>> = stays.collect();
        // Keeps the record of cached prefixes: a box with few requests often runs none, and without
        // the record each removal would have all prefixes prefilled again elsewhere.
        self.cached.reindex(|old| new[old.0]);
        self.unreported = self
            .unreported
            .iter()
            .filter_map(|old| new[old.0])
            .collect();
        self.hints.retain(|_, hint| {
            let moved = new[hint.index.0];
            hint.index = moved.unwrap_or(hint.index);
            moved.is_some()
        });
        // No stream is left that could pause.
        self.newly_paused.clear();
        self.ready.clear();
        self.allowed = 0;
        self.endpoints.retain(|e| e.configured);
        // With nothing running, no entries of earlier starts are left, so names are unique.
        let names = self.endpoints.iter().enumerate();
        self.names = names.map(|(i, e)| (e.name.clone(), Index(i))).collect();
        self.ring.clear();
        for (i, endpoint) in self.endpoints.iter_mut().enumerate() {
            endpoint.score = None;
            endpoint.counted_allowed = 0;
            self.ring.add(endpoint.hash, Index(i));
        }
        self.rescore_all();
    }
}

/// The state of an endpoint, for status pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Its name.
    pub name: name::Endpoint,
    /// Its configured slots.
    pub slots: u32,
    /// The slots held by this box.
    pub running: u32,
    /// The slots held by other boxes, as far as known.
    pub others: u32,
    /// The slots that may be used now.
    pub allowed: u32,
    /// Whether it is ejected.
    pub ejected: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The end of its warm-up, if it was warming up when it was last configured.
    pub warming: Option<Duration>,
}
