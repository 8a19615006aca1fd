//! Messages about arrived, started and refused requests, and the bounds on less urgent ones.
//!
//! A box sees about one request in some hundred, so its own refusals show late and unreliably
//! that more urgent requests find no capacity. Boxes report how many requests arrived, started
//! and were refused; hubs add these up ([`Losses`]) and send all boxes one bound above which
//! prompts of less urgent tiers don't start. Running requests are not stopped for it.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    losses::{ClassCounts, Losses},
    Update,
};
use crate::core::{name, unit};

/// Requests of a class, and those of them that were refused for good for lack of capacity.
/// Serialized as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RefusedRow", into = "RefusedRow")]
pub struct Refused {
    /// The service.
    pub service: name::Service,
    /// The class.
    pub class: name::Class,
    /// The numbers of requests.
    pub tally: Tally,
}

impl Refused {
    /// Returns the arrivals and final refusals among `counts`, if there are any.
    pub fn of(service: &name::Service, class: &name::Class, counts: ClassCounts) -> Option<Self> {
        let tally = Tally::from(counts);
        (!tally.is_empty()).then(|| Self {
            service: service.clone(),
            class: class.clone(),
            tally,
        })
    }
}

/// Numbers of requests, and of those that were refused for good.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The least urgent tier among them: teams differ within a class.
    pub tier: unit::Tier,
    /// Requests that arrived.
    pub arrived: u32,
    /// Requests that were refused for good, for lack of capacity.
    pub refused: u32,
    /// Prompt tokens of the refused requests.
    pub tokens: u64,
}

impl Tally {
    /// Returns whether it counts no request.
    fn is_empty(&self) -> bool {
        self.arrived == 0 && self.refused == 0
    }
}

impl From<ClassCounts> for Tally {
    fn from(counts: ClassCounts) -> Self {
        Self {
            tier: counts.tier,
            arrived: counts.arrived,
            refused: counts.lost,
            tokens: counts.lost_tokens,
        }
    }
}

impl From<Tally> for ClassCounts {
    fn from(tally: Tally) -> Self {
        Self {
            tier: tally.tier,
            arrived: tally.arrived,
            lost: tally.refused,
            lost_tokens: tally.tokens,
            ..Self::default()
        }
    }
}

/// Service, class, tier, arrived, refused, tokens.
type RefusedRow = (name::Service, name::Class, unit::Tier, u32, u32, u64);

impl From<RefusedRow> for Refused {
    fn from((service, class, tier, arrived, refused, tokens): RefusedRow) -> Self {
        let tally = Tally {
            tier,
            arrived,
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
            arrived,
            refused,
            tokens,
        } = row.tally;
        (row.service, row.class, tier, arrived, refused, tokens)
    }
}

/// Requests of a class that started, were refused but may be retried, or were retried. Serialized
/// as a row.
///
/// These counts are not part of [`Refused`], so that older builds can still read its rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "TrafficRow", into = "TrafficRow")]
pub struct Traffic {
    /// The service.
    pub service: name::Service,
    /// The class.
    pub class: name::Class,
    /// The least urgent tier among them.
    pub tier: unit::Tier,
    /// Requests that are retries after a refusal.
    pub client_retries: u32,
    /// Requests that were refused and may be retried.
    pub deferred: u32,
    /// Prompt tokens of the deferred requests.
    pub deferred_tokens: u64,
    /// Requests that started.
    pub started: u32,
    /// Prompt tokens of the started requests.
    pub started_tokens: u64,
}

/// Service, class, tier, client retries, deferred, deferred tokens, started, started tokens.
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
    /// Returns the counts that [`Tally`] leaves out, if any is above zero.
    pub fn of(service: &name::Service, class: &name::Class, counts: &ClassCounts) -> Option<Self> {
        let has_counts = counts.client_retries > 0 || counts.deferred > 0 || counts.started > 0;
        has_counts.then(|| Self {
            service: service.clone(),
            class: class.clone(),
            tier: counts.tier,
            client_retries: counts.client_retries,
            deferred: counts.deferred,
            deferred_tokens: counts.deferred_tokens,
            started: counts.started,
            started_tokens: counts.started_tokens,
        })
    }

    fn counts(&self) -> ClassCounts {
        ClassCounts {
            tier: self.tier,
            client_retries: self.client_retries,
            deferred: self.deferred,
            deferred_tokens: self.deferred_tokens,
            started: self.started,
            started_tokens: self.started_tokens,
            ..ClassCounts::default()
        }
    }
}

impl From<TrafficRow> for Traffic {
    fn from(row: TrafficRow) -> Self {
        let (
            service,
            class,
            tier,
            client_retries,
            deferred,
            deferred_tokens,
            started,
            started_tokens,
        ) = row;
        Self {
            service,
            class,
            tier,
            client_retries,
            deferred,
            deferred_tokens,
            started,
            started_tokens,
        }
    }
}

impl From<Traffic> for TrafficRow {
    fn from(row: Traffic) -> Self {
        (
            row.service,
            row.class,
            row.tier,
            row.client_retries,
            row.deferred,
            row.deferred_tokens,
            row.started,
            row.started_tokens,
        )
    }
}

/// The bound that the refusals of a class set for less urgent requests. Serialized as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "BoundRow", into = "BoundRow")]
pub struct Bound {
    /// The service.
    pub service: name::Service,
    /// The class whose requests are refused.
    pub class: name::Class,
    /// The least urgent tier that doesn't give way to it.
    pub tier: unit::Tier,
    /// The largest prompt of a less urgent tier that may start.
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

/// The recent requests of all services.
#[derive(Debug, Default)]
pub(super) struct Sums(BTreeMap<name::Service, Losses>);

impl Sums {
    /// Adds the counts of a message.
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

    /// Returns the bounds in force, and forgets services without recent requests.
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

/// ClassCounts that were not sent to another hub yet.
#[derive(Debug, Default)]
pub(super) struct Unsent(BTreeMap<Key, ClassCounts>);

impl Unsent {
    /// Adds the counts of a message.
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

    /// Moves all counts into a message.
    pub(super) fn take(&mut self, update: &mut Update) {
        for ((service, class), counts) in std::mem::take(&mut self.0) {
            update.add_counts(&service, &class, counts);
        }
    }
}
