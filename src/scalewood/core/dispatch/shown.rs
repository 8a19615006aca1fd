//! What a dispatcher shows of itself, and what other boxes have to hear of it.

use std::time::Duration;

use super::{Basis, Cause, Dispatcher, Precedence, Summary, View};
use crate::core::{attempt, load, name, throttle, unit};

/// How far ahead the due time of a summary's imagined request lies.
const SUMMARY_DUE: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// How busy the dispatcher is.
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

    /// Whether no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.endpoints.running() == 0
    }

    /// What a run's endpoint was chosen by, if the run is known.
    pub fn basis(&self, attempt: attempt::Attempt) -> Option<Basis> {
        let run = self.runs.get(attempt)?;
        Some(Basis {
            unread: unit::Tokens(run.unread),
            ahead: unit::Tokens(run.ahead.sooner),
            later: unit::Tokens(run.ahead.later),
            kept: run.kept,
        })
    }

    /// How long an endpoint may be silent towards a request, `least` where nothing waits.
    pub fn patience(&self, endpoint: &name::Endpoint, least: Duration, now: Duration) -> Duration {
        self.endpoints.patience(endpoint, least, &self.reading, now)
    }

    /// How its endpoints stand.
    pub fn endpoints(&self) -> Vec<View> {
        self.endpoints.views().collect()
    }

    /// What this box has at its endpoints.
    pub fn loads(&self) -> impl Iterator<Item = (name::Endpoint, load::Load)> + '_ {
        self.endpoints.loads()
    }

    /// What was placed here since it was last taken.
    pub fn take_placements(&mut self) -> Vec<load::Placement> {
        self.endpoints.take_placements()
    }

    /// The prompts that were seen here since they were last taken.
    pub fn take_prompts(&mut self) -> Vec<load::Prompts> {
        self.placement.take_news()
    }

    /// What became of requests here, by class, as far as other boxes should hear of it by now.
    pub fn take_counts(&mut self) -> Vec<(name::Class, load::Counts)> {
        self.refusals.take_news()
    }

    /// Why an attempt was refused for want of room, if that was a moment ago and was not taken
    /// before.
    pub fn take_cause(&mut self, attempt: attempt::Attempt) -> Option<Cause> {
        self.causes.take(attempt)
    }

    /// What came of less urgent requests while more urgent ones were refused, since it was
    /// last taken.
    pub fn take_precedence(&mut self) -> Vec<Precedence> {
        self.refusals.take_met()
    }

    /// What came of requests here since it was last taken.
    pub fn take_outcomes(&mut self) -> Vec<load::Outcome> {
        self.endpoints.take_outcomes()
    }

    /// The endpoints that warm up and that this dispatcher would send to, each with how many
    /// requests were kept from it of late.
    pub fn wants(&mut self, now: Duration) -> Vec<(u32, name::Endpoint)> {
        self.endpoints.wants(now)
    }

    /// Requests that were granted to endpoints that warm up, and that were kept from their home
    /// since it warms up, since this was last taken.
    pub fn take_warm_up(&mut self) -> (u32, u32) {
        self.endpoints.take_warm_up()
    }

    /// The permits that this dispatcher wants for endpoints that limit their requests.
    pub fn wanted_permits(&mut self, now: Duration) -> Vec<throttle::Wanted> {
        let a_second = self.asked.rate(now);
        let waiting = self.queue.len();
        self.endpoints.wanted_permits(a_second, waiting, now)
    }

    /// Requests that were kept from their home since it limits its requests, since this was last
    /// taken.
    pub fn take_limited(&mut self) -> u32 {
        self.endpoints.take_limited()
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// How many runs hold a slot.
    pub fn running(&self) -> usize {
        self.runs.all().count()
    }
}
