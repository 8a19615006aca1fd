//! Precedence under overload: what is larger and less urgent does not begin while more
//! urgent requests get nothing.
//!
//! Each request is measured against its own caller's patience, and less urgent classes are
//! often the more patient ones. By patience alone they would take what the more urgent ones
//! are refused for, and go on to. So what a class loses takes that right away from larger
//! requests of less urgent tiers, from the least urgent class upwards (`load::Losses`). It is a
//! guard: where predictions follow the endpoints' order (`endpoint::cost`), it rarely acts.
//!
//! It holds between classes. Within one, requests of less urgent teams are not held back:
//! the endpoints' order serves them last, and to refuse them as well would add to what the
//! class loses.
//!
//! A box goes by what it meets itself at once. What all boxes met it hears as bounds that the
//! hubs make (`load::Bound`). A box that hears nothing goes by its own.

use std::{collections::BTreeMap, time::Duration};

use crate::core::{
    dispatch::{message, Cause},
    load, name, unit,
};

/// How long a bound counts that was heard. Each exchange tells it anew while it stands; this
/// is as long as a hub bears a box's silence.
const HEARD: Duration = Duration::from_millis(1500);
/// When one that is held back by this box's own losses may come back: by then they show
/// whether the overload lasts.
const OWN: Duration = Duration::from_millis(1500);
/// Requests without any refusal that are told together: what they say is not urgent, and
/// telling each would be a row in each exchange.
const TOLD_TOGETHER: u32 = 8;
/// In how many exchanges the fewer are told: a second for most boxes. Later, and a class of few
/// requests would seem to lose more than it does.
const TOLD_EVERY: u32 = 4;

/// What less urgent requests may begin for the sake of a class.
#[derive(Clone, Copy, Debug)]
struct Bound {
    limit: load::Limit,
    /// Until when it holds.
    until: Duration,
}

impl Bound {
    /// How long it holds back a request.
    fn left(&self, ask: &message::Ask, now: Duration) -> Option<Duration> {
        let load::Limit { tier, tokens } = self.limit;
        let holds = self.until > now && tier.outranks(ask.tier) && tokens < ask.prompt;
        holds.then(|| self.until - now)
    }
}

/// What became of this box's requests, and what other boxes' requests met.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    /// What became of this box's requests.
    own: load::Losses,
    /// The bounds that all boxes' losses set.
    bounds: BTreeMap<name::Class, Bound>,
    /// What other boxes have not heard of, and in how many exchanges it was kept back.
    news: BTreeMap<name::Class, load::Counts>,
    kept_back: u32,
    /// What came of less urgent requests meanwhile, by the class that loses and theirs.
    met: BTreeMap<Pair, Met>,
}

/// A request that must not begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HeldBack {
    /// How long it has to wait.
    pub(super) left: Duration,
    /// What holds it back.
    pub(super) cause: Cause,
}

/// The class that holds a request back for the longest, and how long.
fn longest(
    bounds: impl Iterator<Item = (name::Class, Bound)>,
    ask: &message::Ask,
    now: Duration,
) -> Option<(Duration, name::Class)> {
    let others = bounds.filter(|(class, _)| *class != ask.class);
    let left = others.filter_map(|(class, bound)| Some((bound.left(ask, now)?, class)));
    left.max()
}

/// The class that is refused, and a less urgent one.
type Pair = (name::Class, name::Class);

/// Larger requests of a less urgent class that came while a more urgent one was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Precedence {
    /// The class that was refused.
    pub refused: name::Class,
    /// The less urgent one.
    pub class: name::Class,
    /// What came of its requests.
    pub met: Met,
}

/// Requests by what came of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Met {
    /// Those that were held back.
    pub held: u32,
    /// Those that began all the same, since an endpoint had had them before.
    pub begun: u32,
}

impl Refusals {
    /// Counts a request that came.
    pub(super) fn note_asked(&mut self, ask: &message::Ask, now: Duration) {
        let counts = load::Counts {
            asked: 1,
            returned: u32::from(ask.returned),
            ..load::Counts::default()
        };
        self.count(ask, counts, now);
    }

    /// Counts a request that began for the first time.
    pub(super) fn note_begun(&mut self, ask: &message::Ask, now: Duration) {
        let counts = load::Counts {
            begun: 1,
            begun_tokens: ask.prompt.0,
            ..load::Counts::default()
        };
        self.count(ask, counts, now);
    }

