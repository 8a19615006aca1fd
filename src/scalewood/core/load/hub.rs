//! Aggregates the loads of boxes at endpoints.
//!
//! A hub keeps the loads of each of its own boxes, and one sum for each other hub over that hub's
//! boxes. To a box it sends the total without the box's own part; to other hubs it sends the sum
//! over its own boxes only, so that no load is counted twice by going round between hubs. A box
//! or hub that falls silent is forgotten with its loads.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{
    delta::significant_changes,
    merge,
    peers::Peers,
    prefill::Prefills,
    refused::{Sums, Unsent},
    set_or_remove,
    sizes::Sizes,
    Answer, EndpointLoad, Load, Loads, Outcome, OutcomeCounts, Placement, Prefill, Prompts, Risk,
    Update,
};
use crate::core::{
    crash,
    fingerprint::Fingerprint,
    name, rejection,
    risk::{self, Chance},
    warm_up,
};

/// How long a box may be silent before its loads are dropped: it reports about every 600 ms or
/// more often, unless its hub serves more than 150 boxes.
const BOX_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long another hub may be silent: hubs report about twice a second or more often. When a hub
/// is lost its boxes move to another one, and are counted twice until this time has passed.
const HUB_TIMEOUT: Duration = Duration::from_millis(750);
/// The number of placements that are kept for boxes that have not received them yet.
const MAX_PLACEMENTS: usize = 4096;
/// The time constant, in seconds, with which the counts of a box's requests decay (to 1/e).
const COUNT_DECAY_S: f64 = 4.0;
/// Answered requests that are added to a box's count when its failures are weighted.
const PRIOR_ANSWERED: f64 = 2.0;

/// A box that reports its load to this hub.
#[derive(Debug)]
struct Member {
    heard_at: Duration,
    /// Its load at each endpoint.
    own: Loads,
    /// The loads of the other boxes as last sent to it.
    sent: Loads,
    /// The failure probabilities as last sent to it.
    risks: BTreeMap<name::Endpoint, Chance>,
    /// The mean prompt sizes, in tokens, as last sent to it.
    sizes: BTreeMap<name::Class, u64>,
    /// How endpoints process prompts, as last sent to it.
    prefills: Prefills,
    /// The serial number of the next placement to send to it.
    next: u64,
    /// How far it has been sent the requests during which endpoints crashed.
    crashes: crash::Cursor,
    /// Its recent requests by outcome, decaying with time.
    answered: f64,
    failed: f64,
}

impl Member {
    fn new(now: Duration) -> Self {
        Self {
            heard_at: now,
            own: Loads::new(),
            sent: Loads::new(),
            risks: BTreeMap::new(),
            sizes: BTreeMap::new(),
            prefills: Prefills::default(),
            next: 0,
            crashes: crash::Cursor::default(),
            answered: 0.0,
            failed: 0.0,
        }
    }

    /// Counts the box's outcomes; returns the weight, from 0 to 1, of the failures that it
    /// reports. A box that sees failures everywhere is probably cut off itself, so its failures
    /// say little about endpoints.
    fn count_outcomes(&mut self, outcomes: &[Outcome], now: Duration) -> f64 {
        let passed = now.saturating_sub(self.heard_at).as_secs_f64();
        let decay = (-passed / COUNT_DECAY_S).exp();
        let sum = |part: fn(&OutcomeCounts) -> u32| -> f64 {
            outcomes.iter().map(|o| f64::from(part(&o.count))).sum()
        };
        self.answered = self.answered * decay + sum(|count| count.answered);
        self.failed = self.failed * decay + sum(|count| count.failed);
        let answered = self.answered + PRIOR_ANSWERED;
        answered / (answered + self.failed)
    }
}

/// Another hub, as the sender of reports.
#[derive(Debug, Default)]
struct Peer {
    heard_at: Duration,
    /// The sum of its boxes' loads.
    loads: Loads,
}

/// Another hub, as the receiver of reports: what it was sent, and what is still to be sent.
#[derive(Debug, Default)]
struct Link {
    /// The sum of the loads of the boxes here, as last sent to it.
    loads: Loads,
    /// The serial number of the next placement to send to it.
    next: u64,
    /// Outcomes that were not sent to it yet.
    outcomes: BTreeMap<name::Endpoint, OutcomeCounts>,
    /// Prompts that were not sent to it yet.
    prompts: Sizes,
    /// Measurements of how endpoints process prompts that were not sent to it yet.
    prefills: Prefills,
    /// Requests that arrived, started or were refused, and were not sent to it yet.
    refused: Unsent,
    /// How far it has been sent the requests during which endpoints crashed.
    crashes: crash::Cursor,
}

