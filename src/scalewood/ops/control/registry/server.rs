//! Serves a voter's soft state and the configuration to boxes and to the other voters.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::{
    core::{async_trait, RpcResult, SubscriptionResult},
    PendingSubscriptionSink, SubscriptionMessage, SubscriptionSink,
};
use serde_json::value::RawValue;

use super::{left_since_stamp, SoftState};
use crate::{
    board::feed,
    core::{change, load, name, origin, pace, registry, retry, throttle, unit, usage},
    ops::control::Handle,
    util::{
        clock::Clock as _,
        lock::{self, lock},
    },
    wire::registry::{
        Exchanged, Gathered, Location, Question, RegistryServer, RegistryUpdate, Shared, Snapshot,
        Stamps, Tracker, Update,
    },
};

/// The longest time between two messages to a follower.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// The interval at which followers are sent the names of the endpoints that were heard; well below
/// the time after which they forget endpoints.
const HEARD_PERIOD: Duration = Duration::from_secs(3);
/// The shortest time between two messages to a follower; the changes meanwhile share one message.
const BATCH_PERIOD: Duration = Duration::from_millis(50);
/// The most records in a message, some 64 KB, so that a follower on a slow link still receives
/// messages all the time.
const MAX_RECORDS: usize = 256;

/// Serves the registry and the configuration.
#[derive(Clone, Debug)]
pub(in crate::ops::control) struct Server {
    pub(in crate::ops::control) soft_state: SoftState,
    pub(in crate::ops::control) feed: Arc<feed::Feed>,
    pub(in crate::ops::control) handle: Handle,
    /// The voter's availability zone, if its settings name it.
    pub(in crate::ops::control) zone: Option<name::Zone>,
    /// The voter's address for the other processes.
    pub(in crate::ops::control) address: SocketAddr,
}

/// What a follower has been sent.
#[derive(Debug, Default)]
struct Cursor {
    /// The registry's stamp up to which changes were sent.
    stamp: u64,
    /// When it was last sent the names of the endpoints that were heard.
    heard_until: Duration,
    /// The number of restored endpoints that were sent.
    restored: usize,
    /// The voters' addresses that were last sent.
    voters: Vec<SocketAddr>,
    /// Whether the zone was sent.
    zone_sent: bool,
    /// When the last message was built.
    sent_at: Duration,
    /// Whether there are more changes than fitted into the last message.
    has_more: bool,
}

/// The kind of a follower, which decides what it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Follower {
    /// A box that is regularly sent the names of the endpoints that were heard.
    ByNames,
    /// A box or voter for which this voter vouches that endpoints are alive, and that is sent the
    /// names of silent ones only.
    ByChanges(Tracker),
}

impl Follower {
    pub(super) fn is_voter(self) -> bool {
        self == Self::ByChanges(Tracker::Voter)
    }
}

