//! Cluster membership: voters and learners, changed one at a time.
//!
//! When only one voter changes, every majority of the old membership overlaps with every
//! majority of the new one. A change takes effect as soon as it is in the log. The next one may
//! follow only once it is committed, and only after the leader has committed an entry of its own
//! term.
//!
//! A box that has lost its data folder returns in three steps: its new identity is added as a
//! learner, the old identity is removed, and the leader promotes the learner to a voter once it
//! has caught up. Between the last two steps there is one voter fewer: losing a second voter
//! then may block changes, but no committed change is lost.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::core::raft::{Index, Node, Outcome, Payload, Role, State, Ticket, Voter};

/// The voters and learners of the cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The voters with their addresses.
    #[serde(with = "pairs")]
    voters: BTreeMap<Node, SocketAddr>,
    /// The learners with their addresses.
    #[serde(with = "pairs")]
    learners: BTreeMap<Node, SocketAddr>,
}

/// A membership change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// Adds a learner; it becomes a voter once it has caught up.
    Add(Node, SocketAddr),
    /// Removes a voter or learner.
    Remove(Node),
}

impl Members {
    /// Returns the membership of a new cluster with a single voter.
    pub fn single_voter(node: Node, address: SocketAddr) -> Self {
        Self {
            voters: BTreeMap::from([(node, address)]),
            learners: BTreeMap::new(),
        }
    }

    /// Returns the membership of a new cluster whose voters are all known in advance.
    pub fn with_voters(voters: impl IntoIterator<Item = (Node, SocketAddr)>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeMap::new(),
        }
    }

    /// Returns whether a node is a voter.
    pub fn is_voter(&self, node: &Node) -> bool {
        self.voters.contains_key(node)
    }

    /// Returns whether a node is a learner.
    pub fn is_learner(&self, node: &Node) -> bool {
        self.learners.contains_key(node)
    }

    /// Returns the voters.
    pub fn voters(&self) -> impl Iterator<Item = &Node> {
        self.voters.keys()
    }

    /// Returns the learners.
    pub fn learners(&self) -> impl Iterator<Item = &Node> {
        self.learners.keys()
    }

    /// Returns the address of each voter and learner.
    pub fn addresses(&self) -> impl Iterator<Item = (&Node, &SocketAddr)> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns all voters except one node.
    pub(super) fn voters_except(&self, node: &Node) -> Vec<Node> {
        self.voters
            .keys()
            .filter(|voter| *voter != node)
            .cloned()
            .collect()
    }

    /// Returns all voters and learners except one node.
    pub(super) fn members_except(&self, node: &Node) -> Vec<Node> {
        self.addresses()
            .map(|(member, _)| member)
            .filter(|m| *m != node)
            .cloned()
            .collect()
    }

    /// Returns how many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the membership after a change, or why the change is refused.
    pub(super) fn changed(&self, request: &Request) -> Result<Self, String> {
        let mut members = self.clone();
        match request {
            Request::Add(node, address) => {
                if self.is_voter(node) || self.is_learner(node) {
                    return Err(format!("{node} is already a member"));
                }
                members.learners.insert(node.clone(), *address);
            }
            Request::Remove(node) => {
                let learner = members.learners.remove(node).is_some();
                if !learner && members.voters.remove(node).is_none() {
                    return Err(format!(
                        "{node} is not a member; see `scalewood voter list`"
                    ));
                }
                if members.voters.is_empty() {
                    return Err(format!("{node} is the only voter; add another first"));
                }
            }
        }
        Ok(members)
    }

    /// Returns the membership with a learner made a voter.
    fn promoted(&self, node: &Node) -> Self {
        let mut members = self.clone();
        if let Some(address) = members.learners.remove(node) {
            members.voters.insert(node.clone(), address);
        }
        members
    }
}

impl<S: State> Voter<S> {
    /// Handles an operator's membership change.
    pub(super) fn change_members(&mut self, ticket: Ticket, request: Request, now: Duration) {
        let answer = |voter: &mut Self, outcome| voter.output.answers.push((ticket, outcome));
        if !self.is_leader() {
            let leader = self.leader();
            return answer(self, Outcome::NotLeader(leader));
        }
        if !self.may_change_members() {
            let why = "another membership change is not committed yet; try again".to_owned();
            return answer(self, Outcome::Refused(why));
        }
        match self.log.members().changed(&request) {
            Ok(members) => {
                let index = self.set_members(members, now);
                self.record_ticket(index, ticket);
                self.advance_commit();
            }
            Err(why) => answer(self, Outcome::Refused(why)),
        }
    }

    /// Returns whether a membership change may start: this node leads, an entry of its term is
    /// committed, and so is the change before.
    pub(super) fn may_change_members(&self) -> bool {
        let Role::Leader { term_start, .. } = &self.role else {
            return false;
        };
        self.committed >= *term_start && self.log.members_index() <= self.committed
    }

    /// Appends a membership entry, which takes effect at once, and sends it to all members.
    pub(super) fn set_members(&mut self, members: Members, now: Duration) -> Index {
        let index = self.append_as_leader(Payload::Members(members));
        self.track_peers(now);
        self.send_all(now);
        index
    }

    /// Promotes one learner that has all committed entries to a voter. An old identity of its box
    /// has to be removed first, since a box has only one vote.
    pub(super) fn promote_learners(&mut self, now: Duration) {
        if !self.may_change_members() {
            return;
        }
        let Role::Leader { peers, .. } = &self.role else {
            return;
        };
        let members = self.log.members();
        let promotable = members.learners().find(|node| {
            let caught_up = peers.get(node).is_some_and(|p| p.matched >= self.committed);
            caught_up && !members.voters().any(|voter| voter.name == node.name)
        });
        if let Some(node) = promotable.cloned() {
            let members = members.promoted(&node);
            self.set_members(members, now);
            self.advance_commit();
        }
    }
}

/// Serializes maps as lists of pairs, since keys of JSON objects have to be strings.
mod pairs {
    use std::{collections::BTreeMap, net::SocketAddr};

    use serde::{Deserialize as _, Deserializer, Serialize as _, Serializer};

    use crate::core::raft::Node;

    type Map = BTreeMap<Node, SocketAddr>;

    pub(super) fn serialize<S: Serializer>(map: &Map, to: S) -> Result<S::Ok, S::Error> {
        map.iter().collect::<Vec<_>>().serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Map, D::Error> {
        Vec::<(Node, SocketAddr)>::deserialize(from).map(|pairs| pairs.into_iter().collect())
    }
}
