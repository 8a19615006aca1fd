//! The cost of sending a prompt to an endpoint.
//!
//! A cost is the time by which the first token is delayed plus the expected loss: losing a request
//! counts as much as waiting for several times its target, and each stream that the prompt makes
//! pause too long counts like a lost request. Everything is estimated from observations: the
//! rate at which prompts are prefilled, the fraction of streams that paused too long, the failures
//! of requests, and the load of all boxes at each endpoint.

use std::time::Duration;

use super::{Constraints, Endpoint, Set};
use crate::core::{
    dispatch::{message, pauses, prefill, shed::MIN_RETRY},
    name, unit,
};

/// A cost, in microseconds by which a first token is delayed.
pub(super) type Cost = u64;

/// The cost of a lost request, in multiples of its target. A wait of one target makes a request
/// late, which forfeits a part of its value; none that waits for three is served in time.
const LOSS_TARGETS: f64 = 3.0;
/// The cost of prefilling a shared prefix once more, in multiples of the time that it takes: other
/// requests wait for that work too, and other prefixes are evicted from memory.
const PREFILL_AGAIN_FACTOR: f64 = 3.0;
/// The factor by which a slow endpoint prefills more slowly. An endpoint counts as slow from 1.16
/// times the pace of a fast one on, and most slow ones are well above that.
const SLOW_FACTOR: f64 = 1.3;
/// The risk of losing a request at an endpoint that leaves runs unanswered.
const STALLED_RISK: f64 = 0.7;
/// An endpoint with unanswered runs counts as stalled when it has given no first token for
/// `STALL_GRACE` plus `STALL_BACKLOG_FACTOR` times the time that prefilling its backlog takes.
const STALL_GRACE: Duration = Duration::from_millis(1000);
const STALL_BACKLOG_FACTOR: u32 = 3;
/// A sound endpoint may keep a request waiting for this many times the time that prefilling its
/// backlog takes: more requests come meanwhile, and the more urgent ones go first.
const SILENCE_BACKLOG_FACTOR: u32 = 2;
/// The risk of losing a request where memory or all slots are taken: it waits until others have
/// ended, and more urgent ones go first.
const FULL_RISK: f64 = 0.5;
/// The fraction of an endpoint's memory in use above which the risk rises: cached prefixes that
/// later prompts need are evicted first.
const RISKY_MEMORY_FRACTION: f64 = 0.65;
/// The least risk assumed for a stream at an endpoint of the other group, so that short and long
/// prompts are not mixed for the sake of small differences.
const MIN_FOREIGN_RISK: f64 = 0.25;

/// The multiple of the target above which a predicted first token is so surely late that the caller
/// should retry later. It is above 1 because predictions err, and refusing a request needlessly
/// loses as much as serving it late.
const REFUSAL_TARGETS: f64 = 1.25;

/// The models learnt from observations.
#[derive(Clone, Copy, Debug)]
pub(in crate::core::dispatch) struct Model<'a> {
    /// The rate at which prompts are prefilled.
    pub(in crate::core::dispatch) prefill: &'a prefill::Estimate,
    /// The fraction of streams that pause too long.
    pub(in crate::core::dispatch) pauses: &'a pauses::Pauses,
}

/// A prompt for which an endpoint is to be chosen.
#[derive(Clone, Copy, Debug)]
pub(in crate::core::dispatch) struct Prompt<'a> {
    /// The constraints of its request.
    pub(in crate::core::dispatch) constraints: Constraints<'a>,
    /// Its shared prefix.
    pub(in crate::core::dispatch) placement_key: message::PlacementKey,
    /// Its length in tokens, with the shared prefix.
    pub(in crate::core::dispatch) tokens: u64,
    /// The tier of its request.
    pub(in crate::core::dispatch) tier: unit::Tier,
    /// The target for the time to the first token.
    pub(in crate::core::dispatch) target: Duration,
    /// The time after which the caller leaves if no first token has come.
    pub(in crate::core::dispatch) patience: Duration,
    /// Whether the caller may retry if the request is refused at once: it was not refused before
    /// and has not been sent to any endpoint.
    pub(in crate::core::dispatch) client_may_retry: bool,
    /// The time within which the answer must be complete.
    pub(in crate::core::dispatch) deadline: Duration,
    /// The mean time for which a request of its class holds a slot.
    pub(in crate::core::dispatch) mean_hold: Duration,
    /// The mean length of an answer of its class, in tokens or events, once one was seen.
    pub(in crate::core::dispatch) mean_length: Option<f64>,
    /// Whether prompts of its class are long.
    pub(in crate::core::dispatch) long: bool,
    /// Whether it belongs to the endpoints for long prompts. Short prompts of the lower classes do,
    /// too, while the endpoints for short ones are nearly full.
    pub(in crate::core::dispatch) for_long: bool,
    /// Whether the endpoints are split into a group for short and one for long prompts.
    pub(in crate::core::dispatch) is_split: bool,
}

