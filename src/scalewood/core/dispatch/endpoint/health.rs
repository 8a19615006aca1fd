//! How an endpoint does: failures, risk, ejection and speed.
//!
//! Two memories stand side by side. Failures without a success in between eject an endpoint,
//! which is probed after a while. The risk is what the next request there is expected to
//! meet, from what all boxes met there.

use std::time::Duration;

use super::{Endpoint, Index, Set, State, Tokens, DOUBT};
use crate::core::{dispatch::Settings, load, rendezvous, risk};

/// Failures, by weight, after which an endpoint is ejected.
const EJECT_AT: u32 = 3;
/// How often the speeds are compared.
const REFRESH: Duration = Duration::from_millis(500);
/// The speed under which an endpoint counts as slow: noise stays above it.
const SLOW: f64 = 0.67;
/// The least weight of a slow endpoint.
const MIN_SPEED: f64 = 0.1;
impl Endpoint {
    /// Notes that a request failed, with a weight from 0 to 1.
    fn raise_risk(&mut self, weight: f64, now: Duration) {
        self.risk.raise(weight, now);
        self.outcomes.failed += 1;
        self.refresh_doubt(now);
    }

    /// Notes that a request got its first token.
    fn lower_risk(&mut self, now: Duration) {
        self.risk.lower(now);
        self.outcomes.answered += 1;
        self.refresh_doubt(now);
    }

    fn refresh_doubt(&mut self, now: Duration) {
        // The product is at most `DOUBT`, so the cast is exact.
        self.doubt = (self.risk.get(now) * DOUBT) as u64;
    }
}

impl Set {
    /// Notes an endpoint's pace: seconds for each token, or for each call.
    pub(in crate::core::dispatch) fn observe_pace(&mut self, index: Index, seconds: f64) {
        /// The weight of a new observation.
        const WEIGHT: f64 = 0.2;
        self.endpoints[index.0].pace.observe(seconds, WEIGHT);
    }

