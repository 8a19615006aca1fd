//! Regions: groups of availability zones that lie close to each other.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::name;

/// The availability zones that are known beforehand, each with its region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Map(BTreeMap<name::Zone, name::Region>);

impl Map {
    /// A map of these zones.
    pub fn new(zones: impl IntoIterator<Item = (name::Zone, name::Region)>) -> Self {
        Self(zones.into_iter().collect())
    }

    /// The region of a zone, if it is known.
    pub fn region_of(&self, zone: &name::Zone) -> Option<&name::Region> {
        self.0.get(zone)
    }

    /// Whether a zone is known.
    pub fn has_zone(&self, zone: &name::Zone) -> bool {
        self.0.contains_key(zone)
    }

    /// All zones that are known.
    pub fn zones(&self) -> impl Iterator<Item = &name::Zone> {
        self.0.keys()
    }

    /// All regions that are known.
    pub fn regions(&self) -> BTreeSet<&name::Region> {
        self.0.values().collect()
    }

    /// Whether no zone is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
