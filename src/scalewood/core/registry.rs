//! The registry of the endpoints that announce themselves.
//!
//! It is soft state. Each voter records the heartbeats of endpoints and pushes the changes to the
//! processes that track it; each of these merges what it receives from several voters. A start of
//! an endpoint is identified by the endpoint's name and the incarnation that it reports: a later
//! start replaces an earlier one, and a late message of an earlier one changes nothing. Within a
//! start a sequence number that rises with each heartbeat tells a late heartbeat from a new one. A
//! start that has ended never comes back; where endpoints report no incarnation, the name alone
//! identifies the start. Merging is commutative and idempotent.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::core::{build, name, pace, warm_up};

mod address;
mod builds;
mod changes;
mod ended;
mod paces;
mod ranks;
mod record;
mod refusal;
mod remembered;
mod timing;
mod vouch;

pub use changes::StampRange;
pub use ended::{Ended, Start};
pub use record::{Leaving, Record, State};
pub use refusal::{Reason, Refusal};
pub use remembered::RestoredRecords;
pub use timing::Timing;
pub use vouch::Voucher;

/// The result of a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// Nothing changed: the record was known or outdated.
    Nothing,
    /// Only the heartbeat is new, which shows that the endpoint is alive.
    Alive,
    /// Something changed that other processes have to know.
    Changed,
    /// A later start has replaced an earlier one, which other processes have to know.
    Restarted,
}

impl Merged {
    /// Returns whether other processes have to know.
    pub fn must_propagate(self) -> bool {
        matches!(self, Self::Changed | Self::Restarted)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    /// When a heartbeat or record of it was last received, or a former voucher last vouched for it.
    heard_at: Duration,
    /// The processes that vouch that it is alive.
    vouchers: vouch::Vouchers,
    /// The registry's stamp when the record last changed.
    stamp: u64,
    /// Whether it is slow compared with the others of its service.
    slow: bool,
    /// Whether it was restored after a power loss and has not been heard since.
    restored: bool,
    /// When it started, as estimated from its heartbeats, in milliseconds of this process's
    /// clock; negative if before the clock's zero. Heartbeats can only be late, so the earliest
    /// estimate counts.
    started_ms: i64,
    /// The registry's stamp when it became known that the endpoint announced in a response that
    /// it is leaving.
    leaving_stamp: Option<u64>,
    /// Its warm-up. The record itself holds none, since the time that is left falls continuously.
    warm_up: warm_up::State,
}

impl Entry {
    fn new(
        record: Record,
        warm_up: warm_up::State,
        started_ms: i64,
        stamp: u64,
        now: Duration,
    ) -> Self {
        Self {
            heard_at: now,
            vouchers: vouch::Vouchers::default(),
            stamp,
            slow: false,
            restored: false,
            started_ms,
            leaving_stamp: None,
            warm_up,
            record,
        }
    }

    /// Returns whether it started after another entry with the same address. The incarnations
    /// decide where they are reported. An entry without an incarnation counts as earlier than one
    /// with it: where endpoints report incarnations, it comes from another sender. Between two
    /// entries without one, a restored entry counts as earlier, else the estimated start decides.
    fn is_after(&self, other: &Self) -> bool {
        let rank = |entry: &Self| (entry.record.incarnation, !entry.restored, entry.started_ms);
        rank(self) > rank(other)
    }
}

/// The most endpoints that are remembered as silent: followers receive this within seconds.
const MAX_SILENT: usize = 32_768;

/// The endpoints that have announced themselves.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    timing: Timing,
    /// When other processes vouched for endpoints.
    vouched: vouch::Times,
    entries: BTreeMap<name::Endpoint, Entry>,
    /// The endpoints by the stamps of their entries.
    changes: changes::Changes,
    claims: address::Claims,
    /// The starts that have ended.
    ended: ended::Marks,
    /// The endpoints that fell silent, by the stamp at which they did, and the stamps by endpoint.
    silent: changes::Changes,
    silent_at: BTreeMap<name::Endpoint, u64>,
    stamp: u64,
    /// The stamp of the last change of a record or of the set of slow endpoints.
    dispatch_stamp: u64,
    /// When the first endpoint was heard.
    first_heard_at: Option<Duration>,
    /// The paces of endpoints, including those that have not announced themselves here.
    paces: paces::Paces,
    /// The announced endpoints of each service, sorted by pace.
    ranks: BTreeMap<name::Service, ranks::Ranks>,
    /// The services whose endpoints have to be compared again.
    ungraded: BTreeSet<name::Service>,
    builds: builds::Builds,
    /// The latest time that a call has stated. Ends come without a time.
    latest: Duration,
}

