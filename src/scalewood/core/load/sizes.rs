//! The prompt sizes of each class, over all boxes.
//!
//! Whether a class has long prompts decides where it is placed, so boxes have to agree on it, and
//! a box that has just started has to know it before its first prompt. The sizes within a class
//! vary widely: from only their own first few prompts boxes would reach different answers.

use std::collections::BTreeMap;

use super::Prompts;
use crate::core::name;

/// The count of a class's prompts above which count and tokens are halved: enough that the mean
/// varies by only a few hundredths, and few enough that it follows a class that changes.
const MAX_COUNTED_PROMPTS: u32 = 2000;
/// The change of a mean, in percent, above which it is sent.
const MIN_MEAN_CHANGE_PERCENT: u64 = 5;

/// The number of prompts of one class and the sum of their tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Sum {
    count: u32,
    tokens: u64,
}

impl Sum {
    fn add(&mut self, prompts: &Prompts) {
        self.count = self.count.saturating_add(prompts.count);
        self.tokens = self.tokens.saturating_add(prompts.tokens);
    }

    fn mean(self) -> u64 {
        self.tokens / u64::from(self.count.max(1))
    }

    fn of(self, class: &name::Class) -> Prompts {
        Prompts {
            class: class.clone(),
            count: self.count,
            tokens: self.tokens,
        }
    }
}

/// Prompt sums by class.
#[derive(Debug, Default)]
pub(super) struct Sizes(BTreeMap<name::Class, Sum>);

impl Sizes {
    /// Counts prompts.
    pub(super) fn add(&mut self, prompts: &[Prompts]) {
        for seen in prompts {
            let sum = self.0.entry(seen.class.clone()).or_default();
            sum.add(seen);
            if sum.count > MAX_COUNTED_PROMPTS {
                sum.count /= 2;
                sum.tokens /= 2;
            }
        }
    }

    /// Returns all sums and clears them.
    pub(super) fn take(&mut self) -> Vec<Prompts> {
        let sums = std::mem::take(&mut self.0);
        sums.iter().map(|(class, sum)| sum.of(class)).collect()
    }

    /// Returns the classes whose mean differs enough from the one last sent, and records it in
    /// `sent`.
    pub(super) fn updates(&self, sent: &mut BTreeMap<name::Class, u64>) -> Vec<Prompts> {
        let mut updates = Vec::new();
        for (class, sum) in &self.0 {
            let mean = sum.mean();
            let known = sent.get(class).copied().unwrap_or_default();
            if mean.abs_diff(known) * 100 > known * MIN_MEAN_CHANGE_PERCENT {
                sent.insert(class.clone(), mean);
                updates.push(sum.of(class));
            }
        }
        updates
    }
}
