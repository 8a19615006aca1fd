//! How fast endpoints go, with the stamps of the changes.

use std::collections::BTreeMap;

use super::changes::{Changes, Span};
use crate::core::{name, pace};

/// The most endpoints whose pace is kept, at some 150 B each. With fewer than there are endpoints,
/// they would push each other out for ever.
const MAX: usize = 32_768;

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
    /// The pace of an endpoint, if it is known.
    pub(super) fn get(&self, name: &name::Endpoint) -> Option<pace::Pace> {
        self.known.get(name).map(|known| known.pace)
    }

    /// Sets the pace of an endpoint. Where there are too many, that of one goes which has not
    /// `announced` itself, else the one that was told longest ago.
    pub(super) fn set(
        &mut self,
        name: &name::Endpoint,
        pace: pace::Pace,
        stamp: u64,
        announced: impl Fn(&name::Endpoint) -> bool,
    ) {
        if !self.known.contains_key(name) && self.known.len() >= MAX {
            self.make_room(announced);
        }
        let before = self.known.insert(name.clone(), Known { pace, stamp });
        self.changes
            .note(before.map(|known| known.stamp), stamp, name);
    }

    fn make_room(&mut self, announced: impl Fn(&name::Endpoint) -> bool) {
        let stranger = self.changes.in_order().find(|name| !announced(name));
        let goes = stranger.or(self.changes.oldest()).cloned();
        if let Some(name) = goes {
            self.remove(&name);
        }
    }

    /// Forgets the pace of an endpoint.
    pub(super) fn remove(&mut self, name: &name::Endpoint) {
        if let Some(known) = self.known.remove(name) {
            self.changes.forget(known.stamp);
        }
    }

    /// The stamp of the last of so many changes after a stamp, where there are more.
    pub(super) fn stamp_after(&self, stamp: u64, count: usize) -> Option<u64> {
        self.changes.stamp_after(stamp, count)
    }

    /// The paces that changed after a stamp.
    pub(super) fn since(&self, span: Span) -> Vec<pace::Paced> {
        let changed = self.changes.since(span);
        let paced = changed.filter_map(|name| {
            Some(pace::Paced {
                endpoint: name.clone(),
                pace: self.get(name)?,
            })
        });
        paced.collect()
    }
}
