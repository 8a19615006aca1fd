//! The endpoints of a service, sorted by pace.
//!
//! Which endpoints count as slow depends on a reference pace, the one that a third of the
//! endpoints match or beat. When it moves a little, only endpoints near the thresholds can change
//! between slow and fast, so only these are compared again.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::{
    name,
    pace::{self, Pace},
};

/// The announced endpoints of a service whose pace is known.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranks {
    paces: BTreeMap<name::Endpoint, Pace>,
    in_order: BTreeSet<(Pace, name::Endpoint)>,
    /// The reference pace of the last comparison.
    reference: Option<Pace>,
    /// The endpoints whose own pace has changed since then.
    touched: BTreeSet<name::Endpoint>,
}

impl Ranks {
    /// Sets the pace of an endpoint.
    pub(super) fn set(&mut self, name: &name::Endpoint, pace: Pace) {
        if let Some(before) = self.paces.insert(name.clone(), pace) {
            self.in_order.remove(&(before, name.clone()));
        }
        self.in_order.insert((pace, name.clone()));
        self.touched.insert(name.clone());
    }

    /// Removes an endpoint.
    pub(super) fn remove(&mut self, name: &name::Endpoint) {
        if let Some(before) = self.paces.remove(name) {
            self.in_order.remove(&(before, name.clone()));
            self.touched.remove(name);
        }
    }

    /// Compares the endpoints that may have changed between slow and fast, given which one
    /// `was_slow`; returns those that have, and whether they are slow now.
    pub(super) fn grade(
        &mut self,
        was_slow: impl Fn(&name::Endpoint) -> bool,
    ) -> Vec<(name::Endpoint, bool)> {
        let Some(index) = pace::reference_index(self.in_order.len()) else {
            return Vec::new();
        };
        let Some((reference, _)) = self.in_order.iter().nth(index) else {
            return Vec::new();
        };
        let reference = *reference;
        let mut to_compare = std::mem::take(&mut self.touched);
        let before = self.reference.replace(reference);
        if before != Some(reference) {
            let span = pace::affected_range(before, reference);
            let near = self.in_order.iter();
            let near = near.skip_while(|(pace, _)| *pace < span.0);
            let near = near.take_while(|(pace, _)| *pace <= span.1);
            to_compare.extend(near.map(|(_, name)| name.clone()));
        }
        let graded = to_compare.into_iter().filter_map(|name| {
            let was = was_slow(&name);
            let slow = pace::is_slow(*self.paces.get(&name)?, reference, was);
            (slow != was).then_some((name, slow))
        });
        graded.collect()
    }
}
