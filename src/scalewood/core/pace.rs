//! How fast endpoints go, compared with each other.
//!
//! Endpoints of one service differ in speed, and only some bear a prompt that is read
//! beside a stream without a pause that is too long. An endpoint's pace is the time
//! between two events of a stream while it is little used: a low quantile of many
//! measurements, and the best of the last half minute. So it tells how fast the endpoint
//! is, and not how busy. Boxes measure by themselves and tell the voters, which give out
//! the median; all boxes thus grade the endpoints alike.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::name;

/// Events of one measurement: over several, what arrives together counts once.
const SPAN: u32 = 4;
/// Measurements from which one estimate is made: few, since until an endpoint is known to
/// be slow it gets streams that it can't serve in time.
const SAMPLES: usize = 6;
/// The place of the estimate among its sorted measurements.
const LOW: usize = 1;
/// How long an estimate counts.
const MEMORY: Duration = Duration::from_secs(60);
/// The part, in hundredths, by which a pace has to change to be worth telling.
const WORTH_TELLING: u32 = 3;
/// How much slower than the fast endpoints one has to be to count as slow, in hundredths.
const SLOW: u32 = 116;
/// How much slower it may be to count as fast again.
const FAST: u32 = 109;
/// Endpoints that have to be measured before any is compared.
const COMPARED: usize = 3;

/// The time between two events of a stream, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Pace(pub u32);

impl Pace {
    /// Whether it differs so much from what was told before that it is worth telling.
    pub fn is_news(self, told: Option<Self>) -> bool {
        told.is_none_or(|told| self.0.abs_diff(told.0) * 100 > told.0 * WORTH_TELLING)
    }
}

impl From<Duration> for Pace {
    fn from(time: Duration) -> Self {
        Self(u32::try_from(time.as_micros()).unwrap_or(u32::MAX))
    }
}

/// An endpoint with its pace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Paced {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Its pace.
    pub pace: Pace,
}

/// Measures the pace of one stream.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    /// Events since the measurement began, and when that was.
    events: u32,
    since: Duration,
}

impl Stream {
    /// Notes an event; tells the pace after every few.
    pub fn event(&mut self, now: Duration) -> Option<Pace> {
        if self.events == 0 {
            self.since = now;
        }
        self.events += 1;
        if self.events <= SPAN {
            return None;
        }
        let pace = now.saturating_sub(self.since) / SPAN;
        self.events = 1;
        self.since = now;
        Some(pace.into())
    }
}

/// What one box measures of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    samples: Vec<Pace>,
    estimates: VecDeque<(Duration, Pace)>,
    /// The pace that was measured here and is to be told, and the stamp of that.
    told: Option<(Pace, u64)>,
    /// Whether any estimate was made here.
    is_own: bool,
}

impl Meter {
    /// Takes a measurement.
    pub fn observe(&mut self, pace: Pace, now: Duration) {
        self.samples.push(pace);
        if self.samples.len() < SAMPLES {
            return;
        }
        self.samples.sort_unstable();
        let estimate = self.samples[LOW];
        self.samples.clear();
        while self
            .estimates
            .front()
            .is_some_and(|(at, _)| *at + MEMORY < now)
        {
            self.estimates.pop_front();
        }
        // Only what is better than all that came before it matters.
        while self.estimates.back().is_some_and(|(_, p)| *p >= estimate) {
            self.estimates.pop_back();
        }
        self.estimates.push_back((now, estimate));
        self.is_own = true;
    }

    /// The endpoint's pace, if it is known.
    pub fn pace(&self) -> Option<Pace> {
        self.estimates.front().map(|(_, pace)| *pace)
    }
}

/// How much longer than the best of its service, in hundredths, the stream of a long prompt
/// may pause before its pace tells more of the prompts beside it than of the endpoint.
const BUSY: u64 = 150;

/// What one box measures of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Meters {
    endpoints: HashMap<name::Endpoint, Meter>,
    /// The best pace of each service.
    best: HashMap<name::Service, Pace>,
    /// The endpoints that were measured here, by the stamps of when their pace changed.
    changed: BTreeMap<u64, name::Endpoint>,
    stamp: u64,
}

impl Meters {
    /// Takes a measurement, of a stream with a `long` prompt or another.
    ///
    /// Long prompts have others beside them that are read nearly all the time; what is
    /// measured there counts only where it was quiet.
    pub fn observe(
        &mut self,
        service: &name::Service,
        endpoint: &name::Endpoint,
        pace: Pace,
        long: bool,
        now: Duration,
    ) {
        if long {
            let best = self.best.get(service);
            let busy = |best: &Pace| u64::from(pace.0) * 100 > u64::from(best.0) * BUSY;
            if best.is_none_or(busy) {
                return;
            }
        }
        let meter = self.endpoints.entry(endpoint.clone()).or_default();
        meter.observe(pace, now);
        if let Some(pace) = meter.pace() {
            let best = self.best.entry(service.clone()).or_insert(pace);
            *best = pace.min(*best);
            self.note_measured(endpoint, pace);
        }
    }

