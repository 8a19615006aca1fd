//! What a voter knows of endpoints that announced themselves, and its followers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use tokio::sync::watch;

use crate::{
    core::{load, name, pace, raft, registry, throttle, unit, usage, wall_clock},
    event,
    ops::control::Handle,
    store::hints,
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::registry::{Gathered, Stamps},
};

mod peers;
mod server;

pub(super) use server::Server;

/// How often this voter looks for endpoints that fell silent.
const SWEEP: Duration = Duration::from_millis(500);
/// How often what was measured is written, if it has changed: often enough that little is
/// measured anew after a loss of power, and rarely enough to cost next to nothing.
const KEEP_HINTS: Duration = Duration::from_secs(2);

/// How long ago an endpoint was heard of, at most, to be told to who gathers: some times as
/// long as the time between two such calls.
const LATELY: Duration = Duration::from_millis(800);

/// How long before an endpoint was heard of, at most, for it to be kept, in heartbeats.
const ALIVE_OF_LATE: u32 = 3;

/// Measured endpoints from which on those are forgotten that are not known here.
const MAX_MEASURED: usize = 32_768;

/// The endpoints that are known here.
#[derive(Clone, Debug)]
pub(super) struct Endpoints {
    /// Those that announced themselves here, which other voters are told of.
    own: Arc<Mutex<registry::Registry>>,
    /// Those that announced themselves to any voter, which boxes are told of.
    registry: Arc<Mutex<registry::Registry>>,
    /// The other voters that are heard, by their addresses.
    voters: Arc<Mutex<BTreeMap<SocketAddr, peers::Heard>>>,
    /// Since when another voter has had a newer configuration than the one that is named.
    behind_since: Arc<Mutex<Option<(unit::Revision, Duration)>>>,
    /// When endpoints that fell silent were looked for last.
    swept: Arc<Mutex<Duration>>,
    /// What boxes measured of each endpoint.
    measured: Arc<Mutex<BTreeMap<name::Endpoint, pace::Reports>>>,
    /// Endpoints that served before this process or another voter's started.
    restored: Arc<Mutex<registry::Remembered>>,
    /// What boxes have at endpoints.
    hub: Arc<Mutex<load::Hub>>,
    /// Permits for endpoints that limit their requests.
    issuer: Arc<Mutex<throttle::Issuer>>,
    /// What boxes have counted of their usage.
    book: Arc<Mutex<usage::Book>>,
    /// The windows of usage that this voter has reported.
    reported: Arc<Mutex<BTreeSet<usage::Window>>>,
    /// The times of day that voters tell.
    readings: Arc<Mutex<wall_clock::Readings>>,
    changed: watch::Sender<u64>,
    /// How many subscriptions there were; each has a number of its own.
    subscriptions: Arc<AtomicU64>,
    /// The boxes that follow, with the number of each one's latest subscription.
    followers: watch::Sender<BTreeMap<name::Box, u64>>,
    started: Duration,
    clock: clock::System,
    log: slog::Logger,
}

impl Endpoints {
    pub(super) fn new(
        own: name::Box,
        timing: registry::Timing,
        clock: clock::System,
        log: slog::Logger,
    ) -> Self {
        let registry = || Arc::new(Mutex::new(registry::Registry::new(timing)));
        Self {
            own: registry(),
            registry: registry(),
            voters: Arc::default(),
            behind_since: Arc::default(),
            swept: Arc::default(),
            measured: Arc::default(),
            restored: Arc::default(),
            hub: Arc::default(),
            issuer: Arc::new(Mutex::new(throttle::Issuer::new(own))),
            book: Arc::default(),
            reported: Arc::default(),
            readings: Arc::default(),
            changed: watch::Sender::new(0),
            subscriptions: Arc::default(),
            followers: watch::Sender::default(),
            started: clock.now(),
            clock,
            log,
        }
    }

    /// The times that follow from how often endpoints tell of themselves.
    pub(super) fn timing(&self) -> registry::Timing {
        lock(&self.registry).timing()
    }

    /// Whether an endpoint has announced itself as one of a service.
    pub(super) fn serves(&self, name: &name::Endpoint, service: &name::Service) -> bool {
        let registry = lock(&self.registry);
        registry
            .get(name)
            .is_some_and(|known| known.service == *service)
    }

