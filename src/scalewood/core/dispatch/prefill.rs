//! The prefill rate of a service's endpoints, estimated from the times to first token.
//!
//! A first token arrives once the endpoint has processed the request's prompt and all prompt
//! tokens that it had pending when the request was granted. So each first token gives one
//! measurement of the rate. The estimate is the quotient of the decayed sums of tokens and of
//! time: long prompts, which determine the rate best, weigh the most.
//!
//! Endpoints process the prompts of more urgent requests first, but don't interrupt one that
//! they have started. Which fraction of the less urgent prompts is processed before a request
//! is estimated beside the rate, as the quotient of sums of tokens too: what matters is the wait
//! behind a large backlog, of which a prompt that is being processed is a small part.
//!
//! A box of many makes few measurements. So what all boxes have measured together takes
//! precedence over its own estimates, once it is known.

use std::time::Duration;

use crate::core::load;

/// Tokens per millisecond assumed before anything was measured: below the rate of most
/// accelerators, so that waits are rather overestimated.
const INITIAL_TOKENS_PER_MS: f64 = 40.0;
/// The tokens that the assumed rate counts for, as does the assumption that less urgent prompts are
/// processed first; a few measurements outweigh it.
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
/// The factor by which the sums of the order decay with each such measurement.
const ORDER_DECAY_PER_MEASUREMENT: f64 = 0.95;
/// The measured time, in milliseconds, that is reported to other boxes at once.
const MIN_REPORTED_MILLIS: u32 = 1_000;
/// The number of exchanges after which less is reported too.
const MAX_REPORT_EXCHANGES: u32 = 4;
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
    /// The less urgent tokens that were pending when requests were granted, and those of them that
    /// were processed first.
    less_urgent: f64,
    processed_first: f64,
    /// The rate and the fraction as measured by all boxes.
    global_rate: Option<f64>,
    global_fraction: Option<f64>,
    /// The measurements that were not reported yet, and the number of exchanges since the last
    /// report.
    unreported: load::Measured,
    exchanges: u32,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            tokens: INITIAL_WEIGHT_TOKENS,
            millis: INITIAL_WEIGHT_TOKENS / INITIAL_TOKENS_PER_MS,
            less_urgent: INITIAL_WEIGHT_TOKENS,
            processed_first: INITIAL_WEIGHT_TOKENS,
            global_rate: None,
            global_fraction: None,
            unreported: load::Measured::default(),
            exchanges: 0,
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
        // Casts from floating point saturate.
        self.unreported += load::Measured {
            millis: millis.round() as u32,
            tokens: tokens.round() as u64,
            ..load::Measured::default()
        };
    }

    /// Returns the measurements to report to other boxes, if they are due.
    pub(super) fn take_unreported(&mut self) -> Option<load::Measured> {
        self.exchanges += 1;
        let unreported = self.unreported;
        let is_due =
            unreported.millis >= MIN_REPORTED_MILLIS || self.exchanges >= MAX_REPORT_EXCHANGES;
        if unreported == load::Measured::default() || !is_due {
            return None;
        }
        (self.unreported, self.exchanges) = (load::Measured::default(), 0);
        Some(unreported)
    }

    /// Sets what all boxes have measured together.
    pub(super) fn set_global(&mut self, measured: &load::Measured) {
        let rate = measured
            .rate()
            .map(|per_second| to_f64(per_second) / 1000.0);
        let fraction = measured.order().map(|permille| to_f64(permille) / 1000.0);
        self.global_rate = rate.or(self.global_rate);
        self.global_fraction = fraction.or(self.global_fraction);
    }

    /// Forgets what all boxes have measured. While the loads of the other boxes are unknown, waits
    /// behind their prompts show as a lower rate, and only in the estimates of this box.
    pub(super) fn forget_global(&mut self) {
        (self.global_rate, self.global_fraction) = (None, None);
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
        let first = (processed - as_urgent).clamp(0.0, less_urgent);
        self.less_urgent = self.less_urgent * ORDER_DECAY_PER_MEASUREMENT + less_urgent;
        self.processed_first = self.processed_first * ORDER_DECAY_PER_MEASUREMENT + first;
        // Casts from floating point saturate.
        self.unreported += load::Measured {
            less_urgent: ahead.less_urgent,
            processed_first: first.round() as u64,
            ..load::Measured::default()
        };
    }

    /// Returns the tokens of other requests that are processed before a request.
    fn tokens_before(&self, ahead: Ahead) -> f64 {
        let own_fraction = self.processed_first / self.less_urgent;
        let fraction = self.global_fraction.unwrap_or(own_fraction);
        to_f64(ahead.as_urgent) + to_f64(ahead.less_urgent) * fraction
    }

    /// Returns how long it takes to process the tokens that come before a request.
    pub(super) fn wait(&self, ahead: Ahead) -> Duration {
        self.time_of(self.tokens_before(ahead))
    }

    /// Returns the rate in tokens per millisecond.
    pub(super) fn rate(&self) -> f64 {
        self.global_rate.unwrap_or(self.tokens / self.millis)
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
