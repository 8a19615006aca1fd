//! The health of endpoints: failures, risk, ejection and speed.
//!
//! Two measures exist side by side. Consecutive failures eject an endpoint, which is probed after a
//! while. The risk is the probability that the next request fails, estimated from the outcomes at
//! all boxes.

use std::time::Duration;

use super::{Endpoint, Index, Prefill, Set, State, MAX_RISK_PENALTY};
use crate::core::{
    dispatch::{zone, Settings},
    load, rendezvous, risk,
};

/// The sum of weights of consecutive failures at which an endpoint is ejected.
const EJECTION_WEIGHT: u32 = 3;
/// The interval at which speeds are compared and risk penalties updated.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// The relative speed below which an endpoint gets fewer slots. Ordinary variation stays above it.
const FULL_SLOTS_MIN_SPEED: f64 = 0.67;
/// The lowest relative speed that is applied.
const MIN_SPEED: f64 = 0.1;

impl Endpoint {
    /// Records a failed request; `weight`, from 0 to 1, scales its effect on the risk.
    pub(super) fn raise_risk(&mut self, weight: f64, now: Duration) {
        self.risk.record_failure(weight, now);
        self.outcomes.failed += 1;
        self.refresh_risk_penalty(now);
    }

    /// Records a request that got its first token.
    pub(super) fn lower_risk(&mut self, now: Duration) {
        self.risk.record_answer(now);
        self.outcomes.answered += 1;
        self.refresh_risk_penalty(now);
    }

    fn refresh_risk_penalty(&mut self, now: Duration) {
        // The product is at most `MAX_RISK_PENALTY`, so the cast is exact.
        self.risk_penalty = (self.risk.get(now) * MAX_RISK_PENALTY) as u64;
    }
}

impl Set {
    /// Records the time per token, or per call of a plain service, in seconds.
    pub(in crate::core::dispatch) fn observe_seconds_per_unit(
        &mut self,
        index: Index,
        seconds: f64,
    ) {
        /// The weight of a new observation in the moving average.
        const WEIGHT: f64 = 0.2;
        self.endpoints[index.0]
            .seconds_per_unit
            .observe(seconds, WEIGHT);
    }

    /// Records that an attempt succeeded.
    pub(in crate::core::dispatch) fn record_success(&mut self, index: Index) {
        self.end_pause(index);
        let endpoint = &mut self.endpoints[index.0];
        endpoint.failures = 0;
        endpoint.state = State::Active;
        if endpoint.ramp < endpoint.slots {
            endpoint.ramp = endpoint.ramp.saturating_mul(2).max(1);
        } else {
            endpoint.ejections = 0;
        }
        self.rescore(index);
    }

    /// Records that an attempt got its first token, which raises the endpoint's slow-start limit.
    pub(in crate::core::dispatch) fn record_first_token(
        &mut self,
        index: Index,
        prompt: Prefill,
        now: Duration,
    ) {
        self.end_pause(index);
        let endpoint = &mut self.endpoints[index.0];
        endpoint.subtract_pending_prefill(prompt);
        endpoint.pending_runs = endpoint.pending_runs.saturating_sub(1);
        endpoint.waiting_since = now;
        endpoint.lower_risk(now);
        self.unreported.insert(index);
        self.zones.record_answer(&endpoint.zone);
        if endpoint.state == State::Active && endpoint.ramp < endpoint.slots {
            endpoint.ramp = endpoint.ramp.saturating_add(1);
            self.rescore(index);
        }
    }