    /// Takes a heartbeat.
    pub(super) fn announce(&self, record: registry::Record) {
        let (name, state, sequence) = (record.name.clone(), record.state, record.sequence);
        let service = record.service.clone();
        let incarnation = record.incarnation;
        let now = self.clock.now();
        let is_new_here = lock(&self.own).merge(record.clone(), now).must_propagate();
        let merged = lock(&self.registry).merge(record, now);
        if merged == registry::Merged::Restarted {
            // What boxes measured was of an earlier start.
            lock(&self.measured).remove(&name);
            lock(&self.hub).restarted(&name);
            event!(self.log, EndpointRestarted, "endpoint" => %name,
                "incarnation" => incarnation.map(|i| i.0), "sequence" => sequence);
        }
        if merged.must_propagate() {
            event!(self.log, EndpointAnnounced, "endpoint" => %name, "service" => %service,
                "state" => ?state, "sequence" => sequence);
        }
        if is_new_here || merged.must_propagate() {
            self.tell();
        }
    }

    /// Takes an endpoint's word that it has gone.
    pub(super) fn leave(&self, name: &name::Endpoint) {
        let (known, merged) = {
            let mut registry = lock(&self.registry);
            let known = registry.get(name).map(|record| record.incarnation);
            (known, registry.leave(name))
        };
        // Others may not know which start it is that this voter has heard of by another one.
        let told = match known {
            Some(start) => lock(&self.own).end(name, start),
            None => lock(&self.own).leave(name),
        };
        if merged.must_propagate() {
            event!(self.log, EndpointGone, "endpoint" => %name);
        }
        if merged.must_propagate() || told.must_propagate() {
            self.tell();
        }
    }

    /// Takes what a box heard in answers of endpoints that leave.
    fn take_leaving(&self, from: &name::Box, leaving: &[registry::Leaving]) {
        for told in leaving {
            let noted = lock(&self.registry).record_leaving(&told.name, told.start);
            if noted.must_propagate() {
                self.pass_on_leaving(told);
                event!(self.log, EndpointLeaving, "endpoint" => %told.name, "by" => %from,
                    "incarnation" => told.start.map(|start| start.0));
                self.tell();
            }
        }
    }

    /// Has the other voters hear of an endpoint that leaves, whomever it tells of itself.
    fn pass_on_leaving(&self, told: &registry::Leaving) {
        let known = lock(&self.registry).get(&told.name).cloned();
        let mut own = lock(&self.own);
        if let Some(record) = known.filter(|_| own.get(&told.name).is_none()) {
            own.merge(record, self.clock.now());
        }
        own.record_leaving(&told.name, told.start);
    }

    /// Takes what a box measured. Followers hear of it with the next news, and at once if
    /// other endpoints than before count as slow.
    fn take_paces(&self, from: &name::Box, paces: Vec<pace::Paced>) {
        let mut news = false;
        let mut medians = Vec::with_capacity(paces.len());
        {
            let mut registry = lock(&self.registry);
            let mut measured = lock(&self.measured);
            if measured.len() > MAX_MEASURED {
                measured.retain(|name, _| registry.get(name).is_some());
            }
            for paced in paces {
                let reports = measured.entry(paced.endpoint.clone()).or_default();
                let median = reports.record(from.clone(), paced.pace);
                news |= registry.set_pace(&paced.endpoint, median);
                medians.push((paced.endpoint, median));
            }
            news |= registry.regrade();
        }
        let mut own = lock(&self.own);
        for (endpoint, median) in medians {
            own.set_pace(&endpoint, median);
        }
        drop(own);
        if news {
            self.tell();
        }
    }

    /// Forgets the endpoints that fell silent, once in a while.
    fn sweep(&self, now: Duration) {
        {
            let mut swept = lock(&self.swept);
            if now < *swept + SWEEP {
                return;
            }
            *swept = now;
        }
        lock(&self.own).expire_silent(now);
        let mut registry = lock(&self.registry);
        registry.expire_silent(now);
        registry.regrade();
    }

