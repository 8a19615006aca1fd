//! How many endpoints of a service are ordered, where and of which kind.
//!
//! Endpoints are paid for by the second. Interruptible ones cost a fraction of the others, and
//! may be taken away all at once in an availability zone, with some seconds of notice.
//!
//! The number follows the demand lazily: the slots in use, at their highest of late, over the
//! part of the slots that is to be in use. It rises at once, since a burst is over before the
//! endpoints that it asked for have started, and falls only when the demand has been low for
//! the whole time that is looked back on: each move costs a start, connections and prompts
//! that are read again. Interruptible endpoints are spread so that those of any one zone can
//! go and the rest still are enough. Others are kept for what interruptible ones that serve do
//! not cover yet, or can't.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::name;

/// How long a zone is left alone in which no interruptible endpoints were to be had, or whose
/// were taken away: they come back some seconds later, and a refused order costs a call.
const SCARCE: Duration = Duration::from_secs(2);
/// How long nothing more may have been found before anything is given up: endpoints announce
/// themselves about every second.
const SETTLE: Duration = Duration::from_millis(2500);
/// By how much a lower number has to differ to be worth a move.
const WORTH_LOWERING: f64 = 0.85;
/// How long after the time that endpoints take to start an order is given again that seems not
/// to have been followed: some heartbeats.
const REMIND: Duration = Duration::from_secs(1);

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
    /// The fewest endpoints of both kinds in a zone.
    pub min: u32,
    /// The most endpoints of both kinds in a zone.
    pub max: u32,
    /// How long a new endpoint takes to serve, in milliseconds.
    pub start_ms: u64,
    /// The price of an interruptible endpoint, as a part of an ordinary one's; none where
    /// there are no interruptible ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub interruptible_price: Option<f64>,
    /// What an endpoint's second costs in each zone where the service runs.
    pub zone_prices: BTreeMap<name::Zone, f64>,
}

impl Offer {
    /// Whether endpoints can be ordered by it at all.
    pub fn is_usable(&self) -> bool {
        self.max > 0 && self.min <= self.max && !self.zone_prices.is_empty()
    }

    /// The same without some zones: nothing is ordered there, nor given up.
    fn without(&self, zones: &BTreeSet<name::Zone>) -> Self {
        let mut rest = self.clone();
        rest.zone_prices.retain(|zone, _| !zones.contains(zone));
        rest
    }

    /// How long after an order its endpoints should serve.
    fn starts_within(&self) -> Duration {
        Duration::from_millis(self.start_ms) + REMIND
    }

    /// Whether interruptible endpoints are to be had for less.
    fn has_cheap(&self) -> bool {
        self.interruptible_price.is_some_and(|price| price < 1.0)
    }
}

/// How the number of endpoints follows the demand.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The part of the slots that is to be in use at the highest demand of late. Where reading
    /// prompts binds, endpoints are full long before their slots are.
    /// 0.15 in place of 0.3 bought 0.03 and 0.04 of a day's worth on two
    /// days of endpoints with 64 slots, and nothing either way on two with 12.
    pub utilisation: f64,
    /// The part of the slots that may be in use while interruptible endpoints are missing,
    /// before others are ordered in their place, which cost several times as much.
    pub strained: f64,
    /// How far back the highest demand is looked for.
    pub look_back: Duration,
    /// The zones whose interruptible endpoints may go at once: one loses them, and another one
    /// does before the first has them back, or while nobody leads who could order others.
    /// Two in place of one bought 0.02 of a day's worth on days with such losses.
    pub spare_zones: usize,
    /// Whether interruptible endpoints are ordered at all.
    pub interruptible: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            utilisation: 0.15,
            strained: 0.5,
            look_back: Duration::from_secs(15),
            spare_zones: 2,
            interruptible: true,
        }
    }
}

/// The endpoints of a zone that serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Serving {
    /// Those that stay.
    pub ordinary: u32,
    /// Those that may be taken away, and are not about to.
    pub interruptible: u32,
    /// Interruptible ones that are about to go.
    pub going: u32,
    /// Interruptible ones that warm up. They are not ordered again, but bear too little to stand
    /// in for others yet.
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

/// What is seen of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    /// Slots in use, also of requests that wait inside of endpoints.
    pub in_use: u32,
    /// The slots of an endpoint.
    pub slots: u32,
    /// What serves, by zone.
    pub zones: BTreeMap<name::Zone, Serving>,
    /// The zones that are cordoned: what stands there is no capacity.
    pub cordoned: BTreeSet<name::Zone>,
}

impl Seen {
    /// The same without the cordoned zones.
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
    /// How many.
    pub count: u32,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It was taken.
    Taken,
    /// None are to be had there now.
    NoneLeft,
    /// It is not known, or it was not heard.
    Unclear,
}

