//! Rests: how long endpoints ask this box to send them no requests.
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

/// The longest rest that is accepted. An endpoint that asks for more is expected to leave or to
/// have sent a wrong value; within a day an operator has seen it in the log.
pub const LONGEST: Duration = Duration::from_secs(24 * 3600);
/// The largest part of a rest by which this box extends it. Otherwise boxes that were refused at
/// the same moment would all return at the same moment.
const MAX_EXTENSION_RATIO: f64 = 0.25;
/// The longest extension of a rest.
const MAX_EXTENSION: Duration = Duration::from_secs(1);

/// How long after an answer a rest applies to a later start too. The endpoint may have restarted
/// before the answer, and the heartbeat of the new start arrive seconds late: then the answer came
/// from the new start.
const LATER_START_GRACE: Duration = Duration::from_secs(5);
/// The most rests in one message, which limits them to 4 KB. The oldest rests are sent first.
const MAX_RESTS_PER_MESSAGE: usize = 64;

/// What an answer says about a rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// It asks for none.
    Nothing,
    /// The endpoint wants no requests for this time.
    For(Duration),
    /// The value is not a time.
    Unreadable,
}

/// Parses the values of `Retry-After`, each a date or a number of seconds, which may have a
/// fraction. Returns the longest of several. A date is compared with the answer's own `date`, so
/// that differing clocks don't matter, or without one with the time of day here.
pub fn read<'a>(values: impl Iterator<Item = &'a str>, date: Option<&str>, unix_ms: u64) -> Asked {
    let mut asked = Asked::Nothing;
    for value in values {
        asked = match (asked, parse_value(value, date, unix_ms)) {
            (Asked::For(known), Some(length)) => Asked::For(known.max(length)),
            (_, Some(length)) => Asked::For(length),
            (Asked::For(known), None) => Asked::For(known),
            (_, None) => Asked::Unreadable,
        };
    }
    match asked {
        Asked::For(Duration::ZERO) => Asked::Nothing,
        asked => asked,
    }
}

/// Parses one value of `Retry-After`.
fn parse_value(value: &str, date: Option<&str>, unix_ms: u64) -> Option<Duration> {
    let value = value.trim();
    if let Ok(until) = httpdate::parse_http_date(value) {
        let sent = date.and_then(|date| httpdate::parse_http_date(date.trim()).ok());
        let sent = sent.unwrap_or(std::time::UNIX_EPOCH + Duration::from_millis(unix_ms));
        let left = until.duration_since(sent).unwrap_or_default();
        return Some(left.min(LONGEST));
    }
    // A proxy may have joined several header fields into a list.
    let lengths = value.split(',').map(|part| seconds(part.trim()));
    lengths.collect::<Option<Vec<_>>>()?.into_iter().max()
}

/// Parses a number of seconds, which must have no sign and no exponent.
fn seconds(text: &str) -> Option<Duration> {
    let is_number = text.chars().all(|c| c.is_ascii_digit() || c == '.');
    let seconds = text.parse::<f64>().ok().filter(|_| is_number)?;
    Some(Duration::try_from_secs_f64(seconds).map_or(LONGEST, |rest| rest.min(LONGEST)))
}

/// A rest that an endpoint has asked of this box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rest {
    /// The service of the endpoint.
    pub service: name::Service,
    /// The start of the endpoint that asked for it.
    pub start: registry::Start,
    /// When the endpoint last asked for it.
    pub asked: Duration,
    /// When the rest ends.
    pub until: Duration,
    /// The number of the request for rest; it increases with each one that this box gets.
    pub number: u64,
}

/// A rest as it is reported to a dispatcher; serialised as a tuple.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Row", into = "Row")]
pub struct Told {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// The start of the endpoint that asked for it.
    pub start: registry::Start,
    /// The remaining time. Clocks differ between machines, so the end is not sent as a time of day.
    pub left: Duration,
}

/// Endpoint, start, and remaining time in milliseconds.
type Row = (name::Endpoint, Option<unit::Incarnation>, u64);

impl From<Row> for Told {
    fn from((endpoint, start, left_ms): Row) -> Self {
        Self {
            endpoint,
            start,
            left: Duration::from_millis(left_ms),
        }
    }
}

impl From<Told> for Row {
    fn from(told: Told) -> Self {
        let left_ms = u64::try_from(told.left.as_millis()).unwrap_or(u64::MAX);
        (told.endpoint, told.start, left_ms)
    }
}

