//! Autoscaling: how many endpoints of a service are ordered, in which zones and of which kind.
//!
//! Endpoints are paid for by the second. Interruptible ones cost a fraction of ordinary ones, and
//! all of them in an availability zone may be taken away at once, with some seconds of notice.
//!
//! The target is the recent peak of the slots in use divided by the target utilisation. It rises at
//! once, since a burst is over before the endpoints ordered for it have started. It falls only when
//! demand has been low for the whole look-back window, as each change costs a start, connections
//! and prompts that are prefilled again. Interruptible endpoints are spread over zones so that
//! enough remain when some zones lose theirs. Ordinary ones are kept for what the interruptible
//! ones that serve don't cover yet, or can't.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::name;

/// How long no interruptible endpoints are ordered in a zone that had none left or whose were taken
/// away. They become available again some seconds later, and a refused order costs a call.
const SCARCITY_PAUSE: Duration = Duration::from_secs(2);
/// How long no further endpoints must have been found after a start before any are given up:
/// endpoints announce themselves about every second.
const SETTLE_TIME: Duration = Duration::from_millis(2500);
/// A lower target is ignored if it is above this ratio of the current count, since a change has a
/// cost.
const MAX_LOWERING_RATIO: f64 = 0.85;
/// An order that seems not to have been followed is repeated this long after the endpoints' start
/// time: some heartbeats.
const REORDER_DELAY: Duration = Duration::from_secs(1);

/// The kind of an endpoint by how it is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// It stays until it is given up.
    Ordinary,
    /// It costs less and may be taken away.
    Interruptible,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Ordinary => "ordinary",
            Kind::Interruptible => "interruptible",
        })
    }
}

/// What the provider offers for a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// The minimum number of endpoints in a zone, of both kinds together.
    pub min: u32,
    /// The maximum number of endpoints in a zone, of both kinds together.
    pub max: u32,
    /// The time from an order until the new endpoint serves, in milliseconds.
    pub start_ms: u64,
    /// The price of an interruptible endpoint as a fraction of an ordinary one's, or `None` if
    /// there are no interruptible ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub interruptible_price: Option<f64>,
    /// The price of an endpoint per second in each zone where the service runs.
    pub zone_prices: BTreeMap<name::Zone, f64>,
}

impl Offer {
    /// Returns whether endpoints can be ordered under this offer at all.
    pub fn is_usable(&self) -> bool {
        self.max > 0 && self.min <= self.max && !self.zone_prices.is_empty()
    }

    /// Returns the offer without some zones: nothing is ordered or given up there.
    fn without(&self, zones: &BTreeSet<name::Zone>) -> Self {
        let mut rest = self.clone();
        rest.zone_prices.retain(|zone, _| !zones.contains(zone));
        rest
    }

    /// Returns the time within which ordered endpoints should serve.
    fn starts_within(&self) -> Duration {
        Duration::from_millis(self.start_ms) + REORDER_DELAY
    }

    /// Returns whether interruptible endpoints are offered at a lower price.
    fn has_cheaper_interruptible(&self) -> bool {
        self.interruptible_price.is_some_and(|price| price < 1.0)
    }
}

/// How the number of endpoints follows demand.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The target fraction of the slots in use at the recent peak. Where prefill is the bottleneck,
    /// an endpoint is full long before all its slots are in use. On two days with 64 slots per
    /// endpoint, 0.15 raises the value of a day's service by 0.03 and 0.04 over 0.3; on two days
    /// with 12 slots the two are equal.
    pub utilisation: f64,
    /// The fraction of the slots that may be in use while interruptible endpoints are missing.
    /// Above it ordinary ones, which cost several times as much, are ordered in their place.
    pub strained_utilisation: f64,
    /// The look-back window for the peak of demand.
    pub look_back: Duration,
    /// The number of zones that may lose their interruptible endpoints without a shortage. A second
    /// zone may lose them before the first has them back, or while there is no leader to order
    /// others. On days with such losses, two spare zones raise the value of a day's service by 0.02
    /// over one.
    pub spare_zones: usize,
    /// Whether interruptible endpoints are ordered at all.
    pub interruptible: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            utilisation: 0.15,
            strained_utilisation: 0.5,
            look_back: Duration::from_secs(15),
            spare_zones: 2,
            interruptible: true,
        }
    }
}

