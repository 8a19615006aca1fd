//! Precedence under overload: what is larger and less urgent does not begin while more
//! urgent requests are refused.
//!
//! Each request is measured against its own caller's patience, and less urgent classes are
//! often the more patient ones. By patience alone they would take what the more urgent ones
//! are refused for, and go on to. So a refusal takes that right away: until the refused
//! request could have begun, larger ones of less urgent tiers are refused too. It is a guard:
//! where predictions follow the endpoints' order (`endpoint::cost`), it rarely acts.
//!
//! A box that refuses holds back at once. The others hear of it as a bound that the hubs
//! make of all boxes' refusals (`load::Bound`). A box that hears nothing goes by its own.

use std::{collections::BTreeMap, time::Duration};

use crate::core::{load, unit};

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

/// The refusals of one tier that still count.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// The smallest prompt that was refused.
    tokens: unit::Tokens,
    /// When the last of them could have begun.
    until: Duration,
}

/// The refusals for overload that still count, by tier.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    tiers: BTreeMap<unit::Tier, Refusal>,
    /// The bounds that all boxes' refusals set.
    bounds: BTreeMap<unit::Tier, Refusal>,
    /// What other boxes have not heard of.
    news: BTreeMap<unit::Tier, load::Tally>,
}

impl Refusals {
    /// Counts a request that came.
    pub(super) fn note_asked(&mut self, tier: unit::Tier) {
        self.news.entry(tier).or_default().asked += 1;
    }

    /// Counts a request that was refused for want of room.
    pub(super) fn note_refused(&mut self, tier: unit::Tier, tokens: unit::Tokens) {
        let tally = self.news.entry(tier).or_default();
        tally.refused += 1;
        tally.tokens += tokens.0;
    }

    /// What other boxes should hear of by now.
    pub(super) fn take_news(&mut self) -> Vec<(unit::Tier, load::Tally)> {
        let is_due = |tally: &load::Tally| tally.refused > 0 || tally.asked >= TOLD_TOGETHER;
        let due = self.news.iter().filter(|(_, tally)| is_due(tally));
        let due: Vec<_> = due.map(|(tier, tally)| (*tier, *tally)).collect();
        self.news.retain(|_, tally| !is_due(tally));
        due
    }

    /// Sets all bounds that other boxes' refusals set.
    pub(super) fn set_bounds(&mut self, bounds: &[load::Bound], now: Duration) {
        let until = now + HEARD;
        let bound = |bound: &load::Bound| {
            let tokens = bound.tokens;
            (bound.tier, Refusal { tokens, until })
        };
        self.bounds = bounds.iter().map(bound).collect();
    }

    /// Notes that a request was refused that could have begun after a while.
    pub(super) fn note(
        &mut self,
        tier: unit::Tier,
        tokens: unit::Tokens,
        after: Duration,
        now: Duration,
    ) {
        let until = now + after.clamp(SHORTEST, LONGEST);
        let fresh = Refusal { tokens, until };
        let counted = self.tiers.entry(tier).or_insert(fresh);
        *counted = if counted.until <= now {
            fresh
        } else {
            Refusal {
                tokens: counted.tokens.min(tokens),
                until: counted.until.max(until),
            }
        };
    }

    /// How long a request must not begin, since smaller and more urgent ones are refused.
    pub(super) fn hold_back(
        &self,
        tier: unit::Tier,
        tokens: unit::Tokens,
        now: Duration,
    ) -> Option<Duration> {
        let above = self.tiers.range(..tier).chain(self.bounds.range(..tier));
        let above = above.map(|(_, refusal)| refusal);
        let ahead = above.filter(|refusal| refusal.until > now && refusal.tokens < tokens);
        ahead.map(|refusal| refusal.until - now).max()
    }
}