impl Prompt<'_> {
    /// Returns the tokens to be prefilled, depending on whether the shared prefix is cached.
    pub(super) fn prefill_tokens(&self, is_cached: bool) -> u64 {
        let shared = if is_cached {
            self.placement_key.shared.0
        } else {
            0
        };
        self.tokens.saturating_sub(shared)
    }

    /// Returns whether an endpoint belongs to the other group of prompt lengths.
    pub(super) fn is_foreign(&self, endpoint: &Endpoint) -> bool {
        self.is_split && endpoint.for_short == self.for_long
    }

    /// Returns the kind of placement at an endpoint, by which pauses are counted.
    pub(super) fn place(&self, endpoint: &Endpoint) -> pauses::Place {
        pauses::Place {
            long: self.long,
            foreign: self.is_split && endpoint.for_short == self.long,
            slow: endpoint.slow,
        }
    }

    /// Returns by how much a predicted time to the first token exceeds the longest one with which
    /// the request is not refused.
    pub(super) fn excess(&self, first_token: Duration) -> Duration {
        let limit = if self.client_may_retry && self.can_wait_for_retry(first_token) {
            self.patience.min(self.target.mul_f64(REFUSAL_TARGETS))
        } else {
            self.patience
        };
        first_token.saturating_sub(limit)
    }

    /// Returns whether a caller that retries when the first token would have come can still wait as
    /// long once more. Otherwise the retry is likely to be refused for good, so the request is
    /// better served late.
    fn can_wait_for_retry(&self, first_token: Duration) -> bool {
        first_token.max(MIN_RETRY).saturating_add(first_token) <= self.patience
    }

    /// Returns the cost of certainly losing the request, as a time.
    fn loss(&self) -> Duration {
        self.target.mul_f64(LOSS_TARGETS)
    }
}

/// Returns the cost of each step away from home for an endpoint that does not cache the shared
/// prefix: that of prefilling it once more, and at least the target, a wait that makes a request
/// late, so that prompts with the same prefix stay together.
pub(super) fn step_cost(prompt: &Prompt<'_>, model: &Model<'_>) -> Cost {
    let again = model
        .prefill
        .time(prompt.placement_key.shared.0)
        .mul_f64(PREFILL_AGAIN_FACTOR);
    micros(again.max(prompt.target))
}

/// Returns the predicted time to a prompt's first token at an endpoint.
pub(super) fn first_token(
    endpoint: &Endpoint,
    prompt: &Prompt<'_>,
    is_cached: bool,
    model: &Model<'_>,
) -> Duration {
    let own = model.prefill.time(prompt.prefill_tokens(is_cached));
    prefill_wait(endpoint, prompt, model.prefill)
        + slot_wait(endpoint, prompt)
        + own.mul_f64(slowness(endpoint))
}

impl Set {
    /// Returns the cost of sending a prompt to an endpoint that caches its shared prefix.
    pub(super) fn cost(
        &self,
        endpoint: &Endpoint,
        prompt: &Prompt<'_>,
        model: &Model<'_>,
        now: Duration,
    ) -> Cost {
        let risks = [
            endpoint.risk.get(now),
            stalled_risk(endpoint, model.prefill, now),
            memory_risk(endpoint, prompt.tokens),
            if missing_slots(endpoint) > 0 {
                FULL_RISK
            } else {
                0.0
            },
            deadline_risk(endpoint, prompt),
            pause_risk(endpoint, prompt, model, now),
        ];
        let success = risks
            .iter()
            .fold(1.0, |success, risk| success * (1.0 - risk));
        let losses = 1.0 - success + stream_harm(endpoint, prompt, model, now);
        let wait = prefill_wait(endpoint, prompt, model.prefill) + slot_wait(endpoint, prompt);
        micros(wait + prompt.loss().mul_f64(losses))
    }
}

/// Returns the factor by which prefill takes longer than at a fast endpoint.
fn slowness(endpoint: &Endpoint) -> f64 {
    if endpoint.slow {
        SLOW_FACTOR
    } else {
        1.0
    }
}

/// Returns the expected wait for a slot; zero unless all boxes together hold all slots.
fn slot_wait(endpoint: &Endpoint, prompt: &Prompt<'_>) -> Duration {
    prompt.mean_hold * missing_slots(endpoint) / endpoint.slots.max(1)
}

/// Returns the number of slots missing for the runs of all boxes and one more.
fn missing_slots(endpoint: &Endpoint) -> u32 {
    let taken = endpoint.running + endpoint.others.running;
    (taken + 1).saturating_sub(endpoint.slots)
}

impl Set {
    /// Returns how long an endpoint may be silent about a request before the request is given up
    /// there: `least`, plus time for the prefill backlog. An endpoint at risk of failure gets no
    /// extra time.
    ///
    /// Without the extra time, requests leave endpoints that are merely busy and are prefilled once
    /// more at others, which under overload is more work for fewer answers.
    pub(in crate::core::dispatch) fn max_silence(
        &self,
        name: &name::Endpoint,
        least: Duration,
        prefill: &prefill::Estimate,
        now: Duration,
    ) -> Duration {
        let Some(index) = self.names.get(name) else {
            return least;
        };
        let endpoint = &self.endpoints[index.0];
        let is_sound = endpoint.risk.get(now) == 0.0 && stalled_risk(endpoint, prefill, now) == 0.0;
        if is_sound && endpoint.configured {
            least + backlog_time(endpoint, prefill) * SILENCE_BACKLOG_FACTOR
        } else {
            least
        }
    }
}

