//! A voter's soft state: the endpoints that announced themselves, the loads and usage that boxes
//! report, and the followers that are sent changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use jsonrpsee::ws_client::WsClient;
use tokio::sync::watch;

use crate::{
    core::{
        departure, load, name, origin, pace, registry, retry, throttle, unit, usage, wall_clock,
    },
    event,
    ops::control::replica::Published,
    store::{hints, latency},
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::registry::{Gathered, Stamps},
};

mod departures;
mod origins;
mod peers;
mod server;

pub(super) use server::Server;

/// The interval at which endpoints that fell silent are looked for.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// The interval at which the hints are written if they have changed: short enough that little is
/// measured again after a power loss, and long enough that the writes cost next to nothing.
const HINTS_PERIOD: Duration = Duration::from_secs(2);

/// How recently an endpoint must have been heard to be listed in an answer to `gather`: several
/// times the interval between two such calls.
const GATHER_HEARD_WITHIN: Duration = Duration::from_millis(800);

/// How recently an endpoint must have been heard to be stored in the hints, in heartbeat intervals.
const HINTS_HEARD_WITHIN_HEARTBEATS: u32 = 3;

/// The number of endpoints with reported paces above which those that are not in the registry are
/// dropped.
const MAX_PACED_ENDPOINTS: usize = 32_768;

/// The most streams whose origins a voter remembers, some 16 MB.
const MAX_ORIGINS: usize = 131_072;

/// A voter's soft state, shared between its tasks.
#[derive(Clone, Debug)]
pub(super) struct SoftState {
    /// The endpoints that announced themselves to this voter, which other voters follow.
    own: Arc<Mutex<registry::Registry>>,
    /// The endpoints that announced themselves to any voter, which boxes follow.
    registry: Arc<Mutex<registry::Registry>>,
    /// The other voters whose registries are followed, by address.
    voters: Arc<Mutex<BTreeMap<SocketAddr, peers::Peer>>>,
    /// This voter's revision, and since when another voter has had a newer configuration.
    behind_since: Arc<Mutex<Option<(unit::Revision, Duration)>>>,
    /// When endpoints that fell silent were last looked for.
    swept_at: Arc<Mutex<Duration>>,
    /// What this voter knows to be committed.
    published: watch::Receiver<Published>,
    /// The paces that boxes reported of each endpoint.
    pace_reports: Arc<Mutex<BTreeMap<name::Endpoint, pace::Reports>>>,
    /// The endpoints that served before this process, or the process of another voter, started.
    restored: Arc<Mutex<registry::RestoredRecords>>,
    /// The loads of boxes at endpoints.
    hub: Arc<Mutex<load::Hub>>,
    /// Issues permits for endpoints that limit their requests.
    issuer: Arc<Mutex<throttle::Issuer>>,
    /// Lends capacity for the boxes' retry budgets.
    lender: Arc<Mutex<retry::Lender>>,
    /// The origins of streams that boxes have reported.
    origins: Arc<Mutex<origin::Book>>,
    /// The connections to the other voters.
    clients: Arc<Mutex<BTreeMap<SocketAddr, Arc<WsClient>>>>,
    /// The usage that boxes have reported.
    book: Arc<Mutex<usage::Book>>,
    /// The usage windows that this voter has reported to the provider.
    reported: Arc<Mutex<BTreeSet<usage::Window>>>,
    /// The times of day that voters reported.
    readings: Arc<Mutex<wall_clock::Readings>>,
    /// Notifies the subscriptions that there is something new to send.
    changed: watch::Sender<u64>,
    /// The number of the next subscription.
    next_subscription: Arc<AtomicU64>,
    /// The boxes that follow this voter, with the number of each one's latest subscription.
    followers: watch::Sender<BTreeMap<name::Box, u64>>,
    /// When this process started.
    started_at: Duration,
    /// Since when this voter knows all builds of endpoints that it was told of; `None` for ever.
    knows_builds_since: Option<Duration>,
    clock: clock::System,
    log: slog::Logger,
}

