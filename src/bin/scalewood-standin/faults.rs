//! Faults that a test asks for.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The faults in force; set by `POST /standin/faults`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Faults {
    /// Answers `/health` with 503.
    pub(crate) leaving: bool,
    /// How many streams are broken off from now on.
    pub(crate) breaks: u32,
    /// After how many tokens these are broken off.
    pub(crate) break_after: u64,
    /// How much slower it is than its settings say, in per cent on top.
    pub(crate) slower: u32,
    /// Whether it takes requests and never answers.
    pub(crate) hang: bool,
    /// Whether plain calls run, and then the connection is cut.
    pub(crate) cut_after_run: bool,
    /// Turns all away and asks for so many milliseconds of rest; 0 is none.
    pub(crate) rest_ms: u32,
}

impl Faults {
    /// A duration, lengthened for slowness.
    pub(crate) fn slowed(&self, duration: Duration) -> Duration {
        duration + duration * self.slower / 100
    }
}