/// Returns the probability that the answer is not complete by the deadline, at the recent time per
/// token of the endpoint. Answer lengths are assumed to be exponentially distributed, as most are.
fn deadline_risk(endpoint: &Endpoint, prompt: &Prompt<'_>) -> f64 {
    let (Some(seconds_per_unit), Some(length)) =
        (endpoint.seconds_per_unit.get(), prompt.mean_length)
    else {
        return 0.0;
    };
    let expected = seconds_per_unit * length;
    if expected <= 0.0 {
        return 0.0;
    }
    (-prompt.deadline.as_secs_f64() / expected).exp()
}

impl Endpoint {
    /// Returns the tokens of all boxes waiting for prefill there when a request of a tier arrives.
    pub(super) fn ahead(&self, tier: unit::Tier) -> prefill::Ahead {
        let less_urgent = self.less_urgent.than(tier) + self.others.less_urgent.than(tier);
        let pending_prefill = self.pending_prefill + self.others.pending_prefill;
        prefill::Ahead {
            as_urgent: pending_prefill.saturating_sub(less_urgent),
            less_urgent,
        }
    }
}

/// Returns the time until the prefill of a prompt begins.
fn prefill_wait(endpoint: &Endpoint, prompt: &Prompt<'_>, prefill: &prefill::Estimate) -> Duration {
    let ahead = endpoint.ahead(prompt.tier);
    prefill.wait(ahead).mul_f64(slowness(endpoint))
}

/// Returns the time to prefill everything that all boxes have waiting there.
fn backlog_time(endpoint: &Endpoint, prefill: &prefill::Estimate) -> Duration {
    let backlog = endpoint.pending_prefill + endpoint.others.pending_prefill;
    prefill.time(backlog).mul_f64(slowness(endpoint))
}

/// Returns whether a request is more likely to fail at an endpoint than not.
pub(super) fn is_likely_to_fail(endpoint: &Endpoint, model: &Model<'_>, now: Duration) -> bool {
    const MIN_SUCCESS: f64 = 0.5;
    let stalled = stalled_risk(endpoint, model.prefill, now);
    (1.0 - endpoint.risk.get(now)) * (1.0 - stalled) < MIN_SUCCESS
}

/// Returns the risk of losing a request because the endpoint has stalled.
fn stalled_risk(endpoint: &Endpoint, prefill: &prefill::Estimate, now: Duration) -> f64 {
    let expected = backlog_time(endpoint, prefill) * STALL_BACKLOG_FACTOR + STALL_GRACE;
    let stalled = endpoint.pending_runs > 0 && now > endpoint.waiting_since + expected;
    if stalled || endpoint.is_paused(now) {
        STALLED_RISK
    } else {
        0.0
    }
}

/// Returns the risk of losing a request because the prompt would fill the endpoint's memory.
fn memory_risk(endpoint: &Endpoint, tokens: u64) -> f64 {
    let Some(memory) = endpoint.memory else {
        return 0.0;
    };
    let used = endpoint.cached + endpoint.others.cached + tokens;
    // Both are far below 2^52, so the casts are exact.
    let fraction = used as f64 / memory.0.max(1) as f64;
    ((fraction - RISKY_MEMORY_FRACTION) / (1.0 - RISKY_MEMORY_FRACTION)).clamp(0.0, 1.0) * FULL_RISK
}

/// Returns the probability that the prompt's own stream pauses too long there.
fn pause_risk(endpoint: &Endpoint, prompt: &Prompt<'_>, model: &Model<'_>, now: Duration) -> f64 {
    let fraction = model.pauses.fraction(prompt.place(endpoint), now);
    if prompt.is_foreign(endpoint) {
        fraction.max(MIN_FOREIGN_RISK)
    } else {
        fraction
    }
}

/// Returns the expected number of streams there that pause too long only because of a long prompt.
fn stream_harm(endpoint: &Endpoint, prompt: &Prompt<'_>, model: &Model<'_>, now: Duration) -> f64 {
    if !(prompt.long && prompt.is_foreign(endpoint)) {
        return 0.0;
    }
    let fraction = |foreign| {
        let place = pauses::Place {
            long: false,
            foreign,
            slow: endpoint.slow,
        };
        model.pauses.fraction(place, now)
    };
    let streams = endpoint.running + endpoint.others.running;
    f64::from(streams) * (fraction(true) - fraction(false)).max(0.0)
}

fn micros(time: Duration) -> Cost {
    Cost::try_from(time.as_micros()).unwrap_or(Cost::MAX)
}
