//! Regions: groups of availability zones that are close to each other.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::name;

/// The configured availability zones, each with its region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Map(BTreeMap<name::Zone, name::Region>);

impl Map {
    /// Returns a map of these zones.
    pub fn new(zones: impl IntoIterator<Item = (name::Zone, name::Region)>) -> Self {
        Self(zones.into_iter().collect())
    }

    /// Returns the region of a zone, if the zone is known.
    pub fn region_of(&self, zone: &name::Zone) -> Option<&name::Region> {
        self.0.get(zone)
    }

    /// Returns whether a zone is known.
    pub fn has_zone(&self, zone: &name::Zone) -> bool {
        self.0.contains_key(zone)
    }

    /// Iterates over all known zones.
    pub fn zones(&self) -> impl Iterator<Item = &name::Zone> {
        self.0.keys()
    }

    /// Returns all known regions.
    pub fn regions(&self) -> BTreeSet<&name::Region> {
        self.0.values().collect()
    }

    /// Returns whether no zone is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
