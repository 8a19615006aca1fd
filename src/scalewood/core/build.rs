//! Builds: versions of the software that endpoints run.
//!
//! Endpoints of several builds may serve one service. What they write does not fit together, so a
//! stream goes on only at the build that began it. Builds have no order.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// The longest name of a build, in bytes.
const MAX_LEN: usize = 64;

/// The version of an endpoint's software, as the endpoint states it. Endpoints that state none
/// count as being of one build, which differs from all stated ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Build(Option<Arc<str>>);

impl Build {
    /// Returns whether no build was stated.
    pub fn is_unstated(&self) -> bool {
        self.0.is_none()
    }
}

/// The error for a text that is not the name of a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "not the name of a build: use 1 to {MAX_LEN} visible ASCII characters"
        )
    }
}

impl std::error::Error for Error {}

impl FromStr for Build {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let is_valid = !text.is_empty()
            && text.len() <= MAX_LEN
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        is_valid.then(|| Self(Some(text.into()))).ok_or(Error)
    }
}

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.as_deref().unwrap_or_default())
    }
}

impl TryFrom<String> for Build {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        if text.is_empty() {
            return Ok(Self::default());
        }
        text.parse()
    }
}

impl From<Build> for String {
    fn from(build: Build) -> String {
        build.to_string()
    }
}
