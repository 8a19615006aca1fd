//! The configuration as it is followed and given on.
//!
//! Voters write what was agreed, entry boxes what they have followed; in both,
//! subscribers are served from here, by differences where these are remembered.

use std::{collections::VecDeque, sync::Arc};

use tokio::sync::watch;

use crate::core::{change, config, invariant, unit};

/// How many revisions' edits are remembered.
const RECENT: usize = 256;

type Edits = Arc<Vec<change::Edit>>;

/// A configuration and the edits that led to it.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The revision; 0 is the empty configuration, which is in force nowhere.
    pub revision: unit::Revision,
    /// The document.
    pub document: Arc<config::Document>,
    recent: VecDeque<(unit::Revision, Edits)>,
}

impl State {
    /// The edits of each revision after `from`, if they are all remembered.
    pub fn since(&self, from: unit::Revision) -> Option<Vec<(unit::Revision, Edits)>> {
        let newer = self.recent.iter().filter(|(revision, _)| *revision > from);
        let newer: Vec<_> = newer.cloned().collect();
        // The difference of two revisions that are kept fits into memory.
        let missing = self.revision.0.checked_sub(from.0)? as usize;
        (newer.len() == missing).then_some(newer)
    }
}

/// The configuration, with a way to wait for a newer one.
#[derive(Debug)]
pub struct Feed {
    sender: watch::Sender<Arc<State>>,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            sender: watch::Sender::new(Arc::default()),
        }
    }
}

impl Feed {
    /// The configuration as it is now.
    pub fn current(&self) -> Arc<State> {
        self.sender.borrow().clone()
    }

    /// Waits for changes.
    pub fn watch(&self) -> watch::Receiver<Arc<State>> {
        self.sender.subscribe()
    }

    /// Publishes a whole document, if it is newer.
    pub fn publish_whole(&self, revision: unit::Revision, document: Arc<config::Document>) -> bool {
        self.publish(|old| {
            let newer = State {
                revision,
                document,
                recent: VecDeque::new(),
            };
            (revision > old.revision).then_some(newer)
        })
    }

    /// Publishes the edits that make the next revision; false if it is not the next.
    pub fn publish_edits(&self, revision: unit::Revision, edits: Vec<change::Edit>) -> bool {
        self.publish(|old| {
            if revision != old.revision.next() {
                return None;
            }
            let mut document = config::Document::clone(&old.document);
            for edit in &edits {
                edit.apply(&mut document);
            }
            let mut recent = old.recent.clone();
            recent.push_back((revision, Arc::new(edits)));
            if recent.len() > RECENT {
                recent.pop_front();
            }
            Some(State {
                revision,
                document: Arc::new(document),
                recent,
            })
        })
    }

    fn publish(&self, make: impl FnOnce(&State) -> Option<State>) -> bool {
        self.sender.send_if_modified(|current| {
            let Some(newer) = make(current) else {
                return false;
            };
            invariant::check(
                newer.revision > current.revision,
                invariant::Rule::RevisionRises,
                || format!("{} follows {}", newer.revision, current.revision),
            );
            *current = Arc::new(newer);
            true
        })
    }
}
