//! Rate limits set by endpoints: the requests per second that an endpoint accepts from all boxes
//! together.
//!
//! An overloaded endpoint reports its limit in the headers of its answers for as long as the limit
//! is to apply. Each process keeps the limits that it knows in a [`Book`] and forwards them to
//! others. No box decides alone how much it sends: it needs [`Permits`], which voters issue
//! ([`Issuer`]).

use std::{fmt, num::ParseFloatError, str::FromStr};

use serde::{Deserialize, Serialize};

mod ballot;
mod book;
mod issuer;
mod meter;
mod permit;

pub use book::{Book, Change, Row};
pub use issuer::{Answer, Issuer, Message};
pub use meter::Meter;
pub use permit::{Fallback, Issued, Permits, Stock, Wanted, PERMIT_LIFETIME};

/// The requests per second that an endpoint accepts from all boxes together, in thousandths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Limit(u64);

/// The error for a text that is not a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a limit is a number of requests a second, 0 or more, like `2.5`")
    }
}

impl std::error::Error for Error {}

impl From<ParseFloatError> for Error {
    fn from(_: ParseFloatError) -> Self {
        Self
    }
}

/// The units of a [`Limit`] in one request per second.
const UNITS_PER_REQUEST: f64 = 1000.0;
/// Higher limits are stored as this one, in requests per second; it is too high to have any effect.
const MAX_PER_SECOND: f64 = 1e9;
/// The lowest rate that is enforced, in requests per second. Only an answer shows that a limit has
/// ended, so a request has to be sent now and then, however low the limit is.
const MIN_PER_SECOND: f64 = 0.1;

impl Limit {
    /// Returns the rate to enforce, in requests per second.
    pub fn per_second(self) -> f64 {
        // At most `MAX_PER_SECOND` times `UNITS_PER_REQUEST`, so the cast is exact.
        (self.0 as f64 / UNITS_PER_REQUEST).max(MIN_PER_SECOND)
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        (self.0 as f64 / UNITS_PER_REQUEST).fmt(f)
    }
}

impl FromStr for Limit {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number: f64 = text.trim().parse()?;
        if !number.is_finite() || number.is_sign_negative() {
            return Err(Error);
        }
        Ok(Self(
            (number.min(MAX_PER_SECOND) * UNITS_PER_REQUEST) as u64,
        ))
    }
}

/// What an answer's headers say about a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// There is no limit.
    Absent,
    /// The endpoint accepts requests up to this limit.
    Limit(Limit),
    /// The value is not a limit.
    Invalid,
}

/// Parses the values of the limit header, each a number or a comma-separated list of numbers.
/// Returns the lowest limit if there are several.
pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Parsed {
    let mut parsed = Parsed::Absent;
    for part in values.flat_map(|value| value.split(',')) {
        parsed = match (parsed, part.parse()) {
            (Parsed::Limit(known), Ok(limit)) => Parsed::Limit(known.min(limit)),
            (_, Ok(limit)) => Parsed::Limit(limit),
            (Parsed::Limit(known), Err(Error)) => Parsed::Limit(known),
            (_, Err(Error)) => Parsed::Invalid,
        };
    }
    parsed
}
