//! Minimum shares of slot time for each class.
//!
//! Every grant credits each waiting class with its share of the granted slot time, and charges
//! the granted class that time. A class whose credit covers a whole run is owed the next free
//! slot, whatever its tier. Counting time rather than grants keeps a class of long runs from
//! taking more than its share.
//!
//! An owed slot only affects the order in which free slots are granted: the dispatcher never
//! preempts for it, and does not grant it when a higher tier would be shed as a result.

use std::collections::BTreeMap;

use crate::core::name;

/// The most runs that a class can be owed, or be ahead by.
const MAX_OWED_RUNS: f64 = 2.0;

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// The class's share, from 0 to 1.
    share: f64,
    /// Slot-seconds owed to the class; negative when it is ahead.
    owed: f64,
}

/// The slot time owed to each class.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    accounts: BTreeMap<name::Class, Account>,
}

impl Shares {
    /// Sets the classes and their shares; what is owed remains.
    pub(super) fn configure(&mut self, shares: &BTreeMap<name::Class, f64>) {
        self.accounts.retain(|class, _| shares.contains_key(class));
        for (class, share) in shares {
            self.accounts.entry(class.clone()).or_default().share = *share;
        }
    }

    /// Records that `granted` got a slot for `hold` seconds. `waits` returns whether a class
    /// has waiting requests, and `mean` the mean duration of its runs in seconds.
    pub(super) fn granted(
        &mut self,
        granted: &name::Class,
        hold: f64,
        waits: impl Fn(&name::Class) -> bool,
        mean: impl Fn(&name::Class) -> f64,
    ) {
        for (class, account) in &mut self.accounts {
            let limit = MAX_OWED_RUNS * mean(class);
            if waits(class) {
                account.owed += account.share * hold;
            }
            if class == granted {
                account.owed -= hold;
            }
            account.owed = account.owed.clamp(-limit, limit);
        }
    }

    /// Returns the class that is owed the most, of those that are owed a whole run.
    pub(super) fn owed(
        &self,
        waits: impl Fn(&name::Class) -> bool,
        mean: impl Fn(&name::Class) -> f64,
    ) -> Option<&name::Class> {
        let owed = self.accounts.iter().filter(|(class, account)| {
            account.share > 0.0 && account.owed >= mean(class) && waits(class)
        });
        owed.max_by(|a, b| a.1.owed.total_cmp(&b.1.owed))
            .map(|(class, _)| class)
    }

    /// Returns the sum of the shares of the classes that a filter selects.
    pub(super) fn reserved(&self, picks: impl Fn(&name::Class) -> bool) -> f64 {
        let picked = self.accounts.iter().filter(|(class, _)| picks(class));
        picked.map(|(_, account)| account.share).sum()
    }
}