impl SoftState {
    pub(super) fn new(
        own: name::Box,
        timing: registry::Timing,
        lender: retry::Lender,
        knows_builds_since: Option<Duration>,
        published: watch::Receiver<Published>,
        clock: clock::System,
        log: slog::Logger,
    ) -> Self {
        let registry = || Arc::new(Mutex::new(registry::Registry::new(timing)));
        Self {
            own: registry(),
            registry: registry(),
            voters: Arc::default(),
            behind_since: Arc::default(),
            swept_at: Arc::default(),
            published,
            pace_reports: Arc::default(),
            restored: Arc::default(),
            hub: Arc::default(),
            issuer: Arc::new(Mutex::new(throttle::Issuer::new(own))),
            lender: Arc::new(Mutex::new(lender)),
            origins: Arc::new(Mutex::new(origin::Book::new(MAX_ORIGINS))),
            clients: Arc::default(),
            book: Arc::default(),
            reported: Arc::default(),
            readings: Arc::default(),
            changed: watch::Sender::new(0),
            next_subscription: Arc::default(),
            followers: watch::Sender::default(),
            started_at: clock.now(),
            knows_builds_since,
            clock,
            log,
        }
    }

    /// Returns the time limits that follow from the heartbeat interval of endpoints.
    pub(super) fn timing(&self) -> registry::Timing {
        lock(&self.registry).timing()
    }

    /// Returns whether an endpoint has announced itself as one of a service.
    pub(super) fn serves(&self, name: &name::Endpoint, service: &name::Service) -> bool {
        let registry = lock(&self.registry);
        registry
            .get(name)
            .is_some_and(|known| known.service == *service)
    }

    /// Merges a heartbeat.
    pub(super) fn announce(&self, mut record: registry::Record) {
        self.apply_departure(&mut record);
        let (name, state, sequence) = (record.name.clone(), record.state, record.sequence);
        let (service, build) = (record.service.clone(), record.build.clone());
        let incarnation = record.incarnation;
        let now = self.clock.now();
        let is_new_here = lock(&self.own).merge(record.clone(), now).must_propagate();
        let merged = lock(&self.registry).merge(record, now);
        if merged == registry::Merged::Restarted {
            // The reported paces are those of an earlier start.
            lock(&self.pace_reports).remove(&name);
            lock(&self.hub).forget_earlier_starts(&name);
            event!(self.log, EndpointRestarted, "endpoint" => %name,
                "incarnation" => incarnation.map(|i| i.0), "sequence" => sequence);
        }
        if merged.must_propagate() {
            event!(self.log, EndpointAnnounced, "endpoint" => %name, "service" => %service, "build" => %build,
                "state" => ?state, "sequence" => sequence);
        }
        if is_new_here || merged.must_propagate() {
            self.notify();
        }
    }

    /// Records that an endpoint announced that it has shut down. Returns the departure, which is
    /// to be committed before it is acknowledged.
    pub(super) fn leave(&self, name: &name::Endpoint) -> departure::Departure {
        let start = self.end(name);
        departure::Departure {
            name: name.clone(),
            start,
            state: registry::State::Gone,
        }
    }

    /// Ends the known start of an endpoint; returns the start.
    fn end(&self, name: &name::Endpoint) -> registry::Start {
        let (known, merged) = {
            let mut registry = lock(&self.registry);
            let known = registry.get(name).map(|record| record.incarnation);
            (known, registry.leave(name))
        };
        // This voter may know the endpoint's start only from another voter. The end names the
        // start, since the receivers may know a different one.
        let ended = match known {
            Some(start) => lock(&self.own).end(name, start),
            None => lock(&self.own).leave(name),
        };
        if merged.must_propagate() {
            event!(self.log, EndpointGone, "endpoint" => %name);
        }
        if merged.must_propagate() || ended.must_propagate() {
            self.notify();
        }
        known.unwrap_or_else(|| lock(&self.restored).start_of(name))
    }

    /// Records the endpoints that, as a box reports, announced in responses that they are leaving.
    fn record_leaving(&self, from: &name::Box, leaving: &[registry::Leaving]) {
        for report in leaving {
            let recorded = lock(&self.registry).record_leaving(&report.name, report.start);
            if recorded.must_propagate() {
                self.forward_leaving(report);
                event!(self.log, EndpointLeaving, "endpoint" => %report.name, "by" => %from,
                    "incarnation" => report.start.map(|start| start.0));
                self.notify();
            }
        }
    }

    /// Tells the other voters that an endpoint is leaving, even if it announces itself to another
    /// voter: its record is copied to the endpoints that are sent from here.
    fn forward_leaving(&self, report: &registry::Leaving) {
        let known = lock(&self.registry).get(&report.name).cloned();
        let mut own = lock(&self.own);
        if let Some(record) = known.filter(|_| own.get(&report.name).is_none()) {
            own.merge(record, self.clock.now());
        }
        own.record_leaving(&report.name, report.start);
    }

