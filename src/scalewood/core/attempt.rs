//! Identities of requests and of the attempts to serve them.
//!
//! A request is tried under a new attempt number each time it is queued. Grants,
//! reports and answers all name the attempt, so that one which arrives late, or
//! for an attempt that was given up, is told apart and dropped.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// A request, as the entry box that took it numbers it; random, 64 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Request(pub u64);

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Request {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// One attempt to serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The request that is tried.
    pub request: Request,
    /// Which attempt this is, from 0.
    pub number: u32,
}

impl Attempt {
    /// The first attempt at a request.
    pub fn first(request: Request) -> Self {
        Self { request, number: 0 }
    }

    /// The attempt after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self {
            number: self.number + 1,
            ..self
        }
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}
