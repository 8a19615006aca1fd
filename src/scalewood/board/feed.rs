//! The configuration as it is followed and given on.
//!
//! Voters write what was agreed, entry boxes what they have followed; in both,
//! subscribers are served from here, by differences where these are remembered.

use std::{
    collections::VecDeque,
    sync::{Arc, OnceLock},
};

use tokio::sync::watch;

use crate::core::{change, config, invariant, unit};

/// How many steps are remembered.
const RECENT: usize = 256;
/// How many items all remembered steps may touch together, so that a few large ones take no
/// more memory than a document does.
const RECENT_ITEMS: usize = 20_000;

/// A configuration and the steps that led to it.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The revision; 0 is the empty configuration, which is in force nowhere.
    pub revision: unit::Revision,
    /// The document.
    pub document: Arc<config::Document>,
    recent: VecDeque<Arc<change::Step>>,
    /// The document's text, once it was asked for.
    text: OnceLock<Option<Arc<str>>>,
}

impl State {
    /// The document as JSON. It is made once for all that follow: after a loss of power
    /// hundreds of boxes ask for it at the same moment.
    pub fn text(&self) -> Option<Arc<str>> {
        let text = self.text.get_or_init(|| {
            // A document of plain data always has a text.
            serde_json::to_string(&self.document).ok().map(Arc::from)
        });
        text.clone()
    }

    /// The steps that lead here from a revision, if they are all remembered.
    pub fn since(&self, from: unit::Revision) -> Option<Vec<Arc<change::Step>>> {
        let newer = self.recent.iter().skip_while(|step| step.base < from);
        let newer: Vec<_> = newer.cloned().collect();
        let first = newer.first().map(|step| step.base);
        (first.unwrap_or(self.revision) == from).then_some(newer)
    }

    /// The state after a step.
    fn after(&self, step: change::Step, document: Arc<config::Document>) -> Self {
        let revision = step.revision;
        let mut recent = self.recent.clone();
        recent.push_back(Arc::new(step));
        let mut items: usize = recent.iter().map(|step| step.len()).sum();
        while recent.len() > RECENT || items > RECENT_ITEMS {
            let Some(oldest) = recent.pop_front() else {
                break;
            };
            items -= oldest.len();
        }
        Self {
            revision,
            document,
            recent,
            text: OnceLock::new(),
        }
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
            if revision <= old.revision {
                return None;
            }
            let from = (old.revision, old.document.as_ref());
            if let Some(step) = change::Step::between(from, (revision, &document)) {
                return Some(old.after(step, document));
            }
            Some(State {
                revision,
                document,
                recent: VecDeque::new(),
                text: OnceLock::new(),
            })
        })
    }

    /// Publishes the step to a later revision; false if it does not start here.
    pub fn publish_step(&self, step: change::Step) -> bool {
        self.publish(|old| {
            if step.base != old.revision || step.revision <= old.revision {
                return None;
            }
            let mut document = config::Document::clone(&old.document);
            step.apply(&mut document);
            Some(old.after(step, Arc::new(document)))
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
