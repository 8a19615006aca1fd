//! Shedding: which requests are refused, and when their callers should retry.
//!
//! A request is shed at once when it is predicted to wait past its deadline, so that its caller
//! learns it early enough to do something else. The predicted wait is the work that is served
//! first, divided by the slots that remain after the offered load of higher tiers and the minimum
//! shares of lower classes. When the queue is full, the last request of the lowest waiting tier
//! is shed, never one of a higher tier.

use std::time::Duration;

use crate::core::{
    attempt,
    dispatch::{endpoint, message, precedence, queue, Cause, Dispatcher},
    invariant, residency, unit,
};

/// The smallest fraction of the slots that a tier can count on.
const MIN_CAPACITY_FRACTION: f64 = 0.05;
/// The shortest retry delay given to a caller.
pub(super) const MIN_RETRY: Duration = Duration::from_secs(1);
/// The longest retry delay given to a caller.
const MAX_RETRY: Duration = Duration::from_secs(60);
/// The most requests that one tick sheds by prediction; bounds the tick's duration.
const MAX_LATE_SHEDS: usize = 64;

/// The fraction of its remaining time after which a request that was held back is retried. An
/// overload lasts longer than a second or two, and a retry during it is refused for good;
/// patient callers can wait until it is over. Retries are spread, so that they don't cause the
/// next overload.
const RETRY_FRACTION: std::ops::Range<f64> = 0.25..0.5;

/// The fraction of its remaining time over which the retry of any other request is spread. The
/// requests that are refused in the same moment would otherwise return in the same moment, and
/// refuse each other again; the less urgent ones for good.
const RETRY_SPREAD_FRACTION: f64 = 0.2;

/// Returns the retry delay of a request that is held back: random within the range, and early
/// enough to start in time.
fn retry_delay(ask: &message::Ask) -> Duration {
    let range = RETRY_FRACTION;
    ask.remaining()
        .mul_f64(range.start + (range.end - range.start) * random(ask))
}

/// Returns the random part of a retry delay.
fn retry_spread(ask: &message::Ask) -> Duration {
    ask.remaining().mul_f64(RETRY_SPREAD_FRACTION * random(ask))
}

/// Returns a fraction from 0 to 1 that differs between requests.
fn random(ask: &message::Ask) -> f64 {
    // Request numbers are random.
    f64::from(ask.attempt.request.0 as u8) / f64::from(u8::MAX)
}

