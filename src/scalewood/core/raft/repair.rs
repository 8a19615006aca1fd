//! Automatic membership repair by the leader, without an operator.
//!
//! - A node that asks to join becomes a learner, and a voter once it has caught up.
//! - A box that has lost its data folder joins under a new identity. Its old identity never
//!   returns, so it is removed once the new one is a learner.
//! - A voter that has not answered for too long is removed if enough others respond, so that
//!   the majority is counted among voters that can answer. When it returns, it joins again.
//!
//! Each step is one membership change under the rules of `members`.

use std::{net::SocketAddr, time::Duration};

use crate::core::raft::{Members, MembersRequest, Node, Repair, Role, State, Voter};

impl<S: State> Voter<S> {
    /// Adds a node that asks to join as a learner.
    pub(super) fn admit(&mut self, node: Node, address: SocketAddr, now: Duration) {
        if !self.is_leader() || !self.may_change_members() {
            return;
        }
        let request = MembersRequest::Add(node, address);
        if let Ok(members) = self.log.members().changed(&request) {
            self.set_members(members, now);
            self.advance_commit();
        }
    }

    /// Removes one member that was replaced or is silent, if there is one.
    pub(super) fn repair(&mut self, now: Duration) {
        let Some(settings) = self.settings.repair else {
            return;
        };
        if !self.may_change_members() {
            return;
        }
        let Some(node) = self
            .replaced_voter()
            .or_else(|| self.silent_member(settings, now))
        else {
            return;
        };
        if let Ok(members) = self.log.members().changed(&MembersRequest::Remove(node)) {
            self.set_members(members, now);
            self.advance_commit();
        }
    }

    /// Returns a voter whose box has joined again under another identity, as a learner.
    fn replaced_voter(&self) -> Option<Node> {
        let members = self.log.members();
        let has_rejoined = |old: &&Node| {
            members
                .learners()
                .any(|new| new.name == old.name && new != *old)
        };
        let old = members.voters().find(has_rejoined).cloned();
        old.filter(|node| *node != self.own)
    }

    /// Returns a member that has not answered within `settings.max_silence`: a learner, or a voter
    /// if at least `settings.min_responsive` voters respond.
    fn silent_member(&self, settings: Repair, now: Duration) -> Option<Node> {
        let members: &Members = self.log.members();
        let is_responsive = |node: &&Node| self.is_responsive(node, settings.max_silence, now);
        if let Some(learner) = members.learners().find(|node| !is_responsive(node)) {
            return Some(learner.clone());
        }
        // Learners do not count towards a majority, so only voters count as remaining.
        if members.voters().filter(is_responsive).count() < settings.min_responsive {
            return None;
        }
        members.voters().find(|node| !is_responsive(node)).cloned()
    }

    /// Returns whether a member has answered within a time; one that was just added counts as
    /// if it had answered then.
    fn is_responsive(&self, node: &Node, within: Duration, now: Duration) -> bool {
        let Role::Leader { peers, .. } = &self.role else {
            return false;
        };
        if *node == self.own {
            return true;
        }
        let Some(progress) = peers.get(node) else {
            return false;
        };
        now.saturating_sub(progress.acked_send_time.max(progress.tracked_since)) < within
    }
}