#[async_trait]
impl RegistryServer for Server {
    async fn follow(&self, pending: PendingSubscriptionSink, who: name::Box) -> SubscriptionResult {
        let sink = pending.accept().await?;
        self.serve_box(&sink, &who, Follower::ByNames).await;
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
            Tracker::Box => {
                self.serve_box(&sink, &who, Follower::ByChanges(tracker))
                    .await
            }
            Tracker::Voter => self.push(&sink, Follower::ByChanges(tracker)).await,
        }
        Ok(())
    }

    async fn places(&self) -> RpcResult<Vec<Location>> {
        let members = self.handle.published().status.members;
        let places = members.addresses().map(|(_, address)| Location {
            address: *address,
            zone: if *address == self.address {
                self.zone.clone()
            } else {
                self.soft_state.zone_of(address)
            },
        });
        Ok(places.collect())
    }

    async fn measured(&self, who: name::Box, paces: Vec<pace::EndpointPace>) -> RpcResult<()> {
        self.soft_state.record_paces(&who, paces);
        Ok(())
    }

    async fn exchange(
        &self,
        who: name::Box,
        full: bool,
        report: load::Update,
        usage: usage::Report,
    ) -> RpcResult<Option<Exchanged>> {
        let now = self.soft_state.clock.now();
        let mut report = report;
        self.soft_state.record_leaving(&who, &report.leaving);
        let throttled = std::mem::take(&mut report.throttle);
        let wants = std::mem::take(&mut report.retries);
        let load = {
            let mut hub = lock(&self.soft_state.hub);
            let known = full || hub.knows(&who);
            known.then(|| hub.exchange(&who, full, report, now))
        };
        let Some(load) = load else {
            return Ok(None);
        };
        let throttle = self.issuer().handle_box(&who, full, throttled, now);
        let retries = self.lender(now).lend(&who, &wants, now);
        let unix_ms = self.unix_ms();
        lock(&self.soft_state.book).merge(usage::Page {
            source: usage::BoxStart {
                name: who,
                start: usage.start,
            },
            heard_ms: unix_ms,
            rows: usage.rows,
        });
        Ok(Some(Exchanged {
            load,
            throttle: Some(throttle),
            retries,
            unix_ms,
        }))
    }

    async fn share(&self, who: name::Box, full: bool, report: load::Update) -> RpcResult<Shared> {
        let now = self.soft_state.clock.now();
        let mut report = report;
        let throttled = std::mem::take(&mut report.throttle);
        Ok(Shared {
            known: lock(&self.soft_state.hub).apply_peer_update(&who, full, report, now),
            unix_ms: self.soft_state.clock.unix_ms(),
            throttle: Some(self.issuer().handle_voter(&who, throttled, now)),
        })
    }

    async fn remember(&self, begun: Vec<origin::Begun>) -> RpcResult<()> {
        self.soft_state.remember(&begun);
        Ok(())
    }

    async fn origin(&self, question: Question) -> RpcResult<origin::Answer> {
        let voters = self.handle.voter_count();
        Ok(self.soft_state.origin(question, voters).await)
    }

    async fn gather(&self, after: Stamps) -> RpcResult<Gathered> {
        Ok(self.soft_state.gather(after))
    }

    async fn document(&self, newer_than: unit::Revision) -> RpcResult<Option<Update>> {
        let state = self.feed.current();
        if state.revision <= newer_than {
            return Ok(None);
        }
        if let Some(steps) = state.steps_since(newer_than) {
            let steps = steps.iter().map(|step| change::Step::clone(step));
            return Ok(Some(Update::Steps(steps.collect())));
        }
        let text = state.json().unwrap_or_default();
        // The text was serialized from a document, so it is valid JSON.
        let document = RawValue::from_string(text.to_string());
        let whole = |document| Snapshot {
            revision: state.revision,
            document,
        };
        Ok(document.ok().map(|document| Update::Whole(whole(document))))
    }
}