    /// Records the paces that a box measured. Followers are sent the changed medians with the next
    /// message, which is sent at once if an endpoint had no known pace before or if other endpoints
    /// now count as slow.
    fn record_paces(&self, from: &name::Box, paces: Vec<pace::EndpointPace>) {
        let mut changed = false;
        let mut medians = Vec::with_capacity(paces.len());
        {
            let mut registry = lock(&self.registry);
            let mut pace_reports = lock(&self.pace_reports);
            if pace_reports.len() > MAX_PACED_ENDPOINTS {
                pace_reports.retain(|name, _| registry.get(name).is_some());
            }
            for paced in paces {
                let reports = pace_reports.entry(paced.endpoint.clone()).or_default();
                let median = reports.record(from.clone(), paced.pace);
                changed |= registry.set_pace(&paced.endpoint, median);
                medians.push((paced.endpoint, median));
            }
            changed |= registry.regrade();
        }
        let mut own = lock(&self.own);
        for (endpoint, median) in medians {
            own.set_pace(&endpoint, median);
        }
        drop(own);
        if changed {
            self.notify();
        }
    }

    /// Forgets the endpoints that fell silent, at most once per `SWEEP_PERIOD`.
    fn sweep(&self, now: Duration) {
        {
            let mut swept_at = lock(&self.swept_at);
            if now < *swept_at + SWEEP_PERIOD {
                return;
            }
            *swept_at = now;
        }
        lock(&self.own).expire_silent(now);
        let mut registry = lock(&self.registry);
        registry.expire_silent(now);
        registry.regrade();
    }

    /// Writes the hints to the data folder whenever they have changed, for ever.
    pub(super) async fn store_hints(
        self,
        store: hints::Store,
        monitor: latency::Monitor<clock::System>,
    ) {
        let mut stored = hints::Hints::default();
        let mut failing = false;
        loop {
            tokio::time::sleep(HINTS_PERIOD).await;
            let fresh = self.hints();
            if fresh == stored {
                continue;
            }
            let (store, written) = (store.clone(), fresh.clone());
            let monitor = monitor.clone();
            let save = move || {
                monitor.measure("hints", latency::Operation::Replace, || {
                    store.save(&written)
                })
            };
            // A disk that hangs blocks this task only.
            let saved = tokio::task::spawn_blocking(save).await;
            match saved {
                Ok(Ok(())) => {
                    stored = fresh;
                    failing = false;
                }
                Ok(Err(error)) if !failing => {
                    event!(self.log, HintsFailed, "why" => %error);
                    failing = true;
                }
                Ok(Err(_)) => {}
                Err(error) => event!(self.log, HintsFailed, "why" => %error),
            }
        }
    }

    /// Returns the hints for the next start of this voter.
    fn hints(&self) -> hints::Hints {
        let departures = self.departures();
        let (held_back, suspected) = lock(&self.hub).crashes().rows();
        let registry = lock(&self.registry);
        let since = self
            .clock
            .now()
            .saturating_sub(HINTS_HEARD_WITHIN_HEARTBEATS * registry.timing().heartbeat);
        let own = lock(&self.own);
        let alive = own.heard_since(since);
        let records = alive.iter().filter_map(|name| own.get(name));
        let ready = records.filter(|record| {
            record.state == registry::State::Ready
                && !departures.may_include(&record.name, record.incarnation)
        });
        // The sequence number changes with each heartbeat, which alone does not justify a write.
        let endpoints = ready.map(|record| registry::Record {
            sequence: 0,
            warm_up: self.stored_warm_up(&own, &record.name),
            ..record.clone()
        });
        hints::Hints {
            paces: registry.paces_since(0),
            endpoints: endpoints.collect(),
            held_back,
            suspected,
            departures: departures.count(),
        }
    }

    /// Restores the hints that an earlier start of this voter stored.
    pub(super) fn restore_hints(&self, hints: &hints::Hints) {
        let crashes = [&hints.held_back[..], &hints.suspected].concat();
        lock(&self.hub).restore(crashes, self.clock.now());
        let mut registry = lock(&self.registry);
        for paced in &hints.paces {
            registry.set_pace(&paced.endpoint, paced.pace);
        }
        registry.regrade();
        let until = self.clock.now() + registry.timing().restored_timeout();
        let restored = registry::RestoredRecords::new(hints.endpoints.clone(), until);
        *lock(&self.restored) = restored.recorded_after(hints.departures);
    }

