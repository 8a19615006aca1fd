//! The boxes that serve requests for a box that has lost its links to endpoints.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{seq::IteratorRandom as _, Rng};
use serde::{Deserialize, Serialize};

use crate::core::{name, rendezvous};

/// The most boxes that a hub names to a box, for each service.
const MAX_PEERS: usize = 8;
/// How long a box that could not serve a request gets no others from here.
const AVOIDED_FOR: Duration = Duration::from_secs(1);

/// What a box tells its hub about its links and about serving requests for others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The availability zone of the box.
    #[serde(rename = "z")]
    pub zone: name::Zone,
    /// Where it accepts requests from other boxes, unless it is about to stop.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// The services whose endpoints it can't reach.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub lost: Vec<name::Service>,
}

/// A box that serves requests for others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    #[serde(rename = "n")]
    pub name: name::Box,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub zone: name::Zone,
    /// Where it accepts requests from other boxes.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// The services whose endpoints it can't reach.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub lost: Vec<name::Service>,
}

impl Peer {
    /// Returns the peer that a box's report describes, if it accepts requests.
    pub fn new(name: &name::Box, report: &Report) -> Option<Self> {
        Some(Self {
            name: name.clone(),
            zone: report.zone.clone(),
            address: report.address?,
            lost: report.lost.clone(),
        })
    }
}

/// Chooses the boxes that a hub names to a box that has lost its links to some services: for each
/// service a few that reach it. Each box gets others, so that the work is spread.
pub fn choose<'a>(
    asking: &name::Box,
    lost: &[name::Service],
    peers: impl IntoIterator<Item = &'a Peer>,
) -> Vec<Peer> {
    let mut peers: Vec<_> = peers
        .into_iter()
        .filter(|peer| peer.name != *asking)
        .map(|peer| {
            (
                rendezvous::hash(&[asking.as_str(), peer.name.as_str()]),
                peer,
            )
        })
        .collect();
    peers.sort_unstable();
    let mut chosen = BTreeSet::new();
    for service in lost {
        let reaching = peers
            .iter()
            .filter(|(_, peer)| !peer.lost.contains(service));
        chosen.extend(reaching.take(MAX_PEERS).map(|(_, peer)| (*peer).clone()));
    }
    chosen.into_iter().collect()
}

/// Returns the boxes that a hub names to other hubs for theirs: those that have lost no links, a few
/// of them, and the same ones as long as these remain.
pub fn offer<'a>(own: impl IntoIterator<Item = &'a Peer>) -> Vec<Peer> {
    let mut working: Vec<_> = own
        .into_iter()
        .filter(|peer| peer.lost.is_empty())
        .map(|peer| (rendezvous::hash(&[peer.name.as_str()]), peer))
        .collect();
    working.sort_unstable();
    working.truncate(MAX_PEERS);
    working.into_iter().map(|(_, peer)| peer.clone()).collect()
}

/// The boxes that may serve requests for this one.
#[derive(Debug, Default)]
pub struct Peers {
    known: Vec<Peer>,
    /// The lost services for which a hub has named the known boxes.
    named_for: Vec<name::Service>,
    /// The number of requests of this box that each serves now.
    serving: BTreeMap<name::Box, u32>,
    /// The boxes that could not serve a request, and until when they get no others.
    avoided: BTreeMap<name::Box, Duration>,
}

impl Peers {
    /// Replaces the known boxes by those that a hub has named for lost services.
    pub fn replace(&mut self, named_for: Vec<name::Service>, known: Vec<Peer>) {
        self.named_for = named_for;
        self.known = known;
    }

    /// Forgets that boxes were named for a service, as when its links are lost anew.
    pub fn forget(&mut self, service: &name::Service) {
        self.named_for.retain(|named| named != service);
    }

    /// Returns whether a hub has been asked for boxes that reach a service.
    pub fn is_answered(&self, service: &name::Service) -> bool {
        self.named_for.contains(service)
    }

    /// Chooses a box that reaches a service, among those that `is_permitted` accepts: of two random
    /// ones that with fewer requests of this box, or the one in this box's zone.
    pub fn pick(
        &self,
        service: &name::Service,
        zone: &name::Zone,
        is_permitted: impl Fn(&Peer) -> bool,
        now: Duration,
        random: &mut impl Rng,
    ) -> Option<Peer> {
        let is_avoided = |peer: &Peer| {
            self.avoided
                .get(&peer.name)
                .is_some_and(|until| now < *until)
        };
        let reaching = self
            .known
            .iter()
            .filter(|peer| !peer.lost.contains(service) && !is_avoided(peer) && is_permitted(peer));
        let sample = reaching.choose_multiple(random, 2);
        let serving = |peer: &Peer| self.serving.get(&peer.name).copied().unwrap_or_default();
        let best = sample
            .into_iter()
            .min_by_key(|peer| (serving(peer), peer.zone != *zone));
        best.cloned()
    }

    /// Records that a box begins to serve a request of this one.
    pub fn begin(&mut self, name: &name::Box) {
        *self.serving.entry(name.clone()).or_default() += 1;
    }

    /// Records that a box no longer serves a request of this one.
    pub fn end(&mut self, name: &name::Box) {
        if let Some(count) = self.serving.get_mut(name) {
            *count -= 1;
            if *count == 0 {
                self.serving.remove(name);
            }
        }
    }

    /// Records that a box could not serve a request.
    pub fn avoid(&mut self, name: &name::Box, now: Duration) {
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(name.clone(), now + AVOIDED_FOR);
    }
}
