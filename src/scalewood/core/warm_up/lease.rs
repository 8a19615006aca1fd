//! Who may send to which endpoint that warms up, as one hub gives it out.
//!
//! Each endpoint is leased to one box. The box counts the lease from when it asked, and the hub
//! from when it answered, which is later; so when the hub takes it for over, it is over for the
//! box, however long messages took. A hub that has just started does not know what it gave
//! before, and gives none until that has run out.

use std::{collections::BTreeMap, time::Duration};

use crate::core::name;

/// How long a lease holds, counted by the box from when it asked: several exchanges, so that one
/// that is lost costs nothing, and short enough that the lease of a box that was lost is soon
/// another's.
pub const LEASE: Duration = Duration::from_secs(1);
/// How much longer a hub takes a lease to hold, for clocks that do not go alike: a hundred times
/// what two of them differ by in that time.
const MARGIN: Duration = Duration::from_millis(20);

#[derive(Clone, Debug)]
struct Given {
    to: name::Box,
    until: Duration,
}

/// Leases of endpoints that warm up.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    /// When a box first asked; what was given before the hub's start has run out a lease later.
    since: Option<Duration>,
    given: BTreeMap<name::Endpoint, Given>,
}

impl Leases {
    /// Gives one of so many boxes what it may have of the endpoints that it wants, the most
    /// wanted first: those that it holds already, and others up to its part of all. Returns
    /// what it holds from now on.
    pub fn give(
        &mut self,
        to: &name::Box,
        wanted: &[name::Endpoint],
        boxes: usize,
        now: Duration,
    ) -> Vec<name::Endpoint> {
        let since = *self.since.get_or_insert(now);
        self.given.retain(|_, given| now < given.until);
        if now < since + LEASE + MARGIN {
            return Vec::new();
        }
        let most = wanted.len().div_ceil(boxes.max(1));
        let is_own = |name: &&name::Endpoint| self.given.get(*name).is_some_and(|g| g.to == *to);
        let is_free = |name: &&name::Endpoint| !self.given.contains_key(*name);
        let own = wanted.iter().filter(is_own);
        let free = wanted.iter().filter(is_free);
        let given: Vec<_> = own.chain(free).take(most).cloned().collect();
        for endpoint in &given {
            let lease = Given {
                to: to.clone(),
                until: now + LEASE + MARGIN,
            };
            self.given.insert(endpoint.clone(), lease);
        }
        given
    }
}
