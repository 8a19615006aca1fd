//! Counts over the last five seconds.

use std::{ops::AddAssign, time::Duration};

/// How long a slot is.
const SLOT: Duration = Duration::from_millis(250);
/// Slots that are kept: five seconds, over which a caller's loss is borne or not.
const SLOTS: usize = 20;

/// Counts by the time at which they came. What is older than all slots is forgotten.
#[derive(Clone, Copy, Debug)]
pub(super) struct Window<T> {
    slots: [T; SLOTS],
    /// The number of the newest slot, counted from the clock's start.
    newest: u64,
}

impl<T: Copy + Default> Default for Window<T> {
    fn default() -> Self {
        Self {
            slots: [T::default(); SLOTS],
            newest: 0,
        }
    }
}

impl<T: Copy + Default + AddAssign> Window<T> {
    /// Counts something now.
    pub(super) fn add(&mut self, counts: T, now: Duration) {
        let number = number(now);
        self.advance(number);
        self.slots[place(number)] += counts;
    }

    /// All that came within a time, to the width of a slot.
    pub(super) fn sum(&self, within: Duration, now: Duration) -> T {
        let number = number(now);
        let slots = within.as_millis().div_ceil(SLOT.as_millis());
        let oldest = number.saturating_sub(u64::try_from(slots).unwrap_or(u64::MAX));
        let kept = self.newest.saturating_sub(SLOTS as u64 - 1);
        let mut sum = T::default();
        for number in oldest.max(kept)..=self.newest {
            sum += self.slots[place(number)];
        }
        sum
    }

    /// Empties the slots between the newest one and this.
    fn advance(&mut self, number: u64) {
        let passed = number.saturating_sub(self.newest).min(SLOTS as u64);
        for step in 0..passed {
            self.slots[place(number - step)] = T::default();
        }
        self.newest = self.newest.max(number);
    }
}

fn number(now: Duration) -> u64 {
    u64::try_from(now.as_millis() / SLOT.as_millis()).unwrap_or(u64::MAX)
}

fn place(number: u64) -> usize {
    usize::try_from(number % SLOTS as u64).unwrap_or(0)
}
