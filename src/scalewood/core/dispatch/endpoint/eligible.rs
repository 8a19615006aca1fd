//! Which endpoints a request may be sent to, and the slots that it gets there.
//!
//! Each way to a slot goes through here: [`Set::eligible`] alone makes an [`Eligible`], and
//! [`Set::grant`] gives a slot for nothing else. So what rules an endpoint out is asked in one
//! place, and no way of choosing can forget it.

use std::time::Duration;

use super::{Endpoint, Index, Score, Set, Tokens};
use crate::core::{dispatch::Settings, invariant, name, registry, residency};

/// How long after the first sign a leaving endpoint may still get work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// What an operator's orders and an endpoint's own state say of sending it new work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Whether its zone is cordoned: it gets no new work.
    pub cordoned: bool,
    /// Its zone's region, if that is known.
    pub region: Option<name::Region>,
    /// Which start of it this is, if it tells.
    pub incarnation: registry::Start,
}

/// An endpoint with a free slot that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Eligible {
    index: Index,
    score: Score,
}

impl Eligible {
    /// The endpoint.
    pub(super) fn index(&self) -> Index {
        self.index
    }

    /// Its place in the order of choice; the lowest goes first.
    pub(super) fn score(&self) -> Score {
        self.score
    }
}

impl Endpoint {
    /// Whether a request that may be served in some regions may be sent there.
    fn is_eligible(&self, allowed: &residency::Allowed) -> bool {
        !self.standing.cordoned && allowed.permits(self.standing.region.as_ref())
    }
}

impl Set {
    /// The endpoints with a free slot that a request may be sent to, in the order of choice.
    pub(super) fn eligible<'a>(
        &'a self,
        allowed: &'a residency::Allowed,
    ) -> impl Iterator<Item = Eligible> + 'a {
        let ready = self.ready.iter();
        let free = ready.map(|(score, index)| Eligible {
            index: *index,
            score: *score,
        });
        free.filter(|free| self.endpoints[free.index.0].is_eligible(allowed))
    }

    /// Whether an endpoint with a free slot is there that a request may be sent to.
    pub(in crate::core::dispatch) fn has_free_in(&self, allowed: &residency::Allowed) -> bool {
        self.eligible(allowed).next().is_some()
    }

    /// Whether a request may be sent to an endpoint.
    pub(in crate::core::dispatch) fn permits(
        &self,
        index: Index,
        allowed: &residency::Allowed,
    ) -> bool {
        self.endpoints[index.0].is_eligible(allowed)
    }

    /// Whether a request may be sent to any endpoint, now or once a slot comes free there.
    pub(in crate::core::dispatch) fn is_hopeless(&self, allowed: &residency::Allowed) -> bool {
        let serving = |e: &&Endpoint| e.configured && e.leaving.is_none();
        let mut serving = self.endpoints.iter().filter(serving);
        !serving.any(|endpoint| endpoint.is_eligible(allowed))
    }

    /// Whether it could be sent to an endpoint that serves, but for a cordon.
    pub(in crate::core::dispatch) fn has_cordoned(&self, allowed: &residency::Allowed) -> bool {
        let serving = |e: &&Endpoint| e.configured && e.leaving.is_none();
        let mut serving = self.endpoints.iter().filter(serving);
        serving.any(|e| e.standing.cordoned && allowed.permits(e.standing.region.as_ref()))
    }

    /// Gives a slot for a prompt.
    pub(super) fn grant(&mut self, to: Eligible, prompt: Tokens, now: Duration) {
        self.check_grant(to.index, now);
        self.take(to.index, prompt, now);
    }

    /// Adds a run that was granted elsewhere, with the tokens of its prompt; its endpoint
    /// may be unknown here.
    pub(in crate::core::dispatch) fn adopt(
        &mut self,
        name: &name::Endpoint,
        prompt: Tokens,
        answered: bool,
        now: Duration,
        settings: &Settings,
    ) -> Index {
        let index = self.index_or_add(name, settings);
        self.take(index, prompt, now);
        if answered {
            self.answered(index, prompt, now);
        }
        index
    }

    fn check_grant(&self, index: Index, now: Duration) {
        let endpoint = &self.endpoints[index.0];
        invariant::check(
            endpoint
                .leaving
                .is_none_or(|since| now.saturating_sub(since) <= LEAVING_LIMIT),
            invariant::Rule::LeavingGrant,
            || format!("grant to leaving endpoint {}", endpoint.name),
        );
        invariant::check(
            !endpoint.standing.cordoned,
            invariant::Rule::CordonedGrant,
            || {
                format!(
                    "grant to {} in cordoned zone {}",
                    endpoint.name, endpoint.zone
                )
            },
        );
        invariant::check(
            endpoint.running < endpoint.slots,
            invariant::Rule::SlotHolder,
            || {
                format!(
                    "{} of {} slots of {} held",
                    endpoint.running, endpoint.slots, endpoint.name
                )
            },
        );
    }

    fn take(&mut self, index: Index, prompt: Tokens, now: Duration) {
        let endpoint = &mut self.endpoints[index.0];
        if endpoint.pending == 0 {
            endpoint.quiet_since = now;
        }
        endpoint.pending += 1;
        endpoint.unread += prompt.unread;
        endpoint.later.add(prompt.tier, prompt.unread);
        endpoint.held += prompt.unread;
        endpoint.running += 1;
        self.running += 1;
        self.rescore(index);
    }
}
