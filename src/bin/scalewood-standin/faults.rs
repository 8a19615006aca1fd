//! Faults that tests inject.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The faults in force; set by `POST /standin/faults`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Faults {
    /// Whether `/health` is answered with 503.
    pub(crate) leaving: bool,
    /// The number of streams to break from now on.
    pub(crate) breaks: u32,
    /// The number of tokens after which these streams are broken.
    pub(crate) break_after: u64,
    /// By how many per cent all durations of the settings are lengthened.
    pub(crate) slower: u32,
    /// Whether requests are accepted and never answered.
    pub(crate) hang: bool,
    /// Whether the connection of a plain call is closed after the call has run.
    pub(crate) cut_after_run: bool,
    /// If not 0, all requests are rejected and a backoff of this many milliseconds is asked for.
    pub(crate) rest_ms: u32,
}

impl Faults {
    /// Returns a duration lengthened by `slower` per cent.
    pub(crate) fn slowed(&self, duration: Duration) -> Duration {
        duration + duration * self.slower / 100
    }
}
