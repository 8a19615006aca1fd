//! The boxes that serve requests for others, as known to a hub.

use std::collections::BTreeMap;

use crate::core::{
    name,
    reach::{self, Peer, Report},
};

/// What a hub knows of its own boxes and of those that other hubs name.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// The reports of the hub's own boxes.
    reports: BTreeMap<name::Box, Report>,
    /// Those of these boxes that accept requests.
    own: Vec<Peer>,
    /// The boxes that other hubs name.
    named: BTreeMap<name::Box, Vec<Peer>>,
    /// The boxes that other hubs are to be told of.
    offer: Vec<Peer>,
    /// Whether reports have changed since `own` and `offer` were computed.
    is_changed: bool,
    /// What other hubs were told.
    sent: BTreeMap<name::Box, Vec<Peer>>,
}

impl Peers {
    /// Records what a box of this hub reports.
    pub(super) fn record(&mut self, name: &name::Box, report: Report) {
        self.reports.insert(name.clone(), report);
        self.is_changed = true;
    }

    /// Forgets a box of this hub.
    pub(super) fn forget(&mut self, name: &name::Box) {
        self.is_changed |= self.reports.remove(name).is_some();
    }

    /// Records the boxes that another hub names.
    pub(super) fn record_named(&mut self, hub: &name::Box, peers: Vec<Peer>) {
        self.named.insert(hub.clone(), peers);
    }

    /// Forgets what another hub has named.
    pub(super) fn forget_named(&mut self, hub: &name::Box) {
        self.named.remove(hub);
    }

    /// Forgets what another hub was told.
    pub(super) fn forget_sent(&mut self, hub: &name::Box) {
        self.sent.remove(hub);
    }

    /// Recomputes what depends on the reports if these have changed.
    fn refresh(&mut self) {
        if !std::mem::take(&mut self.is_changed) {
            return;
        }
        let reports = self.reports.iter();
        let own = reports.filter_map(|(name, report)| Peer::new(name, report));
        self.own = own.collect();
        self.offer = reach::offer(&self.own);
    }

    /// Returns the boxes that may serve requests for a box that has lost links.
    pub(super) fn for_box(&mut self, name: &name::Box) -> Vec<Peer> {
        let Some(report) = self.reports.get(name) else {
            return Vec::new();
        };
        if report.lost.is_empty() {
            return Vec::new();
        }
        let lost = report.lost.clone();
        self.refresh();
        let named = self.named.values().flatten();
        reach::choose(name, &lost, self.own.iter().chain(named))
    }

    /// Returns what another hub is to be told, if that has changed.
    pub(super) fn update_for(&mut self, hub: &name::Box) -> Option<Vec<Peer>> {
        self.refresh();
        if self.sent.get(hub).unwrap_or(&Vec::new()) == &self.offer {
            return None;
        }
        self.sent.insert(hub.clone(), self.offer.clone());
        Some(self.offer.clone())
    }
}