    /// Records that an attempt failed; a higher `weight` means clearer evidence of a fault.
    pub(in crate::core::dispatch) fn record_failure(
        &mut self,
        index: Index,
        weight: u32,
        now: Duration,
        settings: &Settings,
    ) {
        if self.links_lost {
            return;
        }
        let failed = &self.endpoints[index.0];
        if failed.in_other_zone {
            self.zones.record_failure(&failed.zone, index.0, now);
        }
        let ejected = self
            .endpoints
            .iter()
            .filter(|e| e.configured && e.state != State::Active);
        let configured = self.endpoints.iter().filter(|e| e.configured).count();
        // The product is at most `configured`, so the cast is exact.
        let max_ejected_count = (configured as f64 * settings.max_ejected) as usize;
        // Even the only endpoint is ejected: its zone then has none to offer, and requests go to
        // another zone or wait for the probe.
        let may_eject = ejected.count() < max_ejected_count.max(1);
        let endpoint = &mut self.endpoints[index.0];
        endpoint.raise_risk(1.0, now);
        self.unreported.insert(index);
        endpoint.failures = (endpoint.failures + weight).min(EJECTION_WEIGHT * 2);
        let probing = endpoint.state == State::Probing;
        if probing || (endpoint.failures >= EJECTION_WEIGHT && may_eject) {
            let until = now + ejection_time(endpoint, settings);
            endpoint.state = State::Ejected(until);
            self.probe_at = Some(self.probe_at.map_or(until, |at| at.min(until)));
            endpoint.ejections += 1;
            endpoint.ramp = 1;
        }
        self.rescore(index);
    }

    /// Records that a caller left before the first token: the endpoint may have lost the request or
    /// be busy.
    pub(in crate::core::dispatch) fn record_abandoned(&mut self, index: Index, now: Duration) {
        /// The weight of an abandoned request; that of a failure is 1.
        const SUSPICION_WEIGHT: f64 = 0.75;
        if self.links_lost {
            return;
        }
        self.endpoints[index.0].raise_risk(SUSPICION_WEIGHT, now);
        self.unreported.insert(index);
        self.rescore(index);
    }

    /// Records that another endpoint answered at its address. It gets no more requests from this
    /// box, and the failure is reported to other boxes, each of which would otherwise learn it from
    /// a request of its own.
    pub(in crate::core::dispatch) fn record_wrong_endpoint(&mut self, index: Index, now: Duration) {
        let endpoint = &mut self.endpoints[index.0];
        endpoint.raise_risk(1.0, now);
        self.unreported.insert(index);
        endpoint.leaving_since.get_or_insert(now);
        self.rescore(index);
    }

    /// Adopts the risks that a hub computed from the outcomes at all boxes.
    pub(in crate::core::dispatch) fn set_risks(&mut self, risks: &[load::Risk], now: Duration) {
        for reported in risks {
            let Some(index) = self.names.get(&reported.endpoint).copied() else {
                continue;
            };
            let endpoint = &mut self.endpoints[index.0];
            endpoint.risk = risk::Risk::from_report(reported.chance, now);
            endpoint.refresh_risk_penalty(now);
            self.rescore(index);
        }
    }