impl Dispatcher {
    /// Returns the predicted wait of a request of a tier that has to start by `due`.
    pub(super) fn predicted_wait(
        &self,
        tier: unit::Tier,
        due: Duration,
        now: Duration,
    ) -> Duration {
        let slots = self.usable_slots(now);
        if slots <= 0.0 {
            return Duration::MAX;
        }
        let before = self.queue.work_before(tier, due, now);
        if before <= 0.0 && self.endpoints.has_free(now) {
            return Duration::ZERO;
        }
        let above = self
            .classes
            .values()
            .filter(|class| class.tier.outranks(tier));
        let taken: f64 = above.map(|class| class.demand.rate(now)).sum();
        let reserved = slots * self.reserved_below(tier);
        let available = (slots - taken - reserved).max(slots * MIN_CAPACITY_FRACTION);
        let wait = self.slot_gap(now) + before / available;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    /// Returns the number of slots that requests can use. If all endpoints limit their request
    /// rate, it is at most what requests started at that rate hold.
    pub(super) fn usable_slots(&self, now: Duration) -> f64 {
        let slots = f64::from(self.endpoints.allowed());
        match (self.endpoints.sendable_rate(now), self.queue.mean_hold()) {
            (Some(per_second), Some(hold)) => slots.min(per_second * hold),
            _ => slots,
        }
    }

    /// Returns the sum of the shares of the waiting classes below a tier: slots that a request
    /// of the tier can't count on.
    fn reserved_below(&self, tier: unit::Tier) -> f64 {
        self.shares.reserved(|name| {
            let below = self
                .classes
                .get(name)
                .is_some_and(|class| tier.outranks(class.tier));
            below && self.queue.count(name) > 0
        })
    }

    /// Sheds what can't be served after an arrival: the last request of the lowest tier, if the
    /// queue is full, and the arrival itself, if no endpoint may serve it, if it would wait past
    /// its deadline, or if its caller would leave before any endpoint's backoff ends.
    pub(super) fn shed_on_arrival(&mut self, attempt: attempt::Attempt, now: Duration) {
        if let Some(reason) = self.unservable_reason(attempt) {
            return self.shed(attempt, reason, now);
        }
        if self.queue.len() > self.settings.max_waiting {
            if let Some(last) = self.queue.last() {
                self.check_lowest(last);
                self.shed(last, message::Reason::Full, now);
            }
        }
        if self.is_predicted_late(attempt, now) {
            return self.shed(attempt, message::Reason::Deadline, now);
        }
        if let Some(until) = self.backs_off_too_long(attempt) {
            self.shed_backing_off(attempt, until, now);
        }
    }

    /// Returns when the first backoff ends, if all endpoints that may serve a request have asked
    /// to back off and its caller leaves by then.
    fn backs_off_too_long(&self, attempt: attempt::Attempt) -> Option<Duration> {
        let waiting = self.queue.get(attempt)?;
        let lane = waiting.lane();
        let until = self.endpoints.backoff_until((&lane).into())?;
        (waiting.leaves_at() <= until).then_some(until)
    }

    /// Sheds the requests whose callers leave before the first backoff ends, if all endpoints that
    /// may serve them have asked to back off.
    pub(super) fn shed_all_backing_off(&mut self, now: Duration) {
        if !self.endpoints.has_backoffs() {
            return;
        }
        let lanes: Vec<_> = self.queue.lanes().cloned().collect();
        for lane in lanes {
            let Some(until) = self.endpoints.backoff_until((&lane).into()) else {
                continue;
            };
            for attempt in self.queue.leaving_by(&lane, until) {
                self.shed_backing_off(attempt, until, now);
            }
        }
    }

    /// Sheds a request for which all endpoints have asked to back off; it may be retried once the
    /// first backoff has ended.
    fn shed_backing_off(&mut self, attempt: attempt::Attempt, until: Duration, now: Duration) {
        let Some(waiting) = self.queue.remove(attempt) else {
            return;
        };
        let retry = until.saturating_sub(now).min(MAX_RETRY);
        self.refusals.record_refused(&waiting.ask, retry, now);
        let shed = message::Order::Shed(attempt, message::Reason::Deadline, retry);
        self.outputs.push((waiting.origin, shed));
    }

    /// Sheds the requests whose deadline has passed.
    pub(super) fn shed_expired(&mut self, now: Duration) {
        while let Some(attempt) = self.queue.expired(now) {
            self.shed(attempt, message::Reason::Deadline, now);
        }
    }

    /// Sheds late requests that are predicted to wait past their deadline, from the end of each
    /// tier's late band.
    pub(super) fn shed_late(&mut self, now: Duration) {
        for _ in 0..MAX_LATE_SHEDS {
            let tails = self.queue.late_tails();
            let late = tails
                .into_iter()
                .rev()
                .find(|a| self.is_predicted_late(*a, now));
            let Some(attempt) = late else { break };
            self.shed(attempt, message::Reason::Deadline, now);
        }
    }

    /// Sheds the requests that no endpoint can serve any more.
    pub(super) fn shed_unservable(&mut self) {
        let waiting = self.queue.all().map(|waiting| waiting.ask.attempt);
        let unservable =
            waiting.filter_map(|attempt| Some((attempt, self.unservable_reason(attempt)?)));
        let unservable: Vec<_> = unservable.collect();
        for (attempt, reason) in unservable {
            self.shed(attempt, reason, Duration::ZERO);
        }
    }

    /// Returns why no endpoint can serve a request, if none can.
    fn unservable_reason(&self, attempt: attempt::Attempt) -> Option<message::Reason> {
        let lane = self.queue.get(attempt)?.lane();
        let constraints = endpoint::Constraints::from(&lane);
        if !self.endpoints.is_unservable(constraints) {
            return None;
        }
        let any_build = endpoint::Constraints {
            build: None,
            ..constraints
        };
        let everywhere = residency::Allowed::default();
        let anywhere = endpoint::Constraints {
            allowed: &everywhere,
            ..any_build
        };
        if self.endpoints.has_cordoned(constraints) {
            Some(message::Reason::Cordoned)
        } else if self.endpoints.is_unservable(anywhere) {
            Some(message::Reason::NoEndpoint)
        } else if self.endpoints.is_unservable(any_build) {
            Some(message::Reason::Residency)
        } else {
            Some(message::Reason::Build)
        }
    }

    /// Sheds a request that is held back while more urgent ones are refused.
    pub(super) fn shed_held_back(
        &mut self,
        attempt: attempt::Attempt,
        held: precedence::HeldBack,
        now: Duration,
    ) {
        let Some(waiting) = self.queue.get(attempt) else {
            return;
        };
        self.refusals.count_precedence(&waiting.ask, false, now);
        let wait = retry_delay(&waiting.ask).max(held.wait);
        let overload = endpoint::Overload {
            first_token: wait,
            excess: wait,
        };
        self.shed_overload(attempt, overload, held.cause, now);
    }

    /// Sheds a request whose caller would leave before an endpoint processes its prompt; it may
    /// be retried after the time that its first token would take.
    pub(super) fn shed_overload(
        &mut self,
        attempt: attempt::Attempt,
        overload: endpoint::Overload,
        cause: Cause,
        now: Duration,
    ) {
        let Some(waiting) = self.queue.remove(attempt) else {
            return;
        };
        let reason = message::Reason::Overload;
        let spread = match cause {
            Cause::Itself => retry_spread(&waiting.ask),
            // The delay is spread already.
            Cause::HeldBackHere(_) | Cause::HeldBackAnywhere(_) => Duration::ZERO,
        };
        let retry = (overload.first_token.max(MIN_RETRY) + spread).min(MAX_RETRY);
        self.causes.record(attempt, cause);
        self.refusals.record_refused(&waiting.ask, retry, now);
        self.outputs
            .push((waiting.origin, message::Order::Shed(attempt, reason, retry)));
    }

    fn is_predicted_late(&self, attempt: attempt::Attempt, now: Duration) -> bool {
        let Some(waiting) = self.queue.get(attempt) else {
            return false;
        };
        if self.endpoints.allowed() == 0 || !self.is_settled(now) {
            // Ejected endpoints may come back before the deadline.
            return false;
        }
        let (tier, lane) = (waiting.ask.tier, waiting.lane());
        let constraints = endpoint::Constraints::from(&lane);
        if self.victim_for(tier, constraints, now).is_some() {
            // A run of a lower tier is preempted before this request is shed.
            return false;
        }
        if self.queue.first() == Some(attempt) && self.endpoints.has_free_for(constraints, now) {
            // No request is served before it. If it were refused for its own work and for
            // predicted arrivals, its class would never run, and the estimates for the class
            // would never improve.
            return false;
        }
        let wait = self.predicted_wait(tier, waiting.due, now);
        now.saturating_add(wait.saturating_sub(self.own_wait(waiting, now))) > waiting.give_up
    }

    /// Returns the request's own work as a wait: the time that all usable slots take for it.
    fn own_wait(&self, waiting: &queue::Waiting, now: Duration) -> Duration {
        let seconds = waiting.hold / self.usable_slots(now);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn check_lowest(&self, attempt: attempt::Attempt) {
        let tier = self.queue.get(attempt).map(|waiting| waiting.ask.tier);
        let lowest = self.queue.lowest_tier();
        invariant::check(tier == lowest, invariant::Rule::ShedOrder, || {
            format!("{attempt} of tier {tier:?} is shed while {lowest:?} waits")
        });
    }

    fn shed(&mut self, attempt: attempt::Attempt, reason: message::Reason, now: Duration) {
        if reason == message::Reason::Deadline {
            self.check_deadline_shed(attempt, now);
        }
        let Some(waiting) = self.queue.remove(attempt) else {
            return;
        };
        // An uncordon takes effect within the shortest retry delay, like the start of an
        // endpoint.
        let is_for_capacity = !matches!(
            reason,
            message::Reason::NoEndpoint
                | message::Reason::Cordoned
                | message::Reason::Residency
                | message::Reason::Build
        );
        let retry = if is_for_capacity {
            let due = now + waiting.ask.target;
            let wait = self.predicted_wait(waiting.ask.tier, due, now);
            wait.clamp(MIN_RETRY, MAX_RETRY)
        } else {
            MIN_RETRY
        };
        if is_for_capacity {
            self.refusals.record_refused(&waiting.ask, retry, now);
        }
        self.outputs
            .push((waiting.origin, message::Order::Shed(attempt, reason, retry)));
    }

    /// Checks that a request is shed before its deadline only if no run of a lower tier could
    /// be preempted for it.
    fn check_deadline_shed(&self, attempt: attempt::Attempt, now: Duration) {
        let Some(waiting) = self.queue.get(attempt) else {
            return;
        };
        let over = waiting.give_up <= now;
        let lane = waiting.lane();
        let victim = self.victim_for(waiting.ask.tier, (&lane).into(), now);
        invariant::check(over || victim.is_none(), invariant::Rule::ShedOrder, || {
            format!(
                "{attempt} is shed while {:?} runs",
                victim.map(|run| run.ask.attempt)
            )
        });
    }
}
