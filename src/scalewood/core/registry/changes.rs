//! Names in the order of their last change.

use std::collections::BTreeMap;

use crate::core::name;

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

    /// The endpoints that changed after a stamp, in the order of their names.
    pub(super) fn since(&self, stamp: u64) -> impl Iterator<Item = &name::Endpoint> {
        let changed = self.0.range(stamp.saturating_add(1)..);
        let mut names: Vec<_> = changed.map(|(_, name)| name).collect();
        names.sort_unstable();
        names.into_iter()
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
