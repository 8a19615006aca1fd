//! How many requests of each class are refused, and what less urgent ones give way for it.
//!
//! Who gives way is found from the bottom. The least urgent class gives way at the first sign
//! that a class above finds no room: refusals whose callers are not back yet. A class
//! above it gives way only where requests get nothing for good, and only once nothing below it
//! begins: a caller that comes back and is served has lost nothing, and what is held back in
//! vain has. So no class is held back for one above while larger, less urgent requests begin.
//!
//! Counts are kept for as long as a loss is borne. Counts that faded sooner would let the
//! least urgent begin in the gaps between the refusals of a class with few requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::AddAssign,
    time::Duration,
};

use super::window::Window;
use crate::core::{name, unit};

/// The time over which losses are borne or not, and a short one, by which a sudden overload
/// shows before it makes up a part of the long one.
const LONG: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_secs(1);
/// The part of a class's requests that may be refused before less urgent ones are held back:
/// half of what is borne, so that the other half is left for the time that word takes.
const LOW: f64 = 1.0 / 24.0;
/// The part from which on nothing larger than those that are refused begins.
const HIGH: f64 = 1.0 / 12.0;
/// How many refusals are no chance.
const FEW: u32 = 2;
/// How many times as large as those that are refused a prompt has to be to be held back at
/// `LOW`. The largest go first: each frees the most work.
const WIDE: f64 = 4.0;
/// How long after the last refusal less urgent requests are held back at most.
const CALM: Duration = Duration::from_millis(2500);
/// Requests of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// The least urgent tier among them: teams differ within a class.
    pub tier: unit::Tier,
    /// Those that came.
    pub asked: u32,
    /// Those that came back after a refusal.
    pub returned: u32,
    /// Those that were refused and may come back.
    pub deferred: u32,
    /// Tokens of those.
    pub deferred_tokens: u64,
    /// Those that got nothing for good.
    pub lost: u32,
    /// Tokens of those.
    pub lost_tokens: u64,
    /// Those that began.
    pub begun: u32,
    /// Tokens of those.
    pub begun_tokens: u64,
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.tier = self.tier.max(other.tier);
        self.asked = self.asked.saturating_add(other.asked);
        self.returned = self.returned.saturating_add(other.returned);
        self.deferred = self.deferred.saturating_add(other.deferred);
        self.deferred_tokens = self.deferred_tokens.saturating_add(other.deferred_tokens);
        self.lost = self.lost.saturating_add(other.lost);
        self.lost_tokens = self.lost_tokens.saturating_add(other.lost_tokens);
        self.begun = self.begun.saturating_add(other.begun);
        self.begun_tokens = self.begun_tokens.saturating_add(other.begun_tokens);
    }
}

impl Counts {
    /// The mean size of those that were refused.
    fn refused_size(&self) -> f64 {
        mean(
            self.lost_tokens.saturating_add(self.deferred_tokens),
            self.lost.saturating_add(self.deferred),
        )
    }

    /// The part of those that came which were sent away, for good or until they come back.
    fn refused_part(&self) -> f64 {
        let away = self.deferred.saturating_sub(self.returned);
        self.part(self.lost.saturating_add(away))
    }

    /// The part of those that came which got nothing for good.
    fn lost_part(&self) -> f64 {
        self.part(self.lost)
    }

    /// The part that some are of those that came; 0 if they are few.
    fn part(&self, some: u32) -> f64 {
        if some < FEW {
            return 0.0;
        }
        // A refusal may be told before the request itself, which is counted with others.
        f64::from(some) / f64::from(self.asked.max(some))
    }

    /// Whether so few begin that they take nothing from others.
    fn is_stopped(&self) -> bool {
        f64::from(self.begun) <= f64::from(self.asked) * LOW
    }
}

/// Sums are far below 2^52 tokens, so the cast is exact.
fn mean(tokens: u64, count: u32) -> f64 {
    tokens as f64 / f64::from(count.max(1))
}

/// What less urgent requests may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The least urgent tier that is not held back.
    pub tier: unit::Tier,
    /// The largest prompt that begins of a less urgent tier.
    pub tokens: unit::Tokens,
}

/// What is known of a class.
#[derive(Clone, Copy, Debug, Default)]
struct Course {
    /// The least urgent tier that it is known to have.
    tier: unit::Tier,
    window: Window<Counts>,
    /// When a request was refused last.
    refused_at: Option<Duration>,
}

impl Course {
    fn add(&mut self, counts: Counts, now: Duration) {
        self.tier = self.tier.max(counts.tier);
        self.window.add(counts, now);
        if counts.lost > 0 || counts.deferred > 0 {
            self.refused_at = Some(now);
        }
    }