    /// Keeps what a restart should not forget in a voter's folder, for ever.
    pub(super) async fn keep_hints(self, place: hints::Place, handle: Handle) {
        let mut kept = hints::Hints::default();
        let mut failing = false;
        loop {
            tokio::time::sleep(KEEP_HINTS).await;
            let fresh = self.hints(handle.published().status.committed);
            if fresh == kept {
                continue;
            }
            let (place, written) = (place.clone(), fresh.clone());
            // A disk that hangs holds up this task alone.
            let saved = tokio::task::spawn_blocking(move || place.save(&written)).await;
            match saved {
                Ok(Ok(())) => {
                    kept = fresh;
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

    fn hints(&self, committed: raft::Index) -> hints::Hints {
        let held_back = lock(&self.hub).crashes().held_back_rows();
        let registry = lock(&self.registry);
        let since = self
            .clock
            .now()
            .saturating_sub(ALIVE_OF_LATE * registry.timing().heartbeat);
        let own = lock(&self.own);
        let alive = own.heard_since(since);
        let records = alive.iter().filter_map(|name| own.get(name));
        let ready = records.filter(|record| record.state == registry::State::Ready);
        // The number changes with each heartbeat, and is worth no write by itself.
        let endpoints = ready.map(|record| registry::Record {
            sequence: 0,
            ..record.clone()
        });
        hints::Hints {
            paces: registry.paces_since(0),
            endpoints: endpoints.collect(),
            held_back,
            committed,
        }
    }

    /// Takes over what was known before this process started.
    pub(super) fn take_hints(&self, hints: &hints::Hints) {
        lock(&self.hub).restore(&hints.held_back, self.clock.now());
        let mut registry = lock(&self.registry);
        for paced in &hints.paces {
            registry.set_pace(&paced.endpoint, paced.pace);
        }
        registry.regrade();
        let until = self.clock.now() + registry.timing().restored_timeout();
        *lock(&self.restored) = registry::Remembered::new(hints.endpoints.clone(), until);
    }

    /// What brings together what boxes have at endpoints.
    pub(super) fn hub(&self) -> &Mutex<load::Hub> {
        &self.hub
    }

    /// What issues permits for endpoints that limit their requests.
    pub(super) fn issuer(&self) -> &Mutex<throttle::Issuer> {
        &self.issuer
    }

    /// What boxes have counted of their usage.
    pub(super) fn book(&self) -> &Mutex<usage::Book> {
        &self.book
    }

    /// What boxes and endpoints have told since some stamps.
    pub(super) fn gather(&self, after: Stamps) -> Gathered {
        let usage = lock(&self.book).changed_since(after.usage);
        let registry = lock(&self.own);
        let lately = self.clock.now().saturating_sub(LATELY);
        Gathered {
            stamps: Stamps {
                usage: usage.stamp,
                registry: registry.stamp(),
            },
            usage: usage.pages,
            changed: registry.records_since(after.registry, self.clock.now()),
            gone: registry.gone_since(after.registry),
            ended: registry.ended_since(after.registry),
            left: just_left(&registry, after.registry.into()),
            leaving: registry.leaving_since(after.registry),
            heard: registry.heard_since(lately),
        }
    }

    /// The windows of usage that this voter has reported.
    pub(super) fn reported(&self) -> &Mutex<BTreeSet<usage::Window>> {
        &self.reported
    }

    /// How many endpoints are known, and how many boxes follow.
    pub(super) fn counts(&self) -> (usize, u32) {
        let known = lock(&self.registry).records().count();
        (known, self.follower_count())
    }

    fn follower_count(&self) -> u32 {
        u32::try_from(self.followers.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Notes that a box follows; returns the number of this subscription.
    fn followed_by(&self, who: &name::Box) -> u64 {
        let number = self.subscriptions.fetch_add(1, Ordering::Relaxed);
        self.followers.send_modify(|followers| {
            followers.insert(who.clone(), number);
        });
        number
    }

    /// Waits until a box has subscribed anew: its connection before that fell silent, and what
    /// is sent over it would be counted and kept for nobody.
    async fn superseded(&self, who: &name::Box, number: u64) {
        let mut followers = self.followers.subscribe();
        let is_later = |followers: &BTreeMap<_, _>| followers.get(who) > Some(&number);
        // The sender lives as long as this.
        let _ = followers.wait_for(is_later).await;
    }

    /// Notes that a subscription has ended.
    fn left_by(&self, who: &name::Box, number: u64) {
        self.followers.send_if_modified(|followers| {
            let is_latest = followers.get(who) == Some(&number);
            if is_latest {
                followers.remove(who);
            }
            is_latest
        });
    }

    /// Notes another voter's time of day, as it told it in answer to a question.
    pub(super) fn note_time(&self, from: &name::Box, unix_ms: u64, asked: Duration) {
        let answered = self.clock.now();
        lock(&self.readings).record(from, unix_ms, asked, answered);
    }

    /// The time of day that so many voters agree on, in milliseconds since the Unix epoch.
    pub(super) fn unix_ms(&self, voters: usize) -> u64 {
        let now = self.clock.now();
        let offset = lock(&self.readings).agree(self.clock.unix_ms(), voters, now);
        offset.unix_ms(now)
    }

    fn tell(&self) {
        let stamp = lock(&self.registry).stamp();
        self.changed.send_replace(stamp);
    }
}

/// The endpoints that left after a stamp while no start of theirs was known here. Who asks for the
/// first time may know a start that began long after that, and isn't told.
fn just_left(registry: &registry::Registry, span: registry::Span) -> Vec<name::Endpoint> {
    if span.after == 0 {
        return Vec::new();
    }
    registry.left_without_start_since(span)
}
