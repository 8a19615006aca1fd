//! Decides which voter issues an endpoint's permits, and at which rate.
//!
//! Each voter has its own view of which other voters are reachable, so the right to issue is
//! granted by votes. For each endpoint a voter votes for one issuer at a time, by a lease of
//! [`VOTE_LEASE`], and votes for another one only after that lease has expired. An issuer with a
//! majority of the votes uses the whole limit, any other the fraction of it that its votes are of
//! all voters. As each vote counts for one issuer only, all issuers together stay below one and a
//! half times the limit.

use std::{collections::BTreeMap, time::Duration};

use super::Limit;
use crate::core::{name, rendezvous};

/// A voter counts as reachable for this long after its last answer; it answers about twice a second
/// or more often.
const PEER_TIMEOUT: Duration = Duration::from_millis(750);
/// How long a vote is valid, counted from when it was requested.
const VOTE_LEASE: Duration = Duration::from_millis(500);

/// What is known of another voter.
#[derive(Debug, Default)]
struct Peer {
    /// When it last answered.
    last_answer: Option<Duration>,
    /// Since when it has been a candidate for issuer here, if it is one.
    candidate_since: Option<Duration>,
    /// Until when votes granted to it here may still be in use.
    vote_granted_until: Duration,
    /// The voters among which it picks issuers; empty if it does not vote for this voter.
    candidates: Vec<name::Box>,
    /// Until when its votes are valid.
    votes_valid_until: Duration,
}

impl Peer {
    fn is_reached(&self, now: Duration) -> bool {
        self.last_answer.is_some_and(|at| now < at + PEER_TIMEOUT)
    }
}

/// The votes of all voters, as known to one of them.
#[derive(Debug)]
pub(super) struct Ballot {
    own: name::Box,
    /// The number of voters, this one included.
    voters: usize,
    /// When this voter first sent or received anything.
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

    /// Records another voter's votes, requested at `asked`: `candidates` are the voters among which
    /// it picks issuers, empty if it does not vote for this voter.
    pub(super) fn record_votes(
        &mut self,
        from: &name::Box,
        candidates: Vec<name::Box>,
        asked: Duration,
        now: Duration,
    ) {
        let peer = self.peers.entry(from.clone()).or_default();
        peer.last_answer = Some(now);
        peer.candidates = candidates;
        peer.votes_valid_until = asked + VOTE_LEASE;
        self.update_candidates(now);
    }

    /// Updates the candidates: the voters that answer. One that stops answering is removed only
    /// when the votes granted to it here have expired.
    pub(super) fn update_candidates(&mut self, now: Duration) {
        self.started.get_or_insert(now);
        for peer in self.peers.values_mut() {
            if peer.is_reached(now) {
                peer.candidate_since.get_or_insert(now);
            } else if now >= peer.vote_granted_until {
                peer.candidate_since = None;
            }
        }
    }

    /// Returns the voter that issues an endpoint's permits, as seen from here.
    pub(super) fn issuer_of(&self, endpoint: &name::Endpoint) -> &name::Box {
        winner(endpoint, self.candidates()).unwrap_or(&self.own)
    }

    /// Votes for another voter on all endpoints where it is the winner here. Returns the candidates
    /// of this voter, or none if it may not vote for that one yet.
    pub(super) fn grant_vote(&mut self, peer: &name::Box, now: Duration) -> Vec<name::Box> {
        let Some(known) = self.peers.get(peer) else {
            return Vec::new();
        };
        if !known.is_reached(now) || !self.may_vote(known.candidate_since, now) {
            return Vec::new();
        }
        let candidates = self.candidates().cloned().collect();
        if let Some(known) = self.peers.get_mut(peer) {
            known.vote_granted_until = now + VOTE_LEASE;
        }
        candidates
    }

    /// Returns the permits per second that this voter may issue under a limit, or `None` if it has
    /// no votes.
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
        // There are only a few voters, so the casts are exact.
        (votes > 0).then(|| limit.per_second() * votes as f64 / voters as f64)
    }

    /// Returns how many voters vote for this one as the issuer of an endpoint's permits.
    fn votes(&self, endpoint: &name::Endpoint, now: Duration) -> usize {
        let is_winner = self.issuer_of(endpoint) == &self.own;
        let own = is_winner && self.may_vote(self.started, now);
        let voting = self
            .peers
            .values()
            .filter(|peer| now < peer.votes_valid_until);
        let others = voting.filter(|peer| winner(endpoint, &peer.candidates) == Some(&self.own));
        usize::from(own) + others.count()
    }

    /// Returns the candidates for issuer, this voter included.
    fn candidates(&self) -> impl Iterator<Item = &name::Box> {
        let peers = self.peers.iter();
        let reached = peers.filter(|(_, peer)| peer.candidate_since.is_some());
        std::iter::once(&self.own).chain(reached.map(|(name, _)| name))
    }

    /// Returns whether all votes given to others have expired since this voter started and since
    /// `candidate_since`. Votes from before a restart are not known any more, but may still be in
    /// use.
    fn may_vote(&self, candidate_since: Option<Duration>, now: Duration) -> bool {
        let has_elapsed =
            |since: Option<Duration>| since.is_some_and(|since| now >= since + VOTE_LEASE);
        has_elapsed(self.started) && has_elapsed(candidate_since)
    }
}

/// Returns the issuer of an endpoint's permits among some voters. It is the same wherever the
/// voters are the same.
fn winner<'a>(
    endpoint: &name::Endpoint,
    voters: impl IntoIterator<Item = &'a name::Box>,
) -> Option<&'a name::Box> {
    rendezvous::winner(&[endpoint.as_str()], voters)
}
