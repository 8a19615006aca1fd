//! Claims: a keyed call that may not be repeated is sent at most once.
//!
//! Before a box sends such a call it claims the key at the key's three holders: the
//! heaviest boxes by rendezvous hash over the *configured* boxes, in different
//! availability zones where there are that many. Two of the three have to agree.
//! Any two pairs of three share a holder, so no second claim can win while the
//! first is remembered, and a claim survives the loss of one holder.
//!
//! A holder that starts anew has forgotten what it agreed to. It votes on a key only
//! once it has read the claims back from *both* other holders of that key, or once
//! the retention has passed since its start. To have read them back from a majority
//! of all boxes is not enough: the one box that remembers may not be among them.
//! When the set of boxes changes, holders move; every holder then reads back from
//! all boxes before it votes again.
//!
//! Where two holders can't be reached, the call is refused: at most once goes before
//! availability.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::{attempt, name, rendezvous, secret, verdict};

/// How many boxes hold a key.
pub const HOLDERS: usize = 3;
/// How many of them have to agree.
pub const QUORUM: usize = 2;

/// A key: the hash over team, service and the caller's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(secret::Hash);

impl Key {
    /// The key of a caller's text. Teams and services have keys of their own.
    pub fn new(team: &name::Team, service: &name::Service, text: &str) -> Self {
        // Names hold no zero byte, so the parts can't run into each other.
        Self(secret::Hash::of(&format!("{team}\0{service}\0{text}")))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The boxes that hold a key, at most [`HOLDERS`] of them.
pub fn holders(key: Key, boxes: &BTreeMap<name::Box, name::Zone>) -> Vec<name::Box> {
    let text = key.to_string();
    let ordered = rendezvous::order(&[text.as_str()], boxes.keys());
    let mut zones = BTreeSet::new();
    let mut chosen: Vec<_> = Vec::with_capacity(HOLDERS);
    for name in &ordered {
        if chosen.len() < HOLDERS && zones.insert(&boxes[*name]) {
            chosen.push((*name).clone());
        }
    }
    let rest = ordered
        .into_iter()
        .filter(|name| !chosen.contains(name))
        .cloned();
    let rest: Vec<_> = rest.take(HOLDERS - chosen.len()).collect();
    chosen.extend(rest);
    chosen
}

/// How many of a key's holders have to agree; where fewer boxes than
/// [`HOLDERS`] are configured, still a majority of them.
pub fn quorum(holders: usize) -> usize {
    holders / 2 + 1
}

/// What a holder remembers of a key.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The request that claimed the key.
    pub owner: attempt::Request,
    /// What became of it, once known.
    pub ended: Option<verdict::Verdict>,
    /// How long ago it was claimed. An age, since clocks differ.
    pub age: Duration,
}

/// A holder's answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The key is the asking request's.
    Granted,
    /// The key is another request's.
    Taken(Record),
    /// The holder has not read back what it may have forgotten.
    Unsettled,
}

/// What a claimant makes of its holders' answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The call may be sent, once.
    Won,
    /// Another request has the key.
    Lost(Record),
    /// No majority agreed. Nothing was sent under this claim; whether the key ran
    /// under another is not known.
    Undecided,
}

/// Counts the answers of a key's holders; `None` is one that did not answer.
pub fn tally(replies: &[Option<Reply>]) -> Outcome {
    let granted = replies
        .iter()
        .filter(|r| matches!(r, Some(Reply::Granted)))
        .count();
    if granted >= quorum(replies.len()) {
        return Outcome::Won;
    }
    let taken = replies.iter().flatten().filter_map(|reply| match reply {
        Reply::Taken(record) => Some(*record),
        Reply::Granted | Reply::Unsettled => None,
    });
    // An end that one holder knows tells more than a claim.
    match taken.max_by_key(|record| record.ended) {
        Some(record) => Outcome::Lost(record),
        None => Outcome::Undecided,
    }
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    owner: attempt::Request,
    ended: Option<verdict::Verdict>,
    at: Duration,
}

/// The claims that a box holds.
#[derive(Debug)]
pub struct Holder {
    own: name::Box,
    boxes: BTreeMap<name::Box, name::Zone>,
    retention: Duration,
    claims: HashMap<Key, Claim>,
    /// When nothing can be missing any more.
    settled_at: Duration,
    /// The boxes that were read back from.
    heard: BTreeSet<name::Box>,
    /// Whether the set of boxes changed, so that all have to be heard.
    moved: bool,
}

