//! Preemption: runs that give up their slot to a higher tier.
//!
//! A request that has to start now and finds no free slot takes that of a run of a lower tier:
//! of the runs of the lowest tier, the one that loses the least work. Only runs that can be
//! resumed are preempted, each only a few times, and never more of them than there are requests
//! that need a slot.

use std::time::Duration;

use crate::core::{
    attempt,
    dispatch::{endpoint, message, queue, run, Dispatcher},
    invariant, unit,
};

/// The most requests that one step preempts for; bounds the step's duration.
const MAX_URGENT: usize = 32;

impl Dispatcher {
    /// Preempts runs for the requests that have to start now.
    pub(super) fn preempt(&mut self, now: Duration) {
        if self.queue.is_empty() || !self.is_settled(now) {
            return;
        }
        for (tier, lane) in self.urgent(now) {
            let constraints = endpoint::Constraints::from(&lane);
            if self.endpoints.has_free_for(constraints, now) {
                continue;
            }
            let Some(victim) = self.victim_for(tier, constraints, now) else {
                if self.is_unrestricted(&lane) {
                    break;
                }
                continue;
            };
            let (attempt, origin) = (victim.ask.attempt, victim.origin.clone());
            self.check_preempt(attempt, tier);
            self.runs.set_preempting(attempt);
            self.outputs
                .push((origin, message::Order::Preempt(attempt)));
        }
    }

    /// Returns the run to preempt for a request of a tier. Only slots where the request may be
    /// sent are considered.
    pub(super) fn victim_for(
        &self,
        tier: unit::Tier,
        constraints: endpoint::Constraints<'_>,
        now: Duration,
    ) -> Option<&run::Run> {
        let fits = |run: &run::Run| {
            self.endpoints
                .may_use_freed_slot(run.endpoint, constraints, now)
        };
        self.runs.victim_where(tier, fits)
    }

    /// Returns the tier and lane of each request that needs a slot now and has no preemption
    /// under way for it.
    fn urgent(&self, now: Duration) -> Vec<(unit::Tier, queue::Lane)> {
        let until: Duration = now + self.settings.preempt_lead;
        let in_progress = self.runs.preempting();
        let urgent = self.queue.urgent(until, MAX_URGENT + in_progress);
        urgent
            .into_iter()
            .skip(in_progress)
            .map(|waiting| (waiting.ask.tier, waiting.lane()))
            .collect()
    }

    fn check_preempt(&self, attempt: attempt::Attempt, tier: unit::Tier) {
        let victim = self.runs.get(attempt).map(|run| run.ask.tier);
        let outranked = victim.is_some_and(|victim| tier.outranks(victim));
        invariant::check(outranked, invariant::Rule::PreemptOrder, || {
            format!("{attempt} of tier {victim:?} is preempted for tier {tier}")
        });
    }
}
