//! Fetching new configurations: which voter a box asks, and when.
//!
//! All waiting is counted from the first announcement of the oldest revision that the box lacks
//! (`missing`): announcements of later revisions prolong nothing, however fast they come. A voter
//! of the box's own zone is preferred until a revision is overdue, and then only if it has announced
//! that revision too.
//!
//! Requests are hedged: if the voters asked so far have not answered in time, another one is
//! asked as well, and the first successful answer wins. So the age of a box's configuration does
//! not depend on the slowest voter. If two voters announce a revision but do not deliver it, a
//! third one's configuration is in force after 1.05 s (`OTHER_ZONE_DELAY` and two times
//! `HEDGE_DELAY`) plus the time of one fetch. The shortest time within which a change has to be
//! in force is two seconds.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::core::unit;

mod missing;

/// How long after a revision's first announcement a voter of another zone may be asked for it, if
/// there is a voter in this zone: replication to that one takes at most a heartbeat of the leader,
/// and fetching from it avoids traffic between zones.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(250);
/// How long a voter may take to answer before another one is asked as well: several times the
/// fetch of a difference, and short enough to pass two silent voters within a second.
const HEDGE_DELAY: Duration = Duration::from_millis(400);
/// The same for a box without a configuration: it fetches a whole one, which takes longer, and
/// all other boxes may be doing so at the same time.
const INITIAL_HEDGE_DELAY: Duration = Duration::from_secs(1);
/// The most voters that are asked at the same time: one more than may be silent in a cluster of
/// five, which tolerates the loss of two.
const MAX_OPEN_REQUESTS: usize = 3;
/// How long a voter is not asked again after it failed to answer.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The state of requests to one voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No request is open.
    Idle,
    /// A request is open.
    Asked,
    /// The last request failed; the voter is not asked again until the given time.
    Backoff(Duration),
}

/// A voter whose announcements this box follows.
#[derive(Clone, Debug)]
struct Voter {
    /// The newest revision that it has announced.
    revision: unit::Revision,
    /// Whether it is in this box's availability zone.
    same_zone: bool,
    state: State,
}

/// The revision that a box has, those that voters have announced, and the open requests.
#[derive(Clone, Debug, Default)]
pub struct Catchup {
    /// The revision in force here.
    own: unit::Revision,
    /// The revisions that are announced, but not in force here.
    missing: missing::Missing,
    voters: BTreeMap<SocketAddr, Voter>,
    /// When another voter may be asked while requests are open.
    hedge_at: Duration,
}

impl Catchup {
    /// Records the revision that a voter announces; `same_zone` if it is in this box's zone.
    pub fn record_announced(
        &mut self,
        voter: SocketAddr,
        revision: unit::Revision,
        same_zone: bool,
        now: Duration,
    ) {
        let known = self.voters.entry(voter).or_insert(Voter {
            revision,
            same_zone,
            state: State::Idle,
        });
        known.same_zone = same_zone;
        known.revision = known.revision.max(revision);
        if revision > self.own {
            self.missing.record(revision, now);
        }
    }

    /// Forgets a voter that is no longer followed.
    pub fn remove_voter(&mut self, voter: SocketAddr) {
        self.voters.remove(&voter);
    }

    /// Records the revision in force here. Returns whether no voter has announced a newer one;
    /// open requests are then forgotten.
    pub fn record_applied(&mut self, own: unit::Revision) -> bool {
        self.own = self.own.max(own);
        self.missing.remove_up_to(self.own);
        let caught_up = self.voters_ahead().next().is_none();
        if caught_up {
            for voter in self.voters.values_mut() {
                voter.state = State::Idle;
            }
        }
        caught_up
    }

    /// Returns the voter to ask now, if there is one, and records it as asked.
    pub fn next(&mut self, now: Duration) -> Option<SocketAddr> {
        let (voter, due) = self.candidate(now)?;
        if due > now {
            return None;
        }
        self.voters.get_mut(&voter)?.state = State::Asked;
        self.hedge_at = now + self.hedge_delay();
        Some(voter)
    }

    /// Returns when [`next`](Self::next) is to be called again if nothing else happens before.
    pub fn due(&self, now: Duration) -> Option<Duration> {
        let retries = self
            .voters_ahead()
            .filter_map(|(_, voter)| match voter.state {
                State::Backoff(until) if until > now => Some(until),
                _ => None,
            });
        let candidate = self.candidate(now).map(|(_, due)| due);
        candidate.into_iter().chain(retries).min()
    }

    /// Records the end of a request to a voter: `delivered` if it delivered the configuration. If not,
    /// another voter may be asked at once.
    pub fn record_answer(&mut self, voter: SocketAddr, delivered: bool, now: Duration) {
        if !delivered {
            self.hedge_at = now;
        }
        if let Some(known) = self.voters.get_mut(&voter) {
            known.state = if delivered {
                State::Idle
            } else {
                State::Backoff(now + RETRY_DELAY)
            };
        }
    }

    /// Returns the time since the first announcement of a revision newer than the one in force
    /// here, also if the voter that made it is no longer followed.
    pub fn lag(&self, now: Duration) -> Duration {
        let since = self.missing.since();
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns the newest revision that was announced or is in force here.
    pub fn newest(&self) -> unit::Revision {
        self.missing.newest().unwrap_or_default().max(self.own)
    }

    /// Returns the voters that have announced a newer configuration.
    fn voters_ahead(&self) -> impl Iterator<Item = (&SocketAddr, &Voter)> {
        let own = self.own;
        let voters = self.voters.iter();
        voters.filter(move |(_, voter)| voter.revision > own)
    }

    /// Returns the voter to ask next, and when: one with the newest overdue revision first, then one
    /// of this zone, then the one with the newest revision.
    fn candidate(&self, now: Duration) -> Option<(SocketAddr, Duration)> {
        let open = self.voters.values().filter(|v| v.state == State::Asked);
        let open = open.count();
        if open >= MAX_OPEN_REQUESTS {
            return None;
        }
        let overdue = now
            .checked_sub(OTHER_ZONE_DELAY)
            .and_then(|by| self.missing.newest_announced_by(by));
        let has_overdue = |voter: &Voter| overdue.is_some_and(|overdue| voter.revision >= overdue);
        let idle = self.voters_ahead().filter(|(_, voter)| match voter.state {
            State::Idle => true,
            State::Asked => false,
            State::Backoff(until) => until <= now,
        });
        let (address, voter) = idle.max_by_key(|(address, voter)| {
            let rank = (has_overdue(voter), voter.same_zone, voter.revision);
            (rank, Reverse(**address))
        })?;
        let must_wait = !voter.same_zone && self.voters.values().any(|voter| voter.same_zone);
        let due = if open > 0 {
            self.hedge_at
        } else if must_wait {
            self.missing.since().unwrap_or(now) + OTHER_ZONE_DELAY
        } else {
            now
        };
        Some((*address, due))
    }

    /// Returns how long the latest request may take before another voter is asked.
    fn hedge_delay(&self) -> Duration {
        if self.own == unit::Revision::default() {
            INITIAL_HEDGE_DELAY
        } else {
            HEDGE_DELAY
        }
    }
}
