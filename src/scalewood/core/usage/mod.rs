//! Usage accounting: how many requests of each team have begun on endpoints, by time window.
//!
//! - A box counts requests as they begin ([`Tally`]) and reports running totals, so that the loss
//!   of a message loses no counts.
//! - Voters keep the totals that boxes have reported ([`Book`]). They belong to one start of a box,
//!   so a box that switches to another voter is not counted twice.
//! - When a window has ended and its boxes have reported past its end, the voters agree on its
//!   counts ([`Log`]). These never change afterwards, so whichever voter reports a window to the
//!   provider reports the same counts.

use std::{collections::BTreeMap, fmt, num::ParseIntError, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::core::name;

mod book;
mod log;
mod voters;

pub use book::{Book, BoxStart, Changes, Page};
pub use log::{Agreed, Closed, Log};
pub use voters::Voters;

/// The most windows that boxes and voters remember: several times as many as pass until a window is
/// reported.
const MAX_OPEN_WINDOWS: usize = 12;

/// A time window. All windows have the same length and are numbered from the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Window(pub u64);

impl Window {
    /// Returns the window of a time of day in milliseconds since the Unix epoch, or `None` if the
    /// length of windows is zero.
    pub fn at(unix_ms: u64, length: Duration) -> Option<Self> {
        unix_ms.checked_div(millis(length)).map(Self)
    }

    /// Returns its end, in milliseconds since the Unix epoch.
    pub fn end_ms(self, length: Duration) -> u64 {
        (self.0 + 1).saturating_mul(millis(length))
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Window {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

fn millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX)
}

/// The number of requests by team.
pub type Counts = BTreeMap<name::Team, u64>;

/// The running totals of a window, for the teams whose total has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The window.
    #[serde(rename = "w")]
    pub window: Window,
    /// The totals.
    #[serde(rename = "c")]
    pub counts: Counts,
}

/// A usage report of one start of a box.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// A random number drawn at each start of the box.
    #[serde(rename = "s")]
    pub start: u64,
    /// The totals that have changed.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<Row>,
}

/// The requests that a box has counted since it started.
#[derive(Debug)]
pub struct Tally {
    length: Duration,
    windows: BTreeMap<Window, Counts>,
}

impl Tally {
    /// Returns a tally with windows of a length; it counts nothing if the length is zero.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            windows: BTreeMap::new(),
        }
    }

    /// Counts a request that begins at a time of day in milliseconds since the Unix epoch.
    pub fn count(&mut self, team: &name::Team, unix_ms: u64) {
        let Some(window) = Window::at(unix_ms, self.length) else {
            return;
        };
        let counts = self.windows.entry(window).or_default();
        *counts.entry(team.clone()).or_default() += 1;
        while self.windows.len() > MAX_OPEN_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Returns the counts by window.
    pub fn windows(&self) -> &BTreeMap<Window, Counts> {
        &self.windows
    }
}

/// Returns the totals in `counted` that differ from those last `sent` to a receiver.
pub fn difference(sent: &BTreeMap<Window, Counts>, counted: &BTreeMap<Window, Counts>) -> Vec<Row> {
    let rows = counted.iter().map(|(window, counts)| {
        let known = sent.get(window);
        let is_changed = |team: &name::Team, count: u64| {
            known.and_then(|known| known.get(team)).copied() != Some(count)
        };
        let changed = counts
            .iter()
            .filter(|(team, count)| is_changed(team, **count));
        Row {
            window: *window,
            counts: changed
                .map(|(team, count)| (team.clone(), *count))
                .collect(),
        }
    });
    rows.filter(|row| !row.counts.is_empty()).collect()
}
