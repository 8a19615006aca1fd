//! Backoffs: how long endpoints ask this box to send them no requests.
//!
//! An endpoint that refuses a request may name a time for which it wants no more requests from the
//! box that sent it (`Retry-After`, RFC 9110). This applies to that box and to that start of the
//! endpoint only: other boxes get answers of their own, and a later start is not affected, except
//! one that may have begun before the answer.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::{name, registry, rendezvous, unit};

/// The longest backoff that is accepted. An endpoint that asks for more is expected to leave or to
/// have sent a wrong value; within a day an operator has seen it in the log.
pub const MAX_BACKOFF: Duration = Duration::from_secs(24 * 3600);
/// The largest part of a backoff by which this box extends it. Otherwise boxes that were refused at
/// the same moment would all return at the same moment.
const MAX_EXTENSION_RATIO: f64 = 0.25;
/// The longest extension of a backoff.
const MAX_EXTENSION: Duration = Duration::from_secs(1);

/// How long after an answer a backoff applies to a later start too. The endpoint may have restarted
/// before the answer, and the heartbeat of the new start arrive seconds late: then the answer came
/// from the new start.
const LATER_START_GRACE: Duration = Duration::from_secs(5);
/// The most backoffs in one message, which limits them to 4 KB. The oldest backoffs are sent first.
const MAX_BACKOFFS_PER_MESSAGE: usize = 64;

/// What an answer says about a backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// It asks for none.
    Absent,
    /// The endpoint wants no requests for this time.
    For(Duration),
    /// The value is not a time.
    Invalid,
}

/// Parses the values of `Retry-After`, each a date or a number of seconds, which may have a
/// fraction. Returns the longest of several. A date is compared with the answer's own `date`, so
/// that differing clocks don't matter, or without one with the time of day here.
pub fn parse<'a>(
    values: impl Iterator<Item = &'a str>,
    date: Option<&str>,
    unix_ms: u64,
) -> Parsed {
    let mut parsed = Parsed::Absent;
    for value in values {
        parsed = match (parsed, parse_value(value, date, unix_ms)) {
            (Parsed::For(known), Some(length)) => Parsed::For(known.max(length)),
            (_, Some(length)) => Parsed::For(length),
            (Parsed::For(known), None) => Parsed::For(known),
            (_, None) => Parsed::Invalid,
        };
    }
    match parsed {
        Parsed::For(Duration::ZERO) => Parsed::Absent,
        parsed => parsed,
    }
}

/// Parses one value of `Retry-After`.
fn parse_value(value: &str, date: Option<&str>, unix_ms: u64) -> Option<Duration> {
    let value = value.trim();
    if let Ok(until) = httpdate::parse_http_date(value) {
        let sent = date.and_then(|date| httpdate::parse_http_date(date.trim()).ok());
        let sent = sent.unwrap_or(std::time::UNIX_EPOCH + Duration::from_millis(unix_ms));
        let remaining = until.duration_since(sent).unwrap_or_default();
        return Some(remaining.min(MAX_BACKOFF));
    }
    // A proxy may have joined several header fields into a list.
    let lengths = value.split(',').map(|part| seconds(part.trim()));
    lengths.collect::<Option<Vec<_>>>()?.into_iter().max()
}

/// Parses a number of seconds, which must have no sign and no exponent.
fn seconds(text: &str) -> Option<Duration> {
    let is_number = text.chars().all(|c| c.is_ascii_digit() || c == '.');
    let seconds = text.parse::<f64>().ok().filter(|_| is_number)?;
    Some(
        Duration::try_from_secs_f64(seconds)
            .map_or(MAX_BACKOFF, |backoff| backoff.min(MAX_BACKOFF)),
    )
}

/// A backoff that an endpoint has asked of this box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The service of the endpoint.
    pub service: name::Service,
    /// The start of the endpoint that asked for it.
    pub start: registry::Start,
    /// When the endpoint last asked for it.
    pub asked: Duration,
    /// When the backoff ends.
    pub until: Duration,
    /// Its number, which increases with each backoff that this box records.
    pub number: u64,
}

/// A backoff as it is reported to a dispatcher; serialised as a tuple.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Row", into = "Row")]
pub struct Notice {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// The start of the endpoint that asked for it.
    pub start: registry::Start,
    /// The remaining time. Clocks differ between machines, so the end is not sent as a time of day.
    pub remaining: Duration,
}

/// Endpoint, start, and remaining time in milliseconds.
type Row = (name::Endpoint, Option<unit::Incarnation>, u64);

impl From<Row> for Notice {
    fn from((endpoint, start, remaining_ms): Row) -> Self {
        Self {
            endpoint,
            start,
            remaining: Duration::from_millis(remaining_ms),
        }
    }
}

