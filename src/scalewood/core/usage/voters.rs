//! The other voters, as the holder of the provider's tasks hears them.

use std::{collections::BTreeMap, time::Duration};

use crate::core::name;

/// How long a voter that is no member any more may come back: most cuts are shorter.
const REMEMBERED: Duration = Duration::from_secs(15);

/// A voter, as the holder hears it.
#[derive(Clone, Copy, Debug, Default)]
struct Voter {
    /// When it was a member last.
    member: Duration,
    /// When it has answered last, if it has.
    answered: Option<Duration>,
}

/// The other voters, which the holder asks for what their boxes have told.
#[derive(Debug, Default)]
pub struct Voters {
    /// Whether all have been asked since this voter leads.
    asked: bool,
    known: BTreeMap<name::Box, Voter>,
}

impl Voters {
    /// Notes a round of questions: the members, and whether each has answered.
    pub fn note<'a>(&mut self, round: impl Iterator<Item = (&'a name::Box, bool)>, now: Duration) {
        self.asked = true;
        for (name, has_answered) in round {
            let voter = self.known.entry(name.clone()).or_default();
            voter.member = now;
            voter.answered = has_answered.then_some(now).or(voter.answered);
        }
        // A voter that is cut off is soon no member, and comes back with what it was told.
        self.known
            .retain(|_, voter| voter.member + REMEMBERED >= now);
    }

    /// The voters that have not answered since a time: what their boxes have counted until then
    /// may not be known here. One that is cut off comes back with it; the boxes of one that has
    /// died tell another one. Nothing before the first round: then nobody was heard.
    pub fn unheard_since(&self, time: Duration) -> Option<Vec<name::Box>> {
        let is_unheard = |voter: &Voter| voter.answered.is_none_or(|at| at < time);
        let unheard = self.known.iter().filter(|(_, voter)| is_unheard(voter));
        let unheard = unheard.map(|(name, _)| name.clone()).collect();
        self.asked.then_some(unheard)
    }
}
