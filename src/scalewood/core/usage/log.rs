//! The usage windows on whose counts the voters have agreed.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use super::{Counts, Window};

/// The most rows that the log keeps, a row being the count of one team in one window. This is
/// enough for some windows of 27,000 teams and takes a few megabytes. Windows known to be reported
/// are dropped first.
const MAX_ROWS: usize = 120_000;
/// The most windows that the log keeps: some minutes, for operators to look at.
const MAX_WINDOWS: usize = 64;

/// The counts of a window that has ended, as proposed to the voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Closed {
    /// The window.
    pub window: Window,
    /// Its counts.
    pub counts: Arc<Counts>,
    /// Windows that the provider has accepted since the last proposal.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub reported: BTreeSet<Window>,
}

/// A window on whose counts the voters have agreed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreed {
    /// Its counts.
    pub counts: Arc<Counts>,
    /// Whether the provider is known to have accepted it.
    #[serde(default)]
    pub reported: bool,
}

/// The usage windows on whose counts the voters have agreed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Log {
    windows: BTreeMap<Window, Agreed>,
    /// The latest window that was dropped.
    dropped: Option<Window>,
}

impl Log {
    /// Records the counts of a window. The first counts of a window are final; later ones are
    /// ignored.
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

    /// Returns whether the counts of a window have been agreed on, also if the window was dropped
    /// since.
    pub fn is_closed(&self, window: Window) -> bool {
        self.dropped.is_some_and(|last| window <= last) || self.windows.contains_key(&window)
    }

    /// Returns the latest window that the log keeps.
    pub fn last(&self) -> Option<Window> {
        self.windows.keys().next_back().copied()
    }

    /// Returns the windows that the log keeps, the oldest first.
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
