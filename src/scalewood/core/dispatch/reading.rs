//! How fast a service's endpoints read prompts, learnt from first tokens.
//!
//! A first token comes once all that was unread at its endpoint when the request was
//! granted, and the request's own prompt, have been read. So each first token gives one
//! measurement of the rate. The estimate is the quotient of the fading sums of tokens and
//! of time: long prompts, which tell the rate best, weigh the most.

use std::time::Duration;

/// Tokens a millisecond before anything was measured: below what most accelerators read,
/// so that waiting is taken as rather too long than too short.
const GUESS: f64 = 40.0;
/// Tokens that the guess counts for; a few measurements outweigh it.
const GUESS_TOKENS: f64 = 4000.0;
/// What the sums keep with each measurement: half is forgotten after about thirty.
const KEEP: f64 = 0.98;
/// The smallest prompt that is measured, in tokens: below it the way there and back and one
/// step of the endpoint take longer than the reading.
const MIN_TOKENS: u64 = 500;
/// How far a measurement may lie from the estimate, as a factor. What lies further off is
/// cut to it: a prompt that was kept elsewhere than expected, or an endpoint in trouble.
const CREDIBLE: f64 = 3.0;

/// The rate at which prompts are read.
#[derive(Clone, Debug)]
pub(super) struct Reading {
    tokens: f64,
    millis: f64,
}

impl Default for Reading {
    fn default() -> Self {
        Self {
            tokens: GUESS_TOKENS,
            millis: GUESS_TOKENS / GUESS,
        }
    }
}

impl Reading {
    /// Notes that a first token took so long, with so many tokens to read before it.
    pub(super) fn observe(&mut self, tokens: u64, took: Duration) {
        // A token that comes at once, by the clock's resolution, tells no rate.
        if tokens < MIN_TOKENS || took.is_zero() {
            return;
        }
        // Prompts are far shorter than 2^52 tokens, so the cast is exact.
        let tokens = tokens as f64;
        let expected = tokens / self.rate();
        let millis = took.as_secs_f64() * 1000.0;
        let millis = millis.clamp(expected / CREDIBLE, expected * CREDIBLE);
        self.tokens = self.tokens * KEEP + tokens;
        self.millis = self.millis * KEEP + millis;
    }

    /// Tokens that are read in a millisecond.
    pub(super) fn rate(&self) -> f64 {
        self.tokens / self.millis
    }

    /// How long so many tokens take.
    pub(super) fn time(&self, tokens: u64) -> Duration {
        // Prompts are far shorter than 2^52 tokens, so the cast is exact.
        Duration::from_secs_f64(tokens as f64 / self.rate() / 1000.0)
    }
}
