//! The rest that endpoints ask of this box.
//!
//! An endpoint that turns a request away may say for how long it wants nothing more from the box
//! that sent it (`Retry-After`, RFC 9110). What it said holds for this box and for that start of
//! the endpoint: other boxes have their own answers, and a later start knows nothing of it, but for
//! one that may have begun before the answer.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::{name, registry, rendezvous, unit};

/// The longest rest that is believed. An endpoint that wants more is expected to leave, or to
/// have said a wrong number: within a day an operator has seen it in the log.
pub const LONGEST: Duration = Duration::from_secs(24 * 3600);
/// By which part of a rest this box stays away longer, at most. Boxes that were turned away in
/// the same moment would all come back in the same moment.
const SPREAD: f64 = 0.25;
/// The most that this adds.
const LONGEST_SPREAD: Duration = Duration::from_secs(1);

/// For how long after an answer a rest holds for a later start too. The endpoint may have started anew
/// before it answered, and its heartbeat come seconds late: then the answer was the later start's.
const START_UNHEARD: Duration = Duration::from_secs(5);
/// The most rests that one message tells: 4 KB. Those that were asked for first go first.
const MOST_TOLD: usize = 64;

/// What an answer says of rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// Nothing.
    Nothing,
    /// For how long the endpoint wants no request.
    For(Duration),
    /// Something that is no time.
    Unreadable,
}

/// Reads the values of `Retry-After`: seconds, with fractions too, or a date. Of several the
/// longest counts. A date is compared with the answer's own `date`, whatever the clocks, or else
/// with the time of day here.
pub fn read<'a>(values: impl Iterator<Item = &'a str>, date: Option<&str>, unix_ms: u64) -> Asked {
    let mut asked = Asked::Nothing;
    for value in values {
        asked = match (asked, length(value, date, unix_ms)) {
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

/// One value of `Retry-After`.
fn length(value: &str, date: Option<&str>, unix_ms: u64) -> Option<Duration> {
    let value = value.trim();
    if let Ok(until) = httpdate::parse_http_date(value) {
        let sent = date.and_then(|date| httpdate::parse_http_date(date.trim()).ok());
        let sent = sent.unwrap_or(std::time::UNIX_EPOCH + Duration::from_millis(unix_ms));
        let left = until.duration_since(sent).unwrap_or_default();
        return Some(left.min(LONGEST));
    }
    // A list is what is left of several fields that were joined on the way.
    let lengths = value.split(',').map(|part| seconds(part.trim()));
    lengths.collect::<Option<Vec<_>>>()?.into_iter().max()
}

/// A number of seconds without a sign or an exponent.
fn seconds(text: &str) -> Option<Duration> {
    let is_number = text.chars().all(|c| c.is_ascii_digit() || c == '.');
    let seconds = text.parse::<f64>().ok().filter(|_| is_number)?;
    Some(Duration::try_from_secs_f64(seconds).map_or(LONGEST, |rest| rest.min(LONGEST)))
}

/// An endpoint that rests from a box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rest {
    /// The service that it serves.
    pub service: name::Service,
    /// Which start of it asked.
    pub start: registry::Start,
    /// When it asked last.
    pub asked: Duration,
    /// When it ends.
    pub until: Duration,
    /// Rises with each rest that the box was asked for.
    pub number: u64,
}

/// What a dispatcher is told of an endpoint that rests from a box; written as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Row", into = "Row")]
pub struct Told {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Which start of it asked.
    pub start: registry::Start,
    /// How much longer it rests. Clocks differ, so no time is told.
    pub left: Duration,
}

/// Endpoint, start, milliseconds left.
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

/// The endpoints that rest from this box.
#[derive(Debug)]
pub struct Book {
    own: name::Box,
    rests: BTreeMap<name::Endpoint, Rest>,
    /// The number of the last rest that each dispatcher of a service has heard of.
    told: HashMap<(name::Box, name::Service), u64>,
    numbers: u64,
}

impl Book {
    /// The book of a box that knows of no rest.
    pub fn new(own: name::Box) -> Self {
        Self {
            own,
            rests: BTreeMap::new(),
            told: HashMap::new(),
            numbers: 0,
        }
    }

    /// Notes that a start of an endpoint asked for rest in an answer that arrives now. Of two
    /// rests that overlap the one that ends later holds.
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
        let until = now + length + self.spread(endpoint, length);
        let until = known.map_or(until, |known| known.until.max(until));
        self.numbers += 1;
        let rest = Rest {
            service: service.clone(),
            start,
            asked: now,
            until,
            number: self.numbers,
        };
        self.rests.insert(endpoint.clone(), rest);
    }

    /// How much longer than asked for this box stays away.
    fn spread(&self, endpoint: &name::Endpoint, length: Duration) -> Duration {
        let hash = rendezvous::hash(&[self.own.as_str(), endpoint.as_str()]);
        // The remainder is below 1000, so the cast is exact.
        let part = (hash % 1000) as f64 / 1000.0;
        length.mul_f64(SPREAD).min(LONGEST_SPREAD).mul_f64(part)
    }

    /// How much longer a start of an endpoint rests from this box, if it does.
    pub fn left(
        &self,
        endpoint: &name::Endpoint,
        start: registry::Start,
        now: Duration,
    ) -> Option<Duration> {
        let rest = self.rests.get(endpoint)?;
        let until = match rest.start.cmp(&start) {
            Ordering::Equal => rest.until,
            Ordering::Less => rest.until.min(rest.asked + START_UNHEARD),
            Ordering::Greater => return None,
        };
        Some(until.saturating_sub(now)).filter(|left| !left.is_zero())
    }

    /// What a dispatcher has not heard of the endpoints of its service, and in any case what it
    /// has to know of one that it chose in vain: it may have lost what it was told.
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
        let heard = self.told.get(&key).copied().unwrap_or_default();
        let is_new =
            |(name, rest): &(&name::Endpoint, &Rest)| rest.number > heard || in_vain == Some(*name);
        let of_service = self.all(now).filter(|(_, rest)| rest.service == *service);
        let mut news: Vec<_> = of_service.filter(is_new).collect();
        news.sort_unstable_by_key(|(_, rest)| rest.number);
        news.truncate(MOST_TOLD);
        let last = news.last().map(|(_, rest)| rest.number);
        let told = |(name, rest): (&name::Endpoint, &Rest)| Told {
            endpoint: name.clone(),
            start: rest.start,
            left: rest.until.saturating_sub(now),
        };
        let news = news.into_iter().map(told).collect();
        if let Some(last) = last {
            self.told.insert(key, last.max(heard));
        }
        news
    }

    /// Notes that a dispatcher of a service knows nothing yet.
    pub fn tell_anew(&mut self, to: &name::Box, service: &name::Service) {
        self.told.remove(&(to.clone(), service.clone()));
    }

    /// All rests that have not ended.
    pub fn all(&self, now: Duration) -> impl Iterator<Item = (&name::Endpoint, &Rest)> {
        self.rests.iter().filter(move |(_, rest)| rest.until > now)
    }
}
