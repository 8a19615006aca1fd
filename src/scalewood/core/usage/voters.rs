//! The other voters, as seen by the voter that holds the provider's tasks.

use std::{collections::BTreeMap, time::Duration};

use crate::core::name;

/// How long a voter is remembered after it stopped being a member, in case it comes back: most
/// network partitions are shorter.
const RETENTION: Duration = Duration::from_secs(15);

/// Another voter, as seen by the holder of the tasks.
#[derive(Clone, Copy, Debug, Default)]
struct Voter {
    /// When it was last a member.
    last_member_at: Duration,
    /// When it last answered, if it has.
    last_answered_at: Option<Duration>,
}

/// The other voters, which the holder of the tasks asks for the usage that boxes reported to them.
#[derive(Debug, Default)]
pub struct Voters {
    /// Whether all have been asked since this voter became the leader.
    asked: bool,
    known: BTreeMap<name::Box, Voter>,
}

impl Voters {
    /// Records a round of requests: the members, and whether each has answered.
    pub fn record_round<'a>(
        &mut self,
        round: impl Iterator<Item = (&'a name::Box, bool)>,
        now: Duration,
    ) {
        self.asked = true;
        for (name, has_answered) in round {
            let voter = self.known.entry(name.clone()).or_default();
            voter.last_member_at = now;
            voter.last_answered_at = has_answered.then_some(now).or(voter.last_answered_at);
        }
        // A voter that is partitioned off soon stops being a member, and may come back with reports
        // that are not known here.
        self.known
            .retain(|_, voter| voter.last_member_at + RETENTION >= now);
    }

    /// Returns the voters that have not answered since a time. What their boxes counted until then
    /// may not be known here: a voter that was partitioned off reports it when it comes back, while
    /// the boxes of one that died report to another. Returns `None` before the first round,
    /// when no voter can have answered yet.
    pub fn unanswered_since(&self, time: Duration) -> Option<Vec<name::Box>> {
        let is_unheard = |voter: &Voter| voter.last_answered_at.is_none_or(|at| at < time);
        let unheard = self.known.iter().filter(|(_, voter)| is_unheard(voter));
        let unheard = unheard.map(|(name, _)| name.clone()).collect();
        self.asked.then_some(unheard)
    }
}