    /// Whether nothing was refused for so long that nobody needs to give way.
    fn is_calm(&self, now: Duration) -> bool {
        self.refused_at.is_none_or(|at| now > at + CALM)
    }

    fn seen(&self, now: Duration) -> Seen {
        let counts = self.window.sum(LONG, now);
        // A calm class needs nobody to give way.
        let parts = (!self.is_calm(now)).then(|| [counts, self.window.sum(SHORT, now)]);
        let parts = parts.iter().flatten();
        let refused = parts.clone().map(Counts::refused_part);
        let lost = parts.map(Counts::lost_part);
        Seen {
            tier: self.tier,
            counts,
            refused: refused.fold(0.0, f64::max),
            lost: lost.fold(0.0, f64::max),
        }
    }
}

/// What a class met of late.
#[derive(Clone, Copy, Debug)]
struct Seen {
    /// Its least urgent tier.
    tier: unit::Tier,
    /// Its requests.
    counts: Counts,
    /// The part that was refused.
    refused: f64,
    /// The part that got nothing for good.
    lost: f64,
}

impl Seen {
    /// The largest prompt that begins of what is held back for this class.
    fn tokens(&self) -> unit::Tokens {
        let height = ((self.refused - LOW) / (HIGH - LOW)).clamp(0.0, 1.0);
        let times = WIDE - (WIDE - 1.0) * height;
        // Casts of floating point numbers saturate.
        unit::Tokens((self.counts.refused_size() * times) as u64)
    }

    /// Whether larger requests of it begin than those of a class that are refused.
    fn takes_from(&self, losing: &Self) -> bool {
        let size = mean(self.counts.begun_tokens, self.counts.begun);
        !self.counts.is_stopped() && size > losing.counts.refused_size()
    }
}

/// What became of the requests of a service's classes, as far as is known here.
#[derive(Debug, Default)]
pub struct Losses(BTreeMap<name::Class, Course>);

impl Losses {
    /// Counts requests of a class.
    pub fn add(&mut self, class: &name::Class, counts: Counts, now: Duration) {
        // Classes are few and named by each request.
        if let Some(course) = self.0.get_mut(class) {
            return course.add(counts, now);
        }
        let mut course = Course::default();
        course.add(counts, now);
        self.0.insert(class.clone(), course);
    }

    /// Forgets classes of which nothing came of late; whether any is left.
    pub fn forget_idle(&mut self, now: Duration) -> bool {
        self.0.retain(|_, course| {
            let counts = course.window.sum(LONG, now);
            counts != Counts::default()
        });
        !self.0.is_empty()
    }

    /// Sets the classes that there are, by their tiers. One of which nothing came yet may
    /// begin elsewhere, and gives way before others do.
    pub fn set_classes(&mut self, classes: &BTreeMap<name::Class, unit::Tier>) {
        self.0.retain(|class, _| classes.contains_key(class));
        for (class, tier) in classes {
            let course = self.0.entry(class.clone()).or_default();
            course.tier = course.tier.max(*tier);
        }
    }

    /// What less urgent requests may begin now, by the class that they give way to.
    pub fn limits(&self, now: Duration) -> Vec<(name::Class, Limit)> {
        // On calm days nothing has to be summed, however many classes there are.
        if self.0.values().all(|course| course.is_calm(now)) {
            return Vec::new();
        }
        let seen = self.0.iter();
        let seen: Vec<_> = seen.map(|(class, c)| (class, c.seen(now))).collect();
        let losing = seen.iter().filter(|(_, seen)| seen.refused >= LOW);
        let limits = losing.map(|(class, losing)| {
            let limit = Limit {
                tier: spared(losing, &seen),
                tokens: losing.tokens(),
            };
            ((*class).clone(), limit)
        });
        limits.collect()
    }
}

/// The least urgent tier that doesn't give way to a class: all below it do.
fn spared(losing: &Seen, all: &[(&name::Class, Seen)]) -> unit::Tier {
    let own = losing.tier;
    let below = all.iter().map(|(_, seen)| seen.tier);
    let below: BTreeSet<_> = below.filter(|tier| own.outranks(*tier)).collect();
    let mut tiers = below.into_iter().rev().chain([own]);
    let mut giving = tiers.next().unwrap_or(own);
    for tier in tiers {
        let takes = |(_, seen): &&(_, Seen)| seen.tier >= giving && seen.takes_from(losing);
        if losing.lost < LOW || all.iter().any(|seen| takes(&seen)) {
            return tier;
        }
        giving = tier;
    }
    own
}
