//! Catching up with the configuration that voters tell of: whom to ask for it, and when.
//!
//! Voters are asked one after the other without waiting for those before to answer, and the
//! first good answer wins. So the age of what a box decides by does not depend on the slowest
//! voter: while two voters tell and do not give, a third one's configuration is in force
//! after 1.05 s (`OWN_ZONE_FIRST` and two times `HEDGE`) and the time of one fetch. The shortest
//! time within which a change has to be in force is two seconds.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::core::unit;

/// How much later a voter of another zone is asked than one of this zone: replication to a
/// voter here takes a heartbeat of the leader at most, and saves the link between zones.
const OWN_ZONE_FIRST: Duration = Duration::from_millis(250);
/// How long a voter has to answer before another one is asked beside it: some times what a
/// difference takes, and short enough for two silent voters within a second.
const HEDGE: Duration = Duration::from_millis(400);
/// The same for a box that has no configuration: it gets a whole one, which takes longer, at
/// a time when all others may ask as well.
const HEDGE_FIRST: Duration = Duration::from_secs(1);
/// The most voters that are asked at the same time: one more than may be silent at once in
/// a system of five that bears the loss of two.
const MOST_ASKED: usize = 3;
/// How long a voter that failed is not asked again.
const LEFT_ALONE: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    Asked,
    /// It failed, and is not asked until then.
    LeftAlone(Duration),
}

/// A voter that is followed.
#[derive(Clone, Debug)]
struct Voter {
    revision: unit::Revision,
    /// When it told of that revision.
    told_at: Duration,
    /// Whether it is in this box's availability zone.
    near: bool,
    state: State,
}

/// What a box has, what its voters tell, and who was asked for it.
#[derive(Clone, Debug, Default)]
pub struct Catchup {
    own: unit::Revision,
    voters: BTreeMap<SocketAddr, Voter>,
    /// When a voter was asked last.
    asked_at: Duration,
}

impl Catchup {
    /// Notes what a voter tells; it is `near` in the same availability zone.
    pub fn told(&mut self, voter: SocketAddr, revision: unit::Revision, near: bool, now: Duration) {
        let known = self.voters.entry(voter).or_insert(Voter {
            revision,
            told_at: now,
            near,
            state: State::Idle,
        });
        known.near = near;
        if revision > known.revision {
            known.revision = revision;
            known.told_at = now;
        }
    }

    /// Notes that a voter is followed no more.
    pub fn lost(&mut self, voter: SocketAddr) {
        self.voters.remove(&voter);
    }

    /// Notes the revision in force here; tells whether nobody has a newer one.
    pub fn reached(&mut self, own: unit::Revision) -> bool {
        self.own = self.own.max(own);
        let caught_up = self.newer().next().is_none();
        if caught_up {
            for voter in self.voters.values_mut() {
                voter.state = State::Idle;
            }
        }
        caught_up
    }

    /// The voter to ask now, if there is one; it counts as asked.
    pub fn next(&mut self, now: Duration) -> Option<SocketAddr> {
        let (voter, due) = self.candidate(now)?;
        if due > now {
            return None;
        }
        self.voters.get_mut(&voter)?.state = State::Asked;
        self.asked_at = now;
        Some(voter)
    }

    /// When a voter may have to be asked if nothing else happens.
    pub fn due(&self, now: Duration) -> Option<Duration> {
        let rested = self.newer().filter_map(|(_, voter)| match voter.state {
            State::LeftAlone(until) if until > now => Some(until),
            _ => None,
        });
        let candidate = self.candidate(now).map(|(_, due)| due);
        candidate.into_iter().chain(rested).min()
    }

    /// Notes that a voter that was asked has answered, or failed to.
    pub fn answered(&mut self, voter: SocketAddr, gave: bool, now: Duration) {
        if let Some(known) = self.voters.get_mut(&voter) {
            known.state = if gave {
                State::Idle
            } else {
                State::LeftAlone(now + LEFT_ALONE)
            };
        }
    }

    /// For how long a voter has told of a newer configuration than the one in force here.
    pub fn behind(&self, now: Duration) -> Duration {
        let since = self.newer().map(|(_, voter)| voter.told_at).min();
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// The newest revision that a voter tells.
    pub fn newest(&self) -> unit::Revision {
        let told = self.voters.values().map(|voter| voter.revision);
        told.max().unwrap_or_default().max(self.own)
    }

    /// The voters that tell of a newer configuration.
    fn newer(&self) -> impl Iterator<Item = (&SocketAddr, &Voter)> {
        let own = self.own;
        let voters = self.voters.iter();
        voters.filter(move |(_, voter)| voter.revision > own)
    }

    /// Who is to be asked next, and when.
    fn candidate(&self, now: Duration) -> Option<(SocketAddr, Duration)> {
        let asked = self.voters.values().filter(|v| v.state == State::Asked);
        let asked = asked.count();
        if asked >= MOST_ASKED {
            return None;
        }
        let idle = self.newer().filter(|(_, voter)| match voter.state {
            State::Idle => true,
            State::Asked => false,
            State::LeftAlone(until) => until <= now,
        });
        let (address, voter) =
            idle.max_by_key(|(address, voter)| (voter.near, voter.revision, Reverse(**address)))?;
        let due = if asked > 0 {
            self.asked_at + self.hedge()
        } else if !voter.near && self.voters.values().any(|voter| voter.near) {
            voter.told_at + OWN_ZONE_FIRST
        } else {
            now
        };
        Some((*address, due))
    }

    fn hedge(&self) -> Duration {
        if self.own == unit::Revision::default() {
            HEDGE_FIRST
        } else {
            HEDGE
        }
    }
}
