//! What boxes have told a voter of their usage.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Deserialize, Serialize};

use super::{Counts, Row, Window, MAX_OPEN};
use crate::core::name;

/// The starts of boxes that a voter remembers: several times as many as boxes run.
const MAX_SOURCES: usize = 2048;

/// One start of a box.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Source {
    /// The box.
    pub name: name::Box,
    /// Drawn at each of its starts.
    pub start: u64,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.name, self.start)
    }
}

/// What has changed in a book of one start of a box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The start.
    pub source: Source,
    /// When it was last heard, by the agreed time of day.
    pub heard_ms: u64,
    /// What has changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<Row>,
}

/// What has changed in a book since a stamp.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The stamp to ask after next.
    pub stamp: u64,
    /// What has changed.
    pub pages: Vec<Page>,
}

#[derive(Debug, Default)]
struct Entry {
    heard_ms: u64,
    /// When it was last heard or changed, in the book's own count.
    stamp: u64,
    /// Totals, each with the stamp of its last change.
    windows: BTreeMap<Window, BTreeMap<name::Team, (u64, u64)>>,
}

/// What boxes have told a voter of their usage.
#[derive(Debug, Default)]
pub struct Book {
    sources: BTreeMap<Source, Entry>,
    stamp: u64,
}

impl Book {
    /// Takes what one start of a box has told, or another voter was told by it.
    pub fn take(&mut self, page: Page) {
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
        while entry.windows.len() > MAX_OPEN {
            entry.windows.pop_first();
        }
        if self.sources.len() > MAX_SOURCES {
            self.forget_oldest();
        }
    }

    /// Forgets the start that was heard the longest ago.
    fn forget_oldest(&mut self) {
        let oldest = self.sources.iter().min_by_key(|(_, entry)| entry.heard_ms);
        if let Some(source) = oldest.map(|(source, _)| source.clone()) {
            self.sources.remove(&source);
        }
    }

    /// What has changed since a stamp; everything since 0.
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

    /// Windows of which anything is known.
    pub fn windows(&self) -> BTreeSet<Window> {
        let windows = self.sources.values().flat_map(|e| e.windows.keys());
        windows.copied().collect()
    }

    /// The sum over all boxes of a window.
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

    /// The starts that were heard since `running_ms` and not since `end_ms`: they may have
    /// counted more. A start after which its box has started again counts no more.
    pub fn behind(&self, running_ms: u64, end_ms: u64) -> Vec<(Source, u64)> {
        let mut latest: BTreeMap<&name::Box, u64> = BTreeMap::new();
        for (source, entry) in &self.sources {
            let heard = latest.entry(&source.name).or_default();
            *heard = entry.heard_ms.max(*heard);
        }
        let behind = self.sources.iter().filter(|(source, entry)| {
            let is_latest = latest.get(&source.name) == Some(&entry.heard_ms);
            is_latest && entry.heard_ms >= running_ms && entry.heard_ms < end_ms
        });
        behind
            .map(|(source, e)| (source.clone(), e.heard_ms))
            .collect()
    }

    /// Forgets windows up to one, and the starts that have nothing left and were not heard
    /// since `running_ms`.
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
