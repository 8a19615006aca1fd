//! Placement: which endpoint a prompt belongs to.
//!
//! Prompts that share their beginning belong to one endpoint, which keeps it in memory:
//! reading it again elsewhere costs more than a longer way there. All boxes find the same
//! endpoint by rendezvous hashing, without asking each other. A prompt leaves its home
//! only while the home is slow to answer or in trouble.
//!
//! Long prompts hold up every token of the requests beside them, on slow endpoints for
//! longer than streams bear. So the endpoints are parted: one group for the classes with
//! long prompts, with all slow endpoints, one for the others. All boxes have to see the
//! same border, or one box's long prompts hold up the other's short ones: it follows from
//! the order of the endpoints and from which are slow. A border that follows the work, as
//! each box sees it, was tried; half of what was read again came of it.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::core::{
    config,
    dispatch::{message, reading::Reading},
    estimate, load, name, unit,
};

/// The part of the shortest pause that any class bears from which on reading a prompt is
/// long: two of them, one after the other, then take all of it.
const LONG_PART: f64 = 0.5;
/// The size from which on the pace of a prompt's own stream tells more of the prompts
/// beside it than of the endpoint.
pub const LONG_PROMPT: unit::Tokens = unit::Tokens(4096);
/// The weight of a new observation of a class's prompts.
const WEIGHT: f64 = 0.05;
/// The part of the endpoints that short prompts get, where there are long ones too: the
/// first fast ones in an order that all boxes know.
const SHORT: f64 = 0.34;
/// The part of the slots for short prompts from which on they count as about to be full,
/// and under which they no longer do.
const CROWDED: f64 = 0.85;
const ROOMY: f64 = 0.6;

/// How the endpoints are parted between short and long prompts.
#[derive(Debug, Default)]
pub(super) struct Placement {
    /// The mean size of each class's prompts, as this box has seen them.
    sizes: HashMap<name::Class, estimate::Ewma>,
    /// The same as all boxes together have seen them, which goes first.
    shared: HashMap<name::Class, f64>,
    /// What this box has seen and others have not heard of: prompts and their tokens.
    news: HashMap<name::Class, (u32, u64)>,
    /// The shortest pause that is borne by any class, once it is known.
    gap: Option<Duration>,
    /// Whether the endpoints for short prompts are about to be full.
    crowded: bool,
}

impl Placement {
    /// Takes the classes that are configured.
    pub(super) fn configure(&mut self, classes: &BTreeMap<name::Class, config::Class>) {
        // Where a class names no pause, it bears none that is longer than its target.
        let gap = |class: &config::Class| class.gap().unwrap_or(class.target);
        self.gap = classes.values().map(gap).min();
        self.sizes.retain(|class, _| classes.contains_key(class));
        self.shared.retain(|class, _| classes.contains_key(class));
    }

    /// Notes a request that is to be placed.
    pub(super) fn note(&mut self, ask: &message::Ask) {
        let unit::Tokens(tokens) = ask.prompt;
        let size = self.sizes.entry(ask.class.clone()).or_default();
        // Prompts are far shorter than 2^52 tokens, so the cast is exact.
        size.observe(tokens as f64, WEIGHT);
        let (count, sum) = self.news.entry(ask.class.clone()).or_default();
        *count += 1;
        *sum += tokens;
    }

    /// Takes over what all boxes together have seen.
    pub(super) fn set_sizes(&mut self, prompts: &[load::Prompts]) {
        for seen in prompts.iter().filter(|seen| seen.count > 0) {
            // Sums are far below 2^52 tokens, so the cast is exact.
            let mean = seen.tokens as f64 / f64::from(seen.count);
            self.shared.insert(seen.class.clone(), mean);
        }
    }

    /// The prompts that were seen here since they were last taken.
    pub(super) fn take_news(&mut self) -> Vec<load::Prompts> {
        let news = std::mem::take(&mut self.news);
        let seen = |(class, (count, tokens))| load::Prompts {
            class,
            count,
            tokens,
        };
        news.into_iter().map(seen).collect()
    }

    /// The mean size of a class's prompts, once any was seen.
    fn size(&self, class: &name::Class) -> Option<f64> {
        let own = || self.sizes.get(class).and_then(|size| size.get());
        self.shared.get(class).copied().or_else(own)
    }

    /// Whether a class has long prompts: reading one takes much of the pause that the
    /// streams beside it bear.
    pub(super) fn is_long(&self, class: &name::Class, reading: &Reading) -> bool {
        let (Some(tokens), Some(gap)) = (self.size(class), self.gap) else {
            return false;
        };
        // The size is far below 2^52, and casts of floating point numbers saturate.
        reading.time(tokens as u64) >= gap.mul_f64(LONG_PART)
    }

    /// Whether there are classes with short prompts and others with long ones, so that the
    /// endpoints are parted.
    pub(super) fn is_parted(&self, reading: &Reading) -> bool {
        let shared = self.shared.keys();
        let own = self.sizes.keys();
        let own = own.filter(|class| !self.shared.contains_key(*class));
        let long = shared.chain(own).map(|class| self.is_long(class, reading));
        let (mut has_long, mut has_short) = (false, false);
        for is_long in long {
            has_long |= is_long;
            has_short |= !is_long;
        }
        has_long && has_short
    }

    /// Notes which part of the slots for short prompts is used; tells whether they are
    /// about to be full. The lower classes with short prompts then go where the long
    /// ones are: they would not be admitted beside the first class.
    pub(super) fn note_crowding(&mut self, used: f64) -> bool {
        let limit = if self.crowded { ROOMY } else { CROWDED };
        self.crowded = used > limit;
        self.crowded
    }
}

/// Which endpoints are for short prompts where they are parted, of endpoints in the order
/// that all boxes know, by whether each is slow.
pub(super) fn part(slow: &[bool]) -> Vec<bool> {
    // The product is at most the count, so the cast is exact.
    let most = ((slow.len() as f64 * SHORT).round() as usize).max(1);
    let mut short = 0;
    let parted = slow.iter().map(|slow| {
        let taken = !slow && short < most;
        short += usize::from(taken);
        taken
    });
    parted.collect()
}
