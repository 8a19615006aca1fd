//! Why requests were refused for want of room, kept for those who ask shortly after.

use std::collections::VecDeque;

use crate::core::{attempt, name};

/// Refusals that are remembered at most: their boxes ask at once.
const MOST: usize = 256;

/// Why a request was refused for want of room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It could not be begun in time itself.
    Itself,
    /// This box's own requests of a more urgent class are refused.
    Here(name::Class),
    /// All boxes together refuse requests of a more urgent class.
    Anywhere(name::Class),
}

impl Cause {
    /// The cause's name in metrics and logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Itself => "itself",
            Self::Here(_) => "held-back-here",
            Self::Anywhere(_) => "held-back-anywhere",
        }
    }

    /// The more urgent class that held it back, if one did.
    pub fn class(&self) -> Option<&name::Class> {
        match self {
            Self::Itself => None,
            Self::Here(class) | Self::Anywhere(class) => Some(class),
        }
    }
}

/// The last refusals.
#[derive(Debug, Default)]
pub(super) struct Causes(VecDeque<(attempt::Attempt, Cause)>);

impl Causes {
    /// Notes why an attempt was refused.
    pub(super) fn note(&mut self, attempt: attempt::Attempt, cause: Cause) {
        if self.0.len() >= MOST {
            self.0.pop_front();
        }
        self.0.push_back((attempt, cause));
    }

    /// Why an attempt was refused, if it was of late.
    pub(super) fn take(&mut self, attempt: attempt::Attempt) -> Option<Cause> {
        let at = self.0.iter().rposition(|(known, _)| *known == attempt)?;
        self.0.remove(at).map(|(_, cause)| cause)
    }
}
