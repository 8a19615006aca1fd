//! Identifiers of requests and of the attempts to serve them.
//!
//! A request gets a new attempt number each time it is queued. Grants, reports and answers all
//! name the attempt, so that a late one, or one for an abandoned attempt, is recognized and
//! dropped.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// A request's identifier: 64 random bits, drawn by the entry box that accepted it.
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
    /// The request.
    pub request: Request,
    /// The number of the attempt, from 0.
    pub number: u32,
}

impl Attempt {
    /// Returns the first attempt at a request.
    pub fn first(request: Request) -> Self {
        Self { request, number: 0 }
    }

    /// Returns the attempt after this one.
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
