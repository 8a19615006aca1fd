//! Claims: a call with an idempotency key that may not be repeated is sent at most once.
//!
//! Before a box sends such a call it claims the key at the key's three holders: the boxes with
//! the highest rendezvous hash among the *configured* boxes, in different availability zones if
//! there are that many. Two of the three have to agree. Any two majorities of the three share a
//! holder, so no second claim can win while the first is remembered, and a claim survives the
//! loss of one holder.
//!
//! A holder that restarts has forgotten its votes. It votes on a key only once it has read the
//! claims back from *both* other holders of that key, or once the retention has passed since its
//! start. Reading them back from a majority of all boxes is not enough: the one box that
//! remembers a claim may not be among them. When the set of boxes changes, keys move to other
//! holders; every holder then reads back from all boxes before it votes again.
//!
//! If two holders can't be reached, the call is refused: at-most-once has precedence over
//! availability.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::{attempt, name, rendezvous, secret, verdict};

/// The number of boxes that hold a key.
pub const HOLDERS: usize = 3;
/// The number of holders that have to agree.
pub const QUORUM: usize = 2;

/// A key: the hash of team, service and the caller's key text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(secret::Hash);

impl Key {
    /// Returns the key of a caller's text. Equal texts of different teams or services have
    /// different keys.
    pub fn new(team: &name::Team, service: &name::Service, text: &str) -> Self {
        // Names contain no zero byte, so the parts can't run into each other.
        Self(secret::Hash::of(&format!("{team}\0{service}\0{text}")))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Returns the boxes that hold a key, at most [`HOLDERS`] of them.
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

/// Returns how many of a key's holders have to agree: a majority, also where fewer boxes than
/// [`HOLDERS`] are configured.
pub fn quorum(holders: usize) -> usize {
    holders / 2 + 1
}

/// A holder's record of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The request that claimed the key.
    pub owner: attempt::Request,
    /// The verdict on that request, once known.
    pub ended: Option<verdict::Verdict>,
    /// How long ago the key was claimed. An age rather than a time, since clocks differ.
    pub age: Duration,
}

/// A holder's answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The requester now holds the key.
    Granted,
    /// Another request holds the key.
    Taken(Record),
    /// The holder can't vote yet, since it has not read back the claims that it may have
    /// forgotten.
    Unsettled,
}

/// The result of a claim, from all holders' answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A majority granted the claim: the call may be sent, once.
    Won,
    /// Another request holds the key.
    Lost(Record),
    /// No majority agreed, and no holder knows another owner. Nothing was sent under this claim;
    /// whether a call ran under another one is unknown.
    Undecided,
}

/// Evaluates the answers of a key's holders; `None` stands for a holder that did not answer.
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
    // A record with a verdict has precedence over one without.
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
    /// When the retention has passed, so that no claim can be missing any more.
    settled_at: Duration,
    /// The boxes whose claims were read back.
    read_from: BTreeSet<name::Box>,
    /// Whether the set of boxes has changed, so that claims have to be read back from all boxes.
    boxes_changed: bool,
}

impl Holder {
    /// Creates a holder that has just started and may have forgotten claims.
    pub fn new(own: name::Box, retention: Duration, now: Duration) -> Self {
        Self {
            own,
            boxes: BTreeMap::new(),
            retention,
            claims: HashMap::new(),
            settled_at: now + retention,
            read_from: BTreeSet::new(),
            boxes_changed: false,
        }
    }

    /// Returns how long a claim is remembered.
    pub fn retention(&self) -> Duration {
        self.retention
    }

    /// Sets the configured boxes.
    pub fn configure(&mut self, boxes: BTreeMap<name::Box, name::Zone>, now: Duration) {
        if self.boxes == boxes {
            return;
        }
        if !self.boxes.is_empty() {
            self.boxes_changed = true;
            self.read_from.clear();
            self.settled_at = now + self.retention;
        }
        self.boxes = boxes;
    }

    /// Returns the boxes whose claims still have to be read back.
    pub fn not_read_back(&self, now: Duration) -> Vec<name::Box> {
        if now >= self.settled_at {
            return Vec::new();
        }
        let others = self.boxes.keys().filter(|name| **name != self.own);
        others
            .filter(|name| !self.read_from.contains(*name))
            .cloned()
            .collect()
    }

    /// Returns whether this box holds all claims that it may have forgotten.
    pub fn is_settled(&self, now: Duration) -> bool {
        now >= self.settled_at || (!self.boxes.is_empty() && self.not_read_back(now).is_empty())
    }

    fn may_vote(&self, key: Key, now: Duration) -> bool {
        if self.is_settled(now) {
            return true;
        }
        let holders = holders(key, &self.boxes);
        let is_read_back = |name: &name::Box| *name == self.own || self.read_from.contains(name);
        !self.boxes_changed && !holders.is_empty() && holders.iter().all(is_read_back)
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

    /// Releases a claim whose owner has sent nothing under it and never will.
    pub fn release(&mut self, key: Key, owner: attempt::Request) {
        if self
            .claims
            .get(&key)
            .is_some_and(|c| c.owner == owner && c.ended.is_none())
        {
            self.claims.remove(&key);
        }
    }

    /// Records the verdict on a claim's request.
    pub fn end(&mut self, key: Key, owner: attempt::Request, verdict: verdict::Verdict) {
        let claim = self
            .claims
            .get_mut(&key)
            .filter(|claim| claim.owner == owner);
        if let Some(claim) = claim {
            claim.ended = Some(verdict);
        }
    }

    /// Returns the claims that another box may have forgotten: those on keys that it holds too.
    /// Returns `None` while this box may itself lack some.
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

    /// Merges the claims that another box remembers.
    pub fn merge(&mut self, from: &name::Box, claims: Vec<(Key, Record)>, now: Duration) {
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
        self.read_from.insert(from.clone());
    }

    /// Forgets the claims whose retention has passed.
    pub fn tick(&mut self, now: Duration) {
        let retention = self.retention;
        self.claims
            .retain(|_, claim| now.saturating_sub(claim.at) < retention);
    }

    /// Returns the number of claims held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is held.
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
