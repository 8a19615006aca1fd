//! Spill: whether a request asks the dispatcher of another availability zone.
//!
//! Dispatchers of a service exchange summaries. A request stays at home while its
//! target can be met there; else it goes where the predicted wait is at most half
//! the target and half the wait at home. The halves are the hysteresis: summaries
//! lag, and without it every box would send its requests to the same zone at once.

use std::time::Duration;

use crate::core::{dispatch::Summary, name, unit};

/// The zone whose dispatcher a request asks, if it is not the own one.
///
/// `here` is the summary of the own zone's dispatcher, if one is known, and
/// `served` whether the service has an endpoint in the own zone at all.
pub fn choose<'a>(
    here: Option<&Summary>,
    served: bool,
    abroad: impl Iterator<Item = (&'a name::Zone, &'a Summary)>,
    tier: unit::Tier,
    target: Duration,
) -> Option<&'a name::Zone> {
    let wait = |summary: &Summary| summary.waits.get(&tier).copied().unwrap_or_default();
    let here = here.map(wait).unwrap_or_default();
    if served && here <= target {
        return None;
    }
    let usable = abroad.filter(|(_, summary)| summary.slots > 0);
    let (least, zone) = usable.map(|(zone, summary)| (wait(summary), zone)).min()?;
    let better = least <= target / 2 && least < here / 2;
    (!served || better).then_some(zone)
}
