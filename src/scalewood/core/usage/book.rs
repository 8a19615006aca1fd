//! The usage that boxes have reported to a voter.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Deserialize, Serialize};

use super::{Counts, Row, Window, MAX_OPEN_WINDOWS};
use crate::core::name;

/// The most starts of boxes that a voter remembers: several times the number of boxes.
const MAX_SOURCES: usize = 2048;

/// One start of a box.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BoxStart {
    /// The box.
    pub name: name::Box,
    /// A random number drawn at each start of the box.
    pub start: u64,
}

impl fmt::Display for BoxStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.name, self.start)
    }
}

/// The changes in a book that concern one start of a box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The start.
    pub source: BoxStart,
    /// When it last reported, in milliseconds since the Unix epoch by the agreed time of day.
    pub heard_ms: u64,
    /// The totals that have changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<Row>,
}

/// The changes in a book since a stamp.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The stamp to use in the next request.
    pub stamp: u64,
    /// The changes by start of a box.
    pub pages: Vec<Page>,
}

#[derive(Debug, Default)]
struct Entry {
    heard_ms: u64,
    /// The book's stamp at its last report.
    stamp: u64,
    /// Running totals by window and team, each with the stamp of its last change.
    windows: BTreeMap<Window, BTreeMap<name::Team, (u64, u64)>>,
}

/// The usage that boxes have reported to a voter.
#[derive(Debug, Default)]
pub struct Book {
    sources: BTreeMap<BoxStart, Entry>,
    stamp: u64,
}

impl Book {
    /// Records the totals of one start of a box, reported by the box or forwarded by another voter.
    pub fn merge(&mut self, page: Page) {
        self.stamp += 1;
        let stamp = self.stamp;
        let entry = self.sources.entry(page.source).or_default();
        entry.heard_ms = entry.heard_ms.max(page.heard_ms);
        entry.stamp = stamp;
        for row in page.rows {
            let window = entry.windows.entry(row.window).or_default();
            for (team, count) in row.counts {
                let (known, changed) = window.entry(team).or_default();
                if count > *known {
                    (*known, *changed) = (count, stamp);
                }
            }
        }
        while entry.windows.len() > MAX_OPEN_WINDOWS {
            entry.windows.pop_first();
        }
        if self.sources.len() > MAX_SOURCES {
            self.remove_oldest();
        }
    }

    /// Removes the start that has not reported for the longest time.
    fn remove_oldest(&mut self) {
        let oldest = self.sources.iter().min_by_key(|(_, entry)| entry.heard_ms);
        if let Some(source) = oldest.map(|(source, _)| source.clone()) {
            self.sources.remove(&source);
        }
    }

    /// Returns the changes since a stamp; everything since 0.
    pub fn changed_since(&self, stamp: u64) -> Changes {
        let changed = self.sources.iter().filter(|(_, e)| e.stamp > stamp);
        let pages = changed.map(|(source, entry)| Page {
            source: source.clone(),
            heard_ms: entry.heard_ms,
            rows: entry.rows_since(stamp),
        });
        Changes {
            stamp: self.stamp,
            pages: pages.collect(),
        }
    }

    /// Returns the windows that have any totals.
    pub fn windows(&self) -> BTreeSet<Window> {
        let windows = self.sources.values().flat_map(|e| e.windows.keys());
        windows.copied().collect()
    }

    /// Returns the sums of all boxes' totals in a window.
    pub fn totals(&self, window: Window) -> Counts {
        let mut totals = Counts::new();
        let entries = self.sources.values();
        for teams in entries.filter_map(|entry| entry.windows.get(&window)) {
            for (team, (count, _)) in teams {
                *totals.entry(team.clone()).or_default() += count;
            }
        }
        totals
    }

    /// Returns the starts that last reported at or after `running_ms` but before `end_ms`, with the
    /// time of that report: they may have counted more since. Only the latest start of each box is
    /// included, as earlier ones no longer count requests.
    pub fn lagging(&self, running_ms: u64, end_ms: u64) -> Vec<(BoxStart, u64)> {
        let mut latest: BTreeMap<&name::Box, u64> = BTreeMap::new();
        for (source, entry) in &self.sources {
            let latest_ms = latest.entry(&source.name).or_default();
            *latest_ms = entry.heard_ms.max(*latest_ms);
        }
        let behind = self.sources.iter().filter(|(source, entry)| {
            let is_latest = latest.get(&source.name) == Some(&entry.heard_ms);
            is_latest && entry.heard_ms >= running_ms && entry.heard_ms < end_ms
        });
        behind
            .map(|(source, e)| (source.clone(), e.heard_ms))
            .collect()
    }

    /// Removes the windows up to `up_to`, and the starts that have no windows left and have not
    /// reported since `running_ms`.
    pub fn forget(&mut self, up_to: Window, running_ms: u64) {
        for entry in self.sources.values_mut() {
            entry.windows = entry.windows.split_off(&Window(up_to.0 + 1));
        }
        let is_used = |e: &Entry| !e.windows.is_empty() || e.heard_ms >= running_ms;
        self.sources.retain(|_, entry| is_used(entry));
    }
}

impl Entry {
    fn rows_since(&self, stamp: u64) -> Vec<Row> {
        let rows = self.windows.iter().map(|(window, teams)| {
            let changed = teams.iter().filter(|(_, (_, at))| *at > stamp);
            Row {
                window: *window,
                counts: changed
                    .map(|(team, (count, _))| (team.clone(), *count))
                    .collect(),
            }
        });
        rows.filter(|row| !row.counts.is_empty()).collect()
    }
}
