//! How requests that came, began and got nothing are told, and what less urgent ones give way.
//!
//! A box sees one request in some hundred, so what it refuses by itself tells it late and
//! unsurely that more urgent requests find no room. Boxes tell how many came, began and got
//! nothing; hubs add them up (`Losses`) and tell all boxes one bound, from which on prompts of
//! less urgent tiers do not begin. Nothing has to be taken back.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    losses::{Counts, Losses},
    News,
};
use crate::core::{name, unit};

/// Requests of a class, and those of them that got nothing for want of room; written as a row.
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

impl Refused {
    /// What counts tell of requests that came and that got nothing, if that is anything.
    pub fn of(service: &name::Service, class: &name::Class, counts: Counts) -> Option<Self> {
        let tally = Tally::from(counts);
        (!tally.is_empty()).then(|| Self {
            service: service.clone(),
            class: class.clone(),
            tally,
        })
    }
}

/// Requests, and those of them that got nothing for good.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The least urgent tier among them: teams differ within a class.
    pub tier: unit::Tier,
    /// Requests that came.
    pub asked: u32,
    /// Those that got nothing for want of room.
    pub refused: u32,
    /// Tokens of the prompts of these.
    pub tokens: u64,
}

impl Tally {
    /// Whether it tells of no request.
    fn is_empty(&self) -> bool {
        self.asked == 0 && self.refused == 0
    }
}

impl From<Counts> for Tally {
    fn from(counts: Counts) -> Self {
        Self {
            tier: counts.tier,
            asked: counts.asked,
            refused: counts.lost,
            tokens: counts.lost_tokens,
        }
    }
}

impl From<Tally> for Counts {
    fn from(tally: Tally) -> Self {
        Self {
            tier: tally.tier,
            asked: tally.asked,
            lost: tally.refused,
            lost_tokens: tally.tokens,
            ..Self::default()
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

/// Requests of a class that began, were refused and may come back, or came back; written as a
/// row.
///
/// It stands beside [`Refused`], whose rows builds before it read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "TrafficRow", into = "TrafficRow")]
pub struct Traffic {
    /// The service.
    pub service: name::Service,
    /// The class.
    pub class: name::Class,
    /// The least urgent tier among them.
    pub tier: unit::Tier,
    /// Those that came back after a refusal.
    pub returned: u32,
    /// Those that were refused and may come back.
    pub deferred: u32,
    /// Tokens of those.
    pub deferred_tokens: u64,
    /// Those that began.
    pub begun: u32,
    /// Tokens of those.
    pub begun_tokens: u64,
}

/// Service, class, tier, returned, deferred, their tokens, begun, their tokens.
type TrafficRow = (
    name::Service,
    name::Class,
    unit::Tier,
    u32,
    u32,
    u64,
    u32,
    u64,
);

impl Traffic {
    /// What counts tell beside [`Tally`], if that is anything.
    pub fn of(service: &name::Service, class: &name::Class, counts: &Counts) -> Option<Self> {
        let tells = counts.returned > 0 || counts.deferred > 0 || counts.begun > 0;
        tells.then(|| Self {
            service: service.clone(),
            class: class.clone(),
            tier: counts.tier,
            returned: counts.returned,
            deferred: counts.deferred,
            deferred_tokens: counts.deferred_tokens,
            begun: counts.begun,
            begun_tokens: counts.begun_tokens,
        })
    }

    fn counts(&self) -> Counts {
        Counts {
            tier: self.tier,
            returned: self.returned,
            deferred: self.deferred,
            deferred_tokens: self.deferred_tokens,
            begun: self.begun,
            begun_tokens: self.begun_tokens,
            ..Counts::default()
        }
    }
}

impl From<TrafficRow> for Traffic {
    fn from(row: TrafficRow) -> Self {
        let (service, class, tier, returned, deferred, deferred_tokens, begun, begun_tokens) = row;
        Self {
            service,
            class,
            tier,
            returned,
            deferred,
            deferred_tokens,
            begun,
            begun_tokens,
        }
    }
}

impl From<Traffic> for TrafficRow {
    fn from(row: Traffic) -> Self {
        (
            row.service,
            row.class,
            row.tier,
            row.returned,
            row.deferred,
            row.deferred_tokens,
            row.begun,
            row.begun_tokens,
        )
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
    /// The least urgent tier that doesn't give way to it.
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

/// What became of the requests of all services.
#[derive(Debug, Default)]
pub(super) struct Sums(BTreeMap<name::Service, Losses>);

impl Sums {
    /// Counts requests.
    pub(super) fn add(&mut self, refused: &[Refused], traffic: &[Traffic], now: Duration) {
        for row in refused {
            let losses = self.0.entry(row.service.clone()).or_default();
            losses.add(&row.class, row.tally.into(), now);
        }
        for row in traffic {
            let losses = self.0.entry(row.service.clone()).or_default();
            losses.add(&row.class, row.counts(), now);
        }
    }

    /// The bounds that stand.
    pub(super) fn bounds(&mut self, now: Duration) -> Vec<Bound> {
        self.0.retain(|_, losses| losses.forget_idle(now));
        let limits = self.0.iter().flat_map(|(service, losses)| {
            let limits = losses.limits(now).into_iter();
            limits.map(|(class, limit)| (service.clone(), class, limit))
        });
        let bound = |(service, class, limit): (_, _, super::Limit)| Bound {
            service,
            class,
            tier: limit.tier,
            tokens: limit.tokens,
        };
        limits.map(bound).collect()
    }
}

/// Requests that another hub has not heard of.
#[derive(Debug, Default)]
pub(super) struct Unheard(BTreeMap<Key, Counts>);

impl Unheard {
    /// Counts requests.
    pub(super) fn add(&mut self, refused: &[Refused], traffic: &[Traffic]) {
        for row in refused {
            let key = (row.service.clone(), row.class.clone());
            *self.0.entry(key).or_default() += row.tally.into();
        }
        for row in traffic {
            let key = (row.service.clone(), row.class.clone());
            *self.0.entry(key).or_default() += row.counts();
        }
    }

    /// Moves all that was counted into what is told.
    pub(super) fn take(&mut self, news: &mut News) {
        for ((service, class), counts) in std::mem::take(&mut self.0) {
            news.count(&service, &class, counts);
        }
    }
}
