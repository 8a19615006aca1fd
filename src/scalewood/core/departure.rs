//! The departures of endpoints that voters have acknowledged.
//!
//! An endpoint announces that it is leaving, and then that it is gone. Both are acknowledged only
//! once they are committed, so that no kill makes a voter or box send to the endpoint again.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::core::{
    name,
    registry::{Start, State},
};

/// The most endpoints whose departures are kept: many times those that leave between two writes
/// of a voter's hints.
const MAX_DEPARTURES: usize = 4096;

/// An endpoint's announcement that a start of it is leaving or gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The endpoint.
    #[serde(rename = "n")]
    pub name: name::Endpoint,
    /// The start, or `None` if the endpoint reports none or the voter knew none.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub start: Start,
    /// [`State::Leaving`] or [`State::Gone`].
    #[serde(rename = "t")]
    pub state: State,
}

impl Departure {
    /// Returns whether nothing more is known once `other` is known too.
    fn is_within(&self, other: &Self) -> bool {
        (self.start, self.state) <= (other.start, other.state)
    }
}

/// The latest departures, one for each endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Stored", into = "Stored")]
pub struct Departures {
    /// The departures with the number of each.
    known: BTreeMap<name::Endpoint, (u64, Arc<Departure>)>,
    /// The departures by their numbers, the oldest first; replaced ones are left in place.
    order: VecDeque<(u64, Arc<Departure>)>,
    /// The number of departures so far.
    count: u64,
}

/// The departures as they are stored.
#[derive(Serialize, Deserialize)]
struct Stored {
    count: u64,
    latest: Vec<(u64, Arc<Departure>)>,
}

impl From<Departures> for Stored {
    fn from(departures: Departures) -> Self {
        Self {
            count: departures.count,
            latest: departures.order.into(),
        }
    }
}

impl From<Stored> for Departures {
    fn from(stored: Stored) -> Self {
        let known = stored.latest.iter().map(|(number, departure)| {
            let name = departure.name.clone();
            (name, (*number, departure.clone()))
        });
        Self {
            known: known.collect(),
            count: stored.count,
            order: stored.latest.into(),
        }
    }
}

impl Departures {
    /// Records a departure, unless it is known; drops the oldest one if there are too many.
    pub fn record(&mut self, departure: &Departure) {
        if self.includes(departure) {
            return;
        }
        self.count += 1;
        let recorded = (self.count, Arc::new(departure.clone()));
        self.known.insert(departure.name.clone(), recorded.clone());
        self.order.push_back(recorded);
        while self.order.len() > MAX_DEPARTURES {
            let Some((number, oldest)) = self.order.pop_front() else {
                return;
            };
            if self
                .known
                .get(&oldest.name)
                .is_some_and(|(n, _)| *n == number)
            {
                self.known.remove(&oldest.name);
            }
        }
    }

    /// Returns whether a departure is recorded, or one that says more.
    pub fn includes(&self, departure: &Departure) -> bool {
        let known = self.known.get(&departure.name);
        known.is_some_and(|(_, known)| departure.is_within(known))
    }

    /// Returns the state in which a start of an endpoint has departed, if it has.
    pub fn state_of(&self, name: &name::Endpoint, start: Start) -> Option<State> {
        let (_, departure) = self.known.get(name)?;
        (start <= departure.start).then_some(departure.state)
    }

    /// Returns whether a start that was stored before the departures may have departed. A
    /// departure that names no start may be that of any.
    pub fn may_include(&self, name: &name::Endpoint, start: Start) -> bool {
        let known = self.known.get(name);
        known.is_some_and(|(_, known)| known.start.is_none() || start <= known.start)
    }

    /// Returns the departures after the first `count` ones, as far as they are kept.
    pub fn after(&self, count: u64) -> impl Iterator<Item = &Departure> {
        let later = self.order.iter().rev().take_while(move |(n, _)| *n > count);
        let later: Vec<_> = later.map(|(_, departure)| &**departure).collect();
        later.into_iter().rev()
    }

    /// Returns whether all departures after the first `count` ones are kept.
    pub fn covers(&self, count: u64) -> bool {
        let oldest = self
            .order
            .front()
            .map_or(self.count + 1, |(number, _)| *number);
        count + 1 >= oldest
    }

    /// Returns the number of departures so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns about how many bytes they take when stored.
    pub fn bytes(&self) -> usize {
        /// The size of one as JSON; roughly.
        const DEPARTURE_BYTES: usize = 80;
        self.order.len() * DEPARTURE_BYTES
    }
}
