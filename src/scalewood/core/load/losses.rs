//! Counts how many requests of each class are refused, and limits less urgent classes in return.
//!
//! The classes that give way to a class with refusals are found from the least urgent one
//! upwards. The least urgent class is limited as soon as the other class has refusals that its
//! callers have not retried yet. A more urgent class is limited only if requests are refused for
//! good, and only once no class below it starts requests larger than the refused ones: a caller
//! that retries and is served has lost nothing, while a request that is held back in vain has. So
//! no class is held back for another while larger, less urgent requests start.
//!
//! Counts are kept over the time over which refusals are judged. If they decayed sooner, the
//! least urgent class could start requests in the gaps between the refusals of a class with few
//! requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::AddAssign,
    time::Duration,
};

use super::window::Window;
use crate::core::{name, unit};

/// The time over which refusals are judged, and a short one that shows a sudden overload before
/// it makes up a large share of the long one.
const LONG_WINDOW: Duration = Duration::from_secs(5);
const SHORT_WINDOW: Duration = Duration::from_secs(1);
/// The share of a class's requests that may be refused before less urgent ones are held back:
/// half of the share that is tolerated; the other half is left for the time until all boxes know.
const LOW_SHARE: f64 = 1.0 / 24.0;
/// The share of refusals from which on no less urgent prompt larger than the mean refused one
/// starts.
const HIGH_SHARE: f64 = 1.0 / 12.0;
/// The number of refusals below which they are taken as chance and ignored.
const MIN_REFUSALS: u32 = 2;
/// The size, as a multiple of the mean refused prompt, above which less urgent prompts are held
/// back at `LOW_SHARE`. The largest are held back first, since each frees the most
/// capacity.
const MAX_SIZE_FACTOR: f64 = 4.0;
/// How long after the last refusal of a class less urgent requests are still held back.
const HOLD_AFTER_REFUSAL: Duration = Duration::from_millis(2500);

/// Numbers of requests of a class, by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// The least urgent tier among them: teams differ within a class.
    pub tier: unit::Tier,
    /// Requests that arrived.
    pub arrived: u32,
    /// Requests that are retries after a refusal.
    pub client_retries: u32,
    /// Requests that were refused and may be retried.
    pub deferred: u32,
    /// Prompt tokens of the deferred requests.
    pub deferred_tokens: u64,
    /// Requests that were refused for good.
    pub lost: u32,
    /// Prompt tokens of the lost requests.
    pub lost_tokens: u64,
    /// Requests that started.
    pub started: u32,
    /// Prompt tokens of the started requests.
    pub started_tokens: u64,
}

impl AddAssign for ClassCounts {
    fn add_assign(&mut self, other: Self) {
        self.tier = self.tier.max(other.tier);
        self.arrived = self.arrived.saturating_add(other.arrived);
        self.client_retries = self.client_retries.saturating_add(other.client_retries);
        self.deferred = self.deferred.saturating_add(other.deferred);
        self.deferred_tokens = self.deferred_tokens.saturating_add(other.deferred_tokens);
        self.lost = self.lost.saturating_add(other.lost);
        self.lost_tokens = self.lost_tokens.saturating_add(other.lost_tokens);
        self.started = self.started.saturating_add(other.started);
        self.started_tokens = self.started_tokens.saturating_add(other.started_tokens);
    }
}

impl ClassCounts {
    /// Returns the mean prompt size of the refused requests, in tokens.
    fn refused_size(&self) -> f64 {
        mean(
            self.lost_tokens.saturating_add(self.deferred_tokens),
            self.lost.saturating_add(self.deferred),
        )
    }

    /// Returns the share of arrivals that were refused for good or have not been retried yet.
    fn refused_share(&self) -> f64 {
        let not_retried = self.deferred.saturating_sub(self.client_retries);
        self.share(self.lost.saturating_add(not_retried))
    }

    /// Returns the share of arrivals that were refused for good.
    fn lost_share(&self) -> f64 {
        self.share(self.lost)
    }

    /// Returns `refusals` as a share of the arrivals, or 0 if they are too few to count.
    fn share(&self, refusals: u32) -> f64 {
        if refusals < MIN_REFUSALS {
            return 0.0;
        }
        // A refusal may be reported before the arrival of its request, so `arrived` can be too low.
        f64::from(refusals) / f64::from(self.arrived.max(refusals))
    }

    /// Returns whether so few requests start, as a share of the arrivals, that they take no
    /// capacity from others.
    fn is_stopped(&self) -> bool {
        f64::from(self.started) <= f64::from(self.arrived) * LOW_SHARE
    }
}

/// Returns the mean number of tokens. Sums stay far below 2^52, so the cast is exact.
fn mean(tokens: u64, count: u32) -> f64 {
    tokens as f64 / f64::from(count.max(1))
}

/// The limit that less urgent requests have to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The least urgent tier that is not held back.
    pub tier: unit::Tier,
    /// The largest prompt of a less urgent tier that may start.
    pub tokens: unit::Tokens,
}

/// The recent requests of a class.
#[derive(Clone, Copy, Debug, Default)]
struct History {
    /// The least urgent tier seen or configured for the class.
    tier: unit::Tier,
    window: Window<ClassCounts>,
    /// When a request of the class was last refused.
    refused_at: Option<Duration>,
}

