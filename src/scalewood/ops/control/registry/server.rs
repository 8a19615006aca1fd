//! Gives out what a voter knows of endpoints to boxes and to the other voters.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::{
    core::{async_trait, RpcResult, SubscriptionResult},
    PendingSubscriptionSink, SubscriptionMessage, SubscriptionSink,
};
use serde_json::value::RawValue;

use super::{just_left, Endpoints};
use crate::{
    board::feed,
    core::{change, load, name, pace, registry, throttle, unit, usage},
    ops::control::Handle,
    util::{
        clock::Clock as _,
        lock::{self, lock},
    },
    wire::registry::{
        Exchanged, Gathered, News, Place, RegistryServer, Shared, Stamps, Tracker, Update, Whole,
    },
};

/// How often followers hear at least.
const ALIVE: Duration = Duration::from_secs(1);
/// How often followers are told which endpoints were heard of; well below the time
/// after which they forget them.
const HEARD: Duration = Duration::from_secs(3);
/// How long a follower is not told again: what changes meanwhile is told at once.
const BATCH: Duration = Duration::from_millis(50);
/// The most records of a message, 64 KB: a follower with a slow link hears something all the time.
const PAGE: usize = 256;

/// Gives out the registry and the configuration.
#[derive(Clone, Debug)]
pub(in crate::ops::control) struct Server {
    pub(in crate::ops::control) endpoints: Endpoints,
    pub(in crate::ops::control) feed: Arc<feed::Feed>,
    pub(in crate::ops::control) handle: Handle,
    /// The voter's availability zone, if its settings name it.
    pub(in crate::ops::control) zone: Option<name::Zone>,
    /// Where the other processes reach it.
    pub(in crate::ops::control) address: SocketAddr,
}

/// What a follower has been told.
#[derive(Debug, Default)]
struct Told {
    stamp: u64,
    /// Up to when it was told which endpoints were heard of.
    heard: Duration,
    /// How many of the endpoints that were only remembered.
    restored: usize,
    voters: Vec<SocketAddr>,
    zone: bool,
    at: Duration,
    /// Whether there is more to tell than one message holds.
    behind: bool,
}

/// Who follows, as far as that decides what it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Follower {
    /// A box that wants the names of those that were heard of.
    ByNames,
    /// One that goes by what this voter vouches for.
    ByChanges(Tracker),
}

impl Follower {
    fn is_voter(self) -> bool {
        self == Self::ByChanges(Tracker::Voter)
    }
}

#[async_trait]
impl RegistryServer for Server {
    async fn follow(&self, pending: PendingSubscriptionSink, who: name::Box) -> SubscriptionResult {
        let sink = pending.accept().await?;
        self.serve(&sink, &who, Follower::ByNames).await;
        Ok(())
    }

    async fn track(
        &self,
        pending: PendingSubscriptionSink,
        who: name::Box,
        tracker: Tracker,
    ) -> SubscriptionResult {
        let sink = pending.accept().await?;
        match tracker {
            Tracker::Box => self.serve(&sink, &who, Follower::ByChanges(tracker)).await,
            Tracker::Voter => self.give(&sink, Follower::ByChanges(tracker)).await,
        }
        Ok(())
    }

    async fn places(&self) -> RpcResult<Vec<Place>> {
        let members = self.handle.published().status.members;
        let places = members.addresses().map(|(_, address)| Place {
            address: *address,
            zone: if *address == self.address {
                self.zone.clone()
            } else {
                self.endpoints.zone_of(address)
            },
        });
        Ok(places.collect())
    }

    async fn measured(&self, who: name::Box, paces: Vec<pace::Paced>) -> RpcResult<()> {
        self.endpoints.take_paces(&who, paces);
        Ok(())
    }

    async fn exchange(
        &self,
        who: name::Box,
        anew: bool,
        told: load::Update,
        usage: usage::Report,
    ) -> RpcResult<Option<Exchanged>> {
        let now = self.endpoints.clock.now();
        let mut told = told;
        self.endpoints.take_leaving(&who, &told.leaving);
        let throttled = std::mem::take(&mut told.throttle);
        let load = {
            let mut hub = lock(&self.endpoints.hub);
            let known = anew || hub.knows(&who);
            known.then(|| hub.exchange(&who, anew, told, now))
        };
        let Some(load) = load else {
            return Ok(None);
        };
        let throttle = self.issuer().handle_box(&who, anew, throttled, now);
        let unix_ms = self.unix_ms();
        lock(&self.endpoints.book).merge(usage::Page {
            source: usage::Source {
                name: who,
                start: usage.start,
            },
            heard_ms: unix_ms,
            rows: usage.rows,
        });
        Ok(Some(Exchanged {
            load,
            throttle: Some(throttle),
            unix_ms,
        }))
    }

