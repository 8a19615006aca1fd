//! The choice of the voters that a box tracks.
//!
//! Each voter reports all endpoints, so a box needs only a few: one, and a second one that
//! reports the same in case the first is cut off or lags. Voters of the box's own availability
//! zone come first; within a zone each box has its own (rendezvous) order, so that the boxes are
//! spread evenly over the voters. A voter that doesn't answer, or has no contact with a majority
//! of the voters, doesn't count: the box tracks the next ones in addition to it.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::core::{name, rendezvous};

/// The number of voters that a box tracks, if that many are in touch.
pub const TRACKED_VOTERS: usize = 2;
/// The number of voters up to which a box tracks all of them, since each is the first to learn of
/// some endpoints and of some changes.
pub const TRACK_ALL_UP_TO: usize = 9;
/// How long a voter has to answer before another one is tracked in addition.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of a voter, as a box sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It is not tracked.
    #[default]
    Idle,
    /// It was asked at that time, and has not reported yet.
    Asked(Duration),
    /// It reports, and is in contact with a majority of the voters.
    InTouch,
    /// It reports, but is not in contact with a majority of the voters.
    CutOff,
    /// It doesn't answer, or its build doesn't report which voters it is in contact with.
    Unknown,
}

impl State {
    /// Returns whether the voter is taken to report what all voters know. A voter that was not
    /// asked yet, or was asked less than [`ANSWER_TIMEOUT`] ago, counts as reliable.
    fn is_reliable(self, now: Duration) -> bool {
        match self {
            Self::Idle | Self::InTouch => true,
            Self::Asked(at) => now < at + ANSWER_TIMEOUT,
            Self::CutOff | Self::Unknown => false,
        }
    }
}

/// A voter that a box may track.
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    /// Its availability zone, if known.
    pub zone: Option<name::Zone>,
    /// Its state.
    pub state: State,
}

/// Returns how many voters a box tracks if there are `voters` of them.
pub fn tracked(voters: usize) -> usize {
    if voters <= TRACK_ALL_UP_TO {
        voters
    } else {
        TRACKED_VOTERS
    }
}

/// Returns the voters that a box of a zone tracks, the most preferred first.
pub fn choose(
    own: &name::Box,
    zone: &name::Zone,
    voters: &BTreeMap<SocketAddr, Candidate>,
    now: Duration,
) -> Vec<SocketAddr> {
    if voters.len() <= TRACK_ALL_UP_TO {
        return order(own, zone, voters);
    }
    let mut reliable = 0;
    let mut cut_off: BTreeMap<&Option<name::Zone>, usize> = BTreeMap::new();
    let mut chosen = Vec::new();
    for voter in order(own, zone, voters) {
        if reliable == TRACKED_VOTERS {
            break;
        }
        let candidate = &voters[&voter];
        let cut_off = cut_off.entry(&candidate.zone).or_default();
        if *cut_off == TRACKED_VOTERS {
            // All voters of its zone are taken to be cut off.
            continue;
        }
        *cut_off += usize::from(candidate.state == State::CutOff);
        reliable += usize::from(candidate.state.is_reliable(now));
        chosen.push(voter);
    }
    chosen
}

/// Returns the voters in the order in which a box of a zone prefers them.
pub fn order(
    own: &name::Box,
    zone: &name::Zone,
    voters: &BTreeMap<SocketAddr, Candidate>,
) -> Vec<SocketAddr> {
    let mut order: Vec<_> = voters.keys().copied().collect();
    order.sort_by_cached_key(|voter| {
        let near = voters[voter].zone.as_ref() == Some(zone);
        let weight = rendezvous::hash(&[own.as_str(), &voter.to_string()]);
        Reverse((near, weight))
    });
    order
}