    /// Records whether this box has lost its links to the endpoints. Failures that were not reported
    /// yet are discarded, and endpoints that were ejected for them are used again once the links
    /// work.
    pub(in crate::core::dispatch) fn set_links_lost(&mut self, lost: bool, settings: &Settings) {
        self.links_lost = lost;
        for i in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[i];
            if std::mem::take(&mut endpoint.outcomes.failed) > 0 {
                endpoint.risk = risk::Risk::default();
                endpoint.risk_penalty = 0;
            }
            if !lost && endpoint.state != State::Active {
                endpoint.state = State::Active;
                endpoint.failures = 0;
                endpoint.ejections = 0;
                endpoint.ramp = settings.ramp;
            }
            self.end_pause(Index(i));
            self.rescore(Index(i));
        }
        if !lost {
            self.zones = zone::Zones::default();
        }
    }

    /// Returns the outcomes of requests of this box since they were last taken, without the failures
    /// if these are held back.
    pub(in crate::core::dispatch) fn take_outcomes(
        &mut self,
        holds_failures: bool,
    ) -> Vec<load::Outcome> {
        let mut outcomes = Vec::new();
        for index in std::mem::take(&mut self.unreported) {
            let outcomes_here = &mut self.endpoints[index.0].outcomes;
            let mut count = std::mem::take(outcomes_here);
            if holds_failures && count.failed > 0 {
                outcomes_here.failed = std::mem::take(&mut count.failed);
                self.unreported.insert(index);
            }
            // Outcomes of an earlier start do not apply to the current one of the same name.
            if count != load::OutcomeCounts::default() && self.is_latest(index) {
                let endpoint = self.endpoints[index.0].name.clone();
                outcomes.push(load::Outcome { endpoint, count });
            }
        }
        outcomes
    }

    /// Ends backoffs, counts pauses, starts to probe ejected endpoints, and periodically updates hints, risk
    /// penalties and speeds.
    pub(in crate::core::dispatch) fn tick(&mut self, now: Duration) {
        self.end_backoffs(now);
        self.count_pauses(now);
        if self.probe_at.is_some_and(|at| at <= now) {
            self.probe_ejected(now);
        }
        if now.saturating_sub(self.last_refresh) >= REFRESH_INTERVAL {
            self.last_refresh = now;
            self.hints.retain(|_, hint| hint.until > now);
            self.refresh_risk_penalties(now);
            self.compare_speeds();
        }
    }

    /// Starts probing the endpoints whose ejection is over.
    fn probe_ejected(&mut self, now: Duration) {
        let mut next: Option<Duration> = None;
        for i in 0..self.endpoints.len() {
            let State::Ejected(until) = self.endpoints[i].state else {
                continue;
            };
            if until <= now {
                self.endpoints[i].state = State::Probing;
                self.rescore(Index(i));
            } else {
                next = Some(next.map_or(until, |at| at.min(until)));
            }
        }
        self.probe_at = next;
    }

    /// Updates the scores of endpoints whose risk has decayed.
    fn refresh_risk_penalties(&mut self, now: Duration) {
        for i in 0..self.endpoints.len() {
            if self.endpoints[i].risk_penalty > 0 {
                self.endpoints[i].refresh_risk_penalty(now);
                self.rescore(Index(i));
            }
        }
    }

    /// Compares the time per token of each endpoint with the median.
    fn compare_speeds(&mut self) {
        let mut sorted: Vec<_> = self
            .endpoints
            .iter()
            .filter_map(|e| e.seconds_per_unit.get())
            .collect();
        if sorted.len() < 2 {
            return;
        }
        sorted.sort_by(f64::total_cmp);
        // The lower median, so that of two endpoints the faster one is the reference.
        let median = sorted[(sorted.len() - 1) / 2];
        for i in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[i];
            let Some(seconds_per_unit) = endpoint.seconds_per_unit.get() else {
                continue;
            };
            let speed = if seconds_per_unit > 0.0 {
                (median / seconds_per_unit).clamp(MIN_SPEED, 1.0)
            } else {
                1.0
            };
            let speed = if speed < FULL_SLOTS_MIN_SPEED {
                speed
            } else {
                1.0
            };
            if (speed - endpoint.speed).abs() > f64::EPSILON {
                endpoint.speed = speed;
                self.rescore(Index(i));
            }
        }
    }
}

/// Returns how long an endpoint is ejected. The time doubles with each ejection up to
/// `max_ejection`, and is then extended by up to a half, so that many endpoints do not come back at
/// once.
fn ejection_time(endpoint: &Endpoint, settings: &Settings) -> Duration {
    let doubled = settings
        .base_ejection
        .saturating_mul(1 << endpoint.ejections.min(5));
    let seed = rendezvous::hash(&[endpoint.name.as_str(), &endpoint.ejections.to_string()]);
    // The remainder is below 1000, so the cast is exact.
    let spread = (seed % 1000) as f64 / 2000.0;
    doubled.min(settings.max_ejection).mul_f64(1.0 + spread)
}