impl Registry {
    /// Creates an empty registry for endpoints with that heartbeat interval.
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            ..Self::default()
        }
    }

    /// Merges a heartbeat, or a record that another process received.
    pub fn merge(&mut self, record: Record, now: Duration) -> Merged {
        self.latest = self.latest.max(now);
        if record.state == State::Gone {
            return self.end(&record.name, record.incarnation);
        }
        if self.ended.has_ended(&record.name, record.incarnation) {
            return Merged::Nothing;
        }
        let Some(entry) = self.entries.get(&record.name) else {
            let since = *self.first_heard_at.get_or_insert(now);
            self.insert(record, now > since + self.timing.startup_window(), now);
            return Merged::Changed;
        };
        if record.rank() <= entry.record.rank() {
            return Merged::Nothing;
        }
        match record.incarnation.cmp(&entry.record.incarnation) {
            Ordering::Less => Merged::Nothing,
            Ordering::Equal => self.refresh(record, now),
            Ordering::Greater => {
                self.paces.remove(&record.name);
                self.insert(record, true, now);
                Merged::Restarted
            }
        }
    }

    /// Inserts a new start, which replaces an earlier one if there is one. It is `late` if other
    /// endpoints served before it.
    fn insert(&mut self, mut record: Record, late: bool, now: Duration) {
        self.advance_dispatch_stamp();
        let mut state = warm_up::State::new(late, now);
        state.observe(record.warm_up.take(), now);
        let (name, service) = (record.name.clone(), record.service.clone());
        let started_ms = self.timing.start_time_ms(record.sequence, now);
        let entry = Entry::new(record, state, started_ms, self.stamp, now);
        self.remove_entry(&name);
        self.clear_silent(&name);
        self.changes.note(None, self.stamp, &name);
        self.claims.add(entry.record.address, &name);
        self.builds.add(&service, &entry.record.build);
        if let Some(pace) = self.paces.get(&name) {
            self.ranks
                .entry(service.clone())
                .or_default()
                .set(&name, pace);
            self.ungraded.insert(service);
        }
        self.entries.insert(name, entry);
    }

    fn remove_entry(&mut self, name: &name::Endpoint) -> Option<Entry> {
        let entry = self.entries.remove(name)?;
        self.changes.forget(entry.stamp);
        self.claims.remove(entry.record.address, name);
        let Record { service, build, .. } = &entry.record;
        self.builds.remove(service, build, self.latest);
        if let Some(ranks) = self.ranks.get_mut(service) {
            ranks.remove(name);
        }
        Some(entry)
    }

    /// Applies a later heartbeat of a known start.
    fn refresh(&mut self, mut record: Record, now: Duration) -> Merged {
        let Some(entry) = self.entries.get_mut(&record.name) else {
            return Merged::Nothing;
        };
        // Other processes may have forgotten it after so long a silence, so it is sent to them.
        let last = entry.heard_at.max(self.vouched.latest(entry.vouchers));
        let was_silent = now >= last + self.timing.max_silence();
        entry.heard_at = now;
        entry.restored = false;
        entry.started_ms = entry
            .started_ms
            .min(self.timing.start_time_ms(record.sequence, now));
        let warm_up_changed = entry.warm_up.observe(record.warm_up.take(), now);
        if entry.leaving_stamp.is_some() {
            // The heartbeat may have been sent before that response.
            record.state = record.state.max(State::Leaving);
        }
        let same = !warm_up_changed && !was_silent && record.has_same_content(&entry.record);
        if record.address != entry.record.address {
            self.claims.remove(entry.record.address, &record.name);
            self.claims.add(record.address, &record.name);
        }
        if record.service != entry.record.service {
            if let Some(ranks) = self.ranks.get_mut(&entry.record.service) {
                ranks.remove(&record.name);
            }
            if let Some(pace) = self.paces.get(&record.name) {
                let ranks = self.ranks.entry(record.service.clone()).or_default();
                ranks.set(&record.name, pace);
                self.ungraded.insert(record.service.clone());
            }
        }
        let before = &entry.record;
        self.builds.add(&record.service, &record.build);
        self.builds.remove(&before.service, &before.build, now);
        entry.record = record;
        if same {
            return Merged::Alive;
        }
        self.stamp += 1;
        self.dispatch_stamp = self.stamp;
        self.changes
            .note(Some(entry.stamp), self.stamp, &entry.record.name);
        entry.stamp = self.stamp;
        Merged::Changed
    }

    /// Records that a start of an endpoint announced in a response that it is leaving. No
    /// heartbeat of this start reverts that.
    pub fn record_leaving(&mut self, name: &name::Endpoint, start: Start) -> Merged {
        let Some(entry) = self.entries.get_mut(name) else {
            return Merged::Nothing;
        };
        if entry.record.incarnation != start || entry.leaving_stamp.is_some() {
            return Merged::Nothing;
        }
        self.stamp += 1;
        self.dispatch_stamp = self.stamp;
        entry.leaving_stamp = Some(self.stamp);
        self.changes.note(Some(entry.stamp), self.stamp, name);
        entry.stamp = self.stamp;
        entry.record.state = State::Leaving;
        Merged::Changed
    }

    /// Returns the starts of which it became known, within a range of stamps, that they announced
    /// in a response that they are leaving.
    pub fn leaving_since(&self, span: impl Into<StampRange>) -> Vec<Leaving> {
        let span = span.into();
        let leaving = self.entries_since(span);
        let leaving = leaving.filter(|entry| entry.leaving_stamp.is_some_and(|at| at > span.after));
        let leaving = leaving.map(|entry| Leaving {
            name: entry.record.name.clone(),
            start: entry.record.incarnation,
        });
        leaving.collect()
    }

    /// Restores an endpoint that served before a power loss. It is used until its heartbeat is
    /// overdue: before all endpoints have sent their next heartbeat, more than a second passes.
    pub fn restore(&mut self, record: Record, now: Duration) -> Merged {
        if self.entries.contains_key(&record.name) {
            return Merged::Nothing;
        }
        let name = record.name.clone();
        let merged = self.merge(record, now);
        if let Some(entry) = self.entries.get_mut(&name) {
            entry.restored = true;
        }
        merged
    }

    /// Records that an endpoint has shut down whose message doesn't name the start: the known one
    /// has ended, or else the one that was forgotten for its silence.
    pub fn leave(&mut self, name: &name::Endpoint) -> Merged {
        let known = self.entries.get(name);
        let known = known.map(|entry| entry.record.incarnation);
        let start = known.unwrap_or_else(|| self.ended.forgotten(name));
        let merged = self.end(name, start);
        if merged.must_propagate() && known.is_none() && start.is_none() {
            self.ended.record_without_start(name, self.stamp);
        }
        merged
    }

    /// Records that a start of an endpoint, and all earlier ones, have ended. A later start
    /// stays.
    pub fn end(&mut self, name: &name::Endpoint, start: Start) -> Merged {
        if !self.ended.raise(name, start, self.stamp + 1) {
            return Merged::Nothing;
        }
        self.advance_dispatch_stamp();
        let known = self.entries.get(name).map(|e| e.record.incarnation);
        if known.is_none_or(|known| known <= start) {
            self.remove_entry(name);
            self.paces.remove(name);
        }
        Merged::Changed
    }

    /// Applies another process's list of endpoints that have `gone`, the starts that have `ended`
    /// of those that report incarnations, and the endpoints that `left` while no start of them
    /// was known there. Returns the endpoints for which this is new.
    pub fn apply_ends(
        &mut self,
        gone: &[name::Endpoint],
        ended: &[Ended],
        left: &[name::Endpoint],
    ) -> Vec<name::Endpoint> {
        let mut updates = Vec::new();
        for ended in ended {
            let merged = self.end(&ended.name, Some(ended.incarnation));
            updates.extend(merged.must_propagate().then(|| ended.name.clone()));
        }
        // `left` goes before `gone`: once `gone` has raised the mark, the same leave would not be
        // new.
        for name in left {
            updates.extend(self.leave(name).must_propagate().then(|| name.clone()));
        }
        for name in gone {
            updates.extend(self.end(name, None).must_propagate().then(|| name.clone()));
        }
        updates
    }

    /// Forgets an endpoint that has been silent for too long.
    fn forget(&mut self, name: &name::Endpoint) {
        let Some(entry) = self.remove_entry(name) else {
            return;
        };
        self.advance_dispatch_stamp();
        self.record_silent(name);
        if let Some(start) = entry.record.incarnation {
            self.ended.forget(name, start);
        }
    }

    fn record_silent(&mut self, name: &name::Endpoint) {
        let before = self.silent_at.insert(name.clone(), self.stamp);
        self.silent.note(before, self.stamp, name);
        if self.silent_at.len() > MAX_SILENT {
            if let Some(oldest) = self.silent.oldest().cloned() {
                self.clear_silent(&oldest);
            }
        }
    }

    /// Removes an endpoint from those that are silent.
    fn clear_silent(&mut self, name: &name::Endpoint) {
        if let Some(stamp) = self.silent_at.remove(name) {
            self.silent.forget(stamp);
        }
    }

    /// Returns the endpoints that fell silent within a range of stamps and have not been heard
    /// since.
    pub fn silent_since(&self, span: impl Into<StampRange>) -> Vec<name::Endpoint> {
        self.silent.since(span.into()).cloned().collect()
    }

    /// Records that an endpoint was heard.
    pub fn record_heard(&mut self, name: &name::Endpoint, now: Duration) {
        self.latest = self.latest.max(now);
        if let Some(entry) = self.entries.get_mut(name) {
            entry.heard_at = now;
            entry.restored = false;
        }
    }

    /// Returns a process as one that vouches for endpoints, or `None` if there are too many. What
    /// it vouched for before is cleared, since it now reports everything again.
    pub fn register_voucher(&mut self, name: &name::Box) -> Option<Voucher> {
        let voucher = self.vouched.voucher(name)?;
        let last = self.vouched.of(voucher);
        for entry in self.entries.values_mut() {
            if entry.vouchers.has(voucher) {
                entry.vouchers.remove(voucher);
                entry.heard_at = entry.heard_at.max(last);
            }
        }
        Some(voucher)
    }

    /// Records that another process reported an endpoint, and vouches for it from now on.
    pub fn vouch_for(&mut self, name: &name::Endpoint, by: Voucher) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.vouchers.add(by);
        }
    }

    /// Records that another process says that all endpoints are alive that it vouches for.
    pub fn record_vouch(&mut self, by: Voucher, now: Duration) {
        self.latest = self.latest.max(now);
        self.vouched.note(by, now);
    }

    /// Records that another process no longer vouches for an endpoint, which is silent there.
    pub fn withdraw_vouch(&mut self, name: &name::Endpoint, by: Voucher) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.vouchers.remove(by);
        }
    }

    /// Returns an endpoint's record.
    pub fn get(&self, name: &name::Endpoint) -> Option<&Record> {
        self.entries.get(name).map(|entry| &entry.record)
    }

    /// Returns the endpoint that started later at an endpoint's address, if there is one: an
    /// address belongs to one endpoint at a time. A delayed heartbeat may name an endpoint that
    /// has crashed since; requests sent under its name would be rejected by the new one, one per
    /// box.
    pub fn displaced_by(&self, name: &name::Endpoint) -> Option<&name::Endpoint> {
        let own = self.entries.get(name)?;
        let is_later = |other: &&name::Endpoint| {
            let other = self.entries.get(*other);
            other.is_some_and(|other| other.is_after(own))
        };
        let rivals = self.at_address(own.record.address);
        rivals.iter().find(is_later)
    }

    /// Returns the endpoints that claim an address.
    pub fn at_address(&self, address: SocketAddr) -> &[name::Endpoint] {
        self.claims.of(address)
    }

    /// Returns all endpoints at whose address another one started later.
    pub fn displaced(&self) -> BTreeSet<name::Endpoint> {
        let contested = self.claims.contested();
        let displaced = contested.filter(|name| self.displaced_by(name).is_some());
        displaced.cloned().collect()
    }

    /// Returns whether an endpoint is registered or its pace is known.
    pub fn knows(&self, name: &name::Endpoint) -> bool {
        self.entries.contains_key(name) || self.paces.get(name).is_some()
    }

    /// Returns the number of registered endpoints: those that have neither ended nor been silent
    /// for too long.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no endpoint is registered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the records of all registered endpoints.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Sets an endpoint's pace, whether or not it has announced itself; returns whether no pace
    /// was known before. A pace that hardly differs from the known one, or of an endpoint that has
    /// ended, is ignored. Call `regrade` to update which endpoints count as slow.
    pub fn set_pace(&mut self, name: &name::Endpoint, pace: pace::Pace) -> bool {
        let known = self.paces.get(name);
        let has_gone = self.ended.is_announced(name) && !self.entries.contains_key(name);
        if !pace.differs_enough(known) || has_gone {
            return false;
        }
        self.stamp += 1;
        let entries = &self.entries;
        self.paces
            .set(name, pace, self.stamp, |name| entries.contains_key(name));
        if let Some(entry) = self.entries.get(name) {
            let service = entry.record.service.clone();
            self.ranks
                .entry(service.clone())
                .or_default()
                .set(name, pace);
            self.ungraded.insert(service);
        }
        known.is_none()
    }

    /// Compares the endpoints of each service in which a pace has changed, or in which an
    /// endpoint with a known pace was inserted; returns whether the set of slow endpoints changed.
    pub fn regrade(&mut self) -> bool {
        let mut changed = false;
        for service in std::mem::take(&mut self.ungraded) {
            let entries = &self.entries;
            let was_slow = |name: &_| entries.get(name).is_some_and(|entry| entry.slow);
            let ranks = self.ranks.get_mut(&service);
            let graded = ranks.map(|ranks| ranks.grade(was_slow)).unwrap_or_default();
            for (name, slow) in graded {
                changed = true;
                if let Some(entry) = self.entries.get_mut(&name) {
                    entry.slow = slow;
                }
            }
        }
        if changed {
            self.advance_dispatch_stamp();
        }
        changed
    }

    /// Returns the paces that changed within a range of stamps.
    pub fn paces_since(&self, span: impl Into<StampRange>) -> Vec<pace::EndpointPace> {
        self.paces.since(span.into())
    }

    /// Returns all registered endpoints, and whether each is slow compared with the
    /// others of its service.
    pub fn records_with_slowness(&self) -> impl Iterator<Item = (&Record, bool)> {
        self.entries
            .values()
            .map(|entry| (&entry.record, entry.slow))
    }

    /// Returns a registered endpoint, and whether it is slow compared with the others of
    /// its service.
    pub fn get_with_slowness(&self, name: &name::Endpoint) -> Option<(&Record, bool)> {
        let entry = self.entries.get(name)?;
        Some((&entry.record, entry.slow))
    }

    /// Returns the endpoints that changed, ended or fell silent after a stamp, and those that
    /// share an address with one of them.
    pub fn affected_since(&self, stamp: u64) -> BTreeSet<name::Endpoint> {
        let changed = self.changes.since(stamp.into()).cloned();
        let mut affected: BTreeSet<_> = changed.collect();
        affected.extend(self.gone_since(stamp));
        affected.extend(self.silent_since(stamp));
        let records = affected.iter().filter_map(|name| self.get(name));
        let rivals: Vec<_> = records
            .flat_map(|record| self.at_address(record.address))
            .cloned()
            .collect();
        affected.extend(rivals);
        affected
    }

    /// Returns the last stamp that one message to a follower at `stamp` covers, if the message
    /// holds at most `records` records, as many paces and as many ends.
    pub fn stamp_within(&self, stamp: u64, records: usize) -> u64 {
        let parts = [
            self.changes.stamp_after(stamp, records),
            self.paces.stamp_after(stamp, records),
            self.ended.stamp_after(stamp, records),
        ];
        let first = parts.into_iter().flatten().min();
        first.unwrap_or(self.stamp)
    }

    /// Returns the stamp, which rises with each change that other processes have to know.
    pub fn stamp(&self) -> u64 {
        self.stamp
    }

    /// Returns the stamp of the last change that dispatchers have to know. Changes of paces alone
    /// don't count: with some thousand endpoints a pace changes many times a second, and to
    /// update a dispatcher with as many records takes 4 ms.
    pub fn dispatch_stamp(&self) -> u64 {
        self.dispatch_stamp
    }

    fn advance_dispatch_stamp(&mut self) {
        self.stamp += 1;
        self.dispatch_stamp = self.stamp;
    }

    /// Returns the records that changed within a range of stamps.
    pub fn changed_since(&self, span: impl Into<StampRange>) -> Vec<Record> {
        let changed = self.entries_since(span.into());
        changed.map(|entry| entry.record.clone()).collect()
    }

    fn entries_since(&self, span: StampRange) -> impl Iterator<Item = &Entry> {
        let names = self.changes.since(span);
        names.filter_map(|name| self.entries.get(name))
    }

    /// Returns the records that changed within a range of stamps, with the remaining warm-up times,
    /// to be sent to another process.
    pub fn records_since(&self, span: impl Into<StampRange>, now: Duration) -> Vec<Record> {
        let mut records = self.changed_since(span);
        for record in &mut records {
            let state = self.warm_up(&record.name);
            record.warm_up = state.and_then(|state| state.remaining(now));
        }
        records
    }

    /// Returns the warm-up state of an endpoint, as far as it is known here.
    pub fn warm_up(&self, name: &name::Endpoint) -> Option<&warm_up::State> {
        self.entries.get(name).map(|entry| &entry.warm_up)
    }

    /// Returns the endpoints of which a start ended within a range of stamps.
    pub fn gone_since(&self, span: impl Into<StampRange>) -> Vec<name::Endpoint> {
        self.ended.names_since(span.into())
    }

    /// Returns the starts that ended within a range of stamps, of the endpoints that report
    /// incarnations.
    pub fn ended_since(&self, span: impl Into<StampRange>) -> Vec<Ended> {
        self.ended.since(span.into())
    }

    /// Returns the endpoints that left within a range of stamps while no start of them was known
    /// here.
    pub fn left_without_start_since(&self, span: impl Into<StampRange>) -> Vec<name::Endpoint> {
        self.ended.without_start_since(span.into())
    }

    /// Returns the endpoints that were heard, or vouched for, since a time.
    pub fn heard_since(&self, time: Duration) -> Vec<name::Endpoint> {
        let last = |entry: &Entry| entry.heard_at.max(self.vouched.latest(entry.vouchers));
        let heard = self.entries.values().filter(|entry| last(entry) >= time);
        heard.map(|entry| entry.record.name.clone()).collect()
    }

    /// Forgets the endpoints that were restored after a power loss and whose heartbeat is
    /// overdue; returns them.
    pub fn expire_restored(&mut self, now: Duration) -> Vec<Record> {
        self.latest = self.latest.max(now);
        let timeout = self.timing.restored_timeout();
        let is_over = |entry: &Entry| entry.restored && entry.heard_at + timeout <= now;
        self.forget_matching(is_over)
    }

    /// Forgets the endpoints that were neither heard nor vouched for since `before`; returns
    /// them.
    pub fn expire(&mut self, before: Duration) -> Vec<Record> {
        let vouched = self.vouched.clone();
        let is_silent =
            |entry: &Entry| entry.heard_at < before && vouched.latest(entry.vouchers) < before;
        self.forget_matching(is_silent)
    }

    /// Forgets the endpoints that have been silent for too long; returns them.
    pub fn expire_silent(&mut self, now: Duration) -> Vec<Record> {
        self.latest = self.latest.max(now);
        self.expire(now.saturating_sub(self.timing.max_silence()))
    }

    fn forget_matching(&mut self, is_over: impl Fn(&Entry) -> bool) -> Vec<Record> {
        let over = self.entries.values().filter(|entry| is_over(entry));
        let over: Vec<_> = over.map(|entry| entry.record.clone()).collect();
        for record in &over {
            self.forget(&record.name);
        }
        over
    }

    /// Returns the builds of a service that had registered endpoints since a time.
    pub fn builds_since(&self, service: &name::Service, time: Duration) -> Vec<build::Build> {
        self.builds.since(service, time)
    }

    /// Returns the time limits that follow from the heartbeat interval.
    pub fn timing(&self) -> Timing {
        self.timing
    }
}
