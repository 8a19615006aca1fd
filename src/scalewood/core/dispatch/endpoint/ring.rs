//! A bounded set of candidate endpoints for each shared prefix, the same at all boxes.
//!
//! Each endpoint has several points on a hash ring. A prefix probes the ring at several points and
//! takes the endpoint that follows each. When one of n endpoints is added or removed, one in n of
//! the candidates changes. The candidates are spread over all zones, and a choice takes the same
//! time for any number of endpoints.

use std::collections::{BTreeMap, BTreeSet};

use super::Index;
use crate::core::rendezvous;

/// Points on the ring per endpoint: the more, the more evenly the ring is divided.
const POINTS_PER_ENDPOINT: u64 = 4;
/// Probes per prefix. They find some tens of endpoints, most of which remain when any one zone is
/// lost.
const PROBES_PER_KEY: u64 = 32;
/// Points that are examined at each probe for a usable endpoint.
const POINTS_PER_PROBE: usize = 8;

/// The endpoints by their points on the ring.
#[derive(Debug, Default)]
pub(super) struct Ring(BTreeMap<u64, Index>);

fn points(hash: u64) -> impl Iterator<Item = u64> {
    (0..POINTS_PER_ENDPOINT).map(move |number| rendezvous::mix(hash.wrapping_add(number)))
}

impl Ring {
    /// Adds an endpoint by the hash of its name.
    pub(super) fn add(&mut self, hash: u64, index: Index) {
        self.0.extend(points(hash).map(|point| (point, index)));
    }

    /// Removes an endpoint by the hash of its name.
    pub(super) fn remove(&mut self, hash: u64) {
        for point in points(hash) {
            self.0.remove(&point);
        }
    }

    /// Removes all endpoints.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the usable candidates for a key.
    pub(super) fn candidates(&self, key: u64, usable: impl Fn(Index) -> bool) -> BTreeSet<Index> {
        let probes =
            (0..PROBES_PER_KEY).map(|number| rendezvous::mix(key ^ rendezvous::mix(number)));
        let found = probes.filter_map(|probe| {
            let after = self.0.range(probe..).chain(self.0.range(..probe));
            let mut near = after.take(POINTS_PER_PROBE).map(|(_, index)| *index);
            near.find(|index| usable(*index))
        });
        found.collect()
    }
}
