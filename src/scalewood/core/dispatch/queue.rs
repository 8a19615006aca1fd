//! The queue of requests that wait for a slot, in the order in which they get one.
//!
//! Tiers come first. Within a tier there are two bands. Requests that can still meet their
//! target go first, by least slack. Requests that have missed it follow in the order of their
//! due times: serving them first would only make the others miss theirs too, one after another.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::core::{
    attempt, build,
    dispatch::{message, work},
    name, residency, unit,
};

/// A position in a queue: due time, then order of arrival.
pub(super) type Position = (Duration, u64, attempt::Attempt);

/// A rank across all tiers: tier, whether the request is late, position.
type Rank = (unit::Tier, bool, Position);

/// What determines the endpoints that a request may use. The requests of a lane may use the same
/// endpoints.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lane {
    /// The regions allowed.
    pub(super) allowed: residency::Allowed,
    /// The box that would send it.
    pub(super) origin: name::Box,
    /// The only build allowed, if the request goes on with a stream.
    pub(super) build: Option<build::Build>,
}

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) origin: name::Box,
    pub(super) ask: message::Ask,
    /// The time at which it has to start to meet its target.
    pub(super) due: Duration,
    /// The time at which it is shed.
    pub(super) give_up: Duration,
    /// How long it is expected to hold a slot, in seconds.
    pub(super) hold: f64,
    serial: u64,
    /// The bucket that its work is counted in while it is on time.
    bucket: Option<work::Bucket>,
}

impl Waiting {
    fn position(&self) -> Position {
        (self.due, self.serial, self.ask.attempt)
    }

    /// Returns the time at which its caller leaves or it is shed, whichever is first.
    pub(super) fn leaves_at(&self) -> Duration {
        let shorter = self.ask.patience.map(|patience| {
            // Both are measured from the arrival.
            self.ask.deadline.saturating_sub(patience)
        });
        self.give_up.saturating_sub(shorter.unwrap_or_default())
    }

    /// Returns its lane.
    pub(super) fn lane(&self) -> Lane {
        Lane {
            allowed: self.ask.allowed.clone(),
            origin: self.origin.clone(),
            build: self.ask.build.clone(),
        }
    }

    fn rank(&self) -> Rank {
        (self.ask.tier, self.bucket.is_none(), self.position())
    }
}

/// The requests of one tier, in two bands.
#[derive(Debug)]
struct TierQueue {
    on_time: BTreeSet<Position>,
    late: BTreeSet<Position>,
    give_up: BTreeSet<(Duration, attempt::Attempt)>,
    /// The work of the requests that are on time.
    work: work::Work,
    /// The work of the late requests, in slot-seconds.
    late_work: f64,
}

impl TierQueue {
    fn new(now: Duration) -> Self {
        Self {
            on_time: BTreeSet::new(),
            late: BTreeSet::new(),
            give_up: BTreeSet::new(),
            work: work::Work::new(now),
            late_work: 0.0,
        }
    }

    fn first(&self) -> Option<&Position> {
        self.on_time.first().or_else(|| self.late.first())
    }

    fn last(&self) -> Option<&Position> {
        self.late.last().or_else(|| self.on_time.last())
    }

    fn all_work(&self) -> f64 {
        self.work.total() + self.late_work
    }
}

/// All requests that wait.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: HashMap<attempt::Attempt, Waiting>,
    tiers: BTreeMap<unit::Tier, TierQueue>,
    classes: HashMap<name::Class, BTreeSet<Position>>,
    /// The requests of each lane, in the order in which they get a slot.
    lanes: BTreeMap<Lane, BTreeSet<Rank>>,
    serial: u64,
}

