//! What a dispatcher learns of a class: how long its runs hold a slot, how long first
//! tokens take, how much work arrives, and how many slots to keep free for it.

use std::time::Duration;

use crate::core::{config, estimate, unit};

/// How long a first token takes before any was seen.
const FIRST_TOKEN_GUESS: Duration = Duration::from_millis(100);
/// The quantile of first-token times that is kept free before the target.
const LEAD_QUANTILE: f64 = 0.9;
/// The shortest time that a run is taken to hold a slot, in seconds.
pub(super) const MIN_HOLD: f64 = 0.000_1;

/// What is known of a class.
#[derive(Debug)]
pub(super) struct Class {
    hold: estimate::Histogram,
    first: estimate::Histogram,
    pub(super) flow: Flow,
    pub(super) tier: unit::Tier,
    /// The mean of `hold`, in seconds; kept, since each grant needs it.
    pub(super) mean: f64,
    /// How long a first token takes, as the due times count on.
    pub(super) lead: Duration,
    target: Duration,
    /// Slots that lower tiers leave free for it.
    pub(super) reserve: f64,
    /// Tokens, or events, of a whole answer.
    pub(super) length: estimate::Ewma,
}

impl Class {
    pub(super) fn new(guess: Duration, tier: unit::Tier) -> Self {
        let mut class = Self {
            hold: estimate::Histogram::with_guess(guess),
            first: estimate::Histogram::with_guess(FIRST_TOKEN_GUESS),
            flow: Flow::default(),
            tier,
            mean: 0.0,
            lead: Duration::ZERO,
            target: Duration::ZERO,
            reserve: 0.0,
            length: estimate::Ewma::default(),
        };
        class.refresh();
        class
    }

    pub(super) fn configure(&mut self, class: &config::Class) {
        self.tier = class.tier;
        self.target = class.target;
        self.refresh();
    }

    pub(super) fn observe_hold(&mut self, held: Duration) {
        self.hold.observe(held);
        self.refresh();
    }

    /// Notes how long a whole answer was, in tokens or events.
    pub(super) fn observe_length(&mut self, tokens: unit::Tokens) {
        /// The weight of a new observation.
        const WEIGHT: f64 = 0.05;
        // Answers are far shorter than 2^52 tokens, so the cast is exact.
        self.length.observe(tokens.0 as f64, WEIGHT);
    }

    pub(super) fn observe_first(&mut self, waited: Duration) {
        self.first.observe(waited);
        self.refresh();
    }

    pub(super) fn refresh(&mut self) {
        self.mean = self.hold.mean().as_secs_f64().max(MIN_HOLD);
        self.lead = self.first.quantile(LEAD_QUANTILE).min(self.target);
    }
}

/// How much work arrives, in slot-seconds a second, over about ten seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Flow {
    rate: f64,
    at: Duration,
}

impl Flow {
    /// The time over which the rate is averaged, in seconds.
    const SPAN: f64 = 10.0;

    pub(super) fn rate(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.rate * (-passed / Self::SPAN).exp()
    }

    pub(super) fn add(&mut self, work: f64, now: Duration) {
        self.rate = self.rate(now) + work / Self::SPAN;
        self.at = now;
    }
}
