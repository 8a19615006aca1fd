//! The relative speed of the endpoints of a service.
//!
//! Endpoints of one service differ in speed. On the slower ones, prefilling a prompt beside a
//! stream pauses that stream for too long. An endpoint's pace is the time between two events of a
//! stream while the endpoint is little used: a low quantile of several samples, and the lowest such
//! estimate of the last minute. It therefore reflects the endpoint's speed rather than its load.
//! Each box measures on its own and reports to the voters, which publish the median; all boxes thus
//! classify the endpoints alike.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::name;

/// Stream events per sample. Averaging over several keeps events that arrive in one batch from
/// looking like a pace of zero.
const EVENTS_PER_SAMPLE: u32 = 4;
/// Samples per estimate. There are few, because an endpoint that is not yet known to be slow gets
/// streams that it cannot serve in time.
const SAMPLES_PER_ESTIMATE: usize = 6;
/// The index of the estimate among its sorted samples: a low quantile.
const ESTIMATE_INDEX: usize = 1;
/// The age after which an estimate is dropped once a newer one is made.
const ESTIMATE_LIFETIME: Duration = Duration::from_secs(60);
/// The smallest change of a pace, in percent, that is reported to other processes.
const MIN_REPORTED_CHANGE_PERCENT: u32 = 3;
/// The pace, in percent of a fast endpoint's, above which an endpoint becomes slow.
const SLOW_PERCENT: u32 = 116;
/// The pace, in percent of a fast endpoint's, up to which a slow endpoint becomes fast again.
const FAST_PERCENT: u32 = 109;
/// The number of endpoints of a service whose pace must be known before any is classified.
const MIN_KNOWN_PACES: usize = 3;

/// The time between two events of a stream, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Pace(pub u32);

impl Pace {
    /// Returns whether the pace differs enough from the last reported one to be reported again.
    pub fn differs_enough(self, last: Option<Self>) -> bool {
        last.is_none_or(|last| self.0.abs_diff(last.0) * 100 > last.0 * MIN_REPORTED_CHANGE_PERCENT)
    }
}

impl From<Duration> for Pace {
    fn from(time: Duration) -> Self {
        Self(u32::try_from(time.as_micros()).unwrap_or(u32::MAX))
    }
}

/// An endpoint with its pace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointPace {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Its pace.
    pub pace: Pace,
}

/// Measures the pace of one stream.
#[derive(Clone, Debug, Default)]
pub struct Sampler {
    /// The events since the sample began at `since`, including the one that began it.
    events: u32,
    since: Duration,
}

impl Sampler {
    /// Records an event; returns the pace each time a sample is complete.
    pub fn record_event(&mut self, now: Duration) -> Option<Pace> {
        if self.events == 0 {
            self.since = now;
        }
        self.events += 1;
        if self.events <= EVENTS_PER_SAMPLE {
            return None;
        }
        let pace = now.saturating_sub(self.since) / EVENTS_PER_SAMPLE;
        self.events = 1;
        self.since = now;
        Some(pace.into())
    }
}

/// The samples and estimates of one endpoint at one box.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// The samples for the next estimate.
    samples: Vec<Pace>,
    /// The estimates with their times; both rise, so the first is the lowest and the oldest.
    estimates: VecDeque<(Duration, Pace)>,
    /// The pace measured here that is to be reported, and the stamp of its last change.
    reported: Option<(Pace, u64)>,
    /// Whether any estimate was measured here rather than adopted from other boxes.
    is_measured_here: bool,
}

impl Meter {
    /// Records a sample.
    pub fn observe(&mut self, pace: Pace, now: Duration) {
        self.samples.push(pace);
        if self.samples.len() < SAMPLES_PER_ESTIMATE {
            return;
        }
        self.samples.sort_unstable();
        let estimate = self.samples[ESTIMATE_INDEX];
        self.samples.clear();
        while self
            .estimates
            .front()
            .is_some_and(|(at, _)| *at + ESTIMATE_LIFETIME < now)
        {
            self.estimates.pop_front();
        }
        // Drops older estimates that are not lower than this one, so that the front is the minimum
        // of the window.
        while self.estimates.back().is_some_and(|(_, p)| *p >= estimate) {
            self.estimates.pop_back();
        }
        self.estimates.push_back((now, estimate));
        self.is_measured_here = true;
    }

    /// Returns the endpoint's pace, if it is known.
    pub fn pace(&self) -> Option<Pace> {
        self.estimates.front().map(|(_, pace)| *pace)
    }
}

/// The pace, in percent of the lowest one of its service, above which a sample from a stream with a
/// long prompt is discarded: it then reflects the prompts that are prefilled beside it rather than
/// the endpoint.
const MAX_LONG_PROMPT_PERCENT: u64 = 150;

/// The meters of all endpoints at one box.
#[derive(Clone, Debug, Default)]
pub struct Meters {
    endpoints: HashMap<name::Endpoint, Meter>,
    /// The lowest pace measured so far for each service.
    best: HashMap<name::Service, Pace>,
    /// The endpoints that were measured here, by the stamp of their last change.
    changed: BTreeMap<u64, name::Endpoint>,
    /// The stamp of the last change.
    stamp: u64,
}

