//! The registry: endpoints that announce themselves.
//!
//! It is soft state. Each voter notes what endpoints tell it and pushes the differences
//! to every entry box; an entry box merges what it hears from all voters. A sequence
//! number that rises with each heartbeat tells a late one from a new one; an endpoint
//! that has gone never comes back under its name.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::{name, pace, unit, warm_up};

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes work.
    Ready,
    /// It is about to go and takes no new work.
    Leaving,
    /// It has gone.
    Gone,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its name; a new one at each start.
    pub name: name::Endpoint,
    /// The service that it serves.
    pub service: name::Service,
    /// Where it stands.
    pub zone: name::Zone,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// How many requests it runs at once.
    pub slots: unit::Slots,
    /// Whether it takes new work.
    pub state: State,
    /// Rises with each heartbeat.
    pub sequence: u64,
    /// Whether it is paid for as one that may be taken away.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub interruptible: bool,
    /// Which start of it this is, if it tells: a later start has a higher number. Numbers of
    /// one endpoint are compared with each other only, never with a clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<unit::Incarnation>,
    /// How much longer it warms up, if it tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<warm_up::Left>,
}

/// What a merge changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// Nothing: it was known, or late.
    Nothing,
    /// Only that the endpoint is alive.
    Alive,
    /// Something that others have to know.
    Changed,
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    heard: Duration,
    /// The registry's stamp when the record last changed.
    stamp: u64,
    /// Whether it is slow beside the others of its service.
    slow: bool,
    /// Whether it served before a loss of power and was not heard of since.
    restored: bool,
    /// When it started, as its heartbeats tell: in milliseconds of this process's clock,
    /// before its zero as well. Heartbeats come late, so the earliest that was told counts.
    started: i64,
    /// Its warm-up; the record itself tells none, since what is left falls with time.
    warm_up: warm_up::Belief,
}

impl Entry {
    /// Whether it is the later one of two at the same address.
    fn is_after(&self, other: &Self) -> bool {
        let rank = |entry: &Self| (!entry.restored, entry.started);
        rank(self) > rank(other)
    }
}

/// When an endpoint started by a heartbeat that arrives now.
fn started(sequence: u64, now: Duration) -> i64 {
    let now = i64::try_from(now.as_millis()).unwrap_or(i64::MAX);
    let running = HEARTBEAT.as_millis().saturating_mul(sequence.into());
    now.saturating_sub(i64::try_from(running).unwrap_or(i64::MAX))
}

/// How long an endpoint that served before a loss of power is used without being heard of:
/// two heartbeats and some.
pub const RESTORED: Duration = Duration::from_millis(3500);
/// The time between two heartbeats of an endpoint, about. It only tells which of two endpoints
/// at one address started later, so the users' 1.2 s stand for all.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// How long after the first endpoint was heard of others that are heard of count as having
/// served before: some heartbeats.
const FOUND: Duration = Duration::from_secs(5);
/// The most endpoints that have gone which are remembered.
const MAX_GONE: usize = 4096;
/// The most endpoints whose pace is kept: several times as many as a system has.
const MAX_PACES: usize = 4096;

/// The endpoints that have announced themselves.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<name::Endpoint, Entry>,
    /// Endpoints that have gone, with the stamp of that.
    gone: BTreeMap<name::Endpoint, u64>,
    gone_order: VecDeque<name::Endpoint>,
    stamp: u64,
    /// When the first endpoint was heard of.
    since: Option<Duration>,
    /// How fast endpoints go, and the stamp when that last changed; also of endpoints that
    /// have not announced themselves here.
    paces: BTreeMap<name::Endpoint, (pace::Pace, u64)>,
}

impl Registry {
    /// Takes a heartbeat, or a record that another process has heard.
    pub fn merge(&mut self, mut record: Record, now: Duration) -> Merged {
        if record.state == State::Gone {
            return self.leave(&record.name);
        }
        if self.gone.contains_key(&record.name) {
            return Merged::Nothing;
        }
        let Some(entry) = self.entries.get_mut(&record.name) else {
            self.stamp += 1;
            let since = *self.since.get_or_insert(now);
            let mut belief = warm_up::Belief::new(now > since + FOUND, now);
            belief.hear(record.warm_up.take(), now);
            let entry = Entry {
                heard: now,
                stamp: self.stamp,
                slow: false,
                restored: false,
                started: started(record.sequence, now),
                warm_up: belief,
                record,
            };
            let service = entry.record.service.clone();
            self.entries.insert(entry.record.name.clone(), entry);
            self.grade(&service);
            return Merged::Changed;
        };
        if record.sequence <= entry.record.sequence {
            return Merged::Nothing;
        }
        entry.heard = now;
        entry.restored = false;
        entry.started = entry.started.min(started(record.sequence, now));
        let warms = entry.warm_up.hear(record.warm_up.take(), now);
        let same = Record {
            sequence: record.sequence,
            ..entry.record.clone()
        };
        let changed = warms || same != record;
        entry.record = record;
        if changed {
            self.stamp += 1;
            entry.stamp = self.stamp;
            Merged::Changed
        } else {
            Merged::Alive
        }
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

    /// Notes that an endpoint has gone.
    pub fn leave(&mut self, name: &name::Endpoint) -> Merged {
        self.entries.remove(name);
        if self.gone.contains_key(name) {
            return Merged::Nothing;
        }
        self.stamp += 1;
        self.paces.remove(name);
        self.gone.insert(name.clone(), self.stamp);
        self.gone_order.push_back(name.clone());
        if self.gone_order.len() > MAX_GONE {
            if let Some(oldest) = self.gone_order.pop_front() {
                self.gone.remove(&oldest);
            }
        }
        Merged::Changed
    }

    /// Notes that an endpoint was heard of.
    pub fn hear(&mut self, name: &name::Endpoint, now: Duration) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.heard = now;
            entry.restored = false;
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
        let later = self
            .entries
            .iter()
            .find(|(_, other)| other.record.address == own.record.address && other.is_after(own));
        later.map(|(name, _)| name)
    }

