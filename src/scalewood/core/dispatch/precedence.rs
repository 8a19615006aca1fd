//! Precedence under overload: what is larger and less urgent does not begin while more
//! urgent requests are refused.
//!
//! Each request is measured against its own caller's patience, and less urgent classes are
//! often the more patient ones. By patience alone they would take what the more urgent ones
//! are refused for, and go on to. So a refusal takes that right away: until the refused
//! request could have begun, larger ones of less urgent tiers are refused too. It is a guard:
//! where predictions follow the endpoints' order (`endpoint::cost`), it rarely acts.

use std::{collections::BTreeMap, time::Duration};

use crate::core::unit;

/// How long a refusal counts at least. Boxes see one request in some hundred, so shorter
/// ones would end before the next more urgent request shows whether the overload lasts.
const SHORTEST: Duration = Duration::from_millis(250);
/// How long one counts at most: by then the endpoints have read what they had, or have gone.
const LONGEST: Duration = Duration::from_secs(2);

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
}

impl Refusals {
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
        let above = self.tiers.range(..tier).map(|(_, refusal)| refusal);
        let ahead = above.filter(|refusal| refusal.until > now && refusal.tokens < tokens);
        ahead.map(|refusal| refusal.until - now).max()
    }
}
