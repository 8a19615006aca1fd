//! What a process believes of the limits that endpoints name.
//!
//! Answers overtake each other, and no two processes share a clock. A limit has ended once a
//! request that was sent after it was last named is answered without it; of what two processes
//! heard of one start, the later word holds. What is told on carries its age, which a slow
//! message makes too small: then a word may win that is earlier by as much, until the next answer.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::Limit;
use crate::core::{name, registry, unit};

/// How long a word is believed in that no answer has confirmed since.
const LIFE: Duration = Duration::from_secs(600);
/// How much later a word has to be confirmed for others to hear of it again.
const CONFIRMED: Duration = Duration::from_secs(120);

/// What an answer changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Nothing.
    Nothing,
    /// A limit is new or another than before.
    Named(Limit),
    /// The limit has ended.
    Ended,
}

/// The last word of a start of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Word {
    start: registry::Start,
    /// Its limit; nothing once it has ended.
    limit: Option<Limit>,
    /// When it was heard, anywhere.
    heard: Duration,
    /// When others were last to hear it.
    told: Duration,
    /// Since when this process knows of a limit without a break.
    since: Duration,
    /// The book's stamp when others were last to hear it.
    stamp: u64,
}

/// A word as it is told; written as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Fields", into = "Fields")]
pub struct Row {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Which start of it.
    pub start: registry::Start,
    /// Its limit; nothing once it has ended.
    pub limit: Option<Limit>,
    /// How long ago it was heard.
    pub age: Duration,
}

/// Endpoint, start, limit, age in milliseconds.
type Fields = (
    name::Endpoint,
    Option<unit::Incarnation>,
    Option<Limit>,
    u64,
);

impl From<Fields> for Row {
    fn from((endpoint, start, limit, age_ms): Fields) -> Self {
        Self {
            endpoint,
            start,
            limit,
            age: Duration::from_millis(age_ms),
        }
    }
}

impl From<Row> for Fields {
    fn from(row: Row) -> Self {
        let age_ms = u64::try_from(row.age.as_millis()).unwrap_or(u64::MAX);
        (row.endpoint, row.start, row.limit, age_ms)
    }
}

/// The limits that a process knows of.
#[derive(Debug, Default)]
pub struct Book {
    words: BTreeMap<name::Endpoint, Word>,
    stamp: u64,
}

impl Book {
    /// Takes what an answer says of a start of an endpoint that a request was sent to at a time:
    /// its limit, or that it has none.
    pub fn hear(
        &mut self,
        endpoint: &name::Endpoint,
        start: registry::Start,
        said: Option<Limit>,
        sent_at: Duration,
        now: Duration,
    ) -> Heard {
        let known = self.words.get(endpoint).filter(|word| word.start >= start);
        if known.is_some_and(|word| word.start > start) {
            return Heard::Nothing;
        }
        let known = known.copied();
        let limit = known.and_then(|word| word.limit);
        let may_be_older = known.is_some_and(|word| sent_at < word.heard);
        match (limit, said) {
            (None, None) => return Heard::Nothing,
            // Both may be from before the last word: then neither takes a limit back.
            (Some(_), None) if may_be_older => return Heard::Nothing,
            (Some(limit), Some(said)) if may_be_older && said > limit => return Heard::Nothing,
            _ => {}
        }
        self.set(endpoint, start, said, now, now);
        match said {
            Some(said) if limit != Some(said) => Heard::Named(said),
            Some(_) => Heard::Nothing,
            None => Heard::Ended,
        }
    }

    /// Takes what another process tells; whether the limit is another than before.
    pub fn merge(&mut self, row: &Row, now: Duration) -> bool {
        let heard = now.saturating_sub(row.age);
        let known = self.words.get(&row.endpoint).copied();
        if let Some(known) = known {
            let is_later = (row.start, heard) > (known.start, known.heard);
            let same = row.start == known.start && row.limit == known.limit;
            if !is_later || (same && heard < known.told + CONFIRMED) {
                return false;
            }
        }
        let same_start = known.filter(|word| word.start == row.start);
        let before = same_start.and_then(|word| word.limit);
        self.set(&row.endpoint, row.start, row.limit, heard, now);
        row.limit != before
    }

    fn set(
        &mut self,
        endpoint: &name::Endpoint,
        start: registry::Start,
        limit: Option<Limit>,
        heard: Duration,
        now: Duration,
    ) {
        let known = self.words.get(endpoint).filter(|word| word.start == start);
        let limited = known.filter(|word| word.limit.is_some());
        let since = limited.map_or(now, |word| word.since);
        let same = known.filter(|word| word.limit == limit);
        let told = same.filter(|word| heard < word.told + CONFIRMED);
        let (told, stamp) = match told {
            Some(word) => (word.told, word.stamp),
            None => {
                self.stamp += 1;
                (heard, self.stamp)
            }
        };
        let word = Word {
            start,
            limit,
            heard,
            told,
            since,
            stamp,
        };
        self.words.insert(endpoint.clone(), word);
        if told == heard {
            self.forget_old(now);
        }
    }

    fn forget_old(&mut self, now: Duration) {
        self.words.retain(|_, word| now < word.heard + LIFE);
    }

    /// The limit of a start of an endpoint, if it is known to have one.
    pub fn limit(&self, endpoint: &name::Endpoint, start: registry::Start) -> Option<Limit> {
        self.word(endpoint, start)?.limit
    }

    /// Since when it is known here that a start of an endpoint has a limit.
    pub fn limited_since(
        &self,
        endpoint: &name::Endpoint,
        start: registry::Start,
    ) -> Option<Duration> {
        let word = self.word(endpoint, start)?;
        word.limit.map(|_| word.since)
    }

    fn word(&self, endpoint: &name::Endpoint, start: registry::Start) -> Option<&Word> {
        let word = self.words.get(endpoint);
        word.filter(|word| word.start == start)
    }

    /// The limit of an endpoint, whichever start of it named one last.
    pub fn latest(&self, endpoint: &name::Endpoint) -> Option<Limit> {
        self.words.get(endpoint)?.limit
    }

    /// All limits that are known.
    pub fn all(&self) -> impl Iterator<Item = (&name::Endpoint, registry::Start, Limit)> {
        let words = self.words.iter();
        words.filter_map(|(name, word)| Some((name, word.start, word.limit?)))
    }

    /// What one has to hear who was told up to a stamp; moves the stamp on.
    pub fn news(&self, told: &mut u64, now: Duration) -> Vec<Row> {
        let after = std::mem::replace(told, self.stamp);
        if after == self.stamp {
            return Vec::new();
        }
        let words = self.words.iter().filter(|(_, word)| word.stamp > after);
        let row = |(endpoint, word): (&name::Endpoint, &Word)| Row {
            endpoint: endpoint.clone(),
            start: word.start,
            limit: word.limit,
            age: now.saturating_sub(word.heard),
        };
        words.map(row).collect()
    }
}
