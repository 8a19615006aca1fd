//! The prefill rate of a service's endpoints, estimated from the times to first token.
//!
//! A first token arrives once the endpoint has processed the request's prompt and all prompt
//! tokens that it had pending when the request was granted. So each first token gives one
//! measurement of the rate. The estimate is the quotient of the decayed sums of tokens and of
//! time: long prompts, which determine the rate best, weigh the most.
//!
//! Endpoints process the prompts of more urgent requests first, but don't interrupt one that
//! they have started. Which fraction of the less urgent prompts is processed before a request
//! is estimated beside the rate.

use std::time::Duration;

/// Tokens per millisecond assumed before anything was measured: below the rate of most
/// accelerators, so that waits are rather overestimated.
const INITIAL_TOKENS_PER_MS: f64 = 40.0;
/// The tokens that the assumed rate counts for; a few measurements outweigh it.
const INITIAL_WEIGHT_TOKENS: f64 = 4000.0;
/// The factor by which the sums decay with each measurement: half is forgotten after about
/// thirty.
const DECAY_PER_MEASUREMENT: f64 = 0.98;
/// The fewest tokens that are measured: with fewer, the round trip and one step of the endpoint
/// take longer than the prefill.
const MIN_MEASURED_TOKENS: u64 = 500;
/// The smallest ratio of the less urgent tokens to all others for which a measurement shows
/// whether they were processed first.
const MIN_LESS_URGENT_RATIO: f64 = 0.5;
/// The weight of one such measurement: about twenty of them outweigh the previous estimate.
const ORDER_MEASUREMENT_WEIGHT: f64 = 0.05;
/// The largest factor by which a measurement may differ from the estimate; it is clamped beyond
/// that. The cause may be a prompt cached elsewhere than expected, or a failing endpoint.
const MAX_DEVIATION_FACTOR: f64 = 3.0;

/// Prompt tokens that an endpoint has yet to process when a request arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Ahead {
    /// Tokens of requests that are at least as urgent: they are processed first.
    pub(super) as_urgent: u64,
    /// Tokens of less urgent requests.
    pub(super) less_urgent: u64,
}

/// The rate at which prompts are processed, and in which order.
#[derive(Clone, Debug)]
pub(super) struct Estimate {
    tokens: f64,
    millis: f64,
    /// The fraction of less urgent prompts that is processed first.
    less_urgent_fraction: f64,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            tokens: INITIAL_WEIGHT_TOKENS,
            millis: INITIAL_WEIGHT_TOKENS / INITIAL_TOKENS_PER_MS,
            less_urgent_fraction: 1.0,
        }
    }
}

impl Estimate {
    /// Records the time to first token of a request with a prompt of `own` tokens to process,
    /// which found `ahead` pending.
    pub(super) fn observe(&mut self, ahead: Ahead, own: u64, took: Duration) {
        // A time below the clock's resolution gives no rate.
        if ahead.as_urgent + ahead.less_urgent + own < MIN_MEASURED_TOKENS || took.is_zero() {
            return;
        }
        self.learn_order(ahead, own, took);
        let tokens = self.tokens_before(ahead) + to_f64(own);
        if tokens < 1.0 {
            return;
        }
        let expected = tokens / self.rate();
        let millis = took.as_secs_f64() * 1000.0;
        let millis = millis.clamp(
            expected / MAX_DEVIATION_FACTOR,
            expected * MAX_DEVIATION_FACTOR,
        );
        self.tokens = self.tokens * DECAY_PER_MEASUREMENT + tokens;
        self.millis = self.millis * DECAY_PER_MEASUREMENT + millis;
    }

    /// Updates the fraction of less urgent prompts that is processed first.
    fn learn_order(&mut self, ahead: Ahead, own: u64, took: Duration) {
        let as_urgent = to_f64(ahead.as_urgent + own);
        let less_urgent = to_f64(ahead.less_urgent);
        // If these tokens are few of the whole, the error of the rate hides the result.
        if less_urgent < to_f64(MIN_MEASURED_TOKENS)
            || less_urgent < as_urgent * MIN_LESS_URGENT_RATIO
        {
            return;
        }
        let processed = took.as_secs_f64() * 1000.0 * self.rate();
        let fraction = ((processed - as_urgent) / less_urgent).clamp(0.0, 1.0);
        self.less_urgent_fraction +=
            (fraction - self.less_urgent_fraction) * ORDER_MEASUREMENT_WEIGHT;
    }

    /// Returns the tokens of other requests that are processed before a request.
    fn tokens_before(&self, ahead: Ahead) -> f64 {
        to_f64(ahead.as_urgent) + to_f64(ahead.less_urgent) * self.less_urgent_fraction
    }

    /// Returns how long it takes to process the tokens that come before a request.
    pub(super) fn wait(&self, ahead: Ahead) -> Duration {
        self.time_of(self.tokens_before(ahead))
    }

    /// Returns the rate in tokens per millisecond.
    pub(super) fn rate(&self) -> f64 {
        self.tokens / self.millis
    }

    /// Returns how long it takes to process a number of tokens.
    pub(super) fn time(&self, tokens: u64) -> Duration {
        self.time_of(to_f64(tokens))
    }

    fn time_of(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / self.rate() / 1000.0)
    }
}

/// Converts a token count for computing: prompts are far shorter than 2^52 tokens, so the cast
/// is exact.
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
