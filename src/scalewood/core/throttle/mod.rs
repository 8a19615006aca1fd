//! Rate limits that endpoints set: requests a second that one takes from all boxes together.
//!
//! An endpoint in need names its limit in the head of its answers, for as long as it wants it
//! kept. What is believed of that is a [`Book`], which each process keeps and tells on. No box may
//! decide by itself how much it sends: it holds [`Permits`], which voters issue ([`Issuer`]).

use std::{fmt, num::ParseFloatError, str::FromStr};

use serde::{Deserialize, Serialize};

mod ballot;
mod book;
mod issuer;
mod meter;
mod permit;

pub use book::{Book, Heard, Row};
pub use issuer::{Answer, Issuer, News};
pub use meter::Meter;
pub use permit::{Alone, Issued, Permits, Stock, Wanted, LIFE};

/// Requests a second that an endpoint takes from all boxes together, in thousandths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Limit(u64);

/// Why a text is no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotALimit;

impl fmt::Display for NotALimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a limit is a number of requests a second, 0 or more, like `2.5`")
    }
}

impl std::error::Error for NotALimit {}

impl From<ParseFloatError> for NotALimit {
    fn from(_: ParseFloatError) -> Self {
        Self
    }
}

/// How many of a limit's units make a request a second.
const UNITS: f64 = 1000.0;
/// The highest limit that is told apart from others; it binds nothing.
const HIGHEST: f64 = 1e9;
/// The lowest limit that is kept to. That a limit has ended is learnt from an answer alone, so
/// one request goes there now and then, however low it is.
const LOWEST: f64 = 0.1;

impl Limit {
    /// Requests a second, as they are kept to.
    pub fn per_second(self) -> f64 {
        // At most `HIGHEST` times `UNITS`, so the cast is exact.
        (self.0 as f64 / UNITS).max(LOWEST)
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        (self.0 as f64 / UNITS).fmt(f)
    }
}

impl FromStr for Limit {
    type Err = NotALimit;

    fn from_str(text: &str) -> Result<Self, NotALimit> {
        let number: f64 = text.trim().parse()?;
        if !number.is_finite() || number.is_sign_negative() {
            return Err(NotALimit);
        }
        Ok(Self((number.min(HIGHEST) * UNITS) as u64))
    }
}

/// What an answer's head says of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// Nothing.
    Nothing,
    /// The endpoint takes so much.
    Limit(Limit),
    /// Something that is no limit.
    Unreadable,
}

/// Reads the values of a header that names a limit, each a number or a list of them. Of several
/// the lowest counts.
pub fn read<'a>(values: impl Iterator<Item = &'a str>) -> Said {
    let mut said = Said::Nothing;
    for part in values.flat_map(|value| value.split(',')) {
        said = match (said, part.parse()) {
            (Said::Limit(known), Ok(limit)) => Said::Limit(known.min(limit)),
            (_, Ok(limit)) => Said::Limit(limit),
            (Said::Limit(known), Err(NotALimit)) => Said::Limit(known),
            (_, Err(NotALimit)) => Said::Unreadable,
        };
    }
    said
}
