//! The registry: endpoints that announce themselves.
//!
//! It is soft state. Each voter notes what endpoints tell it and pushes the differences
//! to every entry box; an entry box merges what it hears from all voters. A start of an
//! endpoint is known by the endpoint's name and the incarnation that it tells: a later one
//! takes the place of an earlier one, and an earlier one that is heard late changes
//! nothing. Within a start a number that rises with each heartbeat tells a late one from a
//! new one. A start that has gone never comes back; where endpoints tell no incarnation,
//! the name is the start. What is merged in any order, and twice, gives the same.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::core::{name, pace, warm_up};

mod address;
mod changes;
mod ended;
mod paces;
mod ranks;
mod record;
mod refusal;
mod remembered;
mod timing;
mod vouch;

pub use changes::Span;
pub use ended::{Ended, Start};
pub use record::{Leaving, Record, State};
pub use refusal::{Reason, Refusal};
pub use remembered::Remembered;
pub use timing::Timing;
pub use vouch::Voucher;

/// What a merge changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// Nothing: it was known, or late.
    Nothing,
    /// Only that the endpoint is alive.
    Alive,
    /// Something that others have to know.
    Changed,
    /// A later start took the place of an earlier one, and others have to know.
    Restarted,
}

impl Merged {
    /// Whether others have to know.
    pub fn is_news(self) -> bool {
        matches!(self, Self::Changed | Self::Restarted)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    /// When it was heard of itself.
    heard: Duration,
    /// Who says that it is alive.
    vouchers: vouch::Vouchers,
    /// The registry's stamp when the record last changed.
    stamp: u64,
    /// Whether it is slow beside the others of its service.
    slow: bool,
    /// Whether it served before a loss of power and was not heard of since.
    restored: bool,
    /// When it started, as its heartbeats tell: in milliseconds of this process's clock,
    /// before its zero as well. Heartbeats come late, so the earliest that was told counts.
    started: i64,
    /// The registry's stamp when it was heard that it said in an answer that it leaves.
    leaves: Option<u64>,
    /// Its warm-up; the record itself tells none, since what is left falls with time.
    warm_up: warm_up::Belief,
}

impl Entry {
    fn new(
        record: Record,
        warm_up: warm_up::Belief,
        started: i64,
        stamp: u64,
        now: Duration,
    ) -> Self {
        Self {
            heard: now,
            vouchers: vouch::Vouchers::default(),
            stamp,
            slow: false,
            restored: false,
            started,
            leaves: None,
            warm_up,
            record,
        }
    }

    /// Whether it is the later one of two at the same address. Their incarnations decide where they
    /// tell them, and one that tells none counts as earlier than one that does: where endpoints tell
    /// theirs, it comes from another writer. Between two that tell none it is guessed.
    fn is_after(&self, other: &Self) -> bool {
        let rank = |entry: &Self| (entry.record.incarnation, !entry.restored, entry.started);
        rank(self) > rank(other)
    }
}

/// The most endpoints of which is remembered that they fell silent: followers hear it within
/// seconds.
const MAX_SILENT: usize = 32_768;

/// The endpoints that have announced themselves.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    timing: Timing,
    /// When others vouched for endpoints.
    vouched: vouch::Times,
    entries: BTreeMap<name::Endpoint, Entry>,
    /// The endpoints by the stamps of their entries.
    changes: changes::Changes,
    claims: address::Claims,
    /// The starts that have ended.
    ended: ended::Marks,
    /// The endpoints that fell silent, by the stamps of that, and those stamps.
    silent: changes::Changes,
    silent_at: BTreeMap<name::Endpoint, u64>,
    stamp: u64,
    /// The stamp of the last change of a record, or of who counts as slow.
    layout: u64,
    /// When the first endpoint was heard of.
    since: Option<Duration>,
    /// How fast endpoints go, also those that have not announced themselves here.
    paces: paces::Paces,
    /// The paces of announced endpoints, in order for each service.
    ranks: BTreeMap<name::Service, ranks::Ranks>,
    /// The services whose endpoints have to be compared anew.
    ungraded: BTreeSet<name::Service>,
}

