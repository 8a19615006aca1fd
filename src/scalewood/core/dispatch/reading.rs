//! How fast a service's endpoints read prompts, learnt from first tokens.
//!
//! A first token comes once all that was unread at its endpoint when the request was
//! granted, and the request's own prompt, have been read. So each first token gives one
//! measurement of the rate. The estimate is the quotient of the fading sums of tokens and
//! of time: long prompts, which tell the rate best, weigh the most.
//!
//! Endpoints read the more urgent prompts first, but what they have begun to read goes on.
//! Which part of the less urgent prompts is read before a request is learnt beside the rate.

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
/// The part of the rest that less urgent prompts have to make up, for a measurement to tell
/// whether they were read first.
const TELLING: f64 = 0.5;
/// The weight of one such measurement: about twenty of them outweigh what was known.
const LEARN: f64 = 0.05;
/// How far a measurement may lie from the estimate, as a factor. What lies further off is
/// cut to it: a prompt that was kept elsewhere than expected, or an endpoint in trouble.
const CREDIBLE: f64 = 3.0;

/// Unread tokens at an endpoint when a request comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Ahead {
    /// Of requests that are no less urgent: they are read first.
    pub(super) sooner: u64,
    /// Of less urgent requests.
    pub(super) later: u64,
}

/// The rate at which prompts are read, and in which order.
#[derive(Clone, Debug)]
pub(super) struct Reading {
    tokens: f64,
    millis: f64,
    /// The part of less urgent prompts that is read first.
    overtaken: f64,
}

impl Default for Reading {
    fn default() -> Self {
        Self {
            tokens: GUESS_TOKENS,
            millis: GUESS_TOKENS / GUESS,
            overtaken: 1.0,
        }
    }
}

impl Reading {
    /// Notes that a first token took so long, with so many tokens to read: those of others
    /// and its own.
    pub(super) fn observe(&mut self, ahead: Ahead, own: u64, took: Duration) {
        // A token that comes at once, by the clock's resolution, tells no rate.
        if ahead.sooner + ahead.later + own < MIN_TOKENS || took.is_zero() {
            return;
        }
        self.learn_order(ahead, own, took);
        let tokens = self.read_before(ahead) + float(own);
        if tokens < 1.0 {
            return;
        }
        let expected = tokens / self.rate();
        let millis = took.as_secs_f64() * 1000.0;
        let millis = millis.clamp(expected / CREDIBLE, expected * CREDIBLE);
        self.tokens = self.tokens * KEEP + tokens;
        self.millis = self.millis * KEEP + millis;
    }

    /// Learns which part of less urgent prompts is read first.
    fn learn_order(&mut self, ahead: Ahead, own: u64, took: Duration) {
        let sure = float(ahead.sooner + own);
        let later = float(ahead.later);
        // Where little of the whole is in question, the rate's error hides the answer.
        if later < float(MIN_TOKENS) || later < sure * TELLING {
            return;
        }
        let read = took.as_secs_f64() * 1000.0 * self.rate();
        let part = ((read - sure) / later).clamp(0.0, 1.0);
        self.overtaken += (part - self.overtaken) * LEARN;
    }

    /// The tokens of other requests that are read before a request.
    fn read_before(&self, ahead: Ahead) -> f64 {
        float(ahead.sooner) + float(ahead.later) * self.overtaken
    }

    /// How long reading what goes before a request takes.
    pub(super) fn wait(&self, ahead: Ahead) -> Duration {
        self.time_of(self.read_before(ahead))
    }

    /// Tokens that are read in a millisecond.
    pub(super) fn rate(&self) -> f64 {
        self.tokens / self.millis
    }

    /// How long so many tokens take.
    pub(super) fn time(&self, tokens: u64) -> Duration {
        self.time_of(float(tokens))
    }

    fn time_of(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / self.rate() / 1000.0)
    }
}

/// Tokens as a number to reckon with: prompts are far shorter than 2^52 tokens, so the cast
/// is exact.
fn float(tokens: u64) -> f64 {
    tokens as f64
}