/// The rests that endpoints have asked of this box.
#[derive(Debug)]
pub struct Book {
    own: name::Box,
    rests: BTreeMap<name::Endpoint, Rest>,
    /// The highest number of a rest that each dispatcher of a service was sent.
    told: HashMap<(name::Box, name::Service), u64>,
    last_number: u64,
}

impl Book {
    /// Returns the book of a box that knows of no rests.
    pub fn new(own: name::Box) -> Self {
        Self {
            own,
            rests: BTreeMap::new(),
            told: HashMap::new(),
            last_number: 0,
        }
    }

    /// Records that a start of an endpoint asked for a rest, in an answer that arrives now. If two
    /// rests overlap, the later end applies.
    pub fn note(
        &mut self,
        endpoint: &name::Endpoint,
        service: &name::Service,
        start: registry::Start,
        length: Duration,
        now: Duration,
    ) {
        self.rests.retain(|_, rest| rest.until > now);
        let known = self.rests.get(endpoint);
        if known.is_some_and(|known| known.start > start) {
            return;
        }
        let known = known.filter(|known| known.start == start);
        let until = now + length + self.extension(endpoint, length);
        let until = known.map_or(until, |known| known.until.max(until));
        self.last_number += 1;
        let rest = Rest {
            service: service.clone(),
            start,
            asked: now,
            until,
            number: self.last_number,
        };
        self.rests.insert(endpoint.clone(), rest);
    }

    /// Returns by how much this box extends a rest.
    fn extension(&self, endpoint: &name::Endpoint, length: Duration) -> Duration {
        let hash = rendezvous::hash(&[self.own.as_str(), endpoint.as_str()]);
        // The remainder is below 1000, so the cast is exact.
        let part = (hash % 1000) as f64 / 1000.0;
        length
            .mul_f64(MAX_EXTENSION_RATIO)
            .min(MAX_EXTENSION)
            .mul_f64(part)
    }

    /// Returns the remaining rest of a start of an endpoint, if it has one.
    pub fn left(
        &self,
        endpoint: &name::Endpoint,
        start: registry::Start,
        now: Duration,
    ) -> Option<Duration> {
        let rest = self.rests.get(endpoint)?;
        let until = match rest.start.cmp(&start) {
            Ordering::Equal => rest.until,
            Ordering::Less => rest.until.min(rest.asked + LATER_START_GRACE),
            Ordering::Greater => return None,
        };
        Some(until.saturating_sub(now)).filter(|left| !left.is_zero())
    }

    /// Returns the rests of a service's endpoints that a dispatcher was not sent yet. A rest of the
    /// endpoint that the dispatcher just chose in vain is always included, as the earlier message
    /// may have been lost.
    pub fn news(
        &mut self,
        to: &name::Box,
        service: &name::Service,
        in_vain: Option<&name::Endpoint>,
        now: Duration,
    ) -> Vec<Told> {
        if self.rests.is_empty() {
            return Vec::new();
        }
        let key = (to.clone(), service.clone());
        let last_sent = self.told.get(&key).copied().unwrap_or_default();
        let is_new = |(name, rest): &(&name::Endpoint, &Rest)| {
            rest.number > last_sent || in_vain == Some(*name)
        };
        let of_service = self.all(now).filter(|(_, rest)| rest.service == *service);
        let mut news: Vec<_> = of_service.filter(is_new).collect();
        news.sort_unstable_by_key(|(_, rest)| rest.number);
        news.truncate(MAX_RESTS_PER_MESSAGE);
        let last = news.last().map(|(_, rest)| rest.number);
        let told = |(name, rest): (&name::Endpoint, &Rest)| Told {
            endpoint: name.clone(),
            start: rest.start,
            left: rest.until.saturating_sub(now),
        };
        let news = news.into_iter().map(told).collect();
        if let Some(last) = last {
            self.told.insert(key, last.max(last_sent));
        }
        news
    }

    /// Records that a dispatcher of a service has to be sent all rests again.
    pub fn tell_anew(&mut self, to: &name::Box, service: &name::Service) {
        self.told.remove(&(to.clone(), service.clone()));
    }

    /// Iterates over all rests that have not ended.
    pub fn all(&self, now: Duration) -> impl Iterator<Item = (&name::Endpoint, &Rest)> {
        self.rests.iter().filter(move |(_, rest)| rest.until > now)
    }
}
