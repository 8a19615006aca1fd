//! How large the prompts of each class are, as all boxes together have seen.
//!
//! Whether a class has long prompts decides where it is placed, so boxes have to agree on it,
//! and one that has just started has to know it before its first prompt. The sizes of a class
//! spread widely: from the first few prompts alone, boxes come to different answers.

use std::collections::BTreeMap;

use super::Prompts;
use crate::core::name;

/// Prompts of a class from which on half of what was counted is forgotten: enough that the
/// mean moves by a few hundredths only, few enough that it follows a class that changes.
const MOST: u32 = 2000;
/// The part, in hundredths, by which a mean has to change to be worth telling.
const NEWS: u64 = 5;

/// Prompts of one class.
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

/// Prompts by class.
#[derive(Debug, Default)]
pub(super) struct Sizes(BTreeMap<name::Class, Sum>);

impl Sizes {
    /// Counts prompts.
    pub(super) fn add(&mut self, prompts: &[Prompts]) {
        for seen in prompts {
            let sum = self.0.entry(seen.class.clone()).or_default();
            sum.add(seen);
            if sum.count > MOST {
                sum.count /= 2;
                sum.tokens /= 2;
            }
        }
    }

    /// All that was counted; nothing is left.
    pub(super) fn take(&mut self) -> Vec<Prompts> {
        let sums = std::mem::take(&mut self.0);
        sums.iter().map(|(class, sum)| sum.of(class)).collect()
    }

    /// The classes whose mean differs from what was told, which is noted.
    pub(super) fn news(&self, told: &mut BTreeMap<name::Class, u64>) -> Vec<Prompts> {
        let mut news = Vec::new();
        for (class, sum) in &self.0 {
            let mean = sum.mean();
            let known = told.get(class).copied().unwrap_or_default();
            if mean.abs_diff(known) * 100 > known * NEWS {
                told.insert(class.clone(), mean);
                news.push(sum.of(class));
            }
        }
        news
    }
}