/// The number of endpoints that serve in a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Serving {
    /// Ordinary ones.
    pub ordinary: u32,
    /// Interruptible ones that are not about to be taken away.
    pub interruptible: u32,
    /// Interruptible ones that are about to be taken away.
    pub leaving: u32,
    /// Interruptible ones that warm up. They count as present, so they are not ordered again, but
    /// can't yet replace ordinary ones.
    pub warming: u32,
}

impl Serving {
    fn count(&self, kind: Kind) -> u32 {
        match kind {
            Kind::Ordinary => self.ordinary,
            Kind::Interruptible => self.interruptible,
        }
    }
}

/// The observed state of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observed {
    /// The slots in use, including those of requests that wait inside endpoints.
    pub in_use: u32,
    /// The number of slots per endpoint.
    pub slots: u32,
    /// The endpoints that serve, by zone.
    pub zones: BTreeMap<name::Zone, Serving>,
    /// The cordoned zones: their endpoints don't count as capacity.
    pub cordoned: BTreeSet<name::Zone>,
}

impl Observed {
    /// Returns the state without the cordoned zones.
    fn open(&self) -> Self {
        let mut open = self.clone();
        open.zones.retain(|zone, _| !self.cordoned.contains(zone));
        open
    }
}

/// An order: how many endpoints of a kind a zone is to have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The zone.
    pub zone: name::Zone,
    /// The kind.
    pub kind: Kind,
    /// The number of endpoints.
    pub count: u32,
}

/// The provider's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The order was accepted.
    Taken,
    /// No endpoints are available there now.
    NoneLeft,
    /// The answer is unknown or was not received.
    Unknown,
}

/// The figures that the orders are based on, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Basis {
    /// The recent peak of the slots in use.
    pub peak: u32,
    /// The number of endpoints needed for it.
    pub needed: u32,
    /// The interruptible endpoints that serve.
    pub interruptible: u32,
    /// The ordinary endpoints that serve.
    pub ordinary: u32,
}

/// Orders the endpoints of one service, for as long as one process holds the task.
#[derive(Debug)]
pub struct Scaler {
    settings: Settings,
    /// When the scaler started, or when the last endpoint was found that had served before.
    since: Duration,
    /// The endpoints that served at the start. The demand before is unknown, so these count as
    /// needed until demand has been observed for a whole look-back window.
    initial: u32,
    /// When demand was first observed.
    demand_since: Option<Duration>,
    /// Times and slots in use, such that the first entry is the peak of the look-back window: each
    /// is later and lower than the one before.
    peaks: VecDeque<(Duration, u32)>,
    /// The last accepted order by zone and kind: its number of endpoints, and when it was accepted.
    accepted: BTreeMap<(name::Zone, Kind), (u32, Duration)>,
    /// Until when no interruptible endpoints are ordered in a zone.
    scarce_until: BTreeMap<name::Zone, Duration>,
    cordoned: BTreeSet<name::Zone>,
    /// The number of zones in the offer that are cordoned.
    cordoned_count: u32,
    /// Until when nothing is given up after a zone was uncordoned: its endpoints have had no work
    /// for a while, and those that replaced them still carry the load.
    hold_until: Duration,
    basis: Basis,
}