/// When a request has to start and when it is shed, and how long it is expected to hold a slot,
/// in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Times {
    pub(super) due: Duration,
    pub(super) give_up: Duration,
    pub(super) hold: f64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn contains(&self, attempt: attempt::Attempt) -> bool {
        self.waiting.contains_key(&attempt)
    }

    pub(super) fn get(&self, attempt: attempt::Attempt) -> Option<&Waiting> {
        self.waiting.get(&attempt)
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.values()
    }

    /// Returns the mean time for which a waiting request is expected to hold a slot, in
    /// seconds.
    pub(super) fn mean_hold(&self) -> Option<f64> {
        if self.waiting.is_empty() {
            return None;
        }
        let work: f64 = self.tiers.values().map(TierQueue::all_work).sum();
        Some(work / self.waiting.len() as f64)
    }

    /// Returns how many requests of a class wait.
    pub(super) fn count(&self, class: &name::Class) -> usize {
        self.classes.get(class).map_or(0, BTreeSet::len)
    }

    /// Adds a request.
    pub(super) fn insert(
        &mut self,
        origin: name::Box,
        ask: message::Ask,
        times: Times,
        now: Duration,
    ) {
        self.serial += 1;
        let Times { due, give_up, hold } = times;
        let mut waiting = Waiting {
            origin,
            ask,
            due,
            give_up,
            hold,
            serial: self.serial,
            bucket: None,
        };
        let tier_queue = self
            .tiers
            .entry(waiting.ask.tier)
            .or_insert_with(|| TierQueue::new(now));
        if due >= now {
            waiting.bucket = Some(tier_queue.work.add(due, hold));
            tier_queue.on_time.insert(waiting.position());
        } else {
            tier_queue.late_work += hold;
            tier_queue.late.insert(waiting.position());
        }
        tier_queue.give_up.insert((give_up, waiting.ask.attempt));
        self.classes
            .entry(waiting.ask.class.clone())
            .or_default()
            .insert(waiting.position());
        let lane = self.lanes.entry(waiting.lane()).or_default();
        lane.insert(waiting.rank());
        self.waiting.insert(waiting.ask.attempt, waiting);
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, attempt: attempt::Attempt) -> Option<Waiting> {
        let waiting = self.waiting.remove(&attempt)?;
        let position = waiting.position();
        if let Some(class) = self.classes.get_mut(&waiting.ask.class) {
            class.remove(&position);
        }
        let key = waiting.lane();
        if let Some(lane) = self.lanes.get_mut(&key) {
            lane.remove(&waiting.rank());
            if lane.is_empty() {
                self.lanes.remove(&key);
            }
        }
        if let Some(tier_queue) = self.tiers.get_mut(&waiting.ask.tier) {
            tier_queue.give_up.remove(&(waiting.give_up, attempt));
            match waiting.bucket {
                Some(bucket) => {
                    tier_queue.on_time.remove(&position);
                    tier_queue.work.remove(bucket, waiting.hold);
                }
                None => {
                    tier_queue.late.remove(&position);
                    tier_queue.late_work -= waiting.hold;
                }
            }
        }
        Some(waiting)
    }

    /// Moves the requests that have missed their target to the late band, and the windows of
    /// work forward.
    pub(super) fn advance(&mut self, now: Duration) {
        for tier_queue in self.tiers.values_mut() {
            while tier_queue
                .on_time
                .first()
                .is_some_and(|(due, _, _)| *due < now)
            {
                let Some(position) = tier_queue.on_time.pop_first() else {
                    break;
                };
                let Some(waiting) = self.waiting.get_mut(&position.2) else {
                    continue;
                };
                let before = waiting.rank();
                if let Some(bucket) = waiting.bucket.take() {
                    tier_queue.work.remove(bucket, waiting.hold);
                }
                if let Some(lane) = self.lanes.get_mut(&waiting.lane()) {
                    lane.remove(&before);
                    lane.insert(waiting.rank());
                }
                tier_queue.late_work += waiting.hold;
                tier_queue.late.insert(position);
            }
            if tier_queue.work.is_stale(now) {
                tier_queue.work = work::Work::new(now);
                for (due, _, attempt) in &tier_queue.on_time {
                    let Some(waiting) = self.waiting.get_mut(attempt) else {
                        continue;
                    };
                    waiting.bucket = Some(tier_queue.work.add(*due, waiting.hold));
                }
            }
        }
    }

    /// Returns the first request by tier and slack.
    pub(super) fn first(&self) -> Option<attempt::Attempt> {
        self.tiers
            .values()
            .find_map(TierQueue::first)
            .map(|position| position.2)
    }

    /// Returns the first request by tier and slack outside the lanes that have no free slot.
    pub(super) fn first_outside(&self, full: &[Lane]) -> Option<attempt::Attempt> {
        if full.is_empty() {
            return self.first();
        }
        let lanes = self.lanes.iter();
        let open = lanes.filter(|(lane, _)| !full.contains(lane));
        let first = open.filter_map(|(_, lane)| lane.first()).min()?;
        Some(first.2 .2)
    }

    /// Returns the lanes in which requests wait.
    pub(super) fn lanes(&self) -> impl Iterator<Item = &Lane> {
        self.lanes.keys()
    }

    /// Returns the requests of a lane whose callers leave, or that are shed, by a given time.
    pub(super) fn leaving_by(&self, lane: &Lane, until: Duration) -> Vec<attempt::Attempt> {
        let ranks = self.lanes.get(lane).into_iter().flatten();
        let waiting = ranks.filter_map(|(_, _, position)| self.waiting.get(&position.2));
        let leaving = waiting.filter(|waiting| waiting.leaves_at() <= until);
        leaving.map(|waiting| waiting.ask.attempt).collect()
    }

    /// Returns the first request of a class.
    pub(super) fn first_of(&self, class: &name::Class) -> Option<attempt::Attempt> {
        self.classes.get(class)?.first().map(|position| position.2)
    }

    /// Returns the request that is shed first when the queue is full.
    pub(super) fn last(&self) -> Option<attempt::Attempt> {
        self.tiers
            .values()
            .rev()
            .find_map(TierQueue::last)
            .map(|position| position.2)
    }

    /// Returns the last request of each tier's late band.
    pub(super) fn late_tails(&self) -> Vec<attempt::Attempt> {
        self.tiers
            .values()
            .filter_map(|tier_queue| tier_queue.late.last())
            .map(|p| p.2)
            .collect()
    }

    /// Returns a request whose deadline has passed.
    pub(super) fn expired(&self, now: Duration) -> Option<attempt::Attempt> {
        let first = |tier_queue: &TierQueue| tier_queue.give_up.first().copied();
        self.tiers
            .values()
            .filter_map(first)
            .find(|(at, _)| *at <= now)
            .map(|(_, a)| a)
    }

    /// Returns the earliest time at which a request above a tier is shed.
    pub(super) fn soonest_give_up_above(&self, tier: unit::Tier) -> Option<Duration> {
        let above = self.tiers.range(..tier);
        above
            .filter_map(|(_, tier_queue)| tier_queue.give_up.first())
            .map(|(at, _)| *at)
            .min()
    }

    /// Returns the lowest tier in which requests wait.
    pub(super) fn lowest_tier(&self) -> Option<unit::Tier> {
        self.tiers
            .iter()
            .rev()
            .find(|(_, tier_queue)| tier_queue.first().is_some())
            .map(|(tier, _)| *tier)
    }

    /// Returns the requests that have to start by `until`, at most `most`, in order.
    pub(super) fn urgent(&self, until: Duration, most: usize) -> Vec<&Waiting> {
        let in_tier = |tier_queue: &'_ TierQueue| {
            let on_time = tier_queue
                .on_time
                .iter()
                .take_while(move |(due, _, _)| *due <= until);
            on_time
                .chain(&tier_queue.late)
                .take(most)
                .map(|p| p.2)
                .collect::<Vec<_>>()
        };
        let attempts = self.tiers.values().flat_map(in_tier).take(most);
        attempts
            .filter_map(|attempt| self.waiting.get(&attempt))
            .collect()
    }

    /// Returns the work, in slot-seconds, that is served before a request of a tier and due
    /// time.
    pub(super) fn work_before(&self, tier: unit::Tier, due: Duration, now: Duration) -> f64 {
        let above: f64 = self
            .tiers
            .range(..tier)
            .map(|(_, tier_queue)| tier_queue.all_work())
            .sum();
        let own = self.tiers.get(&tier).map_or(0.0, |tier_queue| {
            if due >= now {
                tier_queue.work.before(due)
            } else {
                // A late request is served after all that are on time. It is one of the last late
                // ones when its wait is predicted, so all of them count.
                tier_queue.all_work()
            }
        });
        above + own
    }
}
