//! Usage: how many requests of each team endpoints have begun, window by window.
//!
//! - A box counts requests as they begin (`Tally`) and tells running totals, so that a
//!   message that is lost loses nothing.
//! - Voters keep what boxes have told (`Book`). The totals belong to one start of a box, so a
//!   box that goes to another voter is not counted twice.
//! - Once a window is over and its boxes have told beyond its end, the voters agree on its
//!   counts (`Log`). What was agreed is never changed: whoever reports a window reports that.

use std::{collections::BTreeMap, fmt, num::ParseIntError, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::core::name;

mod book;
mod log;
mod voters;

pub use book::{Book, Changes, Page, Source};
pub use log::{Agreed, Closed, Log};
pub use voters::Voters;

/// The windows that boxes and voters remember: several times as many as a report may take.
const MAX_OPEN: usize = 12;

/// A window of time of the same length as all others; the number counts from the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Window(pub u64);

impl Window {
    /// The window of a time of day in milliseconds; nothing if windows have no length.
    pub fn at(unix_ms: u64, length: Duration) -> Option<Self> {
        unix_ms.checked_div(millis(length)).map(Self)
    }

    /// When it ends, in milliseconds since the Unix epoch.
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

/// Requests by team.
pub type Counts = BTreeMap<name::Team, u64>;

/// Running totals of a window: those of the teams that have changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The window.
    #[serde(rename = "w")]
    pub window: Window,
    /// The totals.
    #[serde(rename = "c")]
    pub counts: Counts,
}

/// What one start of a box tells of its usage.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Drawn at each start of the box.
    #[serde(rename = "s")]
    pub start: u64,
    /// What has changed.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<Row>,
}

/// What a box has counted since it started.
#[derive(Debug)]
pub struct Tally {
    length: Duration,
    windows: BTreeMap<Window, Counts>,
}

impl Tally {
    /// Counts in windows of a length; nothing where it is zero.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            windows: BTreeMap::new(),
        }
    }

    /// Counts a request that begins.
    pub fn count(&mut self, team: &name::Team, unix_ms: u64) {
        let Some(window) = Window::at(unix_ms, self.length) else {
            return;
        };
        let counts = self.windows.entry(window).or_default();
        *counts.entry(team.clone()).or_default() += 1;
        while self.windows.len() > MAX_OPEN {
            self.windows.pop_first();
        }
    }

    /// What it has counted, by window.
    pub fn windows(&self) -> &BTreeMap<Window, Counts> {
        &self.windows
    }
}

/// The rows that one who knows `told` lacks of `counted`.
pub fn difference(told: &BTreeMap<Window, Counts>, counted: &BTreeMap<Window, Counts>) -> Vec<Row> {
    let rows = counted.iter().map(|(window, counts)| {
        let known = told.get(window);
        let is_news = |team: &name::Team, count: u64| {
            known.and_then(|known| known.get(team)).copied() != Some(count)
        };
        let changed = counts.iter().filter(|(team, count)| is_news(team, **count));
        Row {
            window: *window,
            counts: changed
                .map(|(team, count)| (team.clone(), *count))
                .collect(),
        }
    });
    rows.filter(|row| !row.counts.is_empty()).collect()
}
