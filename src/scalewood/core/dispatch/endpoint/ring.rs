//! A bounded set of endpoints for each shared beginning of prompts, the same at all boxes.
//!
//! Each endpoint stands at some points of a ring of hashes. A beginning looks up the endpoints that
//! follow some points of its own: as one of n endpoints comes or goes, one in n of these changes,
//! and endpoints of all zones are among them. So a choice takes the same time however many there
//! are.

use std::collections::{BTreeMap, BTreeSet};

use super::Index;
use crate::core::rendezvous;

/// Points of an endpoint: with more of them the parts of the ring are more alike.
const POINTS: u64 = 4;
/// Points that a beginning looks up: some tens of endpoints, of which any zone's loss leaves most.
const PROBES: u64 = 32;
/// How many endpoints that can't be used are passed over at each of them.
const PASSED: usize = 8;

/// The endpoints by their points.
#[derive(Debug, Default)]
pub(super) struct Ring(BTreeMap<u64, Index>);

fn points(hash: u64) -> impl Iterator<Item = u64> {
    (0..POINTS).map(move |number| rendezvous::mix(hash.wrapping_add(number)))
}

impl Ring {
    /// Adds an endpoint by the hash of its name.
    pub(super) fn add(&mut self, hash: u64, index: Index) {
        self.0.extend(points(hash).map(|point| (point, index)));
    }

    /// Takes an endpoint out.
    pub(super) fn remove(&mut self, hash: u64) {
        for point in points(hash) {
            self.0.remove(&point);
        }
    }

    /// Takes all endpoints out.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// The endpoints of a key that can be used.
    pub(super) fn of(&self, key: u64, usable: impl Fn(Index) -> bool) -> BTreeSet<Index> {
        let probes = (0..PROBES).map(|number| rendezvous::mix(key ^ rendezvous::mix(number)));
        let found = probes.filter_map(|probe| {
            let after = self.0.range(probe..).chain(self.0.range(..probe));
            let mut near = after.take(PASSED).map(|(_, index)| *index);
            near.find(|index| usable(*index))
        });
        found.collect()
    }
}
