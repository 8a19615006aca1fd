//! What makes two requests the same one: path, caller and body, as the caller sent them.
//!
//! A request's id is new with each arrival, and what an endpoint gets of it may differ from one
//! attempt to the next (what is left of its time, what was delivered before). Its fingerprint is
//! the same at each arrival, at each box. The caller is a part of it, so nobody can send what
//! counts as another team's request.

use std::{fmt, ops::RangeInclusive, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// Hexadecimal digits of each part.
const DIGITS: usize = 16;

/// What a request is sent under, without its body. The host is left out: callers that name a box
/// send another one to each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head<'a> {
    /// The team that asks.
    pub team: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The path with its query.
    pub target: &'a str,
}

/// The hash of a request's head and of its body's length: cheap, and different for almost all
/// requests, so that a body is read only where it matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeadHash(u64);

impl HeadHash {
    /// The hash of a head with a body of so many bytes.
    pub fn of(head: &Head<'_>, length: usize) -> Self {
        let mut hash = sha2::Sha256::new();
        for part in [head.team, head.method, head.target] {
            // Each part with its length, so that none can run over into the next.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update((length as u64).to_be_bytes());
        Self(leading(&hash.finalize()))
    }
}

/// A request's fingerprint: 128 bits of SHA-256, written as two parts of 16 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Fingerprint {
    head: HeadHash,
    body: u64,
}

impl Fingerprint {
    /// The fingerprint of a request. Reading a body of 4 MiB takes some 3 ms of a core with
    /// SHA instructions.
    pub fn of(head: HeadHash, body: &[u8]) -> Self {
        Self {
            head,
            body: leading(&sha2::Sha256::digest(body)),
        }
    }

    /// All fingerprints of requests with a head.
    pub fn all_of(head: HeadHash) -> RangeInclusive<Self> {
        Self { head, body: 0 }..=Self {
            head,
            body: u64::MAX,
        }
    }
}

/// The first 64 bits of a hash.
fn leading(hash: &[u8]) -> u64 {
    let first = hash.first_chunk().expect("a SHA-256 has 32 bytes");
    u64::from_be_bytes(*first)
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.head.0, self.body)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({self})")
    }
}

/// A text that is no fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a fingerprint is two parts of 16 hexadecimal digits with a dash between")
    }
}

impl std::error::Error for Error {}

impl FromStr for Fingerprint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (head, body) = text.split_once('-').ok_or(Error)?;
        Ok(Self {
            head: HeadHash(part(head)?),
            body: part(body)?,
        })
    }
}

fn part(text: &str) -> Result<u64, Error> {
    let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != DIGITS || !is_hex {
        return Err(Error);
    }
    u64::from_str_radix(text, 16).map_err(|_| Error)
}

impl TryFrom<String> for Fingerprint {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_string()
    }
}
