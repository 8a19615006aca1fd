//! Minimum shares of slot time for each class.
//!
//! Every grant earns each waiting class its share of the slot time that was
//! granted, and costs the granted class that time. A class that has earned a whole
//! run is owed the next free slot, whatever its tier. Counting time in place of
//! grants keeps a class of long runs from taking more than its share.
//!
//! An owed slot orders only the handing out of slots that are free anyway: the
//! dispatcher never preempts for it, and passes it over when a higher tier would
//! be shed for it.

use std::collections::BTreeMap;

use crate::core::name;

/// How many runs a class can be owed, or be ahead by.
const MAX_RUNS: f64 = 2.0;

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// The class's share, from 0 to 1.
    share: f64,
    /// Slot-seconds owed; negative when the class is ahead.
    owed: f64,
}

/// What each class is owed.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    accounts: BTreeMap<name::Class, Account>,
}

impl Shares {
    /// Sets the classes and their shares; what is owed stays.
    pub(super) fn configure(&mut self, shares: &BTreeMap<name::Class, f64>) {
        self.accounts.retain(|class, _| shares.contains_key(class));
        for (class, share) in shares {
            self.accounts.entry(class.clone()).or_default().share = *share;
        }
    }

    /// Notes that `granted` got a slot for `hold` seconds. `waits` tells the classes
    /// that wait, and `mean` the mean time of a run of a class.
    pub(super) fn granted(
        &mut self,
        granted: &name::Class,
        hold: f64,
        waits: impl Fn(&name::Class) -> bool,
        mean: impl Fn(&name::Class) -> f64,
    ) {
        for (class, account) in &mut self.accounts {
            let limit = MAX_RUNS * mean(class);
            if waits(class) {
                account.owed += account.share * hold;
            }
            if class == granted {
                account.owed -= hold;
            }
            account.owed = account.owed.clamp(-limit, limit);
        }
    }

    /// The class that is owed most, of those that are owed a whole run.
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

    /// The sum of the shares of the classes that a filter picks.
    pub(super) fn reserved(&self, picks: impl Fn(&name::Class) -> bool) -> f64 {
        let picked = self.accounts.iter().filter(|(class, _)| picks(class));
        picked.map(|(_, account)| account.share).sum()
    }
}