    fn note_measured(&mut self, endpoint: &name::Endpoint, pace: Pace) {
        let Some(meter) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let before = meter.told;
        let is_measured = !meter.estimates.is_empty() && meter.is_own;
        if !is_measured || !pace.is_news(before.map(|(pace, _)| pace)) {
            return;
        }
        if let Some((_, stamp)) = before {
            self.changed.remove(&stamp);
        }
        self.stamp += 1;
        meter.told = Some((pace, self.stamp));
        self.changed.insert(self.stamp, endpoint.clone());
    }

    /// The paces of which a measurement here changed after a stamp, and the stamp to ask after next.
    /// What other boxes measured is not among them.
    pub fn measured_since(&self, stamp: u64) -> (Vec<Paced>, u64) {
        let changed = self.changed.range(stamp.saturating_add(1)..);
        let paced = changed.filter_map(|(_, name)| {
            Some(Paced {
                endpoint: name.clone(),
                pace: self.endpoints.get(name)?.told?.0,
            })
        });
        (paced.collect(), self.stamp)
    }

    /// Takes over what other boxes have measured, where nothing was measured here yet: a
    /// box that has just started would else take busy endpoints for slow ones.
    pub fn adopt(&mut self, endpoint: &name::Endpoint, pace: Pace, now: Duration) {
        let meter = self.endpoints.entry(endpoint.clone()).or_default();
        if meter.estimates.is_empty() {
            meter.estimates.push_back((now, pace));
        }
    }

    /// The paces that are known.
    pub fn known(&self) -> impl Iterator<Item = (&name::Endpoint, Pace)> {
        self.endpoints
            .iter()
            .filter_map(|(name, meter)| Some((name, meter.pace()?)))
    }

    /// Forgets an endpoint that started anew.
    pub fn forget(&mut self, endpoint: &name::Endpoint) {
        let meter = self.endpoints.remove(endpoint);
        if let Some((_, stamp)) = meter.and_then(|meter| meter.told) {
            self.changed.remove(&stamp);
        }
    }

    /// Forgets the endpoints that are not known any more.
    pub fn retain(&mut self, known: impl Fn(&name::Endpoint) -> bool) {
        let changed = &mut self.changed;
        self.endpoints.retain(|name, meter| {
            let stays = known(name);
            if let Some((_, stamp)) = meter.told.filter(|_| !stays) {
                changed.remove(&stamp);
            }
            stays
        });
    }
}

/// What several boxes measured of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Reports(BTreeMap<name::Box, Pace>);

impl Reports {
    /// Takes what a box measured; returns the median of all boxes.
    pub fn take(&mut self, from: name::Box, pace: Pace) -> Pace {
        self.0.insert(from, pace);
        let mut paces: Vec<_> = self.0.values().copied().collect();
        paces.sort_unstable();
        paces[(paces.len() - 1) / 2]
    }
}

/// Which of a service's endpoints are slow: `graded` holds the pace of each, where it is
/// known, and whether it counted as slow before.
pub fn grade(graded: &mut [(Option<Pace>, bool)]) {
    let mut known: Vec<_> = graded.iter().filter_map(|(pace, _)| *pace).collect();
    known.sort_unstable();
    let Some(place) = fast_place(known.len()) else {
        return;
    };
    for (pace, slow) in graded {
        if let Some(pace) = pace {
            *slow = is_slow(*pace, known[place], *slow);
        }
    }
}

/// The place, among the sorted paces of a service, of the one that all are compared with; none where
/// too few are known.
pub fn fast_place(known: usize) -> Option<usize> {
    (known >= COMPARED).then(|| (known - 1) / 3)
}

/// Whether an endpoint is slow beside a fast one.
pub fn is_slow(pace: Pace, fast: Pace, was_slow: bool) -> bool {
    let limit = if was_slow { FAST } else { SLOW };
    u64::from(pace.0) * 100 > u64::from(fast.0) * u64::from(limit)
}

/// The least and the greatest pace of an endpoint that may be on another side now that a fast one has
/// another pace than `before`.
pub fn sides_between(before: Option<Pace>, fast: Pace) -> (Pace, Pace) {
    let Some(before) = before else {
        return (Pace(0), Pace(u32::MAX));
    };
    let least = before.min(fast);
    let most = before.max(fast);
    let hundredths = |pace: Pace, part: u32| {
        let scaled = u64::from(pace.0) * u64::from(part) / 100;
        u32::try_from(scaled).unwrap_or(u32::MAX)
    };
    let most = hundredths(most, SLOW).saturating_add(1);
    (Pace(hundredths(least, FAST)), Pace(most))
}