impl Server {
    /// Returns the issuer of permits, set to the current number of voters.
    fn issuer(&self) -> lock::Guard<'_, throttle::Issuer> {
        let voters = self.handle.voter_count();
        let mut issuer = lock(&self.soft_state.issuer);
        issuer.set_voters(voters);
        issuer
    }

    /// Returns the lender of capacity for retry budgets, set to the current voters.
    fn lender(&self, now: Duration) -> lock::Guard<'_, retry::Lender> {
        let voters = self.handle.voter_count();
        let mut lender = lock(&self.soft_state.lender);
        lender.set_voters(voters, now);
        lender.set_position(self.handle.voter_position());
        lender
    }

    /// Returns the time of day on which the voters agree, in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64 {
        let members = self.handle.voter_count();
        self.soft_state.unix_ms(members)
    }

    /// Sends a box all changes until it disconnects or subscribes again.
    async fn serve_box(&self, sink: &SubscriptionSink, who: &name::Box, follower: Follower) {
        let number = self.soft_state.add_follower(who);
        tokio::select! {
            () = self.push(sink, follower) => {}
            () = self.soft_state.superseded(who, number) => {}
        }
        self.soft_state.remove_follower(who, number);
    }

    /// Sends a follower all changes until it disconnects.
    async fn push(&self, sink: &SubscriptionSink, follower: Follower) {
        let mut changes = self.soft_state.changed.subscribe();
        let mut feed = self.feed.watch();
        let mut cursor = Cursor::default();
        loop {
            changes.borrow_and_update();
            feed.borrow_and_update();
            let update = self.update(follower, &mut cursor);
            if send(sink, &update).await.is_none() {
                return;
            }
            if cursor.has_more {
                continue;
            }
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                changed = feed.changed() => if changed.is_err() { return },
                () = tokio::time::sleep(KEEPALIVE) => {}
                () = sink.closed() => return,
            }
            let next = cursor.sent_at + BATCH_PERIOD;
            tokio::time::sleep(next.saturating_sub(self.soft_state.clock.now())).await;
        }
    }

    /// Returns the next message to a follower, and advances `cursor`.
    fn update(&self, follower: Follower, cursor: &mut Cursor) -> RegistryUpdate {
        let now = self.soft_state.clock.now();
        self.soft_state.sweep(now);
        cursor.sent_at = now;
        let restored = self
            .soft_state
            .restored_for(follower, &mut cursor.restored, now);
        let mut update = RegistryUpdate {
            restored,
            revision: self.feed.current().revision,
            followers: if follower.is_voter() {
                self.soft_state.follower_count()
            } else {
                self.soft_state.box_count()
            },
            ..RegistryUpdate::default()
        };
        if !std::mem::replace(&mut cursor.zone_sent, true) {
            update.zone.clone_from(&self.zone);
        }
        let registry = if follower.is_voter() {
            &self.soft_state.own
        } else {
            &self.soft_state.registry
        };
        let registry = lock(registry);
        if follower == Follower::ByNames && now >= cursor.heard_until + HEARD_PERIOD {
            update.heard = registry.heard_since(cursor.heard_until);
            cursor.heard_until = now;
        }
        let span = registry::StampRange {
            after: cursor.stamp,
            to: registry.stamp_within(cursor.stamp, MAX_RECORDS),
        };
        if follower != Follower::ByNames {
            update.vouches = true;
            update.silent = registry.silent_since(span);
        }
        add_changes(&mut update, &registry, span, now);
        cursor.stamp = span.to;
        cursor.has_more = span.to < registry.stamp();
        drop(registry);
        self.add_members(&mut update, cursor);
        update
    }

    /// Adds whether this voter is in touch with a majority, and the voters' addresses if they have
    /// changed.
    fn add_members(&self, update: &mut RegistryUpdate, cursor: &mut Cursor) {
        let members = self.handle.published().status.members;
        update.in_touch = self.soft_state.is_in_touch(self.handle.voter_count())
            && !self.soft_state.is_behind(update.revision);
        let voters: Vec<_> = members.addresses().map(|(_, address)| *address).collect();
        if cursor.voters != voters {
            cursor.voters.clone_from(&voters);
            update.voters = voters;
        }
    }
}

/// Adds the changes of endpoints within a range of stamps.
fn add_changes(
    update: &mut RegistryUpdate,
    registry: &registry::Registry,
    span: registry::StampRange,
    now: Duration,
) {
    update.changed = registry.records_since(span, now);
    update.gone = registry.gone_since(span);
    update.ended = registry.ended_since(span);
    update.left = left_since_stamp(registry, span);
    update.leaving = registry.leaving_since(span);
    update.paces = registry.paces_since(span);
}

/// Sends a message; returns `None` if the subscription has ended.
async fn send(sink: &SubscriptionSink, update: &RegistryUpdate) -> Option<()> {
    let raw = serde_json::value::to_raw_value(update).ok()?;
    sink.send(SubscriptionMessage::from(raw)).await.ok()
}