impl Scaler {
    /// Returns a scaler, which at first only observes what serves.
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            since: now,
            initial: 0,
            demand_since: None,
            peaks: VecDeque::new(),
            accepted: BTreeMap::new(),
            scarce_until: BTreeMap::new(),
            cordoned: BTreeSet::new(),
            cordoned_count: 0,
            hold_until: Duration::ZERO,
            basis: Basis::default(),
        }
    }

    /// Returns the figures that the last orders were based on.
    pub fn basis(&self) -> Basis {
        self.basis
    }

    /// Returns the orders that are due.
    pub fn step(&mut self, offer: &Offer, seen: &Observed, now: Duration) -> Vec<Order> {
        self.record_cordons(&seen.cordoned, now);
        // Orders for a cordoned zone stay unchanged: its endpoints finish their requests and are
        // there when the zone is uncordoned.
        let zones = offer.zone_prices.len();
        let offer = &offer.without(&seen.cordoned);
        let cordoned_count = zones - offer.zone_prices.len();
        self.cordoned_count = u32::try_from(cordoned_count).unwrap_or(u32::MAX);
        let seen = &seen.open();
        self.record_peak(seen.in_use, now);
        self.record_scarcity(seen, now);
        let observing = self.is_observing(seen, now);
        if seen.slots == 0 || !offer.is_usable() {
            return Vec::new();
        }
        let needed = Needed {
            at_target: self.needed(self.settings.utilisation, offer, seen, now),
            strained: self.needed(self.settings.strained_utilisation, offer, seen, now),
        };
        let serving = |kind| seen.zones.values().map(|zone| zone.count(kind)).sum();
        self.basis = Basis {
            peak: self.peak(),
            needed: needed.at_target,
            interruptible: serving(Kind::Interruptible),
            ordinary: serving(Kind::Ordinary),
        };
        let mut orders = Vec::new();
        for (zone, kind, wanted) in self.wanted(offer, seen, needed) {
            let count = self.damped(&zone, kind, wanted, seen);
            // Nothing is given up while observing, as endpoints may serve that are not known yet.
            let before = self.count_of(&zone, kind, seen);
            let adds_interruptible = kind == Kind::Interruptible && count > before;
            let order = Order { zone, kind, count };
            if count < before && now < self.hold_until {
                continue;
            }
            if (!observing || adds_interruptible) && self.is_due(&order, offer, seen, now) {
                orders.push(order);
            }
        }
        // Additions go first: what they replace is given up later.
        orders.sort_by_key(|order| {
            let before = self.count_of(&order.zone, order.kind, seen);
            (order.count < before, order.kind, order.zone.clone())
        });
        orders
    }

    /// Records the provider's answer to an order.
    pub fn record_answer(&mut self, order: &Order, answer: Answer, now: Duration) {
        match answer {
            Answer::Taken => {
                let key = (order.zone.clone(), order.kind);
                self.accepted.insert(key, (order.count, now));
            }
            Answer::NoneLeft => {
                self.scarce_until
                    .insert(order.zone.clone(), now + SCARCITY_PAUSE);
            }
            Answer::Unknown => {}
        }
    }

    /// Records what serves until no more endpoints have appeared for a while. Returns whether this
    /// phase still lasts.
    fn is_observing(&mut self, seen: &Observed, now: Duration) -> bool {
        if now >= self.since + SETTLE_TIME {
            return false;
        }
        let initial = self.count_initial(seen);
        if initial > self.initial {
            self.initial = initial;
            self.since = now;
        }
        true
    }

    /// Returns the number of endpoints that serve, without the interruptible ones that are spare or
    /// were ordered by this scaler: these replace others that still serve.
    fn count_initial(&self, seen: &Observed) -> u32 {
        let ordinary: u32 = seen.zones.values().map(|zone| zone.ordinary).sum();
        let is_own = |zone: &name::Zone| {
            let key = (zone.clone(), Kind::Interruptible);
            self.accepted.contains_key(&key)
        };
        let others = seen.zones.iter().filter(|(zone, _)| !is_own(zone));
        let interruptible: u32 = others.map(|(_, zone)| zone.interruptible).sum();
        let zones = u32::try_from(seen.zones.len()).unwrap_or(u32::MAX).max(1);
        let spare = u32::try_from(self.settings.spare_zones).unwrap_or(zones);
        let used = zones.saturating_sub(spare).max(1);
        ordinary + interruptible * used / zones
    }

    fn record_peak(&mut self, in_use: u32, now: Duration) {
        if in_use > 0 {
            self.demand_since.get_or_insert(now);
        }
        let oldest = now.saturating_sub(self.settings.look_back);
        self.peaks.retain(|(at, _)| *at >= oldest);
        while self.peaks.back().is_some_and(|(_, lower)| *lower <= in_use) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, in_use));
    }

    fn peak(&self) -> u32 {
        self.peaks.front().map_or(0, |(_, in_use)| *in_use)
    }

    /// Prevents endpoints from being given up for a while after a zone was uncordoned.
    fn record_cordons(&mut self, cordoned: &BTreeSet<name::Zone>, now: Duration) {
        if self.cordoned.difference(cordoned).next().is_some() {
            self.hold_until = now + self.settings.look_back;
        }
        self.cordoned.clone_from(cordoned);
    }

    /// Stops orders for a while in zones whose interruptible endpoints are about to be taken away.
    fn record_scarcity(&mut self, seen: &Observed, now: Duration) {
        self.scarce_until.retain(|_, until| *until > now);
        for (zone, serving) in &seen.zones {
            if serving.leaving > 0 && serving.interruptible == 0 {
                self.scarce_until.insert(zone.clone(), now + SCARCITY_PAUSE);
                self.accepted.remove(&(zone.clone(), Kind::Interruptible));
            }
        }
    }

    /// Returns the endpoints needed for the recent peak at this utilisation, up to the provider's
    /// maximum.
    fn needed(&self, utilisation: f64, offer: &Offer, seen: &Observed, now: Duration) -> u32 {
        let slots = f64::from(self.peak()) / utilisation.max(MIN_UTILISATION);
        // Casts from floating point saturate.
        let needed = (slots / f64::from(seen.slots)).ceil() as u32;
        let is_known = |since: Duration| now >= since + self.settings.look_back;
        let needed = if self.demand_since.is_some_and(is_known) {
            needed
        } else {
            needed.max(self.initial)
        };
        let zones = u32::try_from(offer.zone_prices.len()).unwrap_or(u32::MAX);
        needed.min(offer.max.saturating_mul(zones))
    }

    /// Returns how many endpoints of each kind each zone is to have.
    fn wanted(
        &self,
        offer: &Offer,
        seen: &Observed,
        needed: Needed,
    ) -> Vec<(name::Zone, Kind, u32)> {
        let zones: Vec<_> = offer.zone_prices.keys().cloned().collect();
        let use_interruptible = self.settings.interruptible && offer.has_cheaper_interruptible();
        let interruptible = if use_interruptible {
            self.spread(offer, &zones, needed.at_target)
        } else {
            BTreeMap::new()
        };
        let kept = self.kept(offer, seen);
        let ordinary = if use_interruptible {
            self.uncovered(offer, seen, &interruptible, needed.strained)
        } else {
            divide(needed.at_target, &kept, |_| offer.max)
        };
        let mut wanted = Vec::new();
        for zone in zones {
            let interruptible_here = interruptible.get(&zone).copied().unwrap_or(0);
            let ordinary_here = ordinary.get(&zone).copied().unwrap_or(0);
            let ordinary_here = ordinary_here.max(offer.min.saturating_sub(interruptible_here));
            // Ordinary endpoints that serve or were ordered take up room until they are given up.
            // Ordinary ones that are added must not take up the room of interruptible ones.
            let kept_here = kept.get(&zone).copied().unwrap_or(0);
            let interruptible_here = interruptible_here.min(offer.max.saturating_sub(kept_here));
            let interruptible_now = self.count_of(&zone, Kind::Interruptible, seen);
            let room = offer
                .max
                .saturating_sub(interruptible_here.max(interruptible_now));
            wanted.push((zone.clone(), Kind::Ordinary, ordinary_here.min(room)));
            // The order of a zone without available endpoints stays unchanged.
            if use_interruptible && !self.scarce_until.contains_key(&zone) {
                wanted.push((zone, Kind::Interruptible, interruptible_here));
            }
        }
        wanted
    }

    /// Spreads interruptible endpoints over the zones that have them, so that enough remain when
    /// the spare zones lose theirs.
    fn spread(
        &self,
        offer: &Offer,
        zones: &[name::Zone],
        needed: u32,
    ) -> BTreeMap<name::Zone, u32> {
        let usable: Vec<_> = zones
            .iter()
            .filter(|zone| !self.scarce_until.contains_key(*zone))
            .collect();
        let remaining = usable
            .len()
            .saturating_sub(self.settings.spare_zones)
            .max(1);
        let each = needed.div_ceil(u32::try_from(remaining).unwrap_or(1));
        let each = self.replacing_cordoned(each, usable.len());
        let each = each.clamp(offer.min.max(1), offer.max.max(1));
        usable
            .into_iter()
            .map(|zone| (zone.clone(), each))
            .collect()
    }

    /// Returns how many endpoints each of `zones` zones needs instead of `each`, so that together
    /// they make up for the cordoned zones.
    fn replacing_cordoned(&self, each: u32, zones: usize) -> u32 {
        let open = u32::try_from(zones).unwrap_or(u32::MAX).max(1);
        let all = open.saturating_add(self.cordoned_count);
        each.saturating_mul(all).div_ceil(open)
    }

    /// Returns the ordinary endpoints needed in addition to the interruptible ones: those that
    /// serve stay until interruptible ones do, and more are added where interruptible ones are
    /// unavailable.
    fn uncovered(
        &self,
        offer: &Offer,
        seen: &Observed,
        interruptible: &BTreeMap<name::Zone, u32>,
        needed: u32,
    ) -> BTreeMap<name::Zone, u32> {
        let usable_count = |zone: &Serving| zone.interruptible.saturating_sub(zone.warming);
        let serving: u32 = seen.zones.values().map(usable_count).sum();
        let available: u32 = interruptible.values().sum();
        let kept = self.kept(offer, seen);
        // In a full zone, interruptible endpoints can start only after ordinary ones have gone.
        let min_kept = (f64::from(needed) * MIN_KEPT_RATIO).ceil() as u32;
        let missing_now = min_kept.saturating_sub(serving).min(kept.values().sum());
        let unavailable = needed.saturating_sub(available);
        let interruptible_in = |zone: &name::Zone| interruptible.get(zone).copied().unwrap_or(0);
        let room = |zone: &name::Zone| offer.max.saturating_sub(interruptible_in(zone));
        divide(missing_now.max(unavailable), &kept, room)
    }

    /// Returns the ordinary endpoints of each zone that serve or were ordered. Those that were
    /// ordered are not given up before others serve in their place.
    fn kept(&self, offer: &Offer, seen: &Observed) -> BTreeMap<name::Zone, u32> {
        let kept = |zone: &name::Zone| {
            let serves = seen.zones.get(zone).map_or(0, |zone| zone.ordinary);
            let ordered = self.accepted.get(&(zone.clone(), Kind::Ordinary));
            ordered.map_or(serves, |(count, _)| (*count).max(serves))
        };
        let zones = offer.zone_prices.keys();
        zones.map(|zone| (zone.clone(), kept(zone))).collect()
    }

    /// Returns the wanted count, or the current one if the wanted one is only slightly lower.
    fn damped(&self, zone: &name::Zone, kind: Kind, wanted: u32, seen: &Observed) -> u32 {
        let before = self.count_of(zone, kind, seen);
        let is_slight = f64::from(wanted) > f64::from(before) * MAX_LOWERING_RATIO;
        if wanted < before && wanted > 0 && is_slight {
            before
        } else {
            wanted
        }
    }

    /// Returns how many endpoints a zone was ordered to have, or how many serve if no order is
    /// known.
    fn count_of(&self, zone: &name::Zone, kind: Kind, seen: &Observed) -> u32 {
        let accepted = self
            .accepted
            .get(&(zone.clone(), kind))
            .map(|(count, _)| *count);
        let serves = seen.zones.get(zone).map_or(0, |zone| zone.count(kind));
        accepted.unwrap_or(serves)
    }

    /// Returns whether an order differs from the last accepted one, or from what serves if there is
    /// none, or has not been followed within the endpoints' start time.
    fn is_due(&self, order: &Order, offer: &Offer, seen: &Observed, now: Duration) -> bool {
        let Order { zone, kind, count } = order;
        let serves = seen.zones.get(zone).map_or(0, |zone| zone.count(*kind));
        match self.accepted.get(&(zone.clone(), *kind)) {
            None => *count != serves,
            Some((accepted, _)) if accepted != count => true,
            Some((_, at)) => serves < *count && now >= *at + offer.starts_within(),
        }
    }
}

