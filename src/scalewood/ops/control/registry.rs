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

use jsonrpsee::{
    core::{async_trait, RpcResult, SubscriptionResult},
    PendingSubscriptionSink, SubscriptionMessage, SubscriptionSink,
};
use serde_json::value::RawValue;
use tokio::sync::watch;

use crate::{
    board::feed,
    core::{agree, change, load, name, pace, registry, unit, usage, wall},
    event,
    ops::control::Handle,
    store::hints,
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::registry::{Exchanged, Gathered, News, RegistryServer, Shared, Stamps, Update, Whole},
};

/// How often followers hear at least.
const ALIVE: Duration = Duration::from_secs(1);
/// How often followers are told which endpoints were heard of; well below the time
/// after which they forget them.
const HEARD: Duration = Duration::from_secs(3);
/// How long an endpoint may be silent before this voter forgets it.
const FORGET: Duration = Duration::from_secs(30);

/// How often what was measured is written, if it has changed: often enough that little is
/// measured anew after a loss of power, and rarely enough to cost next to nothing.
const KEEP_HINTS: Duration = Duration::from_secs(2);

/// How long ago an endpoint was heard of, at most, to be told to who gathers: some times as
/// long as the time between two such calls.
const LATELY: Duration = Duration::from_millis(800);

/// How long before an endpoint was heard of, at most, for it to be kept: some heartbeats.
const ALIVE_OF_LATE: Duration = Duration::from_secs(4);

/// Measured endpoints from which on those are forgotten that are not known here.
const MAX_MEASURED: usize = 32_768;

/// The endpoints that announced themselves here.
#[derive(Clone, Debug)]
pub(super) struct Endpoints {
    registry: Arc<Mutex<registry::Registry>>,
    /// What boxes measured of each endpoint.
    measured: Arc<Mutex<BTreeMap<name::Endpoint, pace::Reports>>>,
    /// Endpoints that served before this process started, and until when that counts.
    restored: Arc<Mutex<(Duration, Vec<registry::Record>)>>,
    /// What boxes have at endpoints.
    hub: Arc<Mutex<load::Hub>>,
    /// What boxes have counted of their usage.
    book: Arc<Mutex<usage::Book>>,
    /// The windows of usage that this voter has reported.
    reported: Arc<Mutex<BTreeSet<usage::Window>>>,
    /// The times of day that voters tell.
    readings: Arc<Mutex<wall::Readings>>,
    changed: watch::Sender<u64>,
    /// How many subscriptions there were; each has a number of its own.
    subscriptions: Arc<AtomicU64>,
    /// The boxes that follow, with the number of each one's latest subscription.
    followers: watch::Sender<BTreeMap<name::Box, u64>>,
    clock: clock::System,
    log: slog::Logger,
}

impl Endpoints {
    pub(super) fn new(clock: clock::System, log: slog::Logger) -> Self {
        Self {
            registry: Arc::default(),
            measured: Arc::default(),
            restored: Arc::default(),
            hub: Arc::default(),
            book: Arc::default(),
            reported: Arc::default(),
            readings: Arc::default(),
            changed: watch::Sender::new(0),
            subscriptions: Arc::default(),
            followers: watch::Sender::default(),
            clock,
            log,
        }
    }