impl Registry {
    /// A registry of endpoints that tell of themselves as often as that.
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            ..Self::default()
        }
    }

    /// Takes a heartbeat, or a record that another process has heard.
    pub fn merge(&mut self, record: Record, now: Duration) -> Merged {
        if record.state == State::Gone {
            return self.end(&record.name, record.incarnation);
        }
        if self.ended.has(&record.name, record.incarnation) {
            return Merged::Nothing;
        }
        let Some(entry) = self.entries.get(&record.name) else {
            let since = *self.since.get_or_insert(now);
            self.insert(record, now > since + self.timing.found(), now);
            return Merged::Changed;
        };
        if record.rank() <= entry.record.rank() {
            return Merged::Nothing;
        }
        match record.incarnation.cmp(&entry.record.incarnation) {
            Ordering::Less => Merged::Nothing,
            Ordering::Equal => self.go_on(record, now),
            Ordering::Greater => {
                self.paces.remove(&record.name);
                self.insert(record, true, now);
                Merged::Restarted
            }
        }
    }

    /// Takes a start that was not known, in place of an earlier one if there is one. It is `late`
    /// if others served before it.
    fn insert(&mut self, mut record: Record, late: bool, now: Duration) {
        self.change();
        let mut belief = warm_up::Belief::new(late, now);
        belief.hear(record.warm_up.take(), now);
        let (name, service) = (record.name.clone(), record.service.clone());
        let started = self.timing.started(record.sequence, now);
        let entry = Entry::new(record, belief, started, self.stamp, now);
        self.remove_entry(&name);
        self.speaks(&name);
        self.changes.note(None, self.stamp, &name);
        self.claims.add(entry.record.address, &name);
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
        if let Some(ranks) = self.ranks.get_mut(&entry.record.service) {
            ranks.remove(name);
        }
        Some(entry)
    }

    /// Takes a later heartbeat of a start that is known.
    fn go_on(&mut self, mut record: Record, now: Duration) -> Merged {
        let Some(entry) = self.entries.get_mut(&record.name) else {
            return Merged::Nothing;
        };
        // Others may have forgotten it by then.
        let last = entry.heard.max(self.vouched.latest(entry.vouchers));
        let was_silent = now >= last + self.timing.silence();
        entry.heard = now;
        entry.restored = false;
        entry.started = entry.started.min(self.timing.started(record.sequence, now));
        let warms = entry.warm_up.hear(record.warm_up.take(), now);
        if entry.leaves.is_some() {
            // The heartbeat may have been sent before the answer.
            record.state = record.state.max(State::Leaving);
        }
        let same = !warms && !was_silent && record.says_the_same(&entry.record);
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
        entry.record = record;
        if same {
            return Merged::Alive;
        }
        self.stamp += 1;
        self.layout = self.stamp;
        self.changes
            .note(Some(entry.stamp), self.stamp, &entry.record.name);
        entry.stamp = self.stamp;
        Merged::Changed
    }

    /// Notes that a start of an endpoint said in an answer that it leaves. No heartbeat of this start
    /// takes it back.
    pub fn note_leaving(&mut self, name: &name::Endpoint, start: Start) -> Merged {
        let Some(entry) = self.entries.get_mut(name) else {
            return Merged::Nothing;
        };
        if entry.record.incarnation != start || entry.leaves.is_some() {
            return Merged::Nothing;
        }
        self.stamp += 1;
        self.layout = self.stamp;
        entry.leaves = Some(self.stamp);
        self.changes.note(Some(entry.stamp), self.stamp, name);
        entry.stamp = self.stamp;
        entry.record.state = State::Leaving;
        Merged::Changed
    }

    /// The starts of which it was heard after a stamp that they said in an answer that they leave.
    pub fn leaving_since(&self, span: impl Into<Span>) -> Vec<Leaving> {
        let span = span.into();
        let leaving = self.entries_since(span);
        let leaving = leaving.filter(|entry| entry.leaves.is_some_and(|at| at > span.after));
        let leaving = leaving.map(|entry| Leaving {
            name: entry.record.name.clone(),
            start: entry.record.incarnation,
        });
        leaving.collect()
    }

    /// Takes an endpoint that served before a loss of power: it is used until it should have
    /// been heard of again. Every endpoint's next heartbeat takes more than a second.
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

    /// Notes that an endpoint has gone which doesn't tell which start of it: the one that is known.
    pub fn leave(&mut self, name: &name::Endpoint) -> Merged {
        let known = self.entries.get(name);
        let known = known.map(|entry| entry.record.incarnation);
        let start = known.unwrap_or_else(|| self.ended.forgotten(name));
        let merged = self.end(name, start);
        if merged.is_news() && known.is_none() && start.is_none() {
            self.ended.note_unnamed(name, self.stamp);
        }
        merged
    }

    /// Notes that a start of an endpoint has ended, and so all before it. A later one goes on.
    pub fn end(&mut self, name: &name::Endpoint, start: Start) -> Merged {
        if !self.ended.raise(name, start, self.stamp + 1) {
            return Merged::Nothing;
        }
        self.change();
        let known = self.entries.get(name).map(|e| e.record.incarnation);
        if known.is_none_or(|known| known <= start) {
            self.remove_entry(name);
            self.paces.remove(name);
        }
        Merged::Changed
    }

    /// Takes what another process tells of endpoints that have `gone`, with the starts of those
    /// that have `ended` in particular, and of those that `left` a moment ago; returns those of
    /// which this is news.
    pub fn take_ends(
        &mut self,
        gone: &[name::Endpoint],
        ended: &[Ended],
        left: &[name::Endpoint],
    ) -> Vec<name::Endpoint> {
        let mut news = Vec::new();
        for ended in ended {
            let merged = self.end(&ended.name, Some(ended.incarnation));
            news.extend(merged.is_news().then(|| ended.name.clone()));
        }
        // The left ones go first: a leave is news only once.
        for name in left {
            news.extend(self.leave(name).is_news().then(|| name.clone()));
        }
        for name in gone {
            news.extend(self.end(name, None).is_news().then(|| name.clone()));
        }
        news
    }

    /// Forgets an endpoint that was not heard of.
    fn forget(&mut self, name: &name::Endpoint) {
        let Some(entry) = self.remove_entry(name) else {
            return;
        };
        self.change();
        self.note_silent(name);
        if let Some(start) = entry.record.incarnation {
            self.ended.forget(name, start);
        }
    }

    fn note_silent(&mut self, name: &name::Endpoint) {
        let before = self.silent_at.insert(name.clone(), self.stamp);
        self.silent.note(before, self.stamp, name);
        if self.silent_at.len() > MAX_SILENT {
            if let Some(oldest) = self.silent.oldest().cloned() {
                self.speaks(&oldest);
            }
        }
    }

    /// Notes that an endpoint is not silent any more.
    fn speaks(&mut self, name: &name::Endpoint) {
        if let Some(stamp) = self.silent_at.remove(name) {
            self.silent.forget(stamp);
        }
    }

    /// The endpoints that fell silent after a stamp and were not heard of again.
    pub fn silent_since(&self, span: impl Into<Span>) -> Vec<name::Endpoint> {
        self.silent.since(span.into()).cloned().collect()
    }

    /// Notes that an endpoint was heard of.
    pub fn hear(&mut self, name: &name::Endpoint, now: Duration) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.heard = now;
            entry.restored = false;
        }
    }

    /// The process of a name, as one that vouches for endpoints. What it vouched for before counts
    /// no more: it tells all anew.
    pub fn voucher(&mut self, name: &name::Box) -> Option<Voucher> {
        let voucher = self.vouched.voucher(name)?;
        let last = self.vouched.of(voucher);
        for entry in self.entries.values_mut() {
            if entry.vouchers.has(voucher) {
                entry.vouchers.remove(voucher);
                entry.heard = entry.heard.max(last);
            }
        }
        Some(voucher)
    }

    /// Notes that another process told of an endpoint, and vouches for it from now on.
    pub fn vouch_for(&mut self, name: &name::Endpoint, by: Voucher) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.vouchers.add(by);
        }
    }

    /// Notes that another process says that the endpoints are alive that it vouches for.
    pub fn vouched(&mut self, by: Voucher, now: Duration) {
        self.vouched.note(by, now);
    }

    /// Notes that an endpoint fell silent towards another process.
    pub fn withdraw(&mut self, name: &name::Endpoint, by: Voucher) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.vouchers.remove(by);
        }
    }

    /// An endpoint by its name.
    pub fn get(&self, name: &name::Endpoint) -> Option<&Record> {
        self.entries.get(name).map(|entry| &entry.record)
    }

    /// The endpoint that started later at an endpoint's address, if there is one: an address
    /// belongs to one endpoint at a time. A heartbeat that was held up on its way may name one
    /// that has crashed since; requests sent by its name would be turned away, one a box.
    pub fn displaced_by(&self, name: &name::Endpoint) -> Option<&name::Endpoint> {
        let own = self.entries.get(name)?;
        let is_later = |other: &&name::Endpoint| {
            let other = self.entries.get(*other);
            other.is_some_and(|other| other.is_after(own))
        };
        let rivals = self.at_address(own.record.address);
        rivals.iter().find(is_later)
    }

    /// The endpoints that say that they are at an address.
    pub fn at_address(&self, address: SocketAddr) -> &[name::Endpoint] {
        self.claims.of(address)
    }

    /// All endpoints at whose address another one started later.
    pub fn displaced(&self) -> BTreeSet<name::Endpoint> {
        let contested = self.claims.contested();
        let displaced = contested.filter(|name| self.displaced_by(name).is_some());
        displaced.cloned().collect()
    }

    /// Whether anything is known of an endpoint.
    pub fn knows(&self, name: &name::Endpoint) -> bool {
        self.entries.contains_key(name) || self.paces.get(name).is_some()
    }

    /// How many endpoints have not gone.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether all endpoints have gone.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All endpoints that have not gone.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Notes how fast an endpoint goes, whether or not it has announced itself; tells whether
    /// that was unknown. Which endpoints count as slow by it, `regrade` says.
    pub fn set_pace(&mut self, name: &name::Endpoint, pace: pace::Pace) -> bool {
        let known = self.paces.get(name);
        let has_gone = self.ended.is_told(name) && !self.entries.contains_key(name);
        if !pace.is_news(known) || has_gone {
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

    /// Compares the endpoints of those services with each other of which any pace changed, or was
    /// known before its endpoint was; tells whether others count as slow than before.
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
            self.change();
        }
        changed
    }

    /// The paces that changed after a stamp.
    pub fn paces_since(&self, span: impl Into<Span>) -> Vec<pace::Paced> {
        self.paces.since(span.into())
    }

    /// All endpoints that have not gone, and whether each is slow beside the others of
    /// its service.
    pub fn graded(&self) -> impl Iterator<Item = (&Record, bool)> {
        self.entries
            .values()
            .map(|entry| (&entry.record, entry.slow))
    }

    /// An endpoint that has not gone, and whether it is slow beside the others of its service.
    pub fn graded_one(&self, name: &name::Endpoint) -> Option<(&Record, bool)> {
        let entry = self.entries.get(name)?;
        Some((&entry.record, entry.slow))
    }

    /// The endpoints that changed, went or fell silent after a stamp, and those at their addresses.
    pub fn touched_since(&self, stamp: u64) -> BTreeSet<name::Endpoint> {
        let changed = self.changes.since(stamp.into()).cloned();
        let mut touched: BTreeSet<_> = changed.collect();
        touched.extend(self.gone_since(stamp));
        touched.extend(self.silent_since(stamp));
        let addresses = touched.iter().filter_map(|name| self.get(name));
        let rivals: Vec<_> = addresses
            .flat_map(|record| self.at_address(record.address))
            .cloned()
            .collect();
        touched.extend(rivals);
        touched
    }

    /// Up to which stamp a follower at a stamp is told in one message that holds so many records at
    /// most, and paces and ends beside them.
    pub fn stamp_within(&self, stamp: u64, records: usize) -> u64 {
        let parts = [
            self.changes.stamp_after(stamp, records),
            self.paces.stamp_after(stamp, records),
            self.ended.stamp_after(stamp, records),
        ];
        let first = parts.into_iter().flatten().min();
        first.unwrap_or(self.stamp)
    }

    /// Rises with each change that others have to know.
    pub fn stamp(&self) -> u64 {
        self.stamp
    }

    /// Rises with each change that dispatchers have to know: paces alone are none. With some
    /// thousand endpoints a pace changes many times a second, and it takes 4 ms to bring a
    /// dispatcher up to as many records.
    pub fn layout(&self) -> u64 {
        self.layout
    }

    fn change(&mut self) {
        self.stamp += 1;
        self.layout = self.stamp;
    }

    /// The records that changed after a stamp.
    pub fn changed_since(&self, span: impl Into<Span>) -> Vec<Record> {
        let changed = self.entries_since(span.into());
        changed.map(|entry| entry.record.clone()).collect()
    }

    fn entries_since(&self, span: Span) -> impl Iterator<Item = &Entry> {
        let names = self.changes.since(span);
        names.filter_map(|name| self.entries.get(name))
    }

    /// The same for another process: with what is left of warm-ups.
    pub fn told_since(&self, span: impl Into<Span>, now: Duration) -> Vec<Record> {
        let mut told = self.changed_since(span);
        for record in &mut told {
            let belief = self.warm_up(&record.name);
            record.warm_up = belief.and_then(|belief| belief.left(now));
        }
        told
    }

    /// What is believed of an endpoint's warm-up.
    pub fn warm_up(&self, name: &name::Endpoint) -> Option<&warm_up::Belief> {
        self.entries.get(name).map(|entry| &entry.warm_up)
    }

    /// The endpoints of which a start ended after a stamp.
    pub fn gone_since(&self, span: impl Into<Span>) -> Vec<name::Endpoint> {
        self.ended.names_since(span.into())
    }

    /// Which starts ended after a stamp, of the endpoints that tell their incarnations.
    pub fn ended_since(&self, span: impl Into<Span>) -> Vec<Ended> {
        self.ended.since(span.into())
    }

    /// The endpoints that left after a stamp, of which no start was known here then.
    pub fn left_since(&self, span: impl Into<Span>) -> Vec<name::Endpoint> {
        self.ended.unnamed_since(span.into())
    }

    /// The endpoints that were heard of since a time.
    pub fn heard_since(&self, time: Duration) -> Vec<name::Endpoint> {
        let last = |entry: &Entry| entry.heard.max(self.vouched.latest(entry.vouchers));
        let heard = self.entries.values().filter(|entry| last(entry) >= time);
        heard.map(|entry| entry.record.name.clone()).collect()
    }

    /// Forgets the endpoints that served before a loss of power and have not been heard of in
    /// time; returns them.
    pub fn expire_restored(&mut self, now: Duration) -> Vec<Record> {
        let restored = self.timing.restored();
        let is_over = |entry: &Entry| entry.restored && entry.heard + restored <= now;
        self.forget_those(is_over)
    }

    /// Forgets the endpoints that were not heard of since `before`; returns them.
    pub fn expire(&mut self, before: Duration) -> Vec<Record> {
        let vouched = self.vouched.clone();
        let is_silent =
            |entry: &Entry| entry.heard < before && vouched.latest(entry.vouchers) < before;
        self.forget_those(is_silent)
    }

    /// Forgets the endpoints that have been silent for too long; returns them.
    pub fn expire_silent(&mut self, now: Duration) -> Vec<Record> {
        self.expire(now.saturating_sub(self.timing.silence()))
    }

    fn forget_those(&mut self, is_over: impl Fn(&Entry) -> bool) -> Vec<Record> {
        let over = self.entries.values().filter(|entry| is_over(entry));
        let over: Vec<_> = over.map(|entry| entry.record.clone()).collect();
        for record in &over {
            self.forget(&record.name);
        }
        over
    }

    /// The times that follow from how often endpoints tell of themselves.
    pub fn timing(&self) -> Timing {
        self.timing
    }
}