    /// Notes that an attempt did well.
    pub(in crate::core::dispatch) fn succeeded(&mut self, index: Index) {
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

    /// Notes that an attempt got its first token: the endpoint takes more.
    pub(in crate::core::dispatch) fn answered(
        &mut self,
        index: Index,
        prompt: Tokens,
        now: Duration,
    ) {
        let endpoint = &mut self.endpoints[index.0];
        endpoint.no_longer_unread(prompt);
        endpoint.pending = endpoint.pending.saturating_sub(1);
        endpoint.quiet_since = now;
        endpoint.lower_risk(now);
        self.met.insert(index);
        self.zones.reached(&endpoint.zone);
        if endpoint.state == State::Active && endpoint.ramp < endpoint.slots {
            endpoint.ramp = endpoint.ramp.saturating_add(1);
            self.rescore(index);
        }
    }

    /// Notes that an attempt failed; `weight` says how sure a sign of a fault it is.
    pub(in crate::core::dispatch) fn failed(
        &mut self,
        index: Index,
        weight: u32,
        now: Duration,
        settings: &Settings,
    ) {
        let failed = &self.endpoints[index.0];
        if failed.away {
            self.zones.missed(&failed.zone, index.0, now);
        }
        let ejected = self
            .endpoints
            .iter()
            .filter(|e| e.configured && e.state != State::Active);
        let configured = self.endpoints.iter().filter(|e| e.configured).count();
        // The product is at most `configured`, so the cast is exact.
        let most = (configured as f64 * settings.max_ejected) as usize;
        // A lone endpoint is ejected too: its zone then shows that it has none, and
        // requests go to another zone or wait for the probe.
        let may_eject = ejected.count() < most.max(1);
        let endpoint = &mut self.endpoints[index.0];
        endpoint.raise_risk(1.0, now);
        self.met.insert(index);
        endpoint.failures = (endpoint.failures + weight).min(EJECT_AT * 2);
        let probing = endpoint.state == State::Probing;
        if probing || (endpoint.failures >= EJECT_AT && may_eject) {
            let until = now + ejection(endpoint, settings);
            endpoint.state = State::Ejected(until);
            self.probe_at = Some(self.probe_at.map_or(until, |at| at.min(until)));
            endpoint.ejections += 1;
            endpoint.ramp = 1;
        }
        self.rescore(index);
    }

    /// Notes that a caller left before an endpoint gave a first token: it may have lost
    /// the request, or be busy.
    pub(in crate::core::dispatch) fn suspected(&mut self, index: Index, now: Duration) {
        /// What that counts beside a failure.
        const PART: f64 = 0.75;
        self.endpoints[index.0].raise_risk(PART, now);
        self.met.insert(index);
        self.rescore(index);
    }

    /// Notes that another endpoint answered at its address. It gets no more work here, and
    /// other boxes hear of a failure: each would else find out by a request of its own.
    pub(in crate::core::dispatch) fn mistaken(&mut self, index: Index, now: Duration) {
        let endpoint = &mut self.endpoints[index.0];
        endpoint.raise_risk(1.0, now);
        self.met.insert(index);
        endpoint.leaving.get_or_insert(now);
        self.rescore(index);
    }

    /// Takes over the risks that all boxes together met, as they are told by a hub.
    pub(in crate::core::dispatch) fn set_risks(&mut self, risks: &[load::Risk], now: Duration) {
        for told in risks {
            let Some(index) = self.names.get(&told.endpoint).copied() else {
                continue;
            };
            let endpoint = &mut self.endpoints[index.0];
            endpoint.risk = risk::Risk::told(told.chance, now);
            endpoint.refresh_doubt(now);
            self.rescore(index);
        }
    }

    /// What came of requests here since it was last taken.
    pub(in crate::core::dispatch) fn take_outcomes(&mut self) -> Vec<load::Outcome> {
        let mut outcomes = Vec::new();
        for index in std::mem::take(&mut self.met) {
            let count = std::mem::take(&mut self.endpoints[index.0].outcomes);
            // What an earlier start met says nothing of the one that has its name now.
            if count != load::Count::default() && self.is_latest(index) {
                let endpoint = self.endpoints[index.0].name.clone();
                outcomes.push(load::Outcome { endpoint, count });
            }
        }
        outcomes
    }

    /// Moves on what depends on time.
    pub(in crate::core::dispatch) fn tick(&mut self, now: Duration) {
        self.end_rests(now);
        if self.probe_at.is_some_and(|at| at <= now) {
            self.probe_ejected(now);
        }
        if now.saturating_sub(self.refreshed) >= REFRESH {
            self.refreshed = now;
            self.hints.retain(|_, hint| hint.until > now);
            self.refresh_doubts(now);
            self.compare_speeds();
        }
    }

    /// Probes the endpoints whose ejection is over.
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

    /// Brings the endpoints' places up to risks that have faded.
    fn refresh_doubts(&mut self, now: Duration) {
        for i in 0..self.endpoints.len() {
            if self.endpoints[i].doubt > 0 {
                self.endpoints[i].refresh_doubt(now);
                self.rescore(Index(i));
            }
        }
    }

    /// Compares each endpoint's pace with the median.
    fn compare_speeds(&mut self) {
        let mut paces: Vec<_> = self.endpoints.iter().filter_map(|e| e.pace.get()).collect();
        if paces.len() < 2 {
            return;
        }
        paces.sort_by(f64::total_cmp);
        // The lower median: with two endpoints the faster one is the measure.
        let median = paces[(paces.len() - 1) / 2];
        for i in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[i];
            let Some(pace) = endpoint.pace.get() else {
                continue;
            };
            let speed = if pace > 0.0 {
                (median / pace).clamp(MIN_SPEED, 1.0)
            } else {
                1.0
            };
            let speed = if speed < SLOW { speed } else { 1.0 };
            if (speed - endpoint.speed).abs() > f64::EPSILON {
                endpoint.speed = speed;
                self.rescore(Index(i));
            }
        }
    }
}

/// How long an endpoint is ejected: doubling, spread by up to a half so that many
/// do not come back at once.
fn ejection(endpoint: &Endpoint, settings: &Settings) -> Duration {
    let doubled = settings
        .ejection
        .saturating_mul(1 << endpoint.ejections.min(5));
    let seed = rendezvous::hash(&[endpoint.name.as_str(), &endpoint.ejections.to_string()]);
    // The remainder is below 1000, so the cast is exact.
    let spread = (seed % 1000) as f64 / 2000.0;
    doubled.min(settings.max_ejection).mul_f64(1.0 + spread)
}