    /// All endpoints at whose address another one started later.
    pub fn displaced(&self) -> BTreeSet<name::Endpoint> {
        let mut latest: HashMap<SocketAddr, &Entry> = HashMap::new();
        for entry in self.entries.values() {
            let held = latest.entry(entry.record.address).or_insert(entry);
            if entry.is_after(held) {
                *held = entry;
            }
        }
        let displaced = self
            .entries
            .values()
            .filter(|entry| latest[&entry.record.address].is_after(entry));
        displaced.map(|entry| entry.record.name.clone()).collect()
    }

    /// Whether anything is known of an endpoint.
    pub fn knows(&self, name: &name::Endpoint) -> bool {
        self.entries.contains_key(name) || self.paces.contains_key(name)
    }

    /// All endpoints that have not gone.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Notes how fast an endpoint goes, whether or not it has announced itself; tells
    /// whether that was unknown, or another endpoint counts as slow by this.
    pub fn set_pace(&mut self, name: &name::Endpoint, pace: pace::Pace) -> bool {
        let known = self.paces.get(name).map(|(pace, _)| *pace);
        if !pace.is_news(known) || self.gone.contains_key(name) {
            return false;
        }
        if known.is_none() && self.paces.len() >= MAX_PACES {
            self.forget_oldest_pace();
        }
        self.stamp += 1;
        self.paces.insert(name.clone(), (pace, self.stamp));
        let service = self.entries.get(name).map(|e| e.record.service.clone());
        let regraded = service.is_some_and(|service| self.grade(&service));
        regraded || known.is_none()
    }

    /// Makes room for another pace: the one that was told longest ago goes, first of those
    /// whose endpoint is not known.
    fn forget_oldest_pace(&mut self) {
        let told = |(name, (_, at)): &(&name::Endpoint, &(pace::Pace, u64))| {
            (self.entries.contains_key(*name), *at)
        };
        let oldest = self.paces.iter().min_by_key(told);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.paces.remove(&name);
        }
    }

    /// Compares the endpoints of a service with each other.
    fn grade(&mut self, service: &name::Service) -> bool {
        let of_service = |entry: &&mut Entry| entry.record.service == *service;
        let mut entries: Vec<_> = self.entries.values_mut().filter(of_service).collect();
        let pace = |entry: &Entry| self.paces.get(&entry.record.name).map(|(pace, _)| *pace);
        let mut graded: Vec<_> = entries.iter().map(|e| (pace(e), e.slow)).collect();
        pace::grade(&mut graded);
        let mut changed = false;
        for (entry, (_, slow)) in entries.iter_mut().zip(graded) {
            changed |= entry.slow != slow;
            entry.slow = slow;
        }
        changed
    }

    /// The paces that changed after a stamp.
    pub fn paces_since(&self, stamp: u64) -> Vec<pace::Paced> {
        let changed = self.paces.iter().filter(|(_, (_, at))| *at > stamp);
        let paced = |(name, (pace, _)): (&name::Endpoint, &(pace::Pace, u64))| pace::Paced {
            endpoint: name.clone(),
            pace: *pace,
        };
        changed.map(paced).collect()
    }

    /// All endpoints that have not gone, and whether each is slow beside the others of
    /// its service.
    pub fn graded(&self) -> impl Iterator<Item = (&Record, bool)> {
        self.entries
            .values()
            .map(|entry| (&entry.record, entry.slow))
    }

    /// Rises with each change that others have to know.
    pub fn stamp(&self) -> u64 {
        self.stamp
    }

    /// The records that changed after a stamp.
    pub fn changed_since(&self, stamp: u64) -> Vec<Record> {
        let changed = self.entries.values().filter(|entry| entry.stamp > stamp);
        changed.map(|entry| entry.record.clone()).collect()
    }

    /// The same for another process: with what is left of warm-ups.
    pub fn told_since(&self, stamp: u64, now: Duration) -> Vec<Record> {
        let mut told = self.changed_since(stamp);
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

    /// The endpoints that went after a stamp.
    pub fn gone_since(&self, stamp: u64) -> Vec<name::Endpoint> {
        let gone = self.gone.iter().filter(|(_, at)| **at > stamp);
        gone.map(|(name, _)| name.clone()).collect()
    }

    /// The endpoints that were heard of since a time.
    pub fn heard_since(&self, time: Duration) -> Vec<name::Endpoint> {
        let heard = self.entries.values().filter(|entry| entry.heard >= time);
        heard.map(|entry| entry.record.name.clone()).collect()
    }

    /// Forgets the endpoints that served before a loss of power and have not been heard of in
    /// time; returns them.
    pub fn expire_restored(&mut self, now: Duration) -> Vec<Record> {
        let is_over = |entry: &&Entry| entry.restored && entry.heard + RESTORED <= now;
        let over = self.entries.values().filter(is_over);
        let over: Vec<_> = over.map(|entry| entry.record.clone()).collect();
        for record in &over {
            self.entries.remove(&record.name);
            self.stamp += 1;
        }
        over
    }

    /// Forgets the endpoints that were not heard of since `before`; returns them.
    pub fn expire(&mut self, before: Duration) -> Vec<Record> {
        let silent = self.entries.values().filter(|entry| entry.heard < before);
        let silent: Vec<_> = silent.map(|entry| entry.record.clone()).collect();
        for record in &silent {
            self.entries.remove(&record.name);
            self.stamp += 1;
        }
        silent
    }
}