/// How many endpoints are needed.
#[derive(Clone, Copy, Debug)]
struct Needed {
    /// At the target utilisation.
    at_target: u32,
    /// At the utilisation allowed while interruptible endpoints are missing.
    strained: u32,
}

/// The fraction of the needed endpoints that is kept at least while ordinary ones are replaced by
/// interruptible ones.
const MIN_KEPT_RATIO: f64 = 0.85;
/// The lowest target utilisation that is accepted.
const MIN_UTILISATION: f64 = 0.01;

/// Divides ordinary endpoints among zones: first those that are kept, then additional ones where
/// there is room beside the interruptible ones.
fn divide(
    wanted: u32,
    kept: &BTreeMap<name::Zone, u32>,
    room: impl Fn(&name::Zone) -> u32,
) -> BTreeMap<name::Zone, u32> {
    let all: u32 = kept.values().sum();
    if all >= wanted {
        let part = |here: u32| {
            // The product of two counts of endpoints is far below 2^64.
            let share = u64::from(wanted) * u64::from(here);
            u32::try_from(share.div_ceil(u64::from(all.max(1)))).unwrap_or(u32::MAX)
        };
        let parts = kept.iter().map(|(zone, here)| (zone.clone(), part(*here)));
        return parts.collect();
    }
    let mut parts = kept.clone();
    let mut missing = wanted - all;
    while missing > 0 {
        let mut added = 0;
        for (zone, here) in &mut parts {
            if added < missing && *here < room(zone) {
                *here += 1;
                added += 1;
            }
        }
        if added == 0 {
            break;
        }
        missing -= added;
    }
    parts
}