impl History {
    fn add(&mut self, counts: ClassCounts, now: Duration) {
        self.tier = self.tier.max(counts.tier);
        self.window.add(counts, now);
        if counts.lost > 0 || counts.deferred > 0 {
            self.refused_at = Some(now);
        }
    }

    /// Returns whether the last refusal is so long ago that no other class has to give way.
    fn is_quiet(&self, now: Duration) -> bool {
        self.refused_at
            .is_none_or(|at| now > at + HOLD_AFTER_REFUSAL)
    }

    fn recent(&self, now: Duration) -> Recent {
        let counts = self.window.sum(LONG_WINDOW, now);
        // Other classes don't give way to a class without recent refusals.
        let parts = (!self.is_quiet(now)).then(|| [counts, self.window.sum(SHORT_WINDOW, now)]);
        let parts = parts.iter().flatten();
        let refused = parts.clone().map(ClassCounts::refused_share);
        let lost = parts.map(ClassCounts::lost_share);
        Recent {
            tier: self.tier,
            counts,
            refused: refused.fold(0.0, f64::max),
            lost: lost.fold(0.0, f64::max),
        }
    }
}

/// A class's counts and refused shares at one moment.
#[derive(Clone, Copy, Debug)]
struct Recent {
    /// Its least urgent tier.
    tier: unit::Tier,
    /// Its requests over the long window.
    counts: ClassCounts,
    /// The share that was refused, with or without a retry to come; the larger one of both
    /// windows.
    refused: f64,
    /// The share that was refused for good; the larger one of both windows.
    lost: f64,
}

impl Recent {
    /// Returns the largest prompt, in tokens, that may start among the requests held back for
    /// this class. It falls with the refused share, from `MAX_SIZE_FACTOR` times the mean refused
    /// size to that size.
    fn tokens(&self) -> unit::Tokens {
        let fraction = ((self.refused - LOW_SHARE) / (HIGH_SHARE - LOW_SHARE)).clamp(0.0, 1.0);
        let factor = MAX_SIZE_FACTOR - (MAX_SIZE_FACTOR - 1.0) * fraction;
        // Casts from floating point saturate.
        unit::Tokens((self.counts.refused_size() * factor) as u64)
    }

    /// Returns whether this class starts requests that are larger, on average, than those that
    /// `losing` has refused.
    fn starts_larger_than(&self, losing: &Self) -> bool {
        let size = mean(self.counts.started_tokens, self.counts.started);
        !self.counts.is_stopped() && size > losing.counts.refused_size()
    }
}

/// The recent requests of a service's classes, as far as this process knows.
#[derive(Debug, Default)]
pub struct Losses(BTreeMap<name::Class, History>);

impl Losses {
    /// Adds the counts of a class.
    pub fn add(&mut self, class: &name::Class, counts: ClassCounts, now: Duration) {
        // Looked up first, to clone the name only once per class: most calls find the class.
        if let Some(history) = self.0.get_mut(class) {
            return history.add(counts, now);
        }
        let mut history = History::default();
        history.add(counts, now);
        self.0.insert(class.clone(), history);
    }

    /// Forgets classes without recent requests; returns whether any class is left.
    pub fn forget_idle(&mut self, now: Duration) -> bool {
        self.0.retain(|_, history| {
            let counts = history.window.sum(LONG_WINDOW, now);
            counts != ClassCounts::default()
        });
        !self.0.is_empty()
    }

    /// Sets the configured classes with their tiers. A class that has not sent requests here may
    /// do so at other boxes, so it too has to give way before more urgent classes do.
    pub fn set_classes(&mut self, classes: &BTreeMap<name::Class, unit::Tier>) {
        self.0.retain(|class, _| classes.contains_key(class));
        for (class, tier) in classes {
            let history = self.0.entry(class.clone()).or_default();
            history.tier = history.tier.max(*tier);
        }
    }

    /// Returns the limits in force, by the class that less urgent requests give way to.
    pub fn limits(&self, now: Duration) -> Vec<(name::Class, Limit)> {
        // Without recent refusals nothing is summed, however many classes there are.
        if self.0.values().all(|history| history.is_quiet(now)) {
            return Vec::new();
        }
        let recent = self.0.iter();
        let recent: Vec<_> = recent.map(|(class, c)| (class, c.recent(now))).collect();
        let losing = recent
            .iter()
            .filter(|(_, recent)| recent.refused >= LOW_SHARE);
        let limits = losing.map(|(class, losing)| {
            let limit = Limit {
                tier: least_urgent_spared(losing, &recent),
                tokens: losing.tokens(),
            };
            ((*class).clone(), limit)
        });
        limits.collect()
    }
}

/// Returns the least urgent tier that doesn't give way to `losing`; all less urgent tiers do.
fn least_urgent_spared(losing: &Recent, all: &[(&name::Class, Recent)]) -> unit::Tier {
    let own = losing.tier;
    let below = all.iter().map(|(_, recent)| recent.tier);
    let below: BTreeSet<_> = below.filter(|tier| own.outranks(*tier)).collect();
    let mut tiers = below.into_iter().rev().chain([own]);
    let mut limited_from = tiers.next().unwrap_or(own);
    for tier in tiers {
        let takes_capacity = |(_, recent): &&(_, Recent)| {
            recent.tier >= limited_from && recent.starts_larger_than(losing)
        };
        if losing.lost < LOW_SHARE || all.iter().any(|recent| takes_capacity(&recent)) {
            return tier;
        }
        limited_from = tier;
    }
    own
}
