//! How much of what is unread belongs to less urgent requests.
//!
//! Endpoints admit the more urgent requests first. So what a request waits for depends on its
//! tier: of all that is unread, the part of less urgent requests mostly comes after it.

use serde::{Deserialize, Serialize};

use crate::core::unit;

/// The tiers that have less urgent ones below them: endpoints tell ten tiers apart.
const TIERS: usize = 9;

/// Unread tokens of requests that are less urgent than those of each tier. Written without
/// the zeros at its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<u64>", into = "Vec<u64>")]
pub struct Later([u64; TIERS]);

impl Later {
    /// The tokens of requests that are less urgent than a tier.
    pub fn than(&self, tier: unit::Tier) -> u64 {
        self.0.get(usize::from(tier.0)).copied().unwrap_or(0)
    }

    /// Adds a request's tokens.
    pub fn add(&mut self, tier: unit::Tier, tokens: u64) {
        for later in self.before(tier) {
            *later += tokens;
        }
    }

    /// Takes a request's tokens off.
    pub fn remove(&mut self, tier: unit::Tier, tokens: u64) {
        for later in self.before(tier) {
            *later = later.saturating_sub(tokens);
        }
    }

    fn before(&mut self, tier: unit::Tier) -> &mut [u64] {
        &mut self.0[..usize::from(tier.0).min(TIERS)]
    }

    pub(super) fn plus(self, other: Self) -> Self {
        self.with(other, u64::saturating_add)
    }

    pub(super) fn minus(self, part: Self) -> Self {
        self.with(part, u64::saturating_sub)
    }

    fn with(mut self, other: Self, join: impl Fn(u64, u64) -> u64) -> Self {
        for (own, other) in self.0.iter_mut().zip(other.0) {
            *own = join(*own, other);
        }
        self
    }

    /// Whether any of its counts lies so far from what was told.
    pub(super) fn differs_by(self, told: Self, tokens: u64) -> bool {
        let mut counts = self.0.iter().zip(told.0);
        counts.any(|(own, told)| own.abs_diff(told) >= tokens)
    }
}

impl From<Vec<u64>> for Later {
    fn from(counts: Vec<u64>) -> Self {
        let mut later = Self::default();
        for (own, count) in later.0.iter_mut().zip(counts) {
            *own = count;
        }
        later
    }
}

impl From<Later> for Vec<u64> {
    fn from(later: Later) -> Self {
        let used = later.0.iter().rposition(|count| *count > 0);
        later.0[..used.map_or(0, |last| last + 1)].to_vec()
    }
}