    async fn share(&self, who: name::Box, anew: bool, told: load::Update) -> RpcResult<Shared> {
        let now = self.endpoints.clock.now();
        let mut told = told;
        let throttled = std::mem::take(&mut told.throttle);
        Ok(Shared {
            known: lock(&self.endpoints.hub).apply(&who, anew, told, now),
            unix_ms: self.endpoints.clock.unix_ms(),
            throttle: Some(self.issuer().handle_voter(&who, throttled, now)),
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
    /// What issues permits, as one of the voters that there are now.
    fn issuer(&self) -> lock::Guard<'_, throttle::Issuer> {
        let voters = self.handle.voter_count();
        let mut issuer = lock(&self.endpoints.issuer);
        issuer.set_voters(voters);
        issuer
    }

    /// The time of day that the voters agree on, in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64 {
        let members = self.handle.voter_count();
        self.endpoints.unix_ms(members)
    }

    /// Sends a box all news until it goes or follows anew.
    async fn serve(&self, sink: &SubscriptionSink, who: &name::Box, follower: Follower) {
        let number = self.endpoints.followed_by(who);
        tokio::select! {
            () = self.give(sink, follower) => {}
            () = self.endpoints.superseded(who, number) => {}
        }
        self.endpoints.left_by(who, number);
    }

    /// Sends a follower all news until it goes.
    async fn give(&self, sink: &SubscriptionSink, follower: Follower) {
        let mut endpoints = self.endpoints.changed.subscribe();
        let mut feed = self.feed.watch();
        let mut told = Told::default();
        loop {
            endpoints.borrow_and_update();
            feed.borrow_and_update();
            let news = self.news(follower, &mut told);
            if send(sink, &news).await.is_none() {
                return;
            }
            if told.behind {
                continue;
            }
            tokio::select! {
                changed = endpoints.changed() => if changed.is_err() { return },
                changed = feed.changed() => if changed.is_err() { return },
                () = tokio::time::sleep(ALIVE) => {}
                () = sink.closed() => return,
            }
            let next = told.at + BATCH;
            tokio::time::sleep(next.saturating_sub(self.endpoints.clock.now())).await;
        }
    }

    /// What a follower has to be told.
    fn news(&self, follower: Follower, told: &mut Told) -> News {
        let now = self.endpoints.clock.now();
        self.endpoints.sweep(now);
        told.at = now;
        let remembered = lock(&self.endpoints.restored);
        let restored = if follower.is_voter() {
            remembered.for_voter(&mut told.restored, now)
        } else {
            remembered.for_box(&mut told.restored, now)
        };
        drop(remembered);
        let mut news = News {
            restored,
            revision: self.feed.current().revision,
            followers: if follower.is_voter() {
                self.endpoints.follower_count()
            } else {
                self.endpoints.box_count()
            },
            ..News::default()
        };
        if !std::mem::replace(&mut told.zone, true) {
            news.zone.clone_from(&self.zone);
        }
        let registry = if follower.is_voter() {
            &self.endpoints.own
        } else {
            &self.endpoints.registry
        };
        let registry = lock(registry);
        if follower == Follower::ByNames && now >= told.heard + HEARD {
            news.heard = registry.heard_since(told.heard);
            told.heard = now;
        }
        let span = registry::Span {
            after: told.stamp,
            to: registry.stamp_within(told.stamp, PAGE),
        };
        if follower != Follower::ByNames {
            news.vouches = true;
            news.silent = registry.silent_since(span);
        }
        fill(&mut news, &registry, span, now);
        told.stamp = span.to;
        told.behind = span.to < registry.stamp();
        drop(registry);
        self.fill_members(&mut news, told);
        news
    }

    fn fill_members(&self, news: &mut News, told: &mut Told) {
        let members = self.handle.published().status.members;
        news.in_touch = self.endpoints.is_in_touch(self.handle.voter_count())
            && !self.endpoints.is_behind(news.revision);
        let voters: Vec<_> = members.addresses().map(|(_, address)| *address).collect();
        if told.voters != voters {
            told.voters.clone_from(&voters);
            news.voters = voters;
        }
    }
}

/// Adds what a follower at a stamp has to be told of endpoints.
fn fill(news: &mut News, registry: &registry::Registry, span: registry::Span, now: Duration) {
    news.changed = registry.records_since(span, now);
    news.gone = registry.gone_since(span);
    news.ended = registry.ended_since(span);
    news.left = just_left(registry, span);
    news.leaving = registry.leaving_since(span);
    news.paces = registry.paces_since(span);
}

async fn send(sink: &SubscriptionSink, news: &News) -> Option<()> {
    let raw = serde_json::value::to_raw_value(news).ok()?;
    sink.send(SubscriptionMessage::from(raw)).await.ok()
}
