//! The paces of endpoints, with the stamps of their changes.

use std::collections::BTreeMap;

use super::changes::{Changes, StampRange};
use crate::core::{name, pace};

/// The most endpoints whose pace is kept, at some 150 B each. If there were more endpoints than
/// this, they would keep evicting each other.
const MAX_PACES: usize = 32_768;

#[derive(Clone, Copy, Debug)]
struct Known {
    pace: pace::Pace,
    stamp: u64,
}

/// The paces of endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct Paces {
    known: BTreeMap<name::Endpoint, Known>,
    changes: Changes,
}

impl Paces {
    /// Returns the pace of an endpoint, if it is known.
    pub(super) fn get(&self, name: &name::Endpoint) -> Option<pace::Pace> {
        self.known.get(name).map(|known| known.pace)
    }

    /// Sets the pace of an endpoint. At the maximum it evicts an endpoint that is not
    /// `announced`, or else the one whose pace changed longest ago.
    pub(super) fn set(
        &mut self,
        name: &name::Endpoint,
        pace: pace::Pace,
        stamp: u64,
        announced: impl Fn(&name::Endpoint) -> bool,
    ) {
        if !self.known.contains_key(name) && self.known.len() >= MAX_PACES {
            self.evict_one(announced);
        }
        let before = self.known.insert(name.clone(), Known { pace, stamp });
        self.changes
            .note(before.map(|known| known.stamp), stamp, name);
    }

    fn evict_one(&mut self, announced: impl Fn(&name::Endpoint) -> bool) {
        let unannounced = self.changes.in_order().find(|name| !announced(name));
        let evicted = unannounced.or(self.changes.oldest()).cloned();
        if let Some(name) = evicted {
            self.remove(&name);
        }
    }

    /// Removes the pace of an endpoint.
    pub(super) fn remove(&mut self, name: &name::Endpoint) {
        if let Some(known) = self.known.remove(name) {
            self.changes.forget(known.stamp);
        }
    }

    /// Returns the stamp of the `count`th change after `stamp`, or `None` if no more changes
    /// follow it.
    pub(super) fn stamp_after(&self, stamp: u64, count: usize) -> Option<u64> {
        self.changes.stamp_after(stamp, count)
    }

    /// Returns the paces that changed within a range of stamps.
    pub(super) fn since(&self, span: StampRange) -> Vec<pace::EndpointPace> {
        let changed = self.changes.since(span);
        let paced = changed.filter_map(|name| {
            Some(pace::EndpointPace {
                endpoint: name.clone(),
                pace: self.get(name)?,
            })
        });
        paced.collect()
    }
}