/// Where a shared prefix was placed, and who reported it.
#[derive(Debug)]
struct ReportedPlacement {
    sender: name::Box,
    /// Whether the sender is a box of this hub, not another hub.
    own: bool,
    /// `None` once its endpoint has restarted.
    placement: Option<Placement>,
}

/// Aggregates the loads of boxes at endpoints.
#[derive(Debug, Default)]
pub struct Hub {
    members: BTreeMap<name::Box, Member>,
    peers: BTreeMap<name::Box, Peer>,
    links: BTreeMap<name::Box, Link>,
    /// The sum of the members' loads.
    local: Loads,
    /// The sum of the loads of the members and of all other hubs' boxes.
    total: Loads,
    risks: BTreeMap<name::Endpoint, risk::Risk>,
    /// The prompts that all boxes have seen.
    sizes: Sizes,
    /// How endpoints process prompts, as all boxes have measured it.
    prefills: Prefills,
    /// The recent requests of all boxes, by outcome.
    refused: Sums,
    /// Since when requests at an endpoint have waited without any of them getting a first token.
    waiting_since: BTreeMap<name::Endpoint, Duration>,
    /// When stalled endpoints were last looked for.
    stalls_checked_at: Duration,
    /// The last placements, and the number of earlier ones that were dropped.
    placements: VecDeque<ReportedPlacement>,
    dropped: u64,
    /// The boxes that may send to endpoints that warm up.
    leases: warm_up::Leases,
    /// The requests during which endpoints crashed.
    crashes: crash::Book,
    /// The boxes that may serve requests for others.
    reachable: Peers,
    /// The limits on rejections that endpoints state.
    rejections: rejection::Book,
}

impl Hub {
    /// Applies a box's report: what has changed there since its last one, or its `full` state.
    /// Returns what has changed for it at the other boxes.
    pub fn exchange(
        &mut self,
        from: &name::Box,
        full: bool,
        report: Update,
        now: Duration,
    ) -> Answer {
        self.forget_silent(now);
        if full {
            self.forget(from);
        }
        let member = self.members.entry(from.clone());
        let member = member.or_insert_with(|| Member::new(now));
        let weight = member.count_outcomes(&report.outcomes, now);
        member.heard_at = now;
        let failed_at: Vec<_> = report
            .outcomes
            .iter()
            .filter(|o| o.count.failed > 0)
            .collect();
        let failed_at: Vec<_> = failed_at.into_iter().map(|o| o.endpoint.clone()).collect();
        self.take_own_loads(from, report.loads);
        self.take_placements(from, true, report.placements);
        self.queue_outcomes(&report.outcomes, weight);
        self.apply_outcomes(&report.outcomes, weight, now);
        self.sizes.add(&report.prompts);
        self.prefills.add(&report.prefills);
        self.refused.add(&report.refused, &report.traffic, now);
        for link in self.links.values_mut() {
            link.prompts.add(&report.prompts);
            link.prefills.add(&report.prefills);
            link.refused.add(&report.refused, &report.traffic);
        }
        self.detect_stalled(now);
        self.take_crashes(report.crashes, true, now);
        self.rejections.merge(report.rejections, true, now);
        self.rejections.expire(now);
        if let Some(reach) = report.reach {
            self.reachable.record(from, reach);
        }
        let update = Update {
            loads: self.loads_for(from),
            placements: self.placements_for(from),
            prompts: self.sizes_for(from),
            prefills: self.prefills_for(from),
            risks: self.risks_for(from, &failed_at, now),
            bounds: self.refused.bounds(now),
            crashes: self.crashes_for(from),
            rejections: self.rejections.all(now),
            ..Update::default()
        };
        let leased = self
            .leases
            .grant(from, &report.wanted, self.members.len(), now);
        // A hub serves some hundred boxes, so the conversion doesn't saturate.
        let boxes = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        Answer {
            update,
            boxes,
            leased,
            peers: self.reachable.for_box(from),
        }
    }

    /// Returns the number of requests that all boxes together run at an endpoint.
    pub fn running(&self, endpoint: &name::Endpoint) -> u32 {
        self.total.get(endpoint).map_or(0, |load| load.running)
    }