    /// Returns the hub that aggregates the loads of boxes.
    pub(super) fn hub(&self) -> &Mutex<load::Hub> {
        &self.hub
    }

    /// Returns the issuer of permits for endpoints that limit their requests.
    pub(super) fn issuer(&self) -> &Mutex<throttle::Issuer> {
        &self.issuer
    }

    /// Returns the usage that boxes have reported.
    pub(super) fn usage(&self) -> &Mutex<usage::Book> {
        &self.book
    }

    /// Returns what boxes and endpoints have reported since the given stamps.
    pub(super) fn gather(&self, after: Stamps) -> Gathered {
        let usage = lock(&self.book).changed_since(after.usage);
        let registry = lock(&self.own);
        let recently = self.clock.now().saturating_sub(GATHER_HEARD_WITHIN);
        Gathered {
            stamps: Stamps {
                usage: usage.stamp,
                registry: registry.stamp(),
            },
            usage: usage.pages,
            changed: registry.records_since(after.registry, self.clock.now()),
            gone: registry.gone_since(after.registry),
            ended: registry.ended_since(after.registry),
            left: left_since_stamp(&registry, after.registry.into()),
            leaving: registry.leaving_since(after.registry),
            heard: registry.heard_since(recently),
        }
    }

    /// Returns the usage windows that this voter has reported to the provider.
    pub(super) fn reported_windows(&self) -> &Mutex<BTreeSet<usage::Window>> {
        &self.reported
    }

    /// Returns the number of known endpoints and the number of boxes that follow.
    pub(super) fn counts(&self) -> (usize, u32) {
        let known = lock(&self.registry).records().count();
        (known, self.follower_count())
    }

    /// Returns the number of boxes that follow this voter.
    fn follower_count(&self) -> u32 {
        u32::try_from(self.followers.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Adds a subscription of a box; returns the number of the subscription.
    fn add_follower(&self, who: &name::Box) -> u64 {
        let number = self.next_subscription.fetch_add(1, Ordering::Relaxed);
        self.followers.send_modify(|followers| {
            followers.insert(who.clone(), number);
        });
        number
    }

    /// Waits until a box has a later subscription than this one. A box subscribes again after its
    /// connection fell silent; messages on the earlier connection would be counted and buffered
    /// although nobody receives them.
    async fn superseded(&self, who: &name::Box, number: u64) {
        let mut followers = self.followers.subscribe();
        let is_later = |followers: &BTreeMap<_, _>| followers.get(who) > Some(&number);
        // This can't fail, since the sender belongs to `self`.
        let _ = followers.wait_for(is_later).await;
    }

    /// Removes a subscription that has ended, unless the box has a later one.
    fn remove_follower(&self, who: &name::Box, number: u64) {
        self.followers.send_if_modified(|followers| {
            let is_latest = followers.get(who) == Some(&number);
            if is_latest {
                followers.remove(who);
            }
            is_latest
        });
    }

    /// Records another voter's time of day, from its answer to a call made at `asked_at`.
    pub(super) fn record_time(&self, from: &name::Box, unix_ms: u64, asked_at: Duration) {
        let answered = self.clock.now();
        lock(&self.readings).record(from, unix_ms, asked_at, answered);
    }

    /// Returns the time of day that the voters agree on, in milliseconds since the Unix epoch;
    /// `voters` is their number.
    pub(super) fn unix_ms(&self, voters: usize) -> u64 {
        let now = self.clock.now();
        let offset = lock(&self.readings).agree(self.clock.unix_ms(), voters, now);
        offset.unix_ms(now)
    }

    /// Notifies the subscriptions that there is something new to send.
    fn notify(&self) {
        let stamp = lock(&self.registry).stamp();
        self.changed.send_replace(stamp);
    }
}

/// Returns the endpoints that left within a range of stamps while this voter knew no start of them.
/// A receiver's first request returns none: the receiver may know a start that began long after the
/// endpoint left.
fn left_since_stamp(
    registry: &registry::Registry,
    span: registry::StampRange,
) -> Vec<name::Endpoint> {
    if span.after == 0 {
        return Vec::new();
    }
    registry.left_without_start_since(span)
}
