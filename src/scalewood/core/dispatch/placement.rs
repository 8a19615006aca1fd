//! Placement: which group of endpoints a prompt belongs to.
//!
//! Prompts with a shared prefix have one home endpoint, which caches the prefix: processing it
//! again elsewhere costs more than a longer network path. All boxes find the same home by
//! rendezvous hashing, without communication. A prompt is sent elsewhere only if that costs less
//! (`endpoint::cost`), as when the home is busy or failing.
//!
//! Long prompts delay every token of the requests beside them, on slow endpoints for longer
//! than streams tolerate. So the endpoints are partitioned: one group for the classes with long
//! prompts, which includes all slow endpoints, and one for the others. All boxes have to agree
//! on the boundary, or one box's long prompts delay another's short ones: it follows from the
//! order of the endpoints and from which are slow. If it followed the load, which each box sees
//! differently, that would cause half of all repeated prefill.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::core::{
    config,
    dispatch::{message, prefill::Estimate},
    estimate, load, name, unit,
};

/// The fraction of the shortest pause allowed by any class from which on processing a prompt
/// counts as long: two such prompts in a row use up the whole pause.
const LONG_FRACTION: f64 = 0.5;
/// The size from which on the token rate of a prompt's own stream depends more on the prompts
/// beside it than on the endpoint.
pub const LONG_PROMPT: unit::Tokens = unit::Tokens(4096);
/// The weight of a new observation in the moving average of a class's prompt size.
const SIZE_WEIGHT: f64 = 0.05;
/// The fraction of the endpoints that short prompts get if there are long ones too: the first
/// fast ones in the order that is the same at all boxes.
const SHORT_FRACTION: f64 = 0.34;
/// The fraction of the slots for short prompts above which they count as nearly full, and below
/// which they no longer do.
const CROWDED_ABOVE_FRACTION: f64 = 0.85;
const CROWDED_UNTIL_FRACTION: f64 = 0.6;

/// The partition of the endpoints between short and long prompts.
#[derive(Debug, Default)]
pub(super) struct Placement {
    /// The mean prompt size of each class, in tokens, as seen by this box.
    own_sizes: HashMap<name::Class, estimate::Ewma>,
    /// The same as seen by all boxes together, which takes precedence.
    global_sizes: HashMap<name::Class, f64>,
    /// Prompts seen here and not reported to other boxes yet: their number and tokens.
    unreported: HashMap<name::Class, (u32, u64)>,
    /// The shortest pause allowed by any class, once it is known.
    min_gap: Option<Duration>,
    /// Whether the endpoints for short prompts are nearly full.
    crowded: bool,
}

impl Placement {
    /// Sets the configured classes.
    pub(super) fn configure(&mut self, classes: &BTreeMap<name::Class, config::Class>) {
        // A class without a limit on pauses allows none longer than its target.
        let gap = |class: &config::Class| class.gap().unwrap_or(class.target);
        self.min_gap = classes.values().map(gap).min();
        self.own_sizes
            .retain(|class, _| classes.contains_key(class));
        self.global_sizes
            .retain(|class, _| classes.contains_key(class));
    }

    /// Records the size of a request that is to be placed.
    pub(super) fn record(&mut self, ask: &message::Ask) {
        let unit::Tokens(tokens) = ask.prompt;
        let size = self.own_sizes.entry(ask.class.clone()).or_default();
        // Prompts are far shorter than 2^52 tokens, so the cast is exact.
        size.observe(tokens as f64, SIZE_WEIGHT);
        let (count, sum) = self.unreported.entry(ask.class.clone()).or_default();
        *count += 1;
        *sum += tokens;
    }

    /// Sets the prompt sizes that all boxes together have seen.
    pub(super) fn set_sizes(&mut self, prompts: &[load::Prompts]) {
        for seen in prompts.iter().filter(|seen| seen.count > 0) {
            // Sums are far below 2^52 tokens, so the cast is exact.
            let mean = seen.tokens as f64 / f64::from(seen.count);
            self.global_sizes.insert(seen.class.clone(), mean);
        }
    }

    /// Returns the prompts seen here since the last call.
    pub(super) fn take_unreported(&mut self) -> Vec<load::Prompts> {
        let unreported = std::mem::take(&mut self.unreported);
        let seen = |(class, (count, tokens))| load::Prompts {
            class,
            count,
            tokens,
        };
        unreported.into_iter().map(seen).collect()
    }

    /// Returns the mean prompt size of a class, in tokens, once any prompt was seen.
    fn mean_size(&self, class: &name::Class) -> Option<f64> {
        let own = || self.own_sizes.get(class).and_then(|size| size.get());
        self.global_sizes.get(class).copied().or_else(own)
    }

    /// Returns whether a class has long prompts: processing one takes much of the pause that
    /// the streams beside it allow.
    pub(super) fn is_long(&self, class: &name::Class, prefill: &Estimate) -> bool {
        let (Some(tokens), Some(gap)) = (self.mean_size(class), self.min_gap) else {
            return false;
        };
        // The size is far below 2^52, and float casts saturate.
        prefill.time(tokens as u64) >= gap.mul_f64(LONG_FRACTION)
    }

    /// Returns whether the endpoints are partitioned: there are classes with short prompts and
    /// classes with long ones.
    pub(super) fn is_partitioned(&self, prefill: &Estimate) -> bool {
        let shared = self.global_sizes.keys();
        let own = self.own_sizes.keys();
        let own = own.filter(|class| !self.global_sizes.contains_key(*class));
        let long = shared.chain(own).map(|class| self.is_long(class, prefill));
        let (mut has_long, mut has_short) = (false, false);
        for is_long in long {
            has_long |= is_long;
            has_short |= !is_long;
        }
        has_long && has_short
    }

    /// Updates and returns whether the slots for short prompts, of which the fraction `used` is
    /// taken, are nearly full. If so, the classes with short prompts below the most urgent one go
    /// to the endpoints for long ones: they would not be admitted beside the most urgent class.
    pub(super) fn update_crowding(&mut self, used: f64) -> bool {
        let limit = if self.crowded {
            CROWDED_UNTIL_FRACTION
        } else {
            CROWDED_ABOVE_FRACTION
        };
        self.crowded = used > limit;
        self.crowded
    }
}

/// Returns which endpoints are for short prompts if they are partitioned. `slow` tells for each
/// endpoint, in the order that is the same at all boxes, whether it is slow.
pub(super) fn partition(slow: &[bool]) -> Vec<bool> {
    // The product is at most the count, so the cast is exact.
    let max_short = ((slow.len() as f64 * SHORT_FRACTION).round() as usize).max(1);
    let mut short = 0;
    let partition = slow.iter().map(|slow| {
        let is_short = !slow && short < max_short;
        short += usize::from(is_short);
        is_short
    });
    partition.collect()
}