    /// Forgets the failures, waits and placements of an endpoint that has restarted. Loads stay:
    /// the boxes report by themselves which of their requests have ended.
    pub fn forget_earlier_starts(&mut self, endpoint: &name::Endpoint) {
        self.risks.remove(endpoint);
        self.waiting_since.remove(endpoint);
        for link in self.links.values_mut() {
            link.outcomes.remove(endpoint);
        }
        // Cleared in place, since serial numbers count every entry.
        let placed = self.placements.iter_mut();
        for placed in placed.filter(|p| {
            p.placement
                .as_ref()
                .is_some_and(|p| p.endpoint == *endpoint)
        }) {
            placed.placement = None;
        }
    }

    /// Returns whether a box is known, so that it may send changes only.
    pub fn knows(&self, name: &name::Box) -> bool {
        self.members.contains_key(name)
    }

    /// Applies another hub's report: what has changed at its boxes, or its `full` state. Returns
    /// false if that hub has to send its full state.
    pub fn apply_peer_update(
        &mut self,
        from: &name::Box,
        full: bool,
        report: Update,
        now: Duration,
    ) -> bool {
        self.forget_silent(now);
        if full {
            self.forget_peer(from);
            self.peers.insert(from.clone(), Peer::default());
        }
        let Some(peer) = self.peers.get_mut(from) else {
            return false;
        };
        peer.heard_at = now;
        for loaded in &report.loads {
            let before = peer.loads.get(&loaded.endpoint).copied();
            replace(&mut self.total, loaded, before.unwrap_or_default());
        }
        merge(&mut peer.loads, report.loads);
        self.take_placements(from, false, report.placements);
        self.apply_outcomes(&report.outcomes, 1.0, now);
        self.sizes.add(&report.prompts);
        self.prefills.add(&report.prefills);
        self.refused.add(&report.refused, &report.traffic, now);
        self.take_crashes(report.crashes, false, now);
        self.rejections.merge(report.rejections, false, now);
        if let Some(peers) = report.peers {
            self.reachable.record_named(from, peers);
        }
        true
    }

    /// Returns the report for another hub: the `full` state of the boxes here, or what has
    /// changed since the last call.
    pub fn update_for(&mut self, peer: &name::Box, full: bool, now: Duration) -> Update {
        self.forget_silent(now);
        if full {
            let next = self.dropped + self.placements.len() as u64;
            let link = Link {
                next,
                ..Link::default()
            };
            self.links.insert(peer.clone(), link);
            self.reachable.forget_sent(peer);
        }
        let Some(link) = self.links.get_mut(peer) else {
            return Update::default();
        };
        let loads = significant_changes(&link.loads, &self.local, &Loads::new());
        merge(&mut link.loads, loads.clone());
        let unsent = unsent(&self.placements, self.dropped, &mut link.next);
        let own = unsent.filter(|placed| placed.own);
        let placements = own.filter_map(|placed| placed.placement.clone()).collect();
        let outcomes = std::mem::take(&mut link.outcomes);
        let outcome = |(endpoint, count)| Outcome { endpoint, count };
        let mut update = Update {
            loads,
            placements,
            outcomes: outcomes.into_iter().map(outcome).collect(),
            prompts: link.prompts.take(),
            prefills: link.prefills.take(),
            crashes: self.crashes.updates(&mut link.crashes, crash::Scope::Local),
            peers: self.reachable.update_for(peer),
            rejections: self.rejections.own(now),
            ..Update::default()
        };
        link.refused.take(&mut update);
        update
    }

    /// Returns the requests during which endpoints crashed.
    pub fn crashes(&self) -> &crash::Book {
        &self.crashes
    }

    /// Restores the requests under which endpoints ended before this process started.
    pub fn restore(&mut self, crashes: Vec<crash::Row>, now: Duration) {
        self.take_crashes(crashes, true, now);
    }

    /// Clears a request that was held back, on an operator's order; returns whether any ends were
    /// recorded for it.
    pub fn pardon(&mut self, fingerprint: &Fingerprint, now: Duration) -> bool {
        self.crashes.release(fingerprint, now)
    }

    fn take_crashes(&mut self, rows: Vec<crash::Row>, own: bool, now: Duration) {
        for row in rows {
            self.crashes.merge(row, own, now);
        }
    }

