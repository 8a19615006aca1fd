//! Which voters a box tracks.
//!
//! Each voter tells of all endpoints, so a box needs few of them: one, and a second one that tells
//! the same while the first is cut off or behind. Voters of the box's own availability zone come
//! first; among them each box has an order of its own, so that they share the boxes evenly. One
//! that doesn't answer, or hears no majority of the voters, is tracked beside those after it.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::core::{name, rendezvous};

/// How many voters a box tracks, where as many are in touch.
pub const TRACKED: usize = 2;
/// The number of voters up to which a box tracks all of them: each is the first to know of some
/// endpoints and of some changes.
pub const ALL_TRACKED: usize = 9;
/// How long a voter has to answer before another one is tracked beside it.
const PATIENCE: Duration = Duration::from_secs(1);

/// How a voter stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It is not tracked.
    #[default]
    Idle,
    /// It was asked at that time, and has not told anything.
    Asked(Duration),
    /// It tells, and hears a majority of the voters.
    InTouch,
    /// It tells, and hears no majority of the voters.
    CutOff,
    /// It doesn't answer, or is of a build that doesn't say what it hears.
    Unknown,
}

impl State {
    /// Whether it counts as one that tells what all voters know.
    fn counts(self, now: Duration) -> bool {
        match self {
            Self::Idle | Self::InTouch => true,
            Self::Asked(at) => now < at + PATIENCE,
            Self::CutOff | Self::Unknown => false,
        }
    }
}

/// A voter that is known.
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    /// Its availability zone, if it is known.
    pub zone: Option<name::Zone>,
    /// How it stands.
    pub state: State,
}

/// How many voters a box tracks of so many.
pub fn tracked(voters: usize) -> usize {
    if voters <= ALL_TRACKED {
        voters
    } else {
        TRACKED
    }
}

/// The voters that a box of a zone tracks, the first choice first.
pub fn choose(
    own: &name::Box,
    zone: &name::Zone,
    voters: &BTreeMap<SocketAddr, Candidate>,
    now: Duration,
) -> Vec<SocketAddr> {
    if voters.len() <= ALL_TRACKED {
        return order(own, zone, voters);
    }
    let mut counted = 0;
    let mut cut_off: BTreeMap<&Option<name::Zone>, usize> = BTreeMap::new();
    let mut chosen = Vec::new();
    for voter in order(own, zone, voters) {
        if counted == TRACKED {
            break;
        }
        let candidate = &voters[&voter];
        let cut_off = cut_off.entry(&candidate.zone).or_default();
        if *cut_off == TRACKED {
            // All of its zone are cut off, as far as is known.
            continue;
        }
        *cut_off += usize::from(candidate.state == State::CutOff);
        counted += usize::from(candidate.state.counts(now));
        chosen.push(voter);
    }
    chosen
}

/// The voters in the order in which a box of a zone prefers them.
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
