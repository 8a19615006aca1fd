//! Spill: whether a request is sent to the dispatcher of another availability zone.
//!
//! Dispatchers of a service exchange summaries. A request stays in its own zone while its
//! target can be met there; otherwise it goes to the zone with the shortest predicted wait if
//! that is at most half the target and less than half the wait in its own. The factor of a half
//! is a hysteresis: summaries lag, and without it all boxes would send their requests to the same
//! zone at once. If the service has no endpoint in the request's own zone, the request goes to the
//! zone with the shortest wait in any case.

use std::time::Duration;

use crate::core::{dispatch::Summary, name, unit};

/// Returns the zone whose dispatcher gets a request, if it is not the box's own zone.
///
/// `here` is the summary of the own zone's dispatcher, if one is known, and `served` whether
/// the service has an endpoint in the own zone at all.
pub fn choose<'a>(
    here: Option<&Summary>,
    served: bool,
    others: impl Iterator<Item = (&'a name::Zone, &'a Summary)>,
    tier: unit::Tier,
    target: Duration,
) -> Option<&'a name::Zone> {
    let wait = |summary: &Summary| summary.waits.get(&tier).copied().unwrap_or_default();
    let here = here.map(wait).unwrap_or_default();
    if served && here <= target {
        return None;
    }
    let usable = others.filter(|(_, summary)| summary.slots > 0);
    let (least, zone) = usable.map(|(zone, summary)| (wait(summary), zone)).min()?;
    let better = least <= target / 2 && least < here / 2;
    (!served || better).then_some(zone)
}
