//! Precedence under overload: larger, less urgent requests don't start while more urgent ones
//! are refused.
//!
//! Each request is checked against its own caller's patience, and less urgent classes are often
//! the more patient ones. By patience alone they would take the capacity that more urgent ones
//! are refused for. So a class's losses hold back larger requests of less urgent tiers, from
//! the least urgent class upwards (`load::Losses`). This is a safeguard: where predictions
//! follow the order in which endpoints process prompts (`endpoint::cost`), it rarely acts.
//!
//! It holds between classes only. Within a class, requests of less urgent teams are not held
//! back: the endpoints serve them last anyway, and refusing them would add to the class's
//! losses.
//!
//! A box applies its own losses at once. The losses of all boxes reach it as bounds that the
//! hubs compute (`load::Bound`). Without bounds it applies its own losses alone.

use std::{collections::BTreeMap, time::Duration};

use crate::core::{
    dispatch::{message, Cause},
    load, name, unit,
};

/// How long a received bound is valid. Each exchange repeats it while it holds; this is as long
/// as a hub tolerates a box's silence.
const BOUND_TTL: Duration = Duration::from_millis(1500);
/// After what time a request that is held back by this box's own losses may be retried: by then
/// they show whether the overload lasts.
const OWN_BOUND_RETRY: Duration = Duration::from_millis(1500);
/// The number of requests of a class that are reported even if none was refused: these are not
/// urgent, and reporting each would add a row to every exchange.
const MIN_REPORTED_REQUESTS: u32 = 8;
/// The number of exchanges after which fewer requests are reported too: about a second for most
/// boxes. With a longer delay a class of few requests would seem to lose more than it does.
const MAX_REPORT_EXCHANGES: u32 = 4;

/// The limit on less urgent requests while a class loses requests.
#[derive(Clone, Copy, Debug)]
struct Bound {
    limit: load::Limit,
    /// The time until which the limit holds.
    until: Duration,
}

impl Bound {
    /// Returns for how much longer the bound holds back a request, if it does.
    fn remaining(&self, ask: &message::Ask, now: Duration) -> Option<Duration> {
        let load::Limit { tier, tokens } = self.limit;
        let holds = self.until > now && tier.outranks(ask.tier) && tokens < ask.prompt;
        holds.then(|| self.until - now)
    }
}

/// The results of this box's requests, and the bounds that follow from all boxes' losses.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    /// The results of this box's requests.
    own_losses: load::Losses,
    /// The bounds that follow from all boxes' losses, by the class that loses.
    bounds: BTreeMap<name::Class, Bound>,
    /// Results that are not reported to other boxes yet, and the number of exchanges since the
    /// last report.
    unreported: BTreeMap<name::Class, load::ClassCounts>,
    exchanges: u32,
    /// Less urgent requests that were held back or started while a class was refused.
    tallies: BTreeMap<ClassPair, Tally>,
}

/// A request that must not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HeldBack {
    /// How long it has to wait.
    pub(super) wait: Duration,
    /// Why it is held back.
    pub(super) cause: Cause,
}

/// Returns the class that holds a request back for the longest, and how long.
fn longest_wait(
    bounds: impl Iterator<Item = (name::Class, Bound)>,
    ask: &message::Ask,
    now: Duration,
) -> Option<(Duration, name::Class)> {
    let others = bounds.filter(|(class, _)| *class != ask.class);
    let left = others.filter_map(|(class, bound)| Some((bound.remaining(ask, now)?, class)));
    left.max()
}

/// The class that is refused, and a less urgent one.
type ClassPair = (name::Class, name::Class);

/// Larger requests of a less urgent class that arrived while a more urgent one was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Precedence {
    /// The class that was refused.
    pub refused: name::Class,
    /// The less urgent class.
    pub class: name::Class,
    /// What was done with its requests.
    pub tally: Tally,
}

/// Counts of less urgent requests by what was done with them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that were held back.
    pub held: u32,
    /// Requests that started nevertheless, since an endpoint had had them before.
    pub begun: u32,
}

impl Refusals {
    /// Counts a request that arrived.
    pub(super) fn record_arrived(&mut self, ask: &message::Ask, now: Duration) {
        let counts = load::ClassCounts {
            arrived: 1,
            client_retries: u32::from(ask.is_client_retry),
            ..load::ClassCounts::default()
        };
        self.count(ask, counts, now);
    }

    /// Counts a request that started for the first time.
    pub(super) fn record_started(&mut self, ask: &message::Ask, now: Duration) {
        let counts = load::ClassCounts {
            started: 1,
            started_tokens: ask.prompt.0,
            ..load::ClassCounts::default()
        };
        self.count(ask, counts, now);
    }

