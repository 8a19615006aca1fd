//! Names in the order of their last change.

use std::{collections::BTreeMap, ops::Bound};

use crate::core::name;

/// Stamps of changes, after one and up to another one.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// The stamp after which it begins.
    pub after: u64,
    /// The last stamp in it.
    pub to: u64,
}

impl From<u64> for Span {
    /// All after a stamp.
    fn from(after: u64) -> Self {
        Self {
            after,
            to: u64::MAX,
        }
    }
}

/// Which endpoints changed after a stamp, found without looking at the others.
#[derive(Clone, Debug, Default)]
pub(super) struct Changes(BTreeMap<u64, name::Endpoint>);

impl Changes {
    /// Notes a change at `stamp` of an endpoint that changed at `before` the last time.
    pub(super) fn note(&mut self, before: Option<u64>, stamp: u64, name: &name::Endpoint) {
        if let Some(before) = before {
            self.0.remove(&before);
        }
        self.0.insert(stamp, name.clone());
    }

    /// Forgets the change at a stamp.
    pub(super) fn forget(&mut self, stamp: u64) {
        self.0.remove(&stamp);
    }

    /// The endpoints that changed within a span, in the order of their names.
    pub(super) fn since(&self, span: Span) -> impl Iterator<Item = &name::Endpoint> {
        let changed = self
            .0
            .range((Bound::Excluded(span.after), Bound::Unbounded));
        let changed = changed.take_while(|(at, _)| **at <= span.to);
        let mut names: Vec<_> = changed.map(|(_, name)| name).collect();
        names.sort_unstable();
        names.into_iter()
    }

    /// The stamp of the last of so many changes after a stamp, where there are more.
    pub(super) fn stamp_after(&self, stamp: u64, count: usize) -> Option<u64> {
        let mut after = self.0.range((Bound::Excluded(stamp), Bound::Unbounded));
        let last = after.nth(count.saturating_sub(1)).map(|(at, _)| *at);
        last.filter(|_| after.next().is_some())
    }

    /// All endpoints, the earliest change first.
    pub(super) fn in_order(&self) -> impl Iterator<Item = &name::Endpoint> {
        self.0.values()
    }

    /// The endpoint that changed longest ago.
    pub(super) fn oldest(&self) -> Option<&name::Endpoint> {
        self.in_order().next()
    }
}
