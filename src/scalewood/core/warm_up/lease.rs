//! Leases of endpoints that warm up, as granted by one hub.
//!
//! Each endpoint is leased to one box at a time. The box counts the lease from when it asked, and
//! the hub from when it answered, which is later. So when a lease has expired at the hub, it has
//! expired at the box too, however long messages took. A hub that has just started does not know
//! which leases it granted before, and grants none until those have expired.

use std::{collections::BTreeMap, time::Duration};

use crate::core::name;

/// How long a lease is valid, counted by the box from when it asked. It spans several exchanges, so
/// that the loss of one costs nothing, and is short enough that another box soon gets the endpoints
/// of a lost one.
pub const LEASE_DURATION: Duration = Duration::from_secs(1);
/// How much longer the hub counts a lease as valid, since clocks run at different rates: a hundred
/// times what two clocks differ by within a lease.
const CLOCK_MARGIN: Duration = Duration::from_millis(20);

#[derive(Clone, Debug)]
struct Lease {
    to: name::Box,
    until: Duration,
}

/// The leases granted by a hub for endpoints that warm up.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    /// When a box first asked. Leases granted before the hub's start have expired one lease time
    /// later.
    since: Option<Duration>,
    leases: BTreeMap<name::Endpoint, Lease>,
}

impl Leases {
    /// Grants a box leases of the endpoints that it wants, listed with the most wanted first: at
    /// most an equal share among `boxes`, those that it holds already before free ones. Returns all
    /// that it holds from now on.
    pub fn grant(
        &mut self,
        to: &name::Box,
        wanted: &[name::Endpoint],
        boxes: usize,
        now: Duration,
    ) -> Vec<name::Endpoint> {
        let since = *self.since.get_or_insert(now);
        self.leases.retain(|_, lease| now < lease.until);
        if now < since + LEASE_DURATION + CLOCK_MARGIN {
            return Vec::new();
        }
        let share = wanted.len().div_ceil(boxes.max(1));
        let is_held =
            |name: &&name::Endpoint| self.leases.get(*name).is_some_and(|lease| lease.to == *to);
        let is_free = |name: &&name::Endpoint| !self.leases.contains_key(*name);
        let held = wanted.iter().filter(is_held);
        let free = wanted.iter().filter(is_free);
        let granted: Vec<_> = held.chain(free).take(share).cloned().collect();
        for endpoint in &granted {
            let lease = Lease {
                to: to.clone(),
                until: now + LEASE_DURATION + CLOCK_MARGIN,
            };
            self.leases.insert(endpoint.clone(), lease);
        }
        granted
    }
}