    /// Counts a request that was refused for want of room, and told to come back.
    pub(super) fn note_refused(&mut self, ask: &message::Ask, retry: Duration, now: Duration) {
        if !ask.may_return(retry) {
            return self.note_lost(ask, now);
        }
        let counts = load::Counts {
            deferred: 1,
            deferred_tokens: ask.prompt.0,
            ..load::Counts::default()
        };
        self.count(ask, counts, now);
    }

    /// Counts a request that got nothing for good, for want of room.
    pub(super) fn note_lost(&mut self, ask: &message::Ask, now: Duration) {
        let counts = load::Counts {
            lost: 1,
            lost_tokens: ask.prompt.0,
            ..load::Counts::default()
        };
        self.count(ask, counts, now);
    }

    fn count(&mut self, ask: &message::Ask, counts: load::Counts, now: Duration) {
        let counts = load::Counts {
            tier: ask.tier,
            ..counts
        };
        self.own.add(&ask.class, counts, now);
        *self.news.entry(ask.class.clone()).or_default() += counts;
    }

    /// What other boxes should hear of by now.
    pub(super) fn take_news(&mut self) -> Vec<(name::Class, load::Counts)> {
        self.kept_back += 1;
        let is_due = |counts: &load::Counts| {
            counts.lost > 0 || counts.deferred > 0 || counts.asked >= TOLD_TOGETHER
        };
        if self.kept_back < TOLD_EVERY && !self.news.values().any(is_due) {
            return Vec::new();
        }
        self.kept_back = 0;
        std::mem::take(&mut self.news).into_iter().collect()
    }

    /// Sets all bounds that all boxes' losses set.
    pub(super) fn set_bounds(&mut self, bounds: Vec<load::Bound>, now: Duration) {
        let bound = |bound: load::Bound| {
            let limit = load::Limit {
                tier: bound.tier,
                tokens: bound.tokens,
            };
            let until = now + HEARD;
            (bound.class, Bound { limit, until })
        };
        self.bounds = bounds.into_iter().map(bound).collect();
    }

    /// The bounds that this box's own losses set.
    fn own_bounds(&self, now: Duration) -> impl Iterator<Item = (name::Class, Bound)> {
        let until = now + OWN;
        let limits = self.own.limits(now).into_iter();
        limits.map(move |(class, limit)| (class, Bound { limit, until }))
    }

    /// What holds a request back, since smaller and more urgent ones of other classes get
    /// nothing.
    pub(super) fn hold_back(&self, ask: &message::Ask, now: Duration) -> Option<HeldBack> {
        let own = longest(self.own_bounds(now), ask, now).map(|(left, class)| HeldBack {
            left,
            cause: Cause::Here(class),
        });
        let told = self.bounds.iter();
        let told = told.map(|(class, bound)| (class.clone(), *bound));
        let told = longest(told, ask, now).map(|(left, class)| HeldBack {
            left,
            cause: Cause::Anywhere(class),
        });
        own.into_iter().chain(told).max_by_key(|held| held.left)
    }

    /// Counts a request that is held back or begins, if a more urgent class is refused;
    /// tells whether one is.
    pub(super) fn meet(&mut self, ask: &message::Ask, begins: bool, now: Duration) -> bool {
        let held = self.hold_back(ask, now);
        let Some(refused) = held.as_ref().and_then(|held| held.cause.class()) else {
            return false;
        };
        let met = self.met.entry((refused.clone(), ask.class.clone()));
        let met = met.or_default();
        met.held += u32::from(!begins);
        met.begun += u32::from(begins);
        true
    }

    /// What came of less urgent requests since it was last taken.
    pub(super) fn take_met(&mut self) -> Vec<Precedence> {
        let all = std::mem::take(&mut self.met).into_iter();
        let row = |((refused, class), met)| Precedence {
            refused,
            class,
            met,
        };
        all.map(row).collect()
    }

    /// Sets the classes that are configured, by their tiers.
    pub(super) fn set_classes(&mut self, classes: &BTreeMap<name::Class, unit::Tier>) {
        self.own.set_classes(classes);
        self.news.retain(|class, _| classes.contains_key(class));
        self.met
            .retain(|(refused, _), _| classes.contains_key(refused));
    }
}
