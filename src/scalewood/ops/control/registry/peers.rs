//! What the other voters tell of endpoints that announced themselves to them.

use std::{net::SocketAddr, time::Duration};

use super::Endpoints;
use crate::{
    core::{follow, name, pace, registry, unit},
    event,
    util::{clock::Clock as _, lock::lock},
    wire::registry::News,
};

/// How long after its start a voter that hears no majority yet counts as one that does.
const JUST_STARTED: Duration = Duration::from_secs(3);
/// How long a voter may have an older configuration than another one.
const BEHIND: Duration = Duration::from_millis(500);
/// How long another voter may be silent and counts as heard.
const IN_TOUCH: Duration = Duration::from_millis(2500);

/// Another voter, as what it tells is heard.
#[derive(Clone, Debug, Default)]
pub(super) struct Heard {
    at: Duration,
    zone: Option<name::Zone>,
    /// How many boxes track it.
    followers: u32,
    /// The revision of the configuration that it has.
    revision: unit::Revision,
}

impl Endpoints {
    /// Takes what another voter tells of the endpoints that announced themselves there.
    pub(in crate::ops::control) fn take_news(
        &self,
        from: &name::Box,
        address: SocketAddr,
        voucher: Option<registry::Voucher>,
        news: News,
    ) {
        let now = self.clock.now();
        self.note_heard(address, &news, now);
        let mut registry = lock(&self.registry);
        let stamp = registry.stamp();
        for record in news.changed {
            let (name, incarnation) = (record.name.clone(), record.incarnation);
            let sequence = record.sequence;
            if registry.merge(record, now) == registry::Merged::Restarted {
                lock(&self.measured).remove(&name);
                lock(&self.hub).restarted(&name);
                event!(self.log, EndpointRestarted, "endpoint" => %name,
                    "incarnation" => incarnation.map(|i| i.0), "sequence" => sequence);
            }
            if let Some(voucher) = voucher {
                registry.vouch_for(&name, voucher);
            }
        }
        for told in news.leaving {
            registry.record_leaving(&told.name, told.start);
        }
        registry.apply_ends(&news.gone, &news.ended, &news.left);
        for name in &news.heard {
            registry.record_heard(name, now);
        }
        if let Some(voucher) = voucher {
            for name in &news.silent {
                registry.withdraw_vouch(name, voucher);
            }
            if news.vouches {
                registry.record_vouch(voucher, now);
            }
        }
        self.take_others_paces(&mut registry, from, news.paces);
        registry.regrade();
        let is_news = registry.stamp() != stamp;
        drop(registry);
        if lock(&self.restored).take(news.restored, now) || is_news {
            self.tell();
        }
    }

    /// Takes the medians of another voter's boxes: they count as what one box measured.
    fn take_others_paces(
        &self,
        registry: &mut registry::Registry,
        from: &name::Box,
        paces: Vec<pace::Paced>,
    ) {
        let mut measured = lock(&self.measured);
        for paced in paces {
            let reports = measured.entry(paced.endpoint.clone()).or_default();
            let median = reports.record(from.clone(), paced.pace);
            registry.set_pace(&paced.endpoint, median);
        }
    }

    fn note_heard(&self, address: SocketAddr, news: &News, now: Duration) {
        let mut voters = lock(&self.voters);
        let heard = voters.entry(address).or_default();
        heard.at = now;
        heard.followers = news.followers;
        heard.revision = news.revision;
        if news.zone.is_some() {
            heard.zone.clone_from(&news.zone);
        }
    }

    /// The process of another voter, as one that vouches for endpoints from now on.
    pub(in crate::ops::control) fn voucher(&self, voter: &name::Box) -> Option<registry::Voucher> {
        lock(&self.registry).register_voucher(voter)
    }

    /// Notes that another voter can't be heard.
    pub(in crate::ops::control) fn unheard(&self, voter: SocketAddr) {
        lock(&self.voters).remove(&voter);
    }

    /// How many other voters are heard.
    pub(in crate::ops::control) fn peer_count(&self) -> usize {
        lock(&self.voters).len()
    }

    /// How many boxes there are: each tracks some voters.
    pub(super) fn box_count(&self) -> u32 {
        let own = self.follower_count();
        let voters = lock(&self.voters);
        let others: u32 = voters.values().map(|heard| heard.followers).sum();
        let tracked = follow::tracked(voters.len() + 1);
        let tracked = u32::try_from(tracked).unwrap_or(u32::MAX);
        (own + others).div_ceil(tracked).max(own)
    }

    /// Whether another voter has had a newer configuration than this one for a while: its disk may
    /// have stalled, though it hears all others.
    pub(super) fn is_behind(&self, own: unit::Revision) -> bool {
        let now = self.clock.now();
        let newest = lock(&self.voters)
            .values()
            .map(|heard| heard.revision)
            .max();
        let mut since = lock(&self.behind_since);
        *since = match *since {
            _ if newest.is_none_or(|newest| newest <= own) => None,
            None => Some((own, now)),
            Some((revision, at)) if revision == own => Some((revision, at)),
            Some(_) => Some((own, now)),
        };
        since.is_some_and(|(_, at)| now >= at + BEHIND)
    }

    /// Whether a majority of so many voters is heard, this one included.
    pub(super) fn is_in_touch(&self, members: usize) -> bool {
        let now = self.clock.now();
        if now < self.started + JUST_STARTED {
            return true;
        }
        let voters = lock(&self.voters);
        let heard = voters.values().filter(|heard| now < heard.at + IN_TOUCH);
        (heard.count() + 1) * 2 > members
    }

    pub(super) fn zone_of(&self, voter: &SocketAddr) -> Option<name::Zone> {
        lock(&self.voters).get(voter)?.zone.clone()
    }
}
