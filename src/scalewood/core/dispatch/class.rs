//! Statistics of a class: how long its runs hold a slot, its time to first token, its offered
//! load, and how many slots to keep free for it.

use std::time::Duration;

use crate::core::{config, estimate, unit};

/// The time to first token assumed before any was measured.
const FIRST_TOKEN_GUESS: Duration = Duration::from_millis(100);
/// The quantile of the time to first token by which requests have to start before their target.
const LEAD_QUANTILE: f64 = 0.9;
/// The shortest time that a run is assumed to hold a slot, in seconds.
pub(super) const MIN_HOLD_S: f64 = 0.000_1;

/// The statistics and settings of a class.
#[derive(Debug)]
pub(super) struct Class {
    hold: estimate::Histogram,
    first_token: estimate::Histogram,
    pub(super) demand: Demand,
    pub(super) tier: unit::Tier,
    /// The mean of `hold`, in seconds; cached, since each grant needs it.
    pub(super) mean_hold_s: f64,
    /// How long before its target a request has to start: a high quantile of the time to first
    /// token, at most the target.
    pub(super) lead: Duration,
    target: Duration,
    /// Slots that lower tiers leave free for this class.
    pub(super) reserve: f64,
    /// The length of a complete answer, in tokens or events.
    pub(super) length: estimate::Ewma,
}

impl Class {
    pub(super) fn new(guess: Duration, tier: unit::Tier) -> Self {
        let mut class = Self {
            hold: estimate::Histogram::with_guess(guess),
            first_token: estimate::Histogram::with_guess(FIRST_TOKEN_GUESS),
            demand: Demand::default(),
            tier,
            mean_hold_s: 0.0,
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

    /// Records the length of a complete answer, in tokens or events.
    pub(super) fn observe_length(&mut self, tokens: unit::Tokens) {
        /// The weight of a new observation in the moving average.
        const WEIGHT: f64 = 0.05;
        // Answers are far shorter than 2^52 tokens, so the cast is exact.
        self.length.observe(tokens.0 as f64, WEIGHT);
    }

    pub(super) fn observe_first_token(&mut self, waited: Duration) {
        self.first_token.observe(waited);
        self.refresh();
    }

    pub(super) fn refresh(&mut self) {
        self.mean_hold_s = self.hold.mean().as_secs_f64().max(MIN_HOLD_S);
        self.lead = self.first_token.quantile(LEAD_QUANTILE).min(self.target);
    }
}

/// The offered load, in slot-seconds per second, averaged over about ten seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    rate: f64,
    updated_at: Duration,
}

impl Demand {
    /// The time constant of the average, in seconds.
    const TIME_CONSTANT_S: f64 = 10.0;

    pub(super) fn rate(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * (-passed / Self::TIME_CONSTANT_S).exp()
    }

    pub(super) fn add(&mut self, work: f64, now: Duration) {
        self.rate = self.rate(now) + work / Self::TIME_CONSTANT_S;
        self.updated_at = now;
    }
}
