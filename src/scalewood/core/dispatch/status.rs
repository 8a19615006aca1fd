//! What a dispatcher reports about itself to status pages, metrics and other boxes.

use std::time::Duration;

use super::{Basis, Cause, Dispatcher, Precedence, Summary, View};
use crate::core::{attempt, load, name, throttle, unit};

/// How long after now the due time of a summary's hypothetical request lies.
const SUMMARY_DUE: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Returns the dispatcher's utilisation.
    pub fn summary(&self, now: Duration) -> Summary {
        let tiers = self.classes.values().map(|class| class.tier);
        let wait = |tier| (tier, self.predicted_wait(tier, now + SUMMARY_DUE, now));
        Summary {
            slots: self.endpoints.allowed(),
            running: self.endpoints.running(),
            waiting: self.queue.len(),
            waits: tiers.map(wait).collect(),
        }
    }

    /// Returns whether no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.endpoints.running() == 0
    }

    /// Returns what the choice of a run's endpoint was based on, if the run is known.
    pub fn basis(&self, attempt: attempt::Attempt) -> Option<Basis> {
        let run = self.runs.get(attempt)?;
        Some(Basis {
            uncached: unit::Tokens(run.prefill_tokens),
            pending_ahead: unit::Tokens(run.ahead.as_urgent),
            pending_less_urgent: unit::Tokens(run.ahead.less_urgent),
            prefix_cached: run.cached,
        })
    }

    /// Returns how long an endpoint may be silent about a request: `least`, plus time for the
    /// prompts that wait there unless the endpoint is at risk of failure.
    pub fn max_silence(
        &self,
        endpoint: &name::Endpoint,
        least: Duration,
        now: Duration,
    ) -> Duration {
        self.endpoints
            .max_silence(endpoint, least, &self.prefill, now)
    }

    /// Returns how many endpoints are configured, including those that leave.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.configured_count()
    }

    /// Returns the status of its endpoints.
    pub fn endpoints(&self) -> Vec<View> {
        self.endpoints.views().collect()
    }

    /// Returns the load that this box puts on its endpoints.
    pub fn loads(&self) -> impl Iterator<Item = (name::Endpoint, load::Load)> + '_ {
        self.endpoints.loads()
    }

    /// Returns the prefixes that were placed here since the last call.
    pub fn take_placements(&mut self) -> Vec<load::Placement> {
        self.endpoints.take_placements()
    }

    /// Returns the prompts that were seen here since the last call.
    pub fn take_prompts(&mut self) -> Vec<load::Prompts> {
        self.placement.take_unreported()
    }

    /// Returns what was measured here of how endpoints process prompts, if it is due to be reported
    /// to other boxes.
    pub fn take_prefill(&mut self) -> Option<load::Measured> {
        self.prefill.take_unreported()
    }

    /// Returns the results of requests here, by class, that are due to be reported to other
    /// boxes.
    pub fn take_counts(&mut self) -> Vec<(name::Class, load::ClassCounts)> {
        self.refusals.take_unreported()
    }

    /// Removes and returns why an attempt was recently refused for lack of capacity.
    pub fn take_cause(&mut self, attempt: attempt::Attempt) -> Option<Cause> {
        self.causes.take(attempt)
    }

    /// Returns what was done with less urgent requests while more urgent ones were refused,
    /// since the last call.
    pub fn take_precedence(&mut self) -> Vec<Precedence> {
        self.refusals.take_precedence()
    }

    /// Returns the results of requests here, by endpoint, since the last call.
    pub fn take_outcomes(&mut self) -> Vec<load::Outcome> {
        self.endpoints.take_outcomes(false)
    }

    /// Returns the answers to requests here, by endpoint, since the last call, and leaves the failures
    /// for a later one: while this box's links are in doubt, these may say nothing of the endpoints.
    pub fn take_answers(&mut self) -> Vec<load::Outcome> {
        self.endpoints.take_outcomes(true)
    }

    /// Returns the endpoints of this zone that warm up, each with the number of requests that
    /// were recently diverted from it.
    pub fn wanted_leases(&mut self, now: Duration) -> Vec<(u32, name::Endpoint)> {
        self.endpoints.wanted_leases(now)
    }

    /// Returns the numbers of requests granted to endpoints that warm up, and of those diverted
    /// from their home because it warms up, both since the last call.
    pub fn take_warm_up_counts(&mut self) -> (u32, u32) {
        self.endpoints.take_warm_up_counts()
    }

    /// Returns the permits that this dispatcher needs for rate-limited endpoints.
    pub fn wanted_permits(&mut self, now: Duration) -> Vec<throttle::Wanted> {
        let per_second = self.request_rate.rate(now);
        let waiting = self.queue.len();
        self.endpoints.wanted_permits(per_second, waiting, now)
    }

    /// Returns the number of requests diverted from their home by its rate limit since the last
    /// call.
    pub fn take_limit_diversions(&mut self) -> u32 {
        self.endpoints.take_limit_diversions()
    }

    /// Returns the number of requests in the queue.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of runs that hold a slot.
    pub fn running(&self) -> usize {
        self.runs.all().count()
    }
}
