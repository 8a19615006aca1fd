//! Types for quantities: sizes, counts, rates and ranks.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    )*};
}

counts! {
    /// The rank of a class: 0 is the highest tier, larger numbers are lower.
    Tier(u8);
    /// The number of an accepted configuration; it only increases.
    Revision(u64);
    /// A number of model tokens.
    Tokens(u64);
    /// The number of requests that an endpoint runs concurrently.
    Slots(u32);
    /// The number of a start of a box or an endpoint; it increases with each restart.
    Incarnation(u64);
}

impl Incarnation {
    /// Returns the latest earlier incarnation, if there can be one.
    pub fn previous(self) -> Option<Self> {
        self.0.checked_sub(1).map(Self)
    }
}

/// The lowest tier that can be configured.
pub const LOWEST_TIER: Tier = Tier(15);

impl Tier {
    /// Returns whether this tier ranks above `other`.
    pub fn outranks(self, other: Tier) -> bool {
        self.0 < other.0
    }
}

impl Revision {
    /// Returns the next revision.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A rate in events per second; finite and not negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

/// A fraction of a whole, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

/// The error for a number or text that is not a valid quantity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(&'static str);

impl Error {
    /// Returns the error for a text that is not a duration.
    pub(crate) fn duration() -> Self {
        Self("a duration is a whole number with ms, s, m or h, like `500ms`")
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Error {}

macro_rules! fractions {
    ($($name:ident, $low:literal ..= $high:expr, $why:literal;)*) => {$(
        impl $name {
            /// Returns the value as a plain number.
            pub fn get(self) -> f64 {
                self.0
            }
        }

        impl TryFrom<f64> for $name {
            type Error = Error;

            fn try_from(value: f64) -> Result<Self, Error> {
                if ($low..=$high).contains(&value) {
                    return Ok(Self(value));
                }
                Err(Error($why))
            }
        }

        impl From<$name> for f64 {
            fn from(value: $name) -> f64 {
                value.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                text.parse::<f64>().map_err(|_| Error($why))?.try_into()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

fractions! {
    Rate, 0.0..=f64::MAX, "a rate is a number of 0 or more, for each second";
    Share, 0.0..=1.0, "a share is a number from 0 to 1";
}

/// A size in bytes, written like `64KiB` or `1MiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub usize);

/// The units of a size, the largest first.
const SIZE_UNITS: [(&str, usize); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl FromStr for Size {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        const ERROR: Error = Error("a size is a whole number with B, KiB, MiB or GiB, like `1MiB`");
        let unit = SIZE_UNITS.iter().find(|(suffix, _)| text.ends_with(suffix));
        let (suffix, factor) = unit.ok_or(ERROR)?;
        let digits = text.trim_end_matches(suffix).trim_end();
        let count: usize = digits.parse().map_err(|_| ERROR)?;
        count.checked_mul(*factor).map(Self).ok_or(ERROR)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fits =
            |(_, factor): &&(&str, usize)| self.0 >= *factor && self.0.is_multiple_of(*factor);
        let (suffix, factor) = SIZE_UNITS.iter().find(fits).unwrap_or(&("B", 1));
        write!(f, "{}{suffix}", self.0 / factor)
    }
}
