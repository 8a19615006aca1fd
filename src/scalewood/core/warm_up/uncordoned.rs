//! When zones were uncordoned: their endpoints may have become cold shortly before.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::core::name;

/// The cordoned zones, and when other zones were uncordoned.
#[derive(Clone, Debug, Default)]
pub struct Uncordoned {
    cordoned: BTreeSet<name::Zone>,
    uncordoned_at: BTreeMap<name::Zone, Duration>,
}

impl Uncordoned {
    /// Records the zones that are cordoned now. Returns those that no longer are.
    pub fn update(&mut self, cordoned: &BTreeSet<name::Zone>, now: Duration) -> Vec<name::Zone> {
        let uncordoned: Vec<_> = self.cordoned.difference(cordoned).cloned().collect();
        for zone in &uncordoned {
            self.uncordoned_at.insert(zone.clone(), now);
        }
        self.cordoned.clone_from(cordoned);
        uncordoned
    }

    /// Returns when a zone was last uncordoned, if it was.
    pub fn uncordoned_at(&self, zone: &name::Zone) -> Option<Duration> {
        self.uncordoned_at.get(zone).copied()
    }
}
