//! Detection of requests that crash the endpoints that run them.
//!
//! Such a request is retried, arrives at any box, and crashes one endpoint after another. What is
//! known about it must outlive its attempts and its box. So each process keeps a [`Book`] of the
//! requests that were running on endpoints as these ended; boxes report to their voters together
//! with the loads, and voters to each other and to the boxes. When [`ENDS_TO_HOLD_BACK`] endpoints
//! have ended under a request, all boxes hold it back.
//!
//! Harmless requests that run beside it fail with it. A request that completes anywhere is cleared,
//! and one that completed shortly before is not recorded ([`Completions`]); nor is one that another
//! box has reported as completed after ends. Only a request that was
//! present each time and never completed is held back. If it goes on arriving, one box sends it to
//! an endpoint once more, as a trial ([`Trials`]): if it completes there, it is cleared.

use serde::{Deserialize, Serialize};

use crate::core::{fingerprint::Fingerprint, name, registry, rendezvous};

mod book;
mod completions;
mod trial;

pub use book::{Book, Cursor, Scope, RETENTION};
pub use completions::{Completions, RECENT};
pub use trial::Trials;

/// The number of ended endpoints after which a request is held back. Few of the harmless requests
/// that were present at two ends are present at a third: with 50 long streams beside such a request
/// on nine endpoints, none was, in three runs.
pub const ENDS_TO_HOLD_BACK: usize = 3;
/// The most trials of a request that is held back, over all boxes. A trial of a request that crashes
/// endpoints costs another endpoint.
const MAX_TRIALS: usize = 1;
/// The most trials if another suspect was at the end of the last one: either may have caused it, as
/// requests that were held back at the same time may be tried at the same time.
const MAX_TRIALS_BESIDE_SUSPECT: usize = 2;
/// The number of ended endpoints from which on a request is reported to all boxes. Below it, only
/// voters are sent it: each end adds as many requests with one end as the endpoint ran.
const MIN_ENDS_FOR_GLOBAL: usize = ENDS_TO_HOLD_BACK - 1;

/// The shortest time within which an endpoint that ended serves again, in milliseconds.
const MIN_RESTART_MS: u64 = 100;

/// Identifies the end of one start of an endpoint, equally at all boxes that saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(u64);

impl Id {
    /// Returns the identity of the end of a start, seen at an agreed time of day. The time tells
    /// apart the ends of an endpoint that reports no starts. For such an endpoint two boxes may
    /// derive different identities of the same end, if they see it in different time slots.
    pub fn new(endpoint: &name::Endpoint, start: registry::Start, unix_ms: u64) -> Self {
        let which = match start {
            Some(start) => format!("start {}", start.0),
            None => format!("span {}", unix_ms / MIN_RESTART_MS),
        };
        Self(rendezvous::hash(&[endpoint.as_str(), &which]))
    }
}

/// An endpoint that ended while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The identity of the end.
    #[serde(rename = "i")]
    pub id: Id,
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: name::Endpoint,
    /// When it ended, in milliseconds since the Unix epoch by the agreed time of day.
    #[serde(rename = "t")]
    pub at_unix_ms: u64,
    /// How long before that the request was sent to the endpoint, in milliseconds.
    #[serde(rename = "r")]
    pub ran_ms: u64,
}

impl End {
    /// Returns when the request was sent to the endpoint, in milliseconds since the Unix epoch.
    fn sent_unix_ms(&self) -> u64 {
        self.at_unix_ms.saturating_sub(self.ran_ms)
    }

    /// Returns whether two records mean the same end, also if their identities differ: an end of
    /// the same endpoint, where each request was sent before the other one's end.
    fn is_same(&self, other: &Self) -> bool {
        let overlap =
            self.sent_unix_ms() < other.at_unix_ms && other.sent_unix_ms() < self.at_unix_ms;
        self.id == other.id || (self.endpoint == other.endpoint && overlap)
    }
}

/// Returns the largest number of endpoints that ended one after the other, where the request was
/// sent to each of them after the one before had ended.
///
/// Endpoints that are lost at the same time count once, even if many callers send the same request
/// and each of them was running it: all were sent before the loss. A request that crashes endpoints
/// reaches the next one only after each end.
fn max_successive(ends: &[End]) -> usize {
    let mut ends: Vec<_> = ends.iter().collect();
    // This is interval scheduling: taking the interval that ends first gives the most intervals
    // without an overlap.
    ends.sort_unstable_by_key(|end| end.at_unix_ms);
    let mut last_end_ms = None;
    let mut count = 0;
    for end in ends {
        if last_end_ms.is_none_or(|last_end_ms| end.sent_unix_ms() >= last_end_ms) {
            last_end_ms = Some(end.at_unix_ms);
            count += 1;
        }
    }
    count
}

/// What a process reports about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Ends that no longer count, since the request completed after them.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub void: Vec<Id>,
    /// The endpoints that ended under it.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<End>,
    /// The trials that were begun: the last end that was known at each.
    #[serde(rename = "y", default, skip_serializing_if = "Vec::is_empty")]
    pub tried: Vec<Id>,
    /// Increases while the request still arrives although it is held back.
    #[serde(rename = "h", default)]
    pub arrivals: u32,
    /// Increases when the request completes after ends.
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    pub completions: u32,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}
