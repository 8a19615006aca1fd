//! Which voter issues an endpoint's permits, and how many a second.
//!
//! Which voters reach each other, each of them sees in its own way. So a voter issues permits by
//! the votes of all: each voter votes for one issuer of an endpoint at a time, by a lease that runs
//! out ([`VOTE`]), and gives its vote to another one only once that has run out. With a majority
//! an issuer goes by the whole limit, else by the part that its votes are of all. As each vote counts
//! for one issuer, all of them together come to less than one and a half times the limit.

use std::{collections::BTreeMap, time::Duration};

use super::Limit;
use crate::core::{name, rendezvous};

/// How long another voter may be silent and counts as reached: it answers four times a second.
const SILENCE: Duration = Duration::from_millis(750);
/// For how long a vote holds, counted from when it was asked for.
const VOTE: Duration = Duration::from_millis(500);

/// Another voter.
#[derive(Debug, Default)]
struct Peer {
    /// When it answered last.
    answered: Option<Duration>,
    /// Since when it may be chosen as an issuer here, if it may.
    chosen_since: Option<Duration>,
    /// Until when it may count on votes from here.
    voted_until: Duration,
    /// The voters among which it chooses issuers.
    voters: Vec<name::Box>,
    /// Until when its votes hold, by that.
    votes_until: Duration,
}

impl Peer {
    fn is_reached(&self, now: Duration) -> bool {
        self.answered.is_some_and(|at| now < at + SILENCE)
    }
}

/// The votes of all voters, as one of them knows them.
#[derive(Debug)]
pub(super) struct Ballot {
    own: name::Box,
    /// How many voters there are.
    voters: usize,
    /// When this voter was first asked or told anything.
    started: Option<Duration>,
    peers: BTreeMap<name::Box, Peer>,
}

impl Ballot {
    pub(super) fn new(own: name::Box) -> Self {
        Self {
            own,
            voters: 1,
            started: None,
            peers: BTreeMap::new(),
        }
    }

    pub(super) fn set_voters(&mut self, voters: usize) {
        self.voters = voters;
    }

    /// Takes another voter's votes, which were asked for at a time: the voters among which it
    /// chooses, none if it does not vote for this one.
    pub(super) fn take(
        &mut self,
        from: &name::Box,
        voters: Vec<name::Box>,
        asked: Duration,
        now: Duration,
    ) {
        let peer = self.peers.entry(from.clone()).or_default();
        peer.answered = Some(now);
        peer.voters = voters;
        peer.votes_until = asked + VOTE;
        self.choose(now);
    }

    /// Chooses issuers among the voters that answer. One that answers no more is left out only once
    /// it can't count on votes from here.
    pub(super) fn choose(&mut self, now: Duration) {
        self.started.get_or_insert(now);
        for peer in self.peers.values_mut() {
            if peer.is_reached(now) {
                peer.chosen_since.get_or_insert(now);
            } else if now >= peer.voted_until {
                peer.chosen_since = None;
            }
        }
    }

    /// The voter that issues an endpoint's permits, as far as is known here.
    pub(super) fn issuer_of(&self, endpoint: &name::Endpoint) -> &name::Box {
        winner(endpoint, self.choices()).unwrap_or(&self.own)
    }

    /// Votes for another voter wherever it is the choice here: the voters among which this one
    /// chooses, none if it may not vote for that one.
    pub(super) fn vote_for(&mut self, peer: &name::Box, now: Duration) -> Vec<name::Box> {
        let Some(known) = self.peers.get(peer) else {
            return Vec::new();
        };
        if !known.is_reached(now) || !self.may_vote(known.chosen_since, now) {
            return Vec::new();
        }
        let voters = self.choices().cloned().collect();
        if let Some(known) = self.peers.get_mut(peer) {
            known.voted_until = now + VOTE;
        }
        voters
    }

    /// The permits a second that this voter may issue of a limit, if it is to issue any.
    pub(super) fn rate(
        &self,
        endpoint: &name::Endpoint,
        limit: Limit,
        now: Duration,
    ) -> Option<f64> {
        let votes = self.votes(endpoint, now);
        let voters = self.voters.max(votes);
        if 2 * votes > voters {
            return Some(limit.per_second());
        }
        // A few voters, so the casts are exact.
        (votes > 0).then(|| limit.per_second() * votes as f64 / voters as f64)
    }

    /// How many voters have this one issue an endpoint's permits.
    fn votes(&self, endpoint: &name::Endpoint, now: Duration) -> usize {
        let is_own = self.issuer_of(endpoint) == &self.own;
        let own = is_own && self.may_vote(self.started, now);
        let holding = self.peers.values().filter(|peer| now < peer.votes_until);
        let others = holding.filter(|peer| winner(endpoint, &peer.voters) == Some(&self.own));
        usize::from(own) + others.count()
    }

    /// The voters among which issuers are chosen, this one included.
    fn choices(&self) -> impl Iterator<Item = &name::Box> {
        let peers = self.peers.iter();
        let chosen = peers.filter(|(_, peer)| peer.chosen_since.is_some());
        std::iter::once(&self.own).chain(chosen.map(|(name, _)| name))
    }

    /// Whether the votes for others have run out that were given before one could be chosen, also
    /// those from before this voter's start.
    fn may_vote(&self, chosen_since: Option<Duration>, now: Duration) -> bool {
        let has_passed = |since: Option<Duration>| since.is_some_and(|since| now >= since + VOTE);
        has_passed(self.started) && has_passed(chosen_since)
    }
}

/// Which of some voters issues an endpoint's permits: the same one wherever these are the choices.
fn winner<'a>(
    endpoint: &name::Endpoint,
    voters: impl IntoIterator<Item = &'a name::Box>,
) -> Option<&'a name::Box> {
    rendezvous::winner(&[endpoint.as_str()], voters)
}
