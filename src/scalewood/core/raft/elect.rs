//! Leader election: pre-vote, voting and leadership transfer.

use std::time::Duration;

use crate::core::{
    invariant,
    raft::{
        message::{Message, Vote, VoteRequest},
        Node, Outcome, Role, State, Term, Voter, Write,
    },
};

impl<S: State> Voter<S> {
    /// Starts an election if this node is a voter, with a pre-vote first unless `real` is set. A learner
    /// only forgets the leader: it may have been removed, and a removed node is not told.
    pub(super) fn start_election(&mut self, real: bool, now: Duration) {
        self.reset_election(now);
        if !self.is_voter() {
            self.role = Role::Follower { leader: None };
            return;
        }
        self.campaign(real, false, now);
    }

    /// Requests the votes of all other voters: binding ones in a new term if `real`, else
    /// pre-votes, which change neither term nor vote. `handed_over` marks a leadership transfer.
    fn campaign(&mut self, real: bool, handed_over: bool, now: Duration) {
        if real {
            self.set_term(self.term.next(), Some(self.own.clone()));
        }
        let term = if real { self.term } else { self.term.next() };
        self.role = Role::Candidate {
            real,
            votes: vec![self.own.clone()],
        };
        let (last, last_term) = (self.log.last_index(), self.log.last_term());
        let request = VoteRequest {
            real,
            handed_over,
            term,
            last,
            last_term,
        };
        for peer in self.log.members().voters_except(&self.own) {
            self.output
                .messages
                .push((peer, Message::RequestVote(request.clone())));
        }
        self.count_votes(now);
    }

    /// Sets the term and the vote cast in it, and persists both.
    pub(super) fn set_term(&mut self, term: Term, voted: Option<Node>) {
        self.term = term;
        self.voted_for = voted.clone();
        self.output.writes.push(Write::Vote(term, voted));
    }

    /// Handles a vote request. A leader, and a voter that has heard from a leader within the
    /// shortest election timeout, ignore it unless that leader has transferred its leadership.
    pub(super) fn handle_vote_request(&mut self, from: Node, request: VoteRequest, now: Duration) {
        // Neither the candidate nor this node has to be a voter in this node's log, which may
        // not yet hold the entry that made them voters. A candidate counts only votes from
        // identities that are voters in its own log.
        let ignored = !request.handed_over && self.has_live_leader(now);
        if ignored {
            return;
        }
        if request.real && request.term > self.term {
            self.become_follower(request.term, None, now);
        }
        let up_to_date =
            (request.last_term, request.last) >= (self.log.last_term(), self.log.last_index());
        let vote_available = request.term > self.term
            || (request.term == self.term
                && self.voted_for.as_ref().is_none_or(|voted| *voted == from));
        let granted = up_to_date && vote_available;
        if granted && request.real {
            self.set_term(request.term, Some(from.clone()));
            self.reset_election(now);
        }
        let term = if granted { request.term } else { self.term };
        let vote = Vote {
            real: request.real,
            term,
            granted,
        };
        self.output.messages.push((from, Message::Vote(vote)));
    }

    /// Returns whether a leader's lease may still be valid: this node leads, or it has heard from
    /// a leader within the shortest election timeout.
    fn has_live_leader(&self, now: Duration) -> bool {
        self.is_leader() || now < self.leader_heard_at + self.settings.election_timeout_min
    }

    /// Handles the answer to a vote request.
    pub(super) fn handle_vote(&mut self, from: Node, vote: Vote, now: Duration) {
        if vote.term > self.term && !vote.granted {
            self.become_follower(vote.term, None, now);
            return;
        }
        let expected = if vote.real {
            self.term
        } else {
            self.term.next()
        };
        let Role::Candidate { real, votes } = &mut self.role else {
            return;
        };
        if *real != vote.real || !vote.granted || vote.term != expected || votes.contains(&from) {
            return;
        }
        votes.push(from);
        self.count_votes(now);
    }

    /// Moves to the next phase once a majority has granted its votes: from the pre-vote to the
    /// election, or from the election to leadership.
    fn count_votes(&mut self, now: Duration) {
        let Role::Candidate { real, votes } = &self.role else {
            return;
        };
        let members = self.log.members();
        let count = votes.iter().filter(|node| members.is_voter(node)).count();
        if count < self.majority() {
            return;
        }
        if *real {
            self.become_leader(now);
        } else {
            self.campaign(true, false, now);
        }
    }

    /// Becomes a follower in a term. A leader answers its open proposals as unknown.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<Node>, now: Duration) {
        if let Role::Leader { tickets, .. } = &mut self.role {
            let open_tickets = std::mem::take(tickets);
            let unknown = open_tickets
                .into_iter()
                .map(|(_, ticket)| (ticket, Outcome::Unknown));
            self.output.answers.extend(unknown);
            self.outgoing.clear();
            self.reset_election(now);
        }
        self.role = Role::Follower { leader };
        if term > self.term {
            self.set_term(term, None);
        }
    }

    /// Records contact from a leader. Returns false for a leader of an earlier term, whose
    /// message is to be rejected.
    pub(super) fn accept_leader(&mut self, from: &Node, term: Term, now: Duration) -> bool {
        if term < self.term {
            return false;
        }
        invariant::check(
            !(self.is_leader() && term == self.term),
            invariant::Rule::OneLeader,
            || format!("{from} leads term {term} beside {}", self.own),
        );
        if let Role::Follower {
            leader: Some(leader),
        } = &self.role
        {
            let is_only_leader = term > self.term || leader == from;
            invariant::check(is_only_leader, invariant::Rule::OneLeader, || {
                format!("{from} leads term {term} beside {leader}")
            });
        }
        self.become_follower(term, Some(from.clone()), now);
        self.leader_heard_at = now;
        self.reset_election(now);
        true
    }

    /// Starts an election at once, without a pre-vote: the leader transfers its leadership.
    pub(super) fn handle_timeout_now(&mut self, term: Term, now: Duration) {
        if term == self.term && self.is_voter() && !self.is_leader() {
            self.reset_election(now);
            self.campaign(true, true, now);
        }
    }

    /// Transfers leadership: tells the voter that answered most recently to start an election,
    /// and steps down.
    pub(super) fn transfer_leadership(&mut self, now: Duration) {
        let Role::Leader { peers, .. } = &self.role else {
            return;
        };
        let members = self.log.members();
        let voters = peers.iter().filter(|(node, _)| members.is_voter(node));
        let successor =
            voters.max_by_key(|(_, progress)| (progress.acked_send_time, progress.matched));
        if let Some((node, _)) = successor {
            self.output
                .messages
                .push((node.clone(), Message::TimeoutNow(self.term)));
        }
        self.become_follower(self.term, None, now);
    }

    /// Steps down as leader once this node's removal from the voters is committed.
    pub(super) fn step_down_if_removed(&mut self) {
        let committed = self.log.members_index() <= self.committed;
        if self.is_leader() && !self.is_voter() && committed {
            let led_since = self.leader_heard_at;
            self.become_follower(self.term, None, led_since);
        }
    }
}
