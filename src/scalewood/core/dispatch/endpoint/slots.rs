//! The choice of an endpoint by free slots: the least used one, or one that likely caches the
//! prompt's prefix.

use std::time::Duration;

use super::{eligible::Eligible, Choice, Constraints, Index, Prefill, Set};
use crate::core::{
    dispatch::{prefill, Settings},
    name,
    prompt::Prefix,
};

/// An endpoint that likely caches a prefix, and until when that is assumed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hint {
    pub(super) index: Index,
    pub(super) until: Duration,
}

/// The maximum number of prefix hints.
const MAX_HINTS: usize = 8192;

/// A request that is to get the least used endpoint.
#[derive(Clone, Copy, Debug)]
pub(in crate::core::dispatch) struct Wanted<'a> {
    /// The constraints of the request.
    pub(in crate::core::dispatch) constraints: Constraints<'a>,
    /// The prompt's prefix, if the request benefits from an engine's prefix cache.
    pub(in crate::core::dispatch) prefix: Option<Prefix>,
    /// The endpoint to use only if no other is free.
    pub(in crate::core::dispatch) avoid: Option<&'a name::Endpoint>,
}

impl Set {
    /// Chooses an endpoint with a free slot and takes the slot.
    pub(in crate::core::dispatch) fn choose(
        &mut self,
        wanted: Wanted<'_>,
        now: Duration,
        settings: &Settings,
    ) -> Option<Choice> {
        let mut candidates = self.eligible(wanted.constraints, now).take(2);
        let mut best = candidates.next()?;
        if self.is_avoided(best.index(), &wanted) {
            best = candidates.next().unwrap_or(best);
        }
        drop(candidates);
        let chosen = self.hinted(best, &wanted, now, settings).unwrap_or(best);
        let index = chosen.index();
        self.grant(chosen, Prefill::default(), now);
        if let Some(prefix) = wanted.prefix {
            self.hint(prefix, index, now + settings.hint_ttl);
        }
        Some(Choice {
            endpoint: index,
            prefill_tokens: 0,
            ahead: prefill::Ahead::default(),
            cached: false,
            place: None,
        })
    }

    fn is_avoided(&self, index: Index, wanted: &Wanted<'_>) -> bool {
        wanted
            .avoid
            .is_some_and(|name| self.endpoints[index.0].name == *name)
    }

    /// Returns the endpoint that likely caches the prefix, if its score is within `hint_slack` of
    /// the best.
    fn hinted(
        &self,
        best: Eligible,
        wanted: &Wanted<'_>,
        now: Duration,
        settings: &Settings,
    ) -> Option<Eligible> {
        let hint = self.hints.get(&wanted.prefix?);
        let index = hint.filter(|hint| hint.until > now)?.index;
        let max_score = best.score() + settings.hint_slack;
        let mut near = self.eligible(wanted.constraints, now);
        let hinted = near.find(|eligible| eligible.index() == index)?;
        (!self.is_avoided(index, wanted) && hinted.score() <= max_score).then_some(hinted)
    }

    /// Records a cache event. Events are late and incomplete, so they are only hints.
    pub(in crate::core::dispatch) fn set_cached(
        &mut self,
        name: &name::Endpoint,
        prefix: Prefix,
        cached: bool,
        until: Duration,
    ) {
        let Some(index) = self.names.get(name).copied() else {
            return;
        };
        if cached {
            self.hint(prefix, index, until);
        } else if self
            .hints
            .get(&prefix)
            .is_some_and(|hint| hint.index == index)
        {
            self.hints.remove(&prefix);
        }
    }

    fn hint(&mut self, prefix: Prefix, index: Index, until: Duration) {
        if self.hints.len() >= MAX_HINTS && !self.hints.contains_key(&prefix) {
            return;
        }
        self.hints.insert(prefix, Hint { index, until });
    }
}
