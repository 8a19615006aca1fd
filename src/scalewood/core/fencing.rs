//! Mutual exclusion for tasks that only one process may perform at a time, with fencing tokens.
//!
//! Some calls to the provider may come from only one holder at a time. The holder is the leader
//! of the voters, and its fencing token is raised through the voters' log with each change of
//! the holder, so that no two holders ever have the same token. Receivers that check tokens
//! reject a former holder. Two rules protect the receivers that do not. A holder acts only while
//! its leader's lease is valid, so its successor has not started yet. And a voter that becomes
//! the holder again first waits for a time since its own last act, so that within that time no
//! acts of another holder lie between two of its own. Making every new holder wait instead would
//! leave the tasks undone for that time at each change.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::raft;

/// The time added to the quiet period, for clocks that run at different speeds and for calls in
/// flight.
const SKEW_MARGIN: Duration = Duration::from_millis(250);

/// A fencing token: a number that rises with each change of the holder; the first is 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token(pub u64);

impl std::fmt::Display for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// The holder that the voters have agreed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The voter that holds the tasks.
    pub node: raft::Node,
    /// Its fencing token.
    pub token: Token,
}

impl Holder {
    /// Returns the holder after a voter has taken over. The token rises unless the voter already
    /// was the holder.
    pub fn next(before: Option<&Self>, node: raft::Node) -> Self {
        match before {
            Some(holder) if holder.node == node => holder.clone(),
            Some(Self { token, .. }) => Self {
                node,
                token: Token(token.0 + 1),
            },
            None => Self {
                node,
                token: Token(1),
            },
        }
    }
}

/// What a voter may do at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing: this voter does not lead, or its quiet period is not over.
    Wait,
    /// Propose to the voters that it becomes the holder.
    Acquire,
    /// Perform the tasks, under this token.
    Act(Token),
}

/// One voter's state: whether and from when on it may act as the holder.
#[derive(Clone, Copy, Debug)]
pub struct Tenure {
    /// The time since its own last act for which this voter waits before it acts under a new
    /// token: within it, no acts of two holders may alternate.
    quiet_period: Duration,
    /// The latest token under which this voter is the holder, and from when on it may act.
    may_act_from: Option<(Token, Duration)>,
    /// When it last may have acted. At first the time of its start, since it may have acted just
    /// before that.
    last_acted_at: Duration,
}

impl Tenure {
    /// Creates the state of a voter that starts now.
    pub fn new(quiet_period: Duration, now: Duration) -> Self {
        Self {
            quiet_period,
            may_act_from: None,
            last_acted_at: now,
        }
    }

    /// Returns what this voter may do; with [`Step::Act`], it counts as having acted at `now`.
    /// `leads` says whether it leads under a valid lease. `holder` is the agreed holder, and must
    /// reflect all entries that were committed before this voter became the leader.
    pub fn step(
        &mut self,
        own: &raft::Node,
        leads: bool,
        holder: Option<&Holder>,
        now: Duration,
    ) -> Step {
        if !leads {
            return Step::Wait;
        }
        let Some(token) = holder.filter(|h| h.node == *own).map(|h| h.token) else {
            return Step::Acquire;
        };
        let may_act_from = match self.may_act_from {
            Some((known, may_act_from)) if known == token => may_act_from,
            // There was no holder before the first one, so it need not wait.
            _ if token == Token(1) => now,
            _ => self.last_acted_at + self.quiet_period + SKEW_MARGIN,
        };
        self.may_act_from = Some((token, may_act_from));
        if now < may_act_from {
            return Step::Wait;
        }
        self.last_acted_at = now;
        Step::Act(token)
    }
}
