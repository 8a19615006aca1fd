//! Who does what only one process may do at a time.
//!
//! Some calls to the provider belong to one holder at a time. The leader of the voters holds
//! them, under a token that the voters' log raises with each change of the holder, so that no
//! two holders ever have the same one. Receivers that look at tokens refuse a late holder;
//! for the others two rules make up for it. A holder acts only under the leader's lease, so
//! that its successor has not begun. And who comes back lets a time pass since it acted last,
//! so that no acts of another one lie between two of its own within it. That another one waits
//! instead, whoever it is, was tried: it leaves the tasks undone for as long at each change.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::agree;

/// What is added to the rest, for clocks that run at other speeds and calls under way.
const MARGIN: Duration = Duration::from_millis(250);

/// A number that rises with each change of the holder; the first is 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token(pub u64);

impl std::fmt::Display for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// The holder as the voters have agreed on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The voter.
    pub node: agree::Node,
    /// Its token.
    pub token: Token,
}

impl Holder {
    /// The holder after a voter has taken over from the one before, if there was one.
    pub fn next(before: Option<&Self>, node: agree::Node) -> Self {
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

/// What a voter may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing: another one leads, or the holder before may have acted lately.
    Wait,
    /// Have the voters agree that it holds.
    Take,
    /// Act, under the token.
    Act(Token),
}

/// One voter's part in who holds.
#[derive(Clone, Copy, Debug)]
pub struct Tenure {
    /// The time in which no two holders may act by turns.
    rest: Duration,
    /// The token under which this voter holds, and from when on it may act.
    from: Option<(Token, Duration)>,
    /// When it may have acted last: before its start it may have, too.
    acted: Duration,
}

impl Tenure {
    /// A voter that starts now.
    pub fn new(rest: Duration, now: Duration) -> Self {
        Self {
            rest,
            from: None,
            acted: now,
        }
    }

    /// What a voter may do that leads under its lease or not, by the holder that the voters
    /// have agreed on. `holder` must hold all that was agreed before it led.
    pub fn step(
        &mut self,
        own: &agree::Node,
        leads: bool,
        holder: Option<&Holder>,
        now: Duration,
    ) -> Step {
        if !leads {
            return Step::Wait;
        }
        let Some(token) = holder.filter(|h| h.node == *own).map(|h| h.token) else {
            return Step::Take;
        };
        let from = match self.from {
            Some((known, from)) if known == token => from,
            // Nobody has acted before the first holder.
            _ if token == Token(1) => now,
            _ => self.acted + self.rest + MARGIN,
        };
        self.from = Some((token, from));
        if now < from {
            return Step::Wait;
        }
        self.acted = now;
        Step::Act(token)
    }
}
