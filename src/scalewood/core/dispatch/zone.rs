//! Detection of unreachable zones.
//!
//! When a zone is cut off, all its endpoints stop answering at once. Detecting that separately
//! for each would cost a few requests each; so once two of a zone's endpoints have failed
//! without an answer from the zone in between, the whole zone is avoided for a while.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::core::name;

/// The number of endpoints that have to fail before their zone is suspected.
const MIN_FAILED_ENDPOINTS: usize = 2;
/// The time within which failures count together.
const FAILURE_WINDOW: Duration = Duration::from_secs(3);
/// How long a suspected zone is avoided.
const SUSPECTED_FOR: Duration = Duration::from_millis(1500);

#[derive(Debug, Default)]
struct Zone {
    /// Endpoints that failed since the last answer.
    failed: BTreeSet<usize>,
    first_failure: Duration,
    suspected_until: Duration,
}

/// The other zones in which endpoints have failed since the last answer from there.
#[derive(Debug, Default)]
pub(super) struct Zones {
    zones: BTreeMap<name::Zone, Zone>,
}

impl Zones {
    /// Records that a request failed at an endpoint of a zone.
    pub(super) fn record_failure(&mut self, zone: &name::Zone, endpoint: usize, now: Duration) {
        let zone = self.zones.entry(zone.clone()).or_default();
        if zone.failed.is_empty() || now > zone.first_failure + FAILURE_WINDOW {
            zone.failed.clear();
            zone.first_failure = now;
        }
        zone.failed.insert(endpoint);
        if zone.failed.len() >= MIN_FAILED_ENDPOINTS {
            zone.suspected_until = now + SUSPECTED_FOR;
        }
    }

    /// Records an answer from a zone.
    pub(super) fn record_answer(&mut self, zone: &name::Zone) {
        self.zones.remove(zone);
    }

    /// Returns whether a zone is suspected to be unreachable.
    pub(super) fn is_suspect(&self, zone: &name::Zone, now: Duration) -> bool {
        self.zones
            .get(zone)
            .is_some_and(|zone| now < zone.suspected_until)
    }
}
