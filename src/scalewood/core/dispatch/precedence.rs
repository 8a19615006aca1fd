//! Precedence under overload: what is larger and less urgent does not begin while more
//! urgent requests are refused.
//!
//! Each request is measured against its own caller's patience, and less urgent classes are
//! often the more patient ones. By patience alone they would take what the more urgent ones
//! are refused for, and go on to. So a refusal takes that right away: until the refused
//! request could have begun, larger ones of less urgent tiers are refused too. It is a guard:
//! where predictions follow the endpoints' order (`endpoint::cost`), it rarely acts.
//!
//! It holds between classes. Within one, requests of less urgent teams are not held back:
//! the endpoints' order serves them last, and to refuse them as well would add to what the
//! class loses.
//!
//! A box that refuses holds back at once. The others hear of it as a bound that the hubs
//! make of all boxes' refusals (`load::Bound`). A box that hears nothing goes by its own.

use std::{collections::BTreeMap, time::Duration};

use crate::core::{
    dispatch::{message, Cause},
    load, name, unit,
};

/// How long a refusal counts at least. Boxes see one request in some hundred, so shorter
/// ones would end before the next more urgent request shows whether the overload lasts.
const SHORTEST: Duration = Duration::from_millis(250);
/// How long one counts at most: by then the endpoints have read what they had, or have gone.
const LONGEST: Duration = Duration::from_secs(2);
/// How long a bound counts that was heard. Each exchange tells it anew while it stands; this
/// is as long as a hub bears a box's silence.
const HEARD: Duration = Duration::from_millis(1500);
/// Requests without any refusal that are told together: what they say is not urgent, and
/// telling each would be a row in each exchange.
const TOLD_TOGETHER: u32 = 8;

/// The refusals of one class that still count.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// The least urgent tier that was refused.
    tier: unit::Tier,
    /// The largest prompt of less urgent classes that begins.
    tokens: unit::Tokens,
    /// When the last of them could have begun.
    until: Duration,
}

impl Refusal {
    /// How long it holds back a request.
    fn left(&self, ask: &message::Ask, now: Duration) -> Option<Duration> {
        let holds = self.until > now && self.tier.outranks(ask.tier) && self.tokens < ask.prompt;
        holds.then(|| self.until - now)
    }
}

/// The refusals for want of room that still count.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    /// Those of this box.
    own: BTreeMap<name::Class, Refusal>,
    /// The bounds that all boxes' refusals set.
    bounds: BTreeMap<name::Class, Refusal>,
    /// What other boxes have not heard of.
    news: BTreeMap<name::Class, load::Tally>,
    /// What came of less urgent requests meanwhile, by the class that is refused and theirs.
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
    refusals: &BTreeMap<name::Class, Refusal>,
    ask: &message::Ask,
    now: Duration,
) -> Option<(Duration, name::Class)> {
    let others = refusals.iter().filter(|(class, _)| **class != ask.class);
    let left = others.filter_map(|(class, refusal)| Some((refusal.left(ask, now)?, class)));
    left.max().map(|(left, class)| (left, class.clone()))
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
    pub(super) fn note_asked(&mut self, ask: &message::Ask) {
        self.tally(ask).asked += 1;
    }

    /// Counts a request that was refused for want of room.
    pub(super) fn note_refused(&mut self, ask: &message::Ask) {
        let tally = self.tally(ask);
        tally.refused += 1;
        tally.tokens += ask.prompt.0;
    }

    fn tally(&mut self, ask: &message::Ask) -> &mut load::Tally {
        let tally = self.news.entry(ask.class.clone()).or_default();
        tally.tier = tally.tier.max(ask.tier);
        tally
    }

    /// What other boxes should hear of by now.
    pub(super) fn take_news(&mut self) -> Vec<(name::Class, load::Tally)> {
        let is_due = |tally: &load::Tally| tally.refused > 0 || tally.asked >= TOLD_TOGETHER;
        let due = self.news.iter().filter(|(_, tally)| is_due(tally));
        let due: Vec<_> = due.map(|(class, tally)| (class.clone(), *tally)).collect();
        self.news.retain(|_, tally| !is_due(tally));
        due
    }

    /// Sets all bounds that other boxes' refusals set.
    pub(super) fn set_bounds(&mut self, bounds: Vec<load::Bound>, now: Duration) {
        let bound = |bound: load::Bound| {
            let refusal = Refusal {
                tier: bound.tier,
                tokens: bound.tokens,
                until: now + HEARD,
            };
            (bound.class, refusal)
        };
        self.bounds = bounds.into_iter().map(bound).collect();
    }

    /// Notes that a request was refused that could have begun after a while.
    pub(super) fn note(&mut self, ask: &message::Ask, after: Duration, now: Duration) {
        self.note_refused(ask);
        let fresh = Refusal {
            tier: ask.tier,
            tokens: ask.prompt,
            until: now + after.clamp(SHORTEST, LONGEST),
        };
        let counted = self.own.entry(ask.class.clone()).or_insert(fresh);
        *counted = if counted.until <= now {
            fresh
        } else {
            Refusal {
                tier: counted.tier.max(fresh.tier),
                tokens: counted.tokens.min(fresh.tokens),
                until: counted.until.max(fresh.until),
            }
        };
    }

    /// What holds a request back, since smaller and more urgent ones of other classes are
    /// refused.
    pub(super) fn hold_back(&self, ask: &message::Ask, now: Duration) -> Option<HeldBack> {
        let own = longest(&self.own, ask, now).map(|(left, class)| HeldBack {
            left,
            cause: Cause::Here(class),
        });
        let told = longest(&self.bounds, ask, now).map(|(left, class)| HeldBack {
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

    /// Forgets the classes that are no longer configured.
    pub(super) fn retain(&mut self, is_there: impl Fn(&name::Class) -> bool) {
        self.own.retain(|class, _| is_there(class));
        self.news.retain(|class, _| is_there(class));
        self.met.retain(|(refused, _), _| is_there(refused));
    }
}