impl Meters {
    /// Records a sample from a stream; `long` tells whether its prompt is long.
    ///
    /// Other long prompts are prefilled beside a stream with a long prompt nearly all the time, so
    /// its samples count only where the endpoint was nearly undisturbed.
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
            let is_disturbed =
                |best: &Pace| u64::from(pace.0) * 100 > u64::from(best.0) * MAX_LONG_PROMPT_PERCENT;
            if best.is_none_or(is_disturbed) {
                return;
            }
        }
        let meter = self.endpoints.entry(endpoint.clone()).or_default();
        meter.observe(pace, now);
        if let Some(pace) = meter.pace() {
            let best = self.best.entry(service.clone()).or_insert(pace);
            *best = pace.min(*best);
            self.update_reported(endpoint, pace);
        }
    }

    fn update_reported(&mut self, endpoint: &name::Endpoint, pace: Pace) {
        let Some(meter) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let before = meter.reported;
        let is_measured = !meter.estimates.is_empty() && meter.is_measured_here;
        if !is_measured || !pace.differs_enough(before.map(|(pace, _)| pace)) {
            return;
        }
        if let Some((_, stamp)) = before {
            self.changed.remove(&stamp);
        }
        self.stamp += 1;
        meter.reported = Some((pace, self.stamp));
        self.changed.insert(self.stamp, endpoint.clone());
    }

    /// Returns the paces measured here that changed after a stamp, and the stamp to pass next time.
    /// Paces adopted from other boxes are not included.
    pub fn measured_since(&self, stamp: u64) -> (Vec<EndpointPace>, u64) {
        let changed = self.changed.range(stamp.saturating_add(1)..);
        let paced = changed.filter_map(|(_, name)| {
            Some(EndpointPace {
                endpoint: name.clone(),
                pace: self.endpoints.get(name)?.reported?.0,
            })
        });
        (paced.collect(), self.stamp)
    }

    /// Adopts the pace that other boxes measured, unless one is known here already. Without it, a
    /// box that has just started would classify busy endpoints as slow.
    pub fn adopt(&mut self, endpoint: &name::Endpoint, pace: Pace, now: Duration) {
        let meter = self.endpoints.entry(endpoint.clone()).or_default();
        if meter.estimates.is_empty() {
            meter.estimates.push_back((now, pace));
        }
    }

    /// Returns all known paces.
    pub fn known(&self) -> impl Iterator<Item = (&name::Endpoint, Pace)> {
        self.endpoints
            .iter()
            .filter_map(|(name, meter)| Some((name, meter.pace()?)))
    }

    /// Removes an endpoint that has restarted.
    pub fn forget(&mut self, endpoint: &name::Endpoint) {
        let meter = self.endpoints.remove(endpoint);
        if let Some((_, stamp)) = meter.and_then(|meter| meter.reported) {
            self.changed.remove(&stamp);
        }
    }

    /// Removes the endpoints for which `known` is false.
    pub fn retain(&mut self, known: impl Fn(&name::Endpoint) -> bool) {
        let changed = &mut self.changed;
        self.endpoints.retain(|name, meter| {
            let stays = known(name);
            if let Some((_, stamp)) = meter.reported.filter(|_| !stays) {
                changed.remove(&stamp);
            }
            stays
        });
    }
}

/// The paces that several boxes measured for one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Reports(BTreeMap<name::Box, Pace>);

impl Reports {
    /// Records a box's measurement and returns the median over all boxes; of an even number, the
    /// lower one.
    pub fn record(&mut self, from: name::Box, pace: Pace) -> Pace {
        self.0.insert(from, pace);
        let mut paces: Vec<_> = self.0.values().copied().collect();
        paces.sort_unstable();
        paces[(paces.len() - 1) / 2]
    }
}

/// Classifies the endpoints of a service as slow or fast. `graded` holds, for each, its pace if
/// known and whether it is slow; the flag is updated in place where the pace is known.
pub fn classify(graded: &mut [(Option<Pace>, bool)]) {
    let mut known: Vec<_> = graded.iter().filter_map(|(pace, _)| *pace).collect();
    known.sort_unstable();
    let Some(reference) = reference_index(known.len()) else {
        return;
    };
    for (pace, slow) in graded {
        if let Some(pace) = pace {
            *slow = is_slow(*pace, known[reference], *slow);
        }
    }
}

/// Returns the index, among the sorted paces of a service, of the fast endpoint that all are
/// compared with, or `None` where too few paces are known.
pub fn reference_index(known: usize) -> Option<usize> {
    (known >= MIN_KNOWN_PACES).then(|| (known - 1) / 3)
}

/// Returns whether an endpoint is slow compared with a fast one. The limit is lower for one that
/// was slow before, so that it does not alternate.
pub fn is_slow(pace: Pace, fast: Pace, was_slow: bool) -> bool {
    let limit = if was_slow { FAST_PERCENT } else { SLOW_PERCENT };
    u64::from(pace.0) * 100 > u64::from(fast.0) * u64::from(limit)
}

/// Returns the range of paces whose classification may differ now that the fast endpoint's pace has
/// changed from `before` to `fast`.
pub fn affected_range(before: Option<Pace>, fast: Pace) -> (Pace, Pace) {
    let Some(before) = before else {
        return (Pace(0), Pace(u32::MAX));
    };
    let lower = before.min(fast);
    let upper = before.max(fast);
    let scale = |pace: Pace, percent: u32| {
        let scaled = u64::from(pace.0) * u64::from(percent) / 100;
        u32::try_from(scaled).unwrap_or(u32::MAX)
    };
    let upper = scale(upper, SLOW_PERCENT).saturating_add(1);
    (Pace(scale(lower, FAST_PERCENT)), Pace(upper))
}
