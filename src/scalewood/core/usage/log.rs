//! The windows of usage that the voters have agreed on.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use super::{Counts, Window};

/// The rows of agreed windows that the log keeps at most, reported ones being dropped first:
/// some windows of 27,000 teams, a few megabytes.
const MAX_ROWS: usize = 120_000;
/// The agreed windows that the log keeps at most: some minutes, for operators to look at.
const MAX_WINDOWS: usize = 64;

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