    /// Whether an endpoint has announced itself here as one of a service.
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
        let merged = lock(&self.registry).merge(record, self.clock.now());
        if merged == registry::Merged::Restarted {
            // What boxes measured was of an earlier start.
            lock(&self.measured).remove(&name);
            lock(&self.hub).restarted(&name);
            event!(self.log, EndpointRestarted, "endpoint" => %name,
                "incarnation" => incarnation.map(|i| i.0), "sequence" => sequence);
        }
        if merged.is_news() {
            event!(self.log, EndpointAnnounced, "endpoint" => %name, "service" => %service,
                "state" => ?state, "sequence" => sequence);
            self.tell();
        }
    }

    /// Takes an endpoint's word that it has gone.
    pub(super) fn leave(&self, name: &name::Endpoint) {
        if lock(&self.registry).leave(name).is_news() {
            event!(self.log, EndpointGone, "endpoint" => %name);
            self.tell();
        }
    }

    /// Takes what a box heard in answers of endpoints that leave.
    fn take_leaving(&self, from: &name::Box, leaving: &[registry::Leaving]) {
        for told in leaving {
            let noted = lock(&self.registry).note_leaving(&told.name, told.start);
            if noted.is_news() {
                event!(self.log, EndpointLeaving, "endpoint" => %told.name, "by" => %from,
                    "incarnation" => told.start.map(|start| start.0));
                self.tell();
            }
        }
    }

    /// Takes what a box measured. Followers hear of it with the next news, and at once if
    /// other endpoints than before count as slow.
    fn take_paces(&self, from: &name::Box, paces: Vec<pace::Paced>) {
        let mut news = false;
        {
            let mut registry = lock(&self.registry);
            let mut measured = lock(&self.measured);
            if measured.len() > MAX_MEASURED {
                measured.retain(|name, _| registry.get(name).is_some());
            }
            for paced in paces {
                let reports = measured.entry(paced.endpoint.clone()).or_default();
                let median = reports.take(from.clone(), paced.pace);
                news |= registry.set_pace(&paced.endpoint, median);
            }
            news |= registry.regrade();
        }
        if news {
            self.tell();
        }
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

    fn hints(&self, committed: agree::Index) -> hints::Hints {
        let held_back = lock(&self.hub).crashes().held_back_rows();
        let registry = lock(&self.registry);
        let since = self.clock.now().saturating_sub(ALIVE_OF_LATE);
        let alive = registry.heard_since(since);
        let records = alive.iter().filter_map(|name| registry.get(name));
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
        let until = self.clock.now() + registry::RESTORED;
        *lock(&self.restored) = (until, hints.endpoints.clone());
    }

    /// The endpoints that served before this process started, for a moment after it.
    fn restored(&self) -> Vec<registry::Record> {
        let (until, records) = &*lock(&self.restored);
        if self.clock.now() < *until {
            records.clone()
        } else {
            Vec::new()
        }
    }

    /// What brings together what boxes have at endpoints.
    pub(super) fn hub(&self) -> &Mutex<load::Hub> {
        &self.hub
    }

    /// What boxes have counted of their usage.
    pub(super) fn book(&self) -> &Mutex<usage::Book> {
        &self.book
    }

    /// What boxes and endpoints have told since some stamps.
    pub(super) fn gather(&self, after: Stamps) -> Gathered {
        let usage = lock(&self.book).changed_since(after.usage);
        let registry = lock(&self.registry);
        let lately = self.clock.now().saturating_sub(LATELY);
        Gathered {
            stamps: Stamps {
                usage: usage.stamp,
                registry: registry.stamp(),
            },
            usage: usage.pages,
            changed: registry.told_since(after.registry, self.clock.now()),
            gone: registry.gone_since(after.registry),
            ended: registry.ended_since(after.registry),
            left: just_left(&registry, after.registry),
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
        lock(&self.readings).note(from, unix_ms, asked, answered);
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

/// Gives out the registry and the configuration.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) endpoints: Endpoints,
    pub(super) feed: Arc<feed::Feed>,
    pub(super) handle: Handle,
    /// The voter's availability zone, if its settings name it.
    pub(super) zone: Option<name::Zone>,
}

#[async_trait]
impl RegistryServer for Server {
    async fn follow(&self, pending: PendingSubscriptionSink, who: name::Box) -> SubscriptionResult {
        let sink = pending.accept().await?;
        let number = self.endpoints.followed_by(&who);
        tokio::select! {
            () = self.give(&sink) => {}
            () = self.endpoints.superseded(&who, number) => {}
        }
        self.endpoints.left_by(&who, number);
        Ok(())
    }

    async fn measured(&self, who: name::Box, paces: Vec<pace::Paced>) -> RpcResult<()> {
        self.endpoints.take_paces(&who, paces);
        Ok(())
    }

    async fn exchange(
        &self,
        who: name::Box,
        anew: bool,
        told: load::News,
        usage: usage::Told,
    ) -> RpcResult<Option<Exchanged>> {
        let now = self.endpoints.clock.now();
        self.endpoints.take_leaving(&who, &told.leaving);
        let load = {
            let mut hub = lock(&self.endpoints.hub);
            let known = anew || hub.knows(&who);
            known.then(|| hub.exchange(&who, anew, told, now))
        };
        let Some(load) = load else {
            return Ok(None);
        };
        let unix_ms = self.unix_ms();
        lock(&self.endpoints.book).take(usage::Page {
            source: usage::Source {
                name: who,
                start: usage.start,
            },
            heard_ms: unix_ms,
            rows: usage.rows,
        });
        Ok(Some(Exchanged { load, unix_ms }))
    }

    async fn share(&self, who: name::Box, anew: bool, told: load::News) -> RpcResult<Shared> {
        let now = self.endpoints.clock.now();
        Ok(Shared {
            known: lock(&self.endpoints.hub).take(&who, anew, told, now),
            unix_ms: self.endpoints.clock.unix_ms(),
        })
    }

    async fn gather(&self, after: Stamps) -> RpcResult<Gathered> {
        Ok(self.endpoints.gather(after))
    }

    async fn document(&self, newer_than: unit::Revision) -> RpcResult<Option<Update>> {
        let state = self.feed.current();
        if state.revision <= newer_than {
            return Ok(None);
        }
        if let Some(steps) = state.since(newer_than) {
            let steps = steps.iter().map(|step| change::Step::clone(step));
            return Ok(Some(Update::Steps(steps.collect())));
        }
        let text = state.text().unwrap_or_default();
        // A text that was made of a document is JSON.
        let document = RawValue::from_string(text.to_string());
        let whole = |document| Whole {
            revision: state.revision,
            document,
        };
        Ok(document.ok().map(|document| Update::Whole(whole(document))))
    }
}

impl Server {
    /// The time of day that the voters agree on, in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64 {
        let members = self.handle.voter_count();
        self.endpoints.unix_ms(members)
    }

    /// Sends a follower all news until it goes.
    async fn give(&self, sink: &SubscriptionSink) {
        let mut endpoints = self.endpoints.changed.subscribe();
        let mut feed = self.feed.watch();
        let mut stamp = 0;
        let mut heard_from = Duration::ZERO;
        let mut told = Vec::new();
        let mut zone = self.zone.clone();
        loop {
            endpoints.borrow_and_update();
            feed.borrow_and_update();
            let now = self.endpoints.clock.now();
            let restored = if stamp == 0 {
                self.endpoints.restored()
            } else {
                Vec::new()
            };
            let mut news = News {
                zone: zone.take(),
                restored,
                ..News::default()
            };
            if now >= heard_from + HEARD {
                news.heard = lock(&self.endpoints.registry).heard_since(heard_from);
                heard_from = now;
            }
            stamp = self.fill(&mut news, stamp, &mut told);
            if send(sink, &news).await.is_none() {
                return;
            }
            tokio::select! {
                changed = endpoints.changed() => if changed.is_err() { return },
                changed = feed.changed() => if changed.is_err() { return },
                () = tokio::time::sleep(ALIVE) => {}
                () = sink.closed() => return,
            }
        }
    }

    /// Adds what a follower at a stamp has to be told; returns its next stamp.
    fn fill(&self, news: &mut News, stamp: u64, told: &mut Vec<SocketAddr>) -> u64 {
        let mut registry = lock(&self.endpoints.registry);
        let now = self.endpoints.clock.now();
        registry.expire(now.saturating_sub(FORGET));
        registry.regrade();
        news.changed = registry.told_since(stamp, now);
        news.gone = registry.gone_since(stamp);
        news.ended = registry.ended_since(stamp);
        news.left = just_left(&registry, stamp);
        news.leaving = registry.leaving_since(stamp);
        news.paces = registry.paces_since(stamp);
        news.revision = self.feed.current().revision;
        news.followers = self.endpoints.follower_count();
        let next = registry.stamp();
        drop(registry);
        let members = self.handle.published().status.members;
        let voters: Vec<_> = members.addresses().map(|(_, address)| *address).collect();
        if *told != voters {
            told.clone_from(&voters);
            news.voters = voters;
        }
        next
    }
}

/// The endpoints that left after a stamp while no start of theirs was known here. Who asks for the
/// first time may know a start that began long after that, and isn't told.
fn just_left(registry: &registry::Registry, stamp: u64) -> Vec<name::Endpoint> {
    if stamp == 0 {
        return Vec::new();
    }
    registry.left_since(stamp)
}

async fn send(sink: &SubscriptionSink, news: &News) -> Option<()> {
    let raw = serde_json::value::to_raw_value(news).ok()?;
    sink.send(SubscriptionMessage::from(raw)).await.ok()
}