impl From<Notice> for Row {
    fn from(notice: Notice) -> Self {
        let remaining_ms = u64::try_from(notice.remaining.as_millis()).unwrap_or(u64::MAX);
        (notice.endpoint, notice.start, remaining_ms)
    }
}

/// The backoffs that endpoints have asked of this box.
#[derive(Debug)]
pub struct Book {
    own: name::Box,
    backoffs: BTreeMap<name::Endpoint, Backoff>,
    /// The highest number of a backoff that each dispatcher of a service was sent.
    last_sent: HashMap<(name::Box, name::Service), u64>,
    last_number: u64,
}

impl Book {
    /// Returns the book of a box that knows of no backoffs.
    pub fn new(own: name::Box) -> Self {
        Self {
            own,
            backoffs: BTreeMap::new(),
            last_sent: HashMap::new(),
            last_number: 0,
        }
    }

    /// Records that a start of an endpoint asked for a backoff, in an answer that arrives now. If
    /// two backoffs overlap, the later end applies.
    pub fn record(
        &mut self,
        endpoint: &name::Endpoint,
        service: &name::Service,
        start: registry::Start,
        length: Duration,
        now: Duration,
    ) {
        self.backoffs.retain(|_, backoff| backoff.until > now);
        let known = self.backoffs.get(endpoint);
        if known.is_some_and(|known| known.start > start) {
            return;
        }
        let known = known.filter(|known| known.start == start);
        let until = now + length + self.extension(endpoint, length);
        let until = known.map_or(until, |known| known.until.max(until));
        self.last_number += 1;
        let backoff = Backoff {
            service: service.clone(),
            start,
            asked: now,
            until,
            number: self.last_number,
        };
        self.backoffs.insert(endpoint.clone(), backoff);
    }

    /// Returns by how much this box extends a backoff.
    fn extension(&self, endpoint: &name::Endpoint, length: Duration) -> Duration {
        let hash = rendezvous::hash(&[self.own.as_str(), endpoint.as_str()]);
        // The remainder is below 1000, so the cast is exact.
        let part = (hash % 1000) as f64 / 1000.0;
        length
            .mul_f64(MAX_EXTENSION_RATIO)
            .min(MAX_EXTENSION)
            .mul_f64(part)
    }

    /// Returns the remaining backoff of a start of an endpoint, if it has one.
    pub fn remaining(
        &self,
        endpoint: &name::Endpoint,
        start: registry::Start,
        now: Duration,
    ) -> Option<Duration> {
        let backoff = self.backoffs.get(endpoint)?;
        let until = match backoff.start.cmp(&start) {
            Ordering::Equal => backoff.until,
            Ordering::Less => backoff.until.min(backoff.asked + LATER_START_GRACE),
            Ordering::Greater => return None,
        };
        Some(until.saturating_sub(now)).filter(|remaining| !remaining.is_zero())
    }

    /// Returns the backoffs of a service's endpoints that a dispatcher was not sent yet. A backoff
    /// of the endpoint that the request's last attempt `failed_at` is always included, as the
    /// earlier message may have been lost.
    pub fn updates(
        &mut self,
        to: &name::Box,
        service: &name::Service,
        failed_at: Option<&name::Endpoint>,
        now: Duration,
    ) -> Vec<Notice> {
        if self.backoffs.is_empty() {
            return Vec::new();
        }
        let key = (to.clone(), service.clone());
        let last_sent = self.last_sent.get(&key).copied().unwrap_or_default();
        let is_new = |(name, backoff): &(&name::Endpoint, &Backoff)| {
            backoff.number > last_sent || failed_at == Some(*name)
        };
        let of_service = self
            .all(now)
            .filter(|(_, backoff)| backoff.service == *service);
        let mut updates: Vec<_> = of_service.filter(is_new).collect();
        updates.sort_unstable_by_key(|(_, backoff)| backoff.number);
        updates.truncate(MAX_BACKOFFS_PER_MESSAGE);
        let last = updates.last().map(|(_, backoff)| backoff.number);
        let notice = |(name, backoff): (&name::Endpoint, &Backoff)| Notice {
            endpoint: name.clone(),
            start: backoff.start,
            remaining: backoff.until.saturating_sub(now),
        };
        let updates = updates.into_iter().map(notice).collect();
        if let Some(last) = last {
            self.last_sent.insert(key, last.max(last_sent));
        }
        updates
    }

    /// Records that a dispatcher of a service has to be sent all backoffs again.
    pub fn reset_dispatcher(&mut self, to: &name::Box, service: &name::Service) {
        self.last_sent.remove(&(to.clone(), service.clone()));
    }

    /// Iterates over all backoffs that have not ended.
    pub fn all(&self, now: Duration) -> impl Iterator<Item = (&name::Endpoint, &Backoff)> {
        self.backoffs
            .iter()
            .filter(move |(_, backoff)| backoff.until > now)
    }
}
