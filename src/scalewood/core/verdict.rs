//! Verdicts: whether a failed request may have run.
//!
//! A caller may repeat a request that did not run. So `NotRun` is returned only if the request's
//! bytes can't have reached an endpoint, or if the endpoint itself reported that it refused the
//! request without reading it.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Whether a request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run, so that it is safe to repeat it.
    NotRun,
    /// The request may have run, wholly or in part.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl Verdict {
    /// All verdicts, from the weakest to the strongest.
    pub const ALL: [Verdict; 3] = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];

    /// Returns the text used in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }

    /// Returns the combined verdict of two attempts at one request.
    #[must_use]
    pub fn and(self, other: Verdict) -> Verdict {
        self.max(other)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The error for a text that is not a verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a verdict is one of not-run, may-have-run and ran")
    }
}

impl std::error::Error for Error {}

impl FromStr for Verdict {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let found = Verdict::ALL.into_iter().find(|v| v.as_str() == text);
        found.ok_or(Error)
    }
}
