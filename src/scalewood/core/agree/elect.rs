//! Elections: who leads a term.

use std::time::Duration;

use crate::core::{
    agree::{
        message::{Ask, Message, Vote},
        Node, Outcome, Role, State, Term, Voter, Write,
    },
    invariant,
};

impl<S: State> Voter<S> {
    /// Asks whether it could win, or (`real`) for votes.
    pub(super) fn stand(&mut self, real: bool, now: Duration) {
        self.reset_election(now);
        if !self.is_voter() {
            return;
        }
        self.campaign(real, false, now);
    }

    fn campaign(&mut self, real: bool, handed_over: bool, now: Duration) {
        if real {
            self.set_term(self.term.next(), Some(self.own.clone()));
        }
        let term = if real { self.term } else { self.term.next() };
        self.role = Role::Candidate {
            real,
            votes: vec![self.own.clone()],
        };
        let (last, last_term) = (self.log.last(), self.log.last_term());
        let ask = Ask {
            real,
            handed_over,
            term,
            last,
            last_term,
        };
        for peer in self.log.members().voters_but(&self.own) {
            self.output.sends.push((peer, Message::Ask(ask.clone())));
        }
        self.count_votes(now);
    }

    pub(super) fn set_term(&mut self, term: Term, voted: Option<Node>) {
        self.term = term;
        self.voted = voted.clone();
        self.output.writes.push(Write::Vote(term, voted));
    }

    pub(super) fn asked_for_vote(&mut self, from: Node, ask: Ask, now: Duration) {
        // Neither the candidate nor this node itself need be known as a voter here: this
        // node may lag behind the entry that made them so. A candidate counts only the
        // votes of the identities that are voters in its own log.
        let served = !ask.handed_over && self.hears_leader(now);
        if served {
            return;
        }
        if ask.real && ask.term > self.term {
            self.follow(ask.term, None, now);
        }
        let fresh = (ask.last_term, ask.last) >= (self.log.last_term(), self.log.last());
        let free = ask.term > self.term
            || (ask.term == self.term && self.voted.as_ref().is_none_or(|voted| *voted == from));
        let granted = fresh && free;
        if granted && ask.real {
            self.set_term(ask.term, Some(from.clone()));
            self.reset_election(now);
        }
        let term = if granted { ask.term } else { self.term };
        let vote = Vote {
            real: ask.real,
            term,
            granted,
        };
        self.output.sends.push((from, Message::Vote(vote)));
    }

    /// Whether a leader was heard so lately that its lease may still run.
    fn hears_leader(&self, now: Duration) -> bool {
        self.is_leader() || now < self.heard + self.settings.election
    }

    pub(super) fn got_vote(&mut self, from: Node, vote: Vote, now: Duration) {
        if vote.term > self.term && !vote.granted {
            self.follow(vote.term, None, now);
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
            self.take_the_lead(now);
        } else {
            self.campaign(true, false, now);
        }
    }

    /// Becomes a follower in a term.
    pub(super) fn follow(&mut self, term: Term, leader: Option<Node>, now: Duration) {
        if let Role::Leader { tickets, .. } = &mut self.role {
            let lost = std::mem::take(tickets);
            let unknown = lost
                .into_iter()
                .map(|(_, ticket)| (ticket, Outcome::Unknown));
            self.output.answers.extend(unknown);
            self.outgoing = None;
            self.reset_election(now);
        }
        self.role = Role::Follower { leader };
        if term > self.term {
            self.set_term(term, None);
        }
    }

    /// Notes a leader's message; false if it is not from the term's leader.
    pub(super) fn heed(&mut self, from: &Node, term: Term, now: Duration) -> bool {
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
            let same = term > self.term || leader == from;
            invariant::check(same, invariant::Rule::OneLeader, || {
                format!("{from} leads term {term} beside {leader}")
            });
        }
        self.follow(term, Some(from.clone()), now);
        self.heard = now;
        self.reset_election(now);
        true
    }

    pub(super) fn told_to_stand(&mut self, term: Term, now: Duration) {
        if term == self.term && self.is_voter() && !self.is_leader() {
            self.reset_election(now);
            self.campaign(true, true, now);
        }
    }

    /// Tells the follower that is furthest to stand, and stops leading.
    pub(super) fn hand_over(&mut self, now: Duration) {
        let Role::Leader { peers, .. } = &self.role else {
            return;
        };
        let members = self.log.members();
        let voters = peers.iter().filter(|(node, _)| members.is_voter(node));
        let furthest = voters.max_by_key(|(_, progress)| (progress.answered, progress.matched));
        if let Some((node, _)) = furthest {
            self.output
                .sends
                .push((node.clone(), Message::Stand(self.term)));
        }
        self.follow(self.term, None, now);
    }

    /// A leader that its members no longer hold stops once that is committed.
    pub(super) fn step_down_if_removed(&mut self) {
        let committed = self.log.members_at() <= self.committed;
        if self.is_leader() && !self.is_voter() && committed {
            let heard = self.heard;
            self.follow(self.term, None, heard);
        }
    }
}