    /// Counts a request that was refused for lack of capacity and may be retried after `retry`; as
    /// lost if its caller can't retry then.
    pub(super) fn record_refused(&mut self, ask: &message::Ask, retry: Duration, now: Duration) {
        if ask.is_hedge {
            return;
        }
        if !ask.client_may_retry(retry) {
            return self.record_lost(ask, now);
        }
        let counts = load::ClassCounts {
            deferred: 1,
            deferred_tokens: ask.prompt.0,
            ..load::ClassCounts::default()
        };
        self.count(ask, counts, now);
    }

    /// Counts a request that failed for good for lack of capacity.
    pub(super) fn record_lost(&mut self, ask: &message::Ask, now: Duration) {
        if ask.is_hedge {
            return;
        }
        let counts = load::ClassCounts {
            lost: 1,
            lost_tokens: ask.prompt.0,
            ..load::ClassCounts::default()
        };
        self.count(ask, counts, now);
    }

    fn count(&mut self, ask: &message::Ask, counts: load::ClassCounts, now: Duration) {
        let counts = load::ClassCounts {
            tier: ask.tier,
            ..counts
        };
        self.own_losses.add(&ask.class, counts, now);
        *self.unreported.entry(ask.class.clone()).or_default() += counts;
    }

    /// Returns the results that are due to be reported to other boxes.
    pub(super) fn take_unreported(&mut self) -> Vec<(name::Class, load::ClassCounts)> {
        self.exchanges += 1;
        let is_due = |counts: &load::ClassCounts| {
            counts.lost > 0 || counts.deferred > 0 || counts.arrived >= MIN_REPORTED_REQUESTS
        };
        if self.exchanges < MAX_REPORT_EXCHANGES && !self.unreported.values().any(is_due) {
            return Vec::new();
        }
        self.exchanges = 0;
        std::mem::take(&mut self.unreported).into_iter().collect()
    }

    /// Replaces the bounds that follow from all boxes' losses.
    pub(super) fn set_bounds(&mut self, bounds: Vec<load::Bound>, now: Duration) {
        let bound = |bound: load::Bound| {
            let limit = load::Limit {
                tier: bound.tier,
                tokens: bound.tokens,
            };
            let until = now + BOUND_TTL;
            (bound.class, Bound { limit, until })
        };
        self.bounds = bounds.into_iter().map(bound).collect();
    }

    /// Returns the bounds that follow from this box's own losses.
    fn own_bounds(&self, now: Duration) -> impl Iterator<Item = (name::Class, Bound)> {
        let until = now + OWN_BOUND_RETRY;
        let limits = self.own_losses.limits(now).into_iter();
        limits.map(move |(class, limit)| (class, Bound { limit, until }))
    }

    /// Returns what holds a request back, if smaller and more urgent ones of other classes are
    /// refused.
    pub(super) fn hold_back(&self, ask: &message::Ask, now: Duration) -> Option<HeldBack> {
        let own = longest_wait(self.own_bounds(now), ask, now).map(|(wait, class)| HeldBack {
            wait,
            cause: Cause::HeldBackHere(class),
        });
        let received = self.bounds.iter();
        let received = received.map(|(class, bound)| (class.clone(), *bound));
        let received = longest_wait(received, ask, now).map(|(wait, class)| HeldBack {
            wait,
            cause: Cause::HeldBackAnywhere(class),
        });
        own.into_iter().chain(received).max_by_key(|held| held.wait)
    }

    /// Counts a request to which the bound of a more urgent class applies, as started if it
    /// `begins` and as held back otherwise. Returns whether such a bound applies.
    pub(super) fn count_precedence(
        &mut self,
        ask: &message::Ask,
        begins: bool,
        now: Duration,
    ) -> bool {
        let held = self.hold_back(ask, now);
        let Some(refused) = held.as_ref().and_then(|held| held.cause.class()) else {
            return false;
        };
        let tally = self.tallies.entry((refused.clone(), ask.class.clone()));
        let tally = tally.or_default();
        tally.held += u32::from(!begins);
        tally.begun += u32::from(begins);
        true
    }

    /// Returns what was done with less urgent requests since the last call.
    pub(super) fn take_precedence(&mut self) -> Vec<Precedence> {
        let all = std::mem::take(&mut self.tallies).into_iter();
        let row = |((refused, class), tally)| Precedence {
            refused,
            class,
            tally,
        };
        all.map(row).collect()
    }

    /// Sets the configured classes and their tiers.
    pub(super) fn set_classes(&mut self, classes: &BTreeMap<name::Class, unit::Tier>) {
        self.own_losses.set_classes(classes);
        self.unreported
            .retain(|class, _| classes.contains_key(class));
        self.tallies
            .retain(|(refused, _), _| classes.contains_key(refused));
    }
}
