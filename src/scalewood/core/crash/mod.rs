//! Requests that end the endpoints that run them.
//!
//! Such a request comes again, at any box, and ends one endpoint after the other. What is known of
//! it has to outlive its attempts and its box: each process keeps a [`Book`] of the requests under
//! which endpoints ended, boxes tell their voters with the loads, voters tell each other and the
//! boxes. A request under which [`MOST_ENDS`] endpoints have ended is held back by all boxes.
//!
//! Harmless requests run beside it and break with it. A request that was run to its end anywhere
//! is cleared. Only what was there each time, and never came to its end, is held back.

use serde::{Deserialize, Serialize};

use crate::core::{fingerprint::Fingerprint, name, registry, rendezvous};

mod book;

pub use book::{Book, Part, Told, REMEMBERED};

/// The ends of endpoints after which a request is held back. Of the harmless ones that were there at
/// two ends, few are at the third as well: with 50 long streams at work beside it on nine endpoints,
/// none in three runs.
pub const MOST_ENDS: usize = 3;
/// The ends from which on all boxes hear of a request. Below it only voters do: each end brings as
/// many requests with a first end as the endpoint had.
const TOLD_ALL: usize = MOST_ENDS - 1;

/// The shortest time in which an endpoint is back that ended.
const LEAST_RESTART_MS: u64 = 100;

/// Names the end of one start of an endpoint, the same at all boxes that saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(u64);

impl Id {
    /// The end of a start, seen at a time of day that all agree on. The time tells ends apart of
    /// an endpoint that tells no starts and has one name for all of them. Boxes that see the same
    /// end may name it differently then, if they see it on both sides of a border.
    pub fn new(endpoint: &name::Endpoint, start: registry::Start, unix_ms: u64) -> Self {
        let which = match start {
            Some(start) => format!("start {}", start.0),
            None => format!("span {}", unix_ms / LEAST_RESTART_MS),
        };
        Self(rendezvous::hash(&[endpoint.as_str(), &which]))
    }
}

/// An endpoint that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Which end it was.
    #[serde(rename = "i")]
    pub id: Id,
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: name::Endpoint,
    /// When, in milliseconds since the Unix epoch as all agree on it.
    #[serde(rename = "t")]
    pub at_unix_ms: u64,
    /// How long before that the request was sent there, in milliseconds.
    #[serde(rename = "r")]
    pub ran_ms: u64,
}

impl End {
    /// When the request was sent there, in milliseconds since the Unix epoch.
    fn sent_unix_ms(&self) -> u64 {
        self.at_unix_ms.saturating_sub(self.ran_ms)
    }

    /// Whether it is the same end as another one, whatever either is named: one of one endpoint, to
    /// which neither request was sent after the other had ended there.
    fn is_same(&self, other: &Self) -> bool {
        let overlap =
            self.sent_unix_ms() < other.at_unix_ms && other.sent_unix_ms() < self.at_unix_ms;
        self.id == other.id || (self.endpoint == other.endpoint && overlap)
    }
}

/// How many endpoints ended one after the other: each had the request sent to it after the one
/// before had ended.
///
/// A group of endpoints that is lost at once counts as one, also under a request that many callers
/// send alike and that each of them had: all of it was sent before. A request that ends endpoints
/// goes on to the next after each end.
fn in_turn(ends: &[End]) -> usize {
    let mut ends: Vec<_> = ends.iter().collect();
    // Of spans that don't overlap the most are found by taking the one that ends first.
    ends.sort_unstable_by_key(|end| end.at_unix_ms);
    let mut last = None;
    let mut count = 0;
    for end in ends {
        if last.is_none_or(|last| end.sent_unix_ms() >= last) {
            last = Some(end.at_unix_ms);
            count += 1;
        }
    }
    count
}

/// What is told of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Ends that count no more, since it was run to its end after them.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub void: Vec<Id>,
    /// The endpoints that have ended under it.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<End>,
    /// Rises while it keeps coming though it is held back.
    #[serde(rename = "h", default)]
    pub heard: u32,
}
