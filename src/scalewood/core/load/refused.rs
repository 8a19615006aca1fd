//! How many requests of each class are refused, as all boxes together have seen.
//!
//! A box sees one request in some hundred, so what it refuses by itself tells it late and
//! unsurely that more urgent requests find no room. Boxes tell how many came and how many
//! they refused; hubs add them up and tell all boxes one bound, from which on prompts of
//! less urgent tiers do not begin. What was told fades, so that the bound goes with its
//! cause; nothing has to be taken back.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::core::{name, unit};

/// The time, in seconds, in which counts fade to a third: some exchanges between boxes and
/// hubs long, so that one lost exchange does not end a bound. After all of a class were
/// refused a bound stands for 3.2 times as long. Tried in service: with a second, more was
/// refused for a bound whose cause had gone than for the cause.
const FADING: f64 = 0.4;
/// The part of a class's requests that may be refused before less urgent ones are held back:
/// half of what is borne, so that the other half is left for the time that word takes.
const LOW: f64 = 1.0 / 24.0;
/// The part from which on nothing larger than those that are refused begins.
const HIGH: f64 = 1.0 / 12.0;
/// How many refused requests, fading, are no chance: two within 0.6 s.
const FEW: f64 = 1.2;
/// How many times as large as those that are refused a prompt has to be to be held back at
/// `LOW`. The largest go first: each frees the most work.
const WIDE: f64 = 4.0;

/// Requests of a class, and those of them that were refused for want of room; written as a
/// row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RefusedRow", into = "RefusedRow")]
pub struct Refused {
    /// The service.
    pub service: name::Service,
    /// The class.
    pub class: name::Class,
    /// How many, by what came of them.
    pub tally: Tally,
}

/// Requests, and those of them that were refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The least urgent tier among them: teams differ within a class.
    pub tier: unit::Tier,
    /// Requests that came.
    pub asked: u32,
    /// Those that were refused for want of room.
    pub refused: u32,
    /// Tokens of the prompts that were refused.
    pub tokens: u64,
}

impl Tally {
    fn plus(self, other: Self) -> Self {
        Self {
            tier: self.tier.max(other.tier),
            asked: self.asked.saturating_add(other.asked),
            refused: self.refused.saturating_add(other.refused),
            tokens: self.tokens.saturating_add(other.tokens),
        }
    }
}

/// Service, class, tier, asked, refused, tokens.
type RefusedRow = (name::Service, name::Class, unit::Tier, u32, u32, u64);

impl From<RefusedRow> for Refused {
    fn from((service, class, tier, asked, refused, tokens): RefusedRow) -> Self {
        let tally = Tally {
            tier,
            asked,
            refused,
            tokens,
        };
        Self {
            service,
            class,
            tally,
        }
    }
}

impl From<Refused> for RefusedRow {
    fn from(row: Refused) -> Self {
        let Tally {
            tier,
            asked,
            refused,
            tokens,
        } = row.tally;
        (row.service, row.class, tier, asked, refused, tokens)
    }
}

/// The bound that the refusals of a class set to less urgent ones; written as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "BoundRow", into = "BoundRow")]
pub struct Bound {
    /// The service.
    pub service: name::Service,
    /// The class that is refused.
    pub class: name::Class,
    /// The least urgent tier of that class.
    pub tier: unit::Tier,
    /// The largest prompt that begins of a less urgent tier.
    pub tokens: unit::Tokens,
}

/// Service, class, tier, tokens.
type BoundRow = (name::Service, name::Class, unit::Tier, u64);

impl From<BoundRow> for Bound {
    fn from((service, class, tier, tokens): BoundRow) -> Self {
        let tokens = unit::Tokens(tokens);
        Self {
            service,
            class,
            tier,
            tokens,
        }
    }
}

impl From<Bound> for BoundRow {
    fn from(bound: Bound) -> Self {
        (bound.service, bound.class, bound.tier, bound.tokens.0)
    }
}

/// A class of a service.
type Key = (name::Service, name::Class);

/// Counts that fade.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    at: Duration,
    tier: unit::Tier,
    asked: f64,
    refused: f64,
    tokens: f64,
}

impl Sum {
    fn faded(self, now: Duration) -> Self {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-passed / FADING).exp();
        Self {
            at: now,
            asked: self.asked * kept,
            refused: self.refused * kept,
            tokens: self.tokens * kept,
            ..self
        }
    }

    fn add(&mut self, tally: Tally, now: Duration) {
        let faded = self.faded(now);
        *self = Self {
            at: now,
            tier: faded.tier.max(tally.tier),
            asked: faded.asked + f64::from(tally.asked),
            refused: faded.refused + f64::from(tally.refused),
            // Sums are far below 2^52 tokens, so the cast is exact.
            tokens: faded.tokens + tally.tokens as f64,
        };
    }

    /// The largest prompt of a less urgent tier that begins, if that is bound.
    fn bound(self, now: Duration) -> Option<unit::Tokens> {
        let Self {
            asked,
            refused,
            tokens,
            ..
        } = self.faded(now);
        // A refusal may be told before the request itself, which is counted with others.
        let part = refused / asked.max(refused).max(f64::MIN_POSITIVE);
        if refused < FEW || part < LOW {
            return None;
        }
        let height = ((part - LOW) / (HIGH - LOW)).min(1.0);
        let times = WIDE - (WIDE - 1.0) * height;
        // Casts of floating point numbers saturate.
        Some(unit::Tokens((tokens / refused * times) as u64))
    }
}

/// Requests that came and that were refused, by service and class, fading.
#[derive(Debug, Default)]
pub(super) struct Sums(BTreeMap<Key, Sum>);

impl Sums {
    /// Counts requests.
    pub(super) fn add(&mut self, told: &[Refused], now: Duration) {
        for row in told {
            let sum = self
                .0
                .entry((row.service.clone(), row.class.clone()))
                .or_default();
            sum.add(row.tally, now);
        }
    }

    /// The bounds that stand.
    pub(super) fn bounds(&mut self, now: Duration) -> Vec<Bound> {
        /// Counts that tell nothing any more.
        const NOTHING: f64 = 0.01;
        self.0.retain(|_, sum| sum.faded(now).asked > NOTHING);
        let bounds = self.0.iter().filter_map(|((service, class), sum)| {
            let tokens = sum.bound(now)?;
            Some(Bound {
                service: service.clone(),
                class: class.clone(),
                tier: sum.tier,
                tokens,
            })
        });
        bounds.collect()
    }
}

/// Requests that another hub has not heard of.
#[derive(Debug, Default)]
pub(super) struct Unheard(BTreeMap<Key, Tally>);

impl Unheard {
    /// Counts requests.
    pub(super) fn add(&mut self, told: &[Refused]) {
        for row in told {
            let tally = self
                .0
                .entry((row.service.clone(), row.class.clone()))
                .or_default();
            *tally = tally.plus(row.tally);
        }
    }

    /// All that was counted; nothing is left.
    pub(super) fn take(&mut self) -> Vec<Refused> {
        let all = std::mem::take(&mut self.0);
        let row = |((service, class), tally)| Refused {
            service,
            class,
            tally,
        };
        all.into_iter().map(row).collect()
    }
}
