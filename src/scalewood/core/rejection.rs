//! Endpoints that fail if they have to reject too many requests.
//!
//! The endpoints of a service may say in all their answers how many requests they can reject within
//! a second for lack of room; after more they fail, and their work presses on the others. For as long
//! as they say so, all boxes together send them no more than they can run, and what exceeds that
//! waits at the boxes or is refused there.

use std::{collections::BTreeMap, fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::core::name;

/// How long a limit applies after it was last heard: answers say so as long as it lasts, and a box
/// may have no requests there for some seconds.
const VALIDITY: Duration = Duration::from_secs(5);
/// How long a box sends no requests to an endpoint that has rejected one, while it has a limit.
pub const BACKOFF: Duration = Duration::from_secs(1);

/// The rejections within a second that an endpoint withstands.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Limit(u32);

/// The error for a text that is not a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a limit is a number of rejections a second, 0 or more, like `3`")
    }
}

impl std::error::Error for Error {}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Limit {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number: f64 = text.trim().parse().map_err(|_| Error)?;
        if !number.is_finite() || number.is_sign_negative() {
            return Err(Error);
        }
        // The cast saturates.
        Ok(Self(number as u32))
    }
}

/// A limit as processes tell it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The service whose endpoints have the limit.
    #[serde(rename = "s")]
    pub service: name::Service,
    /// The limit.
    #[serde(rename = "n")]
    pub limit: Limit,
    /// How much longer it applies unless it is heard again, in milliseconds.
    #[serde(rename = "t")]
    pub left_ms: u64,
}

/// A known limit.
#[derive(Clone, Copy, Debug)]
struct Known {
    limit: Limit,
    until: Duration,
}

/// The limits that a process knows, by service.
#[derive(Debug, Default)]
pub struct Book {
    /// Limits that this process has heard from endpoints, or a hub from its own boxes.
    own: BTreeMap<name::Service, Known>,
    /// Limits that others have heard.
    others: BTreeMap<name::Service, Known>,
}

impl Book {
    /// Records that an endpoint of a service has said its limit.
    pub fn record(&mut self, service: &name::Service, limit: Limit, now: Duration) {
        let until = now + VALIDITY;
        self.own.insert(service.clone(), Known { limit, until });
    }

    /// Records an answer without a limit to a request sent at a time. It ends a limit that was said
    /// before that.
    pub fn record_absent(&mut self, service: &name::Service, sent_at: Duration) {
        let said_before = |known: &Known| known.until < sent_at + VALIDITY;
        if self.own.get(service).is_some_and(said_before) {
            self.own.remove(service);
        }
    }

    /// Merges limits that others have heard; `from_own` if these are boxes of this hub.
    pub fn merge(&mut self, rows: Vec<Row>, from_own: bool, now: Duration) {
        let known = if from_own {
            &mut self.own
        } else {
            &mut self.others
        };
        for row in rows {
            let left = Duration::from_millis(row.left_ms).min(VALIDITY);
            let new = Known {
                limit: row.limit,
                until: now + left,
            };
            let known = known.entry(row.service).or_insert(new);
            if known.until < new.until {
                *known = new;
            }
        }
    }

    /// Returns what this process has heard itself, or a hub from its own boxes.
    pub fn own(&self, now: Duration) -> Vec<Row> {
        rows(self.own.iter(), now)
    }

    /// Returns all that apply.
    pub fn all(&self, now: Duration) -> Vec<Row> {
        rows(self.own.iter().chain(&self.others), now)
    }

    /// Returns the limit of a service's endpoints, if one applies: the lowest that is known.
    pub fn limit(&self, service: &name::Service, now: Duration) -> Option<Limit> {
        let known = [self.own.get(service), self.others.get(service)];
        let applying = known
            .into_iter()
            .flatten()
            .filter(|known| now < known.until);
        applying.map(|known| known.limit).min()
    }

    /// Returns whether nothing was heard of any service lately.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.others.is_empty()
    }

    /// Forgets the limits that no longer apply.
    pub fn expire(&mut self, now: Duration) {
        self.own.retain(|_, known| now < known.until);
        self.others.retain(|_, known| now < known.until);
    }
}

fn rows<'a>(
    known: impl Iterator<Item = (&'a name::Service, &'a Known)>,
    now: Duration,
) -> Vec<Row> {
    let applying = known.filter(|(_, known)| now < known.until);
    let row = |(service, known): (&name::Service, &Known)| Row {
        service: service.clone(),
        limit: known.limit,
        left_ms: u64::try_from((known.until - now).as_millis()).unwrap_or(u64::MAX),
    };
    applying.map(row).collect()
}
