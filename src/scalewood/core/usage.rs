//! Usage: how many requests of each team endpoints have begun, window by window.
//!
//! - A box counts requests as they begin (`Tally`) and tells running totals, so that a
//!   message that is lost loses nothing.
//! - Voters keep what boxes have told (`Book`). The totals belong to one start of a box, so a
//!   box that goes to another voter is not counted twice.
//! - Once a window is over and its boxes have told beyond its end, the voters agree on its
//!   counts (`Log`). What was agreed is never changed: whoever reports a window reports that.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    num::ParseIntError,
    str::FromStr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::name;

/// The windows that boxes and voters remember: several times as many as a report may take.
const MAX_OPEN: usize = 12;
/// The starts of boxes that a voter remembers: several times as many as boxes run.
const MAX_SOURCES: usize = 2048;
/// The rows of agreed windows that the log keeps at most, reported ones being dropped first:
/// some windows of 27,000 teams, a few megabytes.
const MAX_ROWS: usize = 120_000;
/// The agreed windows that the log keeps at most: some minutes, for operators to look at.
const MAX_WINDOWS: usize = 64;

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

/// How long a voter that is no member any more may come back: most cuts are shorter.
const REMEMBERED: Duration = Duration::from_secs(15);

/// A voter, as the holder hears it.
#[derive(Clone, Copy, Debug, Default)]
struct Voter {
    /// When it was a member last.
    member: Duration,
    /// When it has answered last, if it has.
    answered: Option<Duration>,
}

/// The other voters, which the holder asks for what their boxes have told.
#[derive(Debug, Default)]
pub struct Voters {
    /// Whether all have been asked since this voter leads.
    asked: bool,
    known: BTreeMap<name::Box, Voter>,
}

impl Voters {
    /// Notes a round of questions: the members, and whether each has answered.
    pub fn note<'a>(&mut self, round: impl Iterator<Item = (&'a name::Box, bool)>, now: Duration) {
        self.asked = true;
        for (name, has_answered) in round {
            let voter = self.known.entry(name.clone()).or_default();
            voter.member = now;
            voter.answered = has_answered.then_some(now).or(voter.answered);
        }
        // A voter that is cut off is soon no member, and comes back with what it was told.
        self.known
            .retain(|_, voter| voter.member + REMEMBERED >= now);
    }

    /// The voters that have not answered since a time: what their boxes have counted until then
    /// may not be known here. One that is cut off comes back with it; the boxes of one that has
    /// died tell another one. Nothing before the first round: then nobody was heard.
    pub fn unheard_since(&self, time: Duration) -> Option<Vec<name::Box>> {
        let is_unheard = |voter: &Voter| voter.answered.is_none_or(|at| at < time);
        let unheard = self.known.iter().filter(|(_, voter)| is_unheard(voter));
        let unheard = unheard.map(|(name, _)| name.clone()).collect();
        self.asked.then_some(unheard)
    }
}

/// The counts of a window that is over, to be agreed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Closed {
    /// The window.
    pub window: Window,
    /// Its counts.
    pub counts: Arc<Counts>,
    /// Windows that the provider has taken meanwhile.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub reported: BTreeSet<Window>,
}

/// A window that was agreed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreed {
    /// Its counts.
    pub counts: Arc<Counts>,
    /// Whether the provider is known to have taken it.
    #[serde(default)]
    pub reported: bool,
}

/// The windows that the voters have agreed on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Log {
    windows: BTreeMap<Window, Agreed>,
    /// The last window that was dropped.
    dropped: Option<Window>,
}

impl Log {
    /// Takes the counts of a window, unless some were agreed on before: the first ones hold.
    pub fn close(&mut self, closed: &Closed) {
        for window in &closed.reported {
            if let Some(agreed) = self.windows.get_mut(window) {
                agreed.reported = true;
            }
        }
        if self.is_closed(closed.window) {
            return;
        }
        let agreed = Agreed {
            counts: closed.counts.clone(),
            reported: false,
        };
        self.windows.insert(closed.window, agreed);
        while self.windows.len() > 1 && self.is_too_large() {
            self.drop_one();
        }
    }

    /// Whether the counts of a window are agreed on, or were.
    pub fn is_closed(&self, window: Window) -> bool {
        self.dropped.is_some_and(|last| window <= last) || self.windows.contains_key(&window)
    }

    /// The last window that was agreed on, of those that are kept.
    pub fn last(&self) -> Option<Window> {
        self.windows.keys().next_back().copied()
    }

    /// The windows that are kept, the oldest first.
    pub fn windows(&self) -> &BTreeMap<Window, Agreed> {
        &self.windows
    }

    fn is_too_large(&self) -> bool {
        let rows: usize = self.windows.values().map(|w| w.counts.len()).sum();
        self.windows.len() > MAX_WINDOWS || rows > MAX_ROWS
    }

    fn drop_one(&mut self) {
        let reported = self.windows.iter().find(|(_, agreed)| agreed.reported);
        let oldest = reported.or_else(|| self.windows.iter().next());
        if let Some(window) = oldest.map(|(window, _)| *window) {
            self.windows.remove(&window);
            self.dropped = self.dropped.max(Some(window));
        }
    }
}