    fn crashes_for(&mut self, name: &name::Box) -> Vec<crash::Row> {
        let Some(member) = self.members.get_mut(name) else {
            return Vec::new();
        };
        self.crashes
            .updates(&mut member.crashes, crash::Scope::Global)
    }

    /// Forgets what was sent to another hub, since that hub can't be reached.
    pub fn forget_sent(&mut self, peer: &name::Box) {
        self.links.remove(peer);
        self.reachable.forget_sent(peer);
    }

    fn take_own_loads(&mut self, from: &name::Box, changed: Vec<EndpointLoad>) {
        let Some(member) = self.members.get_mut(from) else {
            return;
        };
        for loaded in &changed {
            let before = member.own.get(&loaded.endpoint).copied();
            let before = before.unwrap_or_default();
            replace(&mut self.total, loaded, before);
            replace(&mut self.local, loaded, before);
        }
        merge(&mut member.own, changed);
    }

    fn loads_for(&mut self, name: &name::Box) -> Vec<EndpointLoad> {
        let Some(member) = self.members.get_mut(name) else {
            return Vec::new();
        };
        let updates = significant_changes(&member.sent, &self.total, &member.own);
        merge(&mut member.sent, updates.clone());
        updates
    }

    fn take_placements(&mut self, from: &name::Box, own: bool, placements: Vec<Placement>) {
        let placed = placements.into_iter().map(|placement| ReportedPlacement {
            sender: from.clone(),
            own,
            placement: Some(placement),
        });
        self.placements.extend(placed);
        while self.placements.len() > MAX_PLACEMENTS {
            self.placements.pop_front();
            self.dropped += 1;
        }
    }

    fn placements_for(&mut self, name: &name::Box) -> Vec<Placement> {
        let Some(member) = self.members.get_mut(name) else {
            return Vec::new();
        };
        let unsent = unsent(&self.placements, self.dropped, &mut member.next);
        let others = unsent.filter(|placed| placed.sender != *name);
        others
            .filter_map(|placed| placed.placement.clone())
            .collect()
    }

    fn sizes_for(&mut self, name: &name::Box) -> Vec<Prompts> {
        let member = self.members.get_mut(name);
        member.map_or_else(Vec::new, |member| self.sizes.updates(&mut member.sizes))
    }

    fn prefills_for(&mut self, name: &name::Box) -> Vec<Prefill> {
        let member = self.members.get_mut(name);
        member.map_or_else(Vec::new, |member| {
            self.prefills.updates(&mut member.prefills)
        })
    }

    /// Queues a box's outcomes for the other hubs.
    fn queue_outcomes(&mut self, outcomes: &[Outcome], weight: f64) {
        for link in self.links.values_mut() {
            for Outcome { endpoint, count } in outcomes {
                let known = link.outcomes.entry(endpoint.clone()).or_default();
                known.answered += count.answered;
                // Failures of a box that is cut off are left out, not weighted: the message has
                // no weight, so the other hubs would count each as a full failure.
                if weight >= 0.5 {
                    known.failed += count.failed;
                }
            }
        }
    }

    fn apply_outcomes(&mut self, outcomes: &[Outcome], weight: f64, now: Duration) {
        for Outcome { endpoint, count } in outcomes {
            if count.answered > 0 {
                self.waiting_since.remove(endpoint);
            }
            let known = self.risks.contains_key(endpoint);
            if count.failed == 0 && !known {
                continue;
            }
            let risk = self.risks.entry(endpoint.clone()).or_default();
            for _ in 0..count.failed.min(MAX_OUTCOMES_COUNTED) {
                risk.record_failure(weight, now);
            }
            for _ in 0..count.answered.min(MAX_OUTCOMES_COUNTED) {
                risk.record_answer(now);
            }
        }
        self.risks.retain(|_, risk| !risk.is_negligible(now));
    }

    /// Raises the risk of endpoints that leave the requests of all boxes without a first token. A
    /// single box has too few requests there to tell a busy endpoint from a stalled one.
    fn detect_stalled(&mut self, now: Duration) {
        if now < self.stalls_checked_at + STALL_CHECK_INTERVAL {
            return;
        }
        self.stalls_checked_at = now;
        let total = &self.total;
        let waits =
            |name: &name::Endpoint| total.get(name).is_some_and(|load| load.pending_prefill > 0);
        self.waiting_since.retain(|name, _| waits(name));
        for (name, load) in &self.total {
            if load.pending_prefill == 0 {
                continue;
            }
            let since = *self.waiting_since.entry(name.clone()).or_insert(now);
            let is_known = self
                .risks
                .get(name)
                .is_some_and(|risk| !risk.is_negligible(now));
            if now >= since + STALL_TIMEOUT && !is_known {
                self.risks
                    .entry(name.clone())
                    .or_default()
                    .record_failure(1.0, now);
            }
        }
    }

