//! Causes of recent refusals for lack of capacity, kept until the entry box asks for them.

use std::collections::VecDeque;

use crate::core::{attempt, name};

/// The number of causes kept. Recent ones are enough, since an entry box asks for a cause right
/// after the refusal.
const MAX_CAUSES: usize = 256;

/// The cause of a refusal for lack of capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The request itself could not be started in time.
    Itself,
    /// This box refuses requests of a more urgent class.
    HeldBackHere(name::Class),
    /// All boxes together refuse requests of a more urgent class.
    HeldBackAnywhere(name::Class),
}

impl Cause {
    /// Returns the cause's name in metrics and logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Itself => "itself",
            Self::HeldBackHere(_) => "held-back-here",
            Self::HeldBackAnywhere(_) => "held-back-anywhere",
        }
    }

    /// Returns the more urgent class that the request was held back for, if any.
    pub fn class(&self) -> Option<&name::Class> {
        match self {
            Self::Itself => None,
            Self::HeldBackHere(class) | Self::HeldBackAnywhere(class) => Some(class),
        }
    }
}

/// The causes of the most recent refusals, oldest first.
#[derive(Debug, Default)]
pub(super) struct Causes(VecDeque<(attempt::Attempt, Cause)>);

impl Causes {
    /// Records why an attempt was refused.
    pub(super) fn record(&mut self, attempt: attempt::Attempt, cause: Cause) {
        if self.0.len() >= MAX_CAUSES {
            self.0.pop_front();
        }
        self.0.push_back((attempt, cause));
    }

    /// Removes and returns the cause of an attempt's refusal, if it is still kept.
    pub(super) fn take(&mut self, attempt: attempt::Attempt) -> Option<Cause> {
        let at = self.0.iter().rposition(|(known, _)| *known == attempt)?;
        self.0.remove(at).map(|(_, cause)| cause)
    }
}
