//! Merges the changes that other voters send of the endpoints that announced themselves to them.

use std::{net::SocketAddr, time::Duration};

use super::SoftState;
use crate::{
    core::{follow, name, pace, registry, unit},
    event,
    util::{clock::Clock as _, lock::lock},
    wire::registry::RegistryUpdate,
};

/// How long after its start a voter counts as in touch with a majority even if it hears none yet.
const STARTUP_GRACE: Duration = Duration::from_secs(3);
/// How long a voter may have an older configuration than another voter before it counts as behind.
const BEHIND_TIMEOUT: Duration = Duration::from_millis(500);
/// How long after its last message another voter still counts as heard.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Another voter, as known from its messages.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// When its last message arrived.
    heard_at: Duration,
    /// Its availability zone, if it reported one.
    zone: Option<name::Zone>,
    /// The number of boxes that track it.
    followers: u32,
    /// The revision of its configuration.
    revision: unit::Revision,
}

impl SoftState {
    /// Merges a message from another voter about the endpoints that announced themselves there.
    pub(in crate::ops::control) fn apply_update(
        &self,
        from: &name::Box,
        address: SocketAddr,
        voucher: Option<registry::Voucher>,
        update: RegistryUpdate,
    ) {
        let now = self.clock.now();
        self.record_peer(address, &update, now);
        let mut registry = lock(&self.registry);
        let stamp = registry.stamp();
        for mut record in update.changed {
            self.apply_departure(&mut record);
            let (name, incarnation) = (record.name.clone(), record.incarnation);
            let sequence = record.sequence;
            if registry.merge(record, now) == registry::Merged::Restarted {
                lock(&self.pace_reports).remove(&name);
                lock(&self.hub).forget_earlier_starts(&name);
                event!(self.log, EndpointRestarted, "endpoint" => %name,
                    "incarnation" => incarnation.map(|i| i.0), "sequence" => sequence);
            }
            if let Some(voucher) = voucher {
                registry.vouch_for(&name, voucher);
            }
        }
        for report in update.leaving {
            registry.record_leaving(&report.name, report.start);
        }
        registry.apply_ends(&update.gone, &update.ended, &update.left);
        for name in &update.heard {
            registry.record_heard(name, now);
        }
        if let Some(voucher) = voucher {
            for name in &update.silent {
                registry.withdraw_vouch(name, voucher);
            }
            if update.vouches {
                registry.record_vouch(voucher, now);
            }
        }
        self.record_peer_paces(&mut registry, from, update.paces);
        registry.regrade();
        let is_changed = registry.stamp() != stamp;
        drop(registry);
        if lock(&self.restored).take(update.restored, now) || is_changed {
            self.notify();
        }
    }

    /// Records the medians of the paces that another voter's boxes reported. They count as the
    /// report of one box.
    fn record_peer_paces(
        &self,
        registry: &mut registry::Registry,
        from: &name::Box,
        paces: Vec<pace::EndpointPace>,
    ) {
        let mut pace_reports = lock(&self.pace_reports);
        for paced in paces {
            let reports = pace_reports.entry(paced.endpoint.clone()).or_default();
            let median = reports.record(from.clone(), paced.pace);
            registry.set_pace(&paced.endpoint, median);
        }
    }

    /// Records what a message says about the voter itself.
    fn record_peer(&self, address: SocketAddr, update: &RegistryUpdate, now: Duration) {
        let mut voters = lock(&self.voters);
        let peer = voters.entry(address).or_default();
        peer.heard_at = now;
        peer.followers = update.followers;
        peer.revision = update.revision;
        if update.zone.is_some() {
            peer.zone.clone_from(&update.zone);
        }
    }

    /// Registers the process of another voter as one that vouches for endpoints from now on;
    /// returns `None` if there are too many such processes.
    pub(in crate::ops::control) fn voucher(&self, voter: &name::Box) -> Option<registry::Voucher> {
        lock(&self.registry).register_voucher(voter)
    }

    /// Forgets another voter whose subscription was lost.
    pub(in crate::ops::control) fn forget_voter(&self, voter: SocketAddr) {
        lock(&self.voters).remove(&voter);
    }

    /// Returns the number of other voters that are heard.
    pub(in crate::ops::control) fn peer_count(&self) -> usize {
        lock(&self.voters).len()
    }

    /// Estimates the number of boxes from the followers of all voters: each box tracks several
    /// voters.
    pub(super) fn box_count(&self) -> u32 {
        let own = self.follower_count();
        let voters = lock(&self.voters);
        let others: u32 = voters.values().map(|peer| peer.followers).sum();
        let tracked = follow::tracked(voters.len() + 1);
        let tracked = u32::try_from(tracked).unwrap_or(u32::MAX);
        (own + others).div_ceil(tracked).max(own)
    }

    /// Returns whether another voter has had a newer configuration than this one for
    /// `BEHIND_TIMEOUT`. This voter's disk may have stalled even though it hears all others.
    pub(super) fn is_behind(&self, own: unit::Revision) -> bool {
        let now = self.clock.now();
        let newest = lock(&self.voters).values().map(|peer| peer.revision).max();
        let mut since = lock(&self.behind_since);
        *since = match *since {
            _ if newest.is_none_or(|newest| newest <= own) => None,
            None => Some((own, now)),
            Some((revision, at)) if revision == own => Some((revision, at)),
            Some(_) => Some((own, now)),
        };
        since.is_some_and(|(_, at)| now >= at + BEHIND_TIMEOUT)
    }

    /// Returns whether a majority of `members` voters is heard, including this one.
    pub(super) fn is_in_touch(&self, members: usize) -> bool {
        let now = self.clock.now();
        if now < self.started_at + STARTUP_GRACE {
            return true;
        }
        let voters = lock(&self.voters);
        let heard = voters
            .values()
            .filter(|peer| now < peer.heard_at + CONTACT_TIMEOUT);
        (heard.count() + 1) * 2 > members
    }

    /// Returns the availability zone of another voter, if it is known.
    pub(super) fn zone_of(&self, voter: &SocketAddr) -> Option<name::Zone> {
        lock(&self.voters).get(voter)?.zone.clone()
    }
}