impl Holder {
    /// A holder that has just started and may have forgotten claims.
    pub fn new(own: name::Box, retention: Duration, now: Duration) -> Self {
        Self {
            own,
            boxes: BTreeMap::new(),
            retention,
            claims: HashMap::new(),
            settled_at: now + retention,
            heard: BTreeSet::new(),
            moved: false,
        }
    }

    /// How long a claim is remembered.
    pub fn retention(&self) -> Duration {
        self.retention
    }

    /// Sets the configured boxes.
    pub fn configure(&mut self, boxes: BTreeMap<name::Box, name::Zone>, now: Duration) {
        if self.boxes == boxes {
            return;
        }
        if !self.boxes.is_empty() {
            self.moved = true;
            self.heard.clear();
            self.settled_at = now + self.retention;
        }
        self.boxes = boxes;
    }

    /// The boxes that still have to be read back from.
    pub fn unheard(&self, now: Duration) -> Vec<name::Box> {
        if now >= self.settled_at {
            return Vec::new();
        }
        let others = self.boxes.keys().filter(|name| **name != self.own);
        others
            .filter(|name| !self.heard.contains(*name))
            .cloned()
            .collect()
    }

    /// Whether nothing that this box may have forgotten is missing.
    pub fn is_settled(&self, now: Duration) -> bool {
        now >= self.settled_at || (!self.boxes.is_empty() && self.unheard(now).is_empty())
    }

    fn may_vote(&self, key: Key, now: Duration) -> bool {
        if self.is_settled(now) {
            return true;
        }
        let holders = holders(key, &self.boxes);
        let heard = |name: &name::Box| *name == self.own || self.heard.contains(name);
        !self.moved && !holders.is_empty() && holders.iter().all(heard)
    }

    /// Answers a claim.
    pub fn claim(&mut self, key: Key, owner: attempt::Request, now: Duration) -> Reply {
        if let Some(claim) = self.claims.get(&key) {
            if claim.owner == owner {
                return Reply::Granted;
            }
            return Reply::Taken(claim.record(now));
        }
        if !self.may_vote(key, now) {
            return Reply::Unsettled;
        }
        self.claims.insert(
            key,
            Claim {
                owner,
                ended: None,
                at: now,
            },
        );
        Reply::Granted
    }

    /// Gives a claim back; its owner has sent nothing under it and never will.
    pub fn release(&mut self, key: Key, owner: attempt::Request) {
        if self
            .claims
            .get(&key)
            .is_some_and(|c| c.owner == owner && c.ended.is_none())
        {
            self.claims.remove(&key);
        }
    }

    /// Notes what became of a claim.
    pub fn end(&mut self, key: Key, owner: attempt::Request, verdict: verdict::Verdict) {
        let claim = self
            .claims
            .get_mut(&key)
            .filter(|claim| claim.owner == owner);
        if let Some(claim) = claim {
            claim.ended = Some(verdict);
        }
    }

    /// What another box may have forgotten: the claims on the keys that it holds
    /// too. Nothing, while this box may have forgotten some of them itself.
    pub fn read_back(&self, by: &name::Box, now: Duration) -> Option<Vec<(Key, Record)>> {
        if !self.is_settled(now) {
            return None;
        }
        let shared = |key: &Key| self.boxes.is_empty() || holders(*key, &self.boxes).contains(by);
        let claims = self.claims.iter().filter(|(key, _)| shared(key));
        Some(
            claims
                .map(|(key, claim)| (*key, claim.record(now)))
                .collect(),
        )
    }

    /// Takes in what another box remembers.
    pub fn absorb(&mut self, from: &name::Box, claims: Vec<(Key, Record)>, now: Duration) {
        for (key, record) in claims {
            let at = now.saturating_sub(record.age);
            let claim = Claim {
                owner: record.owner,
                ended: record.ended,
                at,
            };
            let own = self.claims.entry(key).or_insert(claim);
            if own.owner == record.owner {
                own.ended = own.ended.max(record.ended);
            }
        }
        self.heard.insert(from.clone());
    }

    /// Forgets the claims whose retention has passed.
    pub fn tick(&mut self, now: Duration) {
        let retention = self.retention;
        self.claims
            .retain(|_, claim| now.saturating_sub(claim.at) < retention);
    }

    /// How many claims are held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}

impl Claim {
    fn record(&self, now: Duration) -> Record {
        Record {
            owner: self.owner,
            ended: self.ended,
            age: now.saturating_sub(self.at),
        }
    }
}
