//! How many of the tokens pending prefill belong to less urgent requests.
//!
//! Endpoints admit more urgent requests first, so what a request waits for depends on its tier:
//! the tokens of less urgent requests are mostly prefilled after it.

use serde::{Deserialize, Serialize};

use crate::core::unit;

/// The number of tiers that have less urgent ones below them: endpoints distinguish ten tiers.
const TIERS: usize = 9;

/// The tokens pending prefill of the requests that are less urgent than each tier. Serialized
/// without trailing zeros.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<u64>", into = "Vec<u64>")]
pub struct LessUrgent([u64; TIERS]);

impl LessUrgent {
    /// Returns the tokens of requests that are less urgent than `tier`.
    pub fn than(&self, tier: unit::Tier) -> u64 {
        self.0.get(usize::from(tier.0)).copied().unwrap_or(0)
    }

    /// Adds a request's tokens.
    pub fn add(&mut self, tier: unit::Tier, tokens: u64) {
        for count in self.more_urgent_than(tier) {
            *count += tokens;
        }
    }

    /// Removes a request's tokens.
    pub fn remove(&mut self, tier: unit::Tier, tokens: u64) {
        for count in self.more_urgent_than(tier) {
            *count = count.saturating_sub(tokens);
        }
    }

    /// Returns the counts of the tiers that are more urgent than `tier`.
    fn more_urgent_than(&mut self, tier: unit::Tier) -> &mut [u64] {
        &mut self.0[..usize::from(tier.0).min(TIERS)]
    }

    pub(super) fn plus(self, other: Self) -> Self {
        self.combine(other, u64::saturating_add)
    }

    pub(super) fn minus(self, part: Self) -> Self {
        self.combine(part, u64::saturating_sub)
    }

    fn combine(mut self, other: Self, operation: impl Fn(u64, u64) -> u64) -> Self {
        for (own, other) in self.0.iter_mut().zip(other.0) {
            *own = operation(*own, other);
        }
        self
    }

    /// Returns whether any count differs from the one last sent by at least `tokens`.
    pub(super) fn differs_by(self, sent: Self, tokens: u64) -> bool {
        let mut counts = self.0.iter().zip(sent.0);
        counts.any(|(own, sent)| own.abs_diff(sent) >= tokens)
    }
}

impl From<Vec<u64>> for LessUrgent {
    fn from(counts: Vec<u64>) -> Self {
        let mut less_urgent = Self::default();
        for (own, count) in less_urgent.0.iter_mut().zip(counts) {
            *own = count;
        }
        less_urgent
    }
}

impl From<LessUrgent> for Vec<u64> {
    fn from(less_urgent: LessUrgent) -> Self {
        let used = less_urgent.0.iter().rposition(|count| *count > 0);
        less_urgent.0[..used.map_or(0, |last| last + 1)].to_vec()
    }
}
