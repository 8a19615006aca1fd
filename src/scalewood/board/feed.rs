//! The configuration as a process receives it and serves it to others.
//!
//! A voter publishes the committed configuration here, and an entry box the configuration that it
//! received. Both serve subscribers from here: with the steps since a subscriber's revision if all
//! of them are kept, else with the whole document.

use std::sync::{Arc, OnceLock};

use tokio::sync::watch;

use crate::core::{change, config, invariant, recent, unit};

/// The most steps that are kept.
const MAX_STEPS: usize = 256;
/// The size of all kept steps as JSON, in bytes.
const MAX_STEP_BYTES: usize = 2 << 20;

/// A configuration and the latest steps that led to it.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The revision; 0 is the empty configuration of a process that has received none yet.
    pub revision: unit::Revision,
    /// The document.
    pub document: Arc<config::Document>,
    recent: recent::Recent<change::Step, MAX_STEPS, MAX_STEP_BYTES>,
    /// The document as JSON, set at the first request for it.
    text: OnceLock<Option<Arc<str>>>,
}

impl State {
    /// Returns the document as JSON. It is encoded once for all subscribers: after a power failure
    /// hundreds of boxes ask for it at the same moment.
    pub fn json(&self) -> Option<Arc<str>> {
        let text = self.text.get_or_init(|| {
            // Encoding can't fail: a document is plain data.
            serde_json::to_string(&self.document).ok().map(Arc::from)
        });
        text.clone()
    }

    /// Returns the steps from a revision to this one, if all of them are kept.
    pub fn steps_since(&self, from: unit::Revision) -> Option<Vec<Arc<change::Step>>> {
        let newer = self.recent.iter().skip_while(|step| step.base < from);
        let newer: Vec<_> = newer.cloned().collect();
        let first = newer.first().map(|step| step.base);
        (first.unwrap_or(self.revision) == from).then_some(newer)
    }

    /// Returns the state that a step leads to, and drops the oldest steps over the limits.
    fn after(&self, step: change::Step, document: Arc<config::Document>) -> Self {
        let revision = step.revision;
        let mut recent = self.recent.clone();
        recent.push(step);
        Self {
            revision,
            document,
            recent,
            text: OnceLock::new(),
        }
    }
}

/// The current configuration, with notification of newer ones.
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
    /// Returns the current configuration.
    pub fn current(&self) -> Arc<State> {
        self.sender.borrow().clone()
    }

    /// Returns a receiver that is notified of newer configurations.
    pub fn watch(&self) -> watch::Receiver<Arc<State>> {
        self.sender.subscribe()
    }

    /// Publishes a whole document; returns false if it is not newer than the current one.
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
                recent: recent::Recent::default(),
                text: OnceLock::new(),
            })
        })
    }

    /// Publishes a step to a later revision; returns false if it does not start at the current
    /// revision.
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

    /// Replaces the current state with the newer one that `make` returns, if any; returns whether
    /// it did.
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
