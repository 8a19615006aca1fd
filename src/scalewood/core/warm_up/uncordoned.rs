//! When zones were uncordoned: their endpoints may have become cold shortly before.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::core::name;

/// The zones that are cordoned, and when others were uncordoned.
#[derive(Clone, Debug, Default)]
pub struct Uncordoned {
    cordoned: BTreeSet<name::Zone>,
    at: BTreeMap<name::Zone, Duration>,
}

impl Uncordoned {
    /// Takes the zones that are cordoned now; returns those that are so no more.
    pub fn note(&mut self, cordoned: &BTreeSet<name::Zone>, now: Duration) -> Vec<name::Zone> {
        let ended: Vec<_> = self.cordoned.difference(cordoned).cloned().collect();
        for zone in &ended {
            self.at.insert(zone.clone(), now);
        }
        self.cordoned.clone_from(cordoned);
        ended
    }

    /// When a zone was uncordoned, if it was.
    pub fn at(&self, zone: &name::Zone) -> Option<Duration> {
        self.at.get(zone).copied()
    }
}
