//! Origins of streams: the service and the build that began each.
//!
//! A stream goes on only where it began, also when its caller takes it up at another box. The box that
//! passes a stream's first event on tells voters its origin, and a box at which a stream is taken up
//! asks them. A stream whose origin is not known does not go on.

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::core::{build, name};

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    #[serde(rename = "s")]
    pub service: name::Service,
    /// The build of the endpoint that wrote its events.
    #[serde(
        rename = "b",
        default,
        skip_serializing_if = "build::Build::is_unstated"
    )]
    pub build: build::Build,
}

/// Identifies a stream: 64 bits of the hash of its team and of the caller's id for the request that
/// began it, written as 16 hexadecimal digits. It includes the team, so no team can take up the
/// stream of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(u64);

impl Key {
    /// Returns the key of the stream that a team's request began.
    pub fn new(team: &name::Team, id: &str) -> Self {
        // Names contain no zero byte, so the parts can't run into each other.
        let hash = sha2::Sha256::digest(format!("{team}\0{id}"));
        let first = hash.first_chunk().expect("a hash has 32 bytes");
        Self(u64::from_be_bytes(*first))
    }
}

/// The error for a text that is not a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not the key of a stream: use 16 hexadecimal digits")
    }
}

impl std::error::Error for Error {}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let is_valid = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = u64::from_str_radix(text, 16).map_err(|_| Error)?;
        is_valid.then_some(Self(value)).ok_or(Error)
    }
}

impl TryFrom<String> for Key {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Key> for String {
    fn from(key: Key) -> String {
        key.to_string()
    }
}

/// Streams with the same origin, as a box reports them to voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begun {
    /// Where they began.
    #[serde(rename = "o")]
    pub origin: Origin,
    /// How much longer they can be taken up, in milliseconds.
    #[serde(rename = "t")]
    pub keep_ms: u64,
    /// The streams.
    #[serde(rename = "k")]
    pub keys: Vec<Key>,
}

/// What is known of a stream's origin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Found {
    /// Nothing.
    #[default]
    Unknown,
    /// It began there.
    Began(Origin),
    /// Several streams with different origins have the same key, as when a caller uses an id twice.
    Ambiguous,
}

impl Found {
    /// Combines what two processes know.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, found) | (found, Self::Unknown) => found,
            (Self::Began(one), Self::Began(other)) if one == other => Self::Began(one),
            _ => Self::Ambiguous,
        }
    }
}

/// What a voter knows of a stream that is taken up, and of its service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The stream's origin.
    #[serde(default)]
    pub found: Found,
    /// The only build of the service's endpoints that the voter has known of for as long as streams can
    /// be taken up, if there was exactly one and the voter has run that long.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sole_build: Option<build::Build>,
}

/// Returns the origin of a stream of a service from the answers of all voters; `None` stands for a
/// voter that did not answer.
///
/// Where no voter knows the stream, it began at the service's only build if every voter has known no
/// other. One voter is enough to make this unknown: boxes may have learnt from it of an endpoint of
/// another build.
pub fn combine(service: &name::Service, answers: &[Option<Answer>]) -> Found {
    let known = answers.iter().flatten();
    let found = known
        .map(|answer| answer.found.clone())
        .fold(Found::Unknown, Found::and);
    if found != Found::Unknown {
        return found;
    }
    let sole = |answer: &Option<Answer>| answer.as_ref()?.sole_build.clone();
    let Some(build) = answers.first().and_then(sole) else {
        return Found::Unknown;
    };
    if answers
        .iter()
        .all(|answer| sole(answer).as_ref() == Some(&build))
    {
        let service = service.clone();
        return Found::Began(Origin { service, build });
    }
    Found::Unknown
}

/// A stream in a [`Book`].
#[derive(Clone, Debug)]
struct Entry {
    /// Its origin, unless that is ambiguous.
    origin: Option<Origin>,
    /// Until when it can be taken up.
    until: Duration,
    /// The book's stamp when it was last recorded.
    stamp: u64,
}

/// The origins of streams that can still be taken up.
#[derive(Debug)]
pub struct Book {
    max: usize,
    entries: HashMap<Key, Entry>,
    /// The streams by the end of their time.
    ends: BTreeSet<(Duration, Key)>,
    /// The streams by their stamps.
    changes: BTreeSet<(u64, Key)>,
    stamp: u64,
}

impl Book {
    /// Creates an empty book that holds up to `max` streams, those that can be taken up longest.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            entries: HashMap::new(),
            ends: BTreeSet::new(),
            changes: BTreeSet::new(),
            stamp: 0,
        }
    }

    /// Records that a stream began somewhere and can be taken up until a time.
    pub fn record(&mut self, key: Key, origin: &Origin, until: Duration, now: Duration) {
        self.expire(now);
        let before = self.remove(key);
        let is_same = |entry: &Entry| entry.origin.as_ref() == Some(origin);
        let origin = before.as_ref().is_none_or(is_same).then(|| origin.clone());
        let until = before.map_or(until, |before| before.until.max(until));
        self.stamp += 1;
        let stamp = self.stamp;
        self.ends.insert((until, key));
        self.changes.insert((stamp, key));
        self.entries.insert(
            key,
            Entry {
                origin,
                until,
                stamp,
            },
        );
        if self.entries.len() > self.max {
            if let Some((_, first)) = self.ends.first().copied() {
                self.remove(first);
            }
        }
    }

    /// Returns what is known of a stream's origin.
    pub fn find(&self, key: Key, now: Duration) -> Found {
        let entry = self.entries.get(&key).filter(|entry| now < entry.until);
        match entry {
            None => Found::Unknown,
            Some(entry) => entry.origin.clone().map_or(Found::Ambiguous, Found::Began),
        }
    }

    /// Returns up to `max` streams that were recorded after a stamp, grouped by origin, and the stamp
    /// after which the next ones follow. Ambiguous ones are left out: whoever was told of each origin
    /// has found them to be so.
    pub fn recorded_since(&self, stamp: u64, max: usize, now: Duration) -> (Vec<Begun>, u64) {
        let mut begun: Vec<Begun> = Vec::new();
        let mut last = stamp;
        let after = (stamp + 1, Key(0));
        for (stamp, key) in self.changes.range(after..).take(max) {
            last = *stamp;
            let Some(entry) = self.entries.get(key).filter(|entry| now < entry.until) else {
                continue;
            };
            let Some(origin) = &entry.origin else {
                continue;
            };
            let left = entry.until.saturating_sub(now).as_millis();
            let keep_ms = u64::try_from(left).unwrap_or(u64::MAX);
            match begun.iter_mut().find(|begun| begun.origin == *origin) {
                Some(same) => {
                    same.keep_ms = same.keep_ms.max(keep_ms);
                    same.keys.push(*key);
                }
                None => begun.push(Begun {
                    origin: origin.clone(),
                    keep_ms,
                    keys: vec![*key],
                }),
            }
        }
        (begun, last)
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no stream is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops the streams that can't be taken up any more.
    fn expire(&mut self, now: Duration) {
        while let Some((until, key)) = self.ends.first().copied() {
            if now < until {
                return;
            }
            self.remove(key);
        }
    }

    fn remove(&mut self, key: Key) -> Option<Entry> {
        let entry = self.entries.remove(&key)?;
        self.ends.remove(&(entry.until, key));
        self.changes.remove(&(entry.stamp, key));
        Some(entry)
    }
}