/// What the numbers rest on, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Basis {
    /// The highest number of slots in use of late.
    pub peak: u32,
    /// The endpoints that this asks for.
    pub needed: u32,
    /// The interruptible ones that serve.
    pub interruptible: u32,
    /// The ordinary ones that serve.
    pub ordinary: u32,
}

/// Orders the endpoints of one service, for as long as one process holds the task.
#[derive(Debug)]
pub struct Scaler {
    settings: Settings,
    /// When it began, or the last endpoint was found that served before.
    since: Duration,
    /// What served when this began: the demand before is not known, so it counts as asked
    /// for until demand was seen for the whole time that is looked back on.
    found: u32,
    /// Since when there is demand, if there was any.
    demand_since: Option<Duration>,
    peaks: VecDeque<(Duration, u32)>,
    taken: BTreeMap<(name::Zone, Kind), (u32, Duration)>,
    scarce: BTreeMap<name::Zone, Duration>,
    cordoned: BTreeSet<name::Zone>,
    /// How many zones of the offer are cordoned.
    closed: u32,
    /// Until when nothing is given up, since a zone was uncordoned: its endpoints have had no
    /// work for a while, and those that stood in for them still carry all of it.
    lasting: Duration,
    basis: Basis,
}

impl Scaler {
    /// Begins; it watches at first what serves.
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            since: now,
            found: 0,
            demand_since: None,
            peaks: VecDeque::new(),
            taken: BTreeMap::new(),
            scarce: BTreeMap::new(),
            cordoned: BTreeSet::new(),
            closed: 0,
            lasting: Duration::ZERO,
            basis: Basis::default(),
        }
    }

    /// What the last numbers rest on.
    pub fn basis(&self) -> Basis {
        self.basis
    }

    /// The orders that are due.
    pub fn step(&mut self, offer: &Offer, seen: &Seen, now: Duration) -> Vec<Order> {
        self.note_cordons(&seen.cordoned, now);
        // Orders for a cordoned zone stay as they are: its endpoints finish what they run, and
        // are there when the zone is uncordoned.
        let zones = offer.zone_prices.len();
        let offer = &offer.without(&seen.cordoned);
        let closed = zones - offer.zone_prices.len();
        self.closed = u32::try_from(closed).unwrap_or(u32::MAX);
        let seen = &seen.open();
        self.note_peak(seen.in_use, now);
        self.note_scarcity(seen, now);
        let watching = self.is_watching(seen, now);
        if seen.slots == 0 || !offer.is_usable() {
            return Vec::new();
        }
        let needed = Needed {
            spared: self.needed(self.settings.utilisation, offer, seen, now),
            strained: self.needed(self.settings.strained, offer, seen, now),
        };
        let serving = |kind| seen.zones.values().map(|zone| zone.count(kind)).sum();
        self.basis = Basis {
            peak: self.peak(),
            needed: needed.spared,
            interruptible: serving(Kind::Interruptible),
            ordinary: serving(Kind::Ordinary),
        };
        let mut orders = Vec::new();
        for (zone, kind, wanted) in self.wanted(offer, seen, needed) {
            let count = self.lazily(&zone, kind, wanted, seen);
            // While it watches it gives nothing up: others may serve that it has not seen yet.
            let before = self.count_of(&zone, kind, seen);
            let adds_cheap = kind == Kind::Interruptible && count > before;
            let order = Order { zone, kind, count };
            if count < before && now < self.lasting {
                continue;
            }
            if (!watching || adds_cheap) && self.is_due(&order, offer, seen, now) {
                orders.push(order);
            }
        }
        // What is added goes first: what it stands in for is given up later.
        orders.sort_by_key(|order| {
            let before = self.count_of(&order.zone, order.kind, seen);
            (order.count < before, order.kind, order.zone.clone())
        });
        orders
    }

    /// Notes what came of an order.
    pub fn answered(&mut self, order: &Order, answer: Answer, now: Duration) {
        match answer {
            Answer::Taken => {
                let key = (order.zone.clone(), order.kind);
                self.taken.insert(key, (order.count, now));
            }
            Answer::NoneLeft => {
                self.scarce.insert(order.zone.clone(), now + SCARCE);
            }
            Answer::Unclear => {}
        }
    }

    /// Watches what serves until no more has come for a while.
    fn is_watching(&mut self, seen: &Seen, now: Duration) -> bool {
        if now >= self.since + SETTLE {
            return false;
        }
        let found = self.found_in(seen);
        if found > self.found {
            self.found = found;
            self.since = now;
        }
        true
    }

    /// What serves now, without the interruptible endpoints that are to spare or were ordered
    /// here: they stand in for others that still serve.
    fn found_in(&self, seen: &Seen) -> u32 {
        let ordinary: u32 = seen.zones.values().map(|zone| zone.ordinary).sum();
        let is_own = |zone: &name::Zone| {
            let key = (zone.clone(), Kind::Interruptible);
            self.taken.contains_key(&key)
        };
        let others = seen.zones.iter().filter(|(zone, _)| !is_own(zone));
        let interruptible: u32 = others.map(|(_, zone)| zone.interruptible).sum();
        let zones = u32::try_from(seen.zones.len()).unwrap_or(u32::MAX).max(1);
        let spare = u32::try_from(self.settings.spare_zones).unwrap_or(zones);
        let used = zones.saturating_sub(spare).max(1);
        ordinary + interruptible * used / zones
    }

    fn note_peak(&mut self, in_use: u32, now: Duration) {
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

    /// Gives nothing up for a while after a zone was uncordoned.
    fn note_cordons(&mut self, cordoned: &BTreeSet<name::Zone>, now: Duration) {
        if self.cordoned.difference(cordoned).next().is_some() {
            self.lasting = now + self.settings.look_back;
        }
        self.cordoned.clone_from(cordoned);
    }

    /// A zone whose interruptible endpoints are about to go gets no others for a while.
    fn note_scarcity(&mut self, seen: &Seen, now: Duration) {
        self.scarce.retain(|_, until| *until > now);
        for (zone, serving) in &seen.zones {
            if serving.going > 0 && serving.interruptible == 0 {
                self.scarce.insert(zone.clone(), now + SCARCE);
                self.taken.remove(&(zone.clone(), Kind::Interruptible));
            }
        }
    }

    /// The endpoints that the demand asks for with so much of their slots in use, up to what
    /// the provider has.
    fn needed(&self, utilisation: f64, offer: &Offer, seen: &Seen, now: Duration) -> u32 {
        let slots = f64::from(self.peak()) / utilisation.max(MIN_UTILISATION);
        // Casts of floating point numbers saturate.
        let asked = (slots / f64::from(seen.slots)).ceil() as u32;
        let is_known = |since: Duration| now >= since + self.settings.look_back;
        let asked = if self.demand_since.is_some_and(is_known) {
            asked
        } else {
            asked.max(self.found)
        };
        let zones = u32::try_from(offer.zone_prices.len()).unwrap_or(u32::MAX);
        asked.min(offer.max.saturating_mul(zones))
    }

    /// How many each zone is to have of each kind.
    fn wanted(&self, offer: &Offer, seen: &Seen, needed: Needed) -> Vec<(name::Zone, Kind, u32)> {
        let zones: Vec<_> = offer.zone_prices.keys().cloned().collect();
        let cheap = self.settings.interruptible && offer.has_cheap();
        let interruptible = if cheap {
            self.spread(offer, &zones, needed.spared)
        } else {
            BTreeMap::new()
        };
        let kept = self.kept(offer, seen);
        let ordinary = if cheap {
            self.uncovered(offer, seen, &interruptible, needed.strained)
        } else {
            divide(needed.spared, &kept, |_| offer.max)
        };
        let mut wanted = Vec::new();
        for zone in zones {
            let cheap_here = interruptible.get(&zone).copied().unwrap_or(0);
            let ordinary_here = ordinary.get(&zone).copied().unwrap_or(0);
            let ordinary_here = ordinary_here.max(offer.min.saturating_sub(cheap_here));
            // What still serves or was ordered takes its place until it is given up; what is
            // added does not take that of what costs less.
            let kept_here = kept.get(&zone).copied().unwrap_or(0);
            let cheap_here = cheap_here.min(offer.max.saturating_sub(kept_here));
            let cheap_now = self.count_of(&zone, Kind::Interruptible, seen);
            let room = offer.max.saturating_sub(cheap_here.max(cheap_now));
            wanted.push((zone.clone(), Kind::Ordinary, ordinary_here.min(room)));
            // A zone where none are to be had keeps its order as it is.
            if cheap && !self.scarce.contains_key(&zone) {
                wanted.push((zone, Kind::Interruptible, cheap_here));
            }
        }
        wanted
    }

    /// Spreads interruptible endpoints over the zones that have them, so that enough are left
    /// when those of some zones go.
    fn spread(
        &self,
        offer: &Offer,
        zones: &[name::Zone],
        needed: u32,
    ) -> BTreeMap<name::Zone, u32> {
        let usable: Vec<_> = zones
            .iter()
            .filter(|zone| !self.scarce.contains_key(*zone))
            .collect();
        let spared = usable
            .len()
            .saturating_sub(self.settings.spare_zones)
            .max(1);
        let each = needed.div_ceil(u32::try_from(spared).unwrap_or(1));
        let each = self.stands_in(each, usable.len());
        let each = each.clamp(offer.min.max(1), offer.max.max(1));
        usable
            .into_iter()
            .map(|zone| (zone.clone(), each))
            .collect()
    }

    /// What each of so many zones has in place of `each`, so that all of them together have as
    /// many as they had with the cordoned ones.
    fn stands_in(&self, each: u32, zones: usize) -> u32 {
        let open = u32::try_from(zones).unwrap_or(u32::MAX).max(1);
        let all = open.saturating_add(self.closed);
        each.saturating_mul(all).div_ceil(open)
    }

    /// The ordinary endpoints that are needed beside the interruptible ones: those that serve
    /// stay until others do, and more come where interruptible ones can't be had.
    fn uncovered(
        &self,
        offer: &Offer,
        seen: &Seen,
        interruptible: &BTreeMap<name::Zone, u32>,
        needed: u32,
    ) -> BTreeMap<name::Zone, u32> {
        let bears = |zone: &Serving| zone.interruptible.saturating_sub(zone.warming);
        let serving: u32 = seen.zones.values().map(bears).sum();
        let to_be_had: u32 = interruptible.values().sum();
        let kept = self.kept(offer, seen);
        // Where a zone is full, interruptible ones come only after others have gone.
        let stay = (f64::from(needed) * STAY).ceil() as u32;
        let lacking_now = stay.saturating_sub(serving).min(kept.values().sum());
        let lacking = needed.saturating_sub(to_be_had);
        let cheap = |zone: &name::Zone| interruptible.get(zone).copied().unwrap_or(0);
        let room = |zone: &name::Zone| offer.max.saturating_sub(cheap(zone));
        divide(lacking_now.max(lacking), &kept, room)
    }

    /// The ordinary endpoints of each zone that serve or are about to: one that was ordered is
    /// not given up before others serve in its place.
    fn kept(&self, offer: &Offer, seen: &Seen) -> BTreeMap<name::Zone, u32> {
        let kept = |zone: &name::Zone| {
            let serves = seen.zones.get(zone).map_or(0, |zone| zone.ordinary);
            let ordered = self.taken.get(&(zone.clone(), Kind::Ordinary));
            ordered.map_or(serves, |(count, _)| (*count).max(serves))
        };
        let zones = offer.zone_prices.keys();
        zones.map(|zone| (zone.clone(), kept(zone))).collect()
    }

    /// A number that is not lowered for little.
    fn lazily(&self, zone: &name::Zone, kind: Kind, wanted: u32, seen: &Seen) -> u32 {
        let before = self.count_of(zone, kind, seen);
        let little = f64::from(wanted) > f64::from(before) * WORTH_LOWERING;
        if wanted < before && wanted > 0 && little {
            before
        } else {
            wanted
        }
    }

    /// What a zone was ordered to have, or has where no order is known.
    fn count_of(&self, zone: &name::Zone, kind: Kind, seen: &Seen) -> u32 {
        let taken = self
            .taken
            .get(&(zone.clone(), kind))
            .map(|(count, _)| *count);
        let serves = seen.zones.get(zone).map_or(0, |zone| zone.count(kind));
        taken.unwrap_or(serves)
    }

    fn is_due(&self, order: &Order, offer: &Offer, seen: &Seen, now: Duration) -> bool {
        let Order { zone, kind, count } = order;
        let serves = seen.zones.get(zone).map_or(0, |zone| zone.count(*kind));
        match self.taken.get(&(zone.clone(), *kind)) {
            None => *count != serves,
            Some((taken, _)) if taken != count => true,
            Some((_, at)) => serves < *count && now >= *at + offer.starts_within(),
        }
    }
}

/// How many endpoints the demand asks for.
#[derive(Clone, Copy, Debug)]
struct Needed {
    /// With slots to spare.
    spared: u32,
    /// With the slots strained.
    strained: u32,
}

/// The part of the endpoints needed that are kept at least while ordinary ones are given up
/// for others.
const STAY: f64 = 0.85;
/// The least part of the slots that can be meant to be in use.
const MIN_UTILISATION: f64 = 0.01;

/// Divides ordinary endpoints among zones: those that are kept go first, the others where there
/// is room beside the interruptible ones.
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
        let mut given = 0;
        for (zone, here) in &mut parts {
            if given < missing && *here < room(zone) {
                *here += 1;
                given += 1;
            }
        }
        if given == 0 {
            break;
        }
        missing -= given;
    }
    parts
}