    /// Returns the failure probabilities to send to a box: those that have changed, and those of
    /// the endpoints in `failed_at`, where it saw failures and has changed its own estimate.
    fn risks_for(
        &mut self,
        name: &name::Box,
        failed_at: &[name::Endpoint],
        now: Duration,
    ) -> Vec<Risk> {
        let Some(member) = self.members.get_mut(name) else {
            return Vec::new();
        };
        let mut updates = Vec::new();
        let known: Vec<_> = member.risks.keys().cloned().collect();
        let risky = self.risks.keys().cloned();
        let mut names: Vec<_> = risky
            .chain(known)
            .chain(failed_at.iter().cloned())
            .collect();
        names.sort_unstable();
        names.dedup();
        for endpoint in names {
            let risk = self.risks.get(&endpoint);
            let chance = risk.map_or(Chance::default(), |risk| risk.chance(now));
            let sent = member.risks.get(&endpoint).copied().unwrap_or_default();
            if !chance.differs_enough(sent) && !failed_at.contains(&endpoint) {
                continue;
            }
            if chance == Chance::default() {
                member.risks.remove(&endpoint);
            } else {
                member.risks.insert(endpoint.clone(), chance);
            }
            updates.push(Risk { endpoint, chance });
        }
        updates
    }

    fn forget_silent(&mut self, now: Duration) {
        let silent = self
            .members
            .iter()
            .filter(|(_, m)| m.heard_at + BOX_TIMEOUT < now);
        let silent: Vec<_> = silent.map(|(name, _)| name.clone()).collect();
        for name in silent {
            self.forget(&name);
        }
        let silent = self.peers.iter();
        let silent = silent.filter(|(_, peer)| peer.heard_at + HUB_TIMEOUT < now);
        let silent: Vec<_> = silent.map(|(name, _)| name.clone()).collect();
        for name in silent {
            self.forget_peer(&name);
        }
    }

    fn forget(&mut self, name: &name::Box) {
        let Some(member) = self.members.remove(name) else {
            return;
        };
        self.reachable.forget(name);
        for (endpoint, own) in member.own {
            subtract(&mut self.total, &endpoint, own);
            subtract(&mut self.local, &endpoint, own);
        }
    }

    fn forget_peer(&mut self, name: &name::Box) {
        let Some(peer) = self.peers.remove(name) else {
            return;
        };
        self.reachable.forget_named(name);
        for (endpoint, load) in peer.loads {
            subtract(&mut self.total, &endpoint, load);
        }
    }
}

/// How long an endpoint with waiting requests may produce no first token: several times the
/// prefill time of the longest prompts, since each prefill ends with a first token.
const STALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// How often stalled endpoints are looked for: ten times per `STALL_TIMEOUT` rather than in each
/// of some hundred exchanges a second.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The most outcomes of one kind in one message that change a risk. Further ones are ignored.
const MAX_OUTCOMES_COUNTED: u32 = 16;

/// Returns the placements from `next` on, and moves `next` behind the last one.
fn unsent<'a>(
    placements: &'a VecDeque<ReportedPlacement>,
    dropped: u64,
    next: &mut u64,
) -> impl Iterator<Item = &'a ReportedPlacement> {
    let sent = next.saturating_sub(dropped);
    *next = dropped + placements.len() as u64;
    placements
        .iter()
        .skip(usize::try_from(sent).unwrap_or(usize::MAX))
}

/// Replaces `before`, an endpoint's part of the sum, by its new load.
fn replace(loads: &mut Loads, loaded: &EndpointLoad, before: Load) {
    let counted = loads.get(&loaded.endpoint).copied().unwrap_or_default();
    set_or_remove(
        loads,
        &loaded.endpoint,
        counted.minus(before).plus(loaded.load),
    );
}

fn subtract(loads: &mut Loads, endpoint: &name::Endpoint, load: Load) {
    let counted = loads.get(endpoint).copied().unwrap_or_default();
    set_or_remove(loads, endpoint, counted.minus(load));
}
