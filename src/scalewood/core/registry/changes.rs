//! Endpoint names in the order of their last change.

use std::{collections::BTreeMap, ops::Bound};

use crate::core::name;

/// A range of change stamps.
#[derive(Clone, Copy, Debug)]
pub struct StampRange {
    /// The stamp before the first one of the range.
    pub after: u64,
    /// The last stamp of the range.
    pub to: u64,
}

impl From<u64> for StampRange {
    /// Returns the range of all stamps after `after`.
    fn from(after: u64) -> Self {
        Self {
            after,
            to: u64::MAX,
        }
    }
}

/// An index from stamps to endpoints, to find what changed after a stamp without a scan of all.
#[derive(Clone, Debug, Default)]
pub(super) struct Changes(BTreeMap<u64, name::Endpoint>);

impl Changes {
    /// Records a change at `stamp` of an endpoint whose last change was at `before`.
    pub(super) fn note(&mut self, before: Option<u64>, stamp: u64, name: &name::Endpoint) {
        if let Some(before) = before {
            self.0.remove(&before);
        }
        self.0.insert(stamp, name.clone());
    }

    /// Removes the change at a stamp.
    pub(super) fn forget(&mut self, stamp: u64) {
        self.0.remove(&stamp);
    }

    /// Returns the endpoints that changed within a range, sorted by name.
    pub(super) fn since(&self, span: StampRange) -> impl Iterator<Item = &name::Endpoint> {
        let changed = self
            .0
            .range((Bound::Excluded(span.after), Bound::Unbounded));
        let changed = changed.take_while(|(at, _)| **at <= span.to);
        let mut names: Vec<_> = changed.map(|(_, name)| name).collect();
        names.sort_unstable();
        names.into_iter()
    }

    /// Returns the stamp of the `count`th change after `stamp`, or `None` if no more changes
    /// follow it.
    pub(super) fn stamp_after(&self, stamp: u64, count: usize) -> Option<u64> {
        let mut after = self.0.range((Bound::Excluded(stamp), Bound::Unbounded));
        let last = after.nth(count.saturating_sub(1)).map(|(at, _)| *at);
        last.filter(|_| after.next().is_some())
    }

    /// Returns all endpoints, the earliest change first.
    pub(super) fn in_order(&self) -> impl Iterator<Item = &name::Endpoint> {
        self.0.values()
    }

    /// Returns the endpoint whose last change is the oldest.
    pub(super) fn oldest(&self) -> Option<&name::Endpoint> {
        self.in_order().next()
    }
}
