//! Which starts of endpoints have ended.
//!
//! A mark says of a name up to which start all have ended; it only rises, so marks merge in any
//! order. Starts that do not tell their incarnation count as one, before all that do.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::changes::{Changes, Span};
use crate::core::{name, unit};

/// Which start of an endpoint this is; `None` is one that does not tell.
pub type Start = Option<unit::Incarnation>;

/// A start that has ended, and all before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The endpoint.
    pub name: name::Endpoint,
    /// The start.
    pub incarnation: unit::Incarnation,
}

/// The most names of which is remembered what has ended, at some 200 B each: an endpoint whose mark
/// is forgotten too early comes back with a record that another process still tells.
const MAX: usize = 32_768;

#[derive(Clone, Copy, Debug)]
struct Mark {
    /// Up to this start, all have ended.
    up_to: Start,
    /// The registry's stamp of that, 0 if it isn't told on.
    stamp: u64,
    /// The stamp of the leave at which no start was known.
    unnamed: u64,
    /// The start that was known when the endpoint was forgotten.
    forgotten: Start,
}

/// The marks of all names.
#[derive(Clone, Debug, Default)]
pub(super) struct Marks {
    marks: BTreeMap<name::Endpoint, Mark>,
    /// The names by the stamps of their marks, of those that are told on.
    changes: Changes,
    /// The names by the stamps of the leaves at which no start was known.
    unnamed: Changes,
    order: VecDeque<name::Endpoint>,
}

impl Marks {
    /// Whether a start has ended.
    pub(super) fn has(&self, name: &name::Endpoint, start: Start) -> bool {
        self.marks.get(name).is_some_and(|mark| start <= mark.up_to)
    }

    /// Whether an endpoint said that a start of it has ended, or another process did.
    pub(super) fn is_told(&self, name: &name::Endpoint) -> bool {
        self.marks.get(name).is_some_and(|mark| mark.stamp > 0)
    }

    /// Raises the mark of an endpoint; tells whether it was lower. With stamp 0 others aren't told.
    pub(super) fn raise(&mut self, name: &name::Endpoint, up_to: Start, stamp: u64) -> bool {
        if let Some(mark) = self.marks.get_mut(name) {
            let is_new = mark.up_to < up_to;
            if is_new {
                mark.up_to = up_to;
                if stamp > mark.stamp {
                    self.changes.note(Some(mark.stamp), stamp, name);
                    mark.stamp = stamp;
                }
            }
            return is_new;
        }
        let mark = Mark {
            up_to,
            stamp,
            unnamed: 0,
            forgotten: None,
        };
        self.order.push_back(name.clone());
        self.marks.insert(name.clone(), mark);
        if stamp > 0 {
            self.changes.note(None, stamp, name);
        }
        if self.order.len() > MAX {
            self.forget_oldest();
        }
        true
    }

    fn forget_oldest(&mut self) {
        let oldest = self.order.pop_front();
        let mark = oldest.and_then(|oldest| self.marks.remove(&oldest));
        if let Some(mark) = mark {
            self.changes.forget(mark.stamp);
            self.unnamed.forget(mark.unnamed);
        }
    }

    /// Notes that an endpoint is forgotten that was not heard of. Its start may be heard of
    /// again; those before it may not: a voter that was held up may tell them long after.
    pub(super) fn forget(&mut self, name: &name::Endpoint, start: unit::Incarnation) {
        if let Some(before) = start.before() {
            self.raise(name, Some(before), 0);
        }
        if let Some(mark) = self.marks.get_mut(name) {
            mark.forgotten = Some(start);
        }
    }

    /// The start of an endpoint that was known when it was forgotten.
    pub(super) fn forgotten(&self, name: &name::Endpoint) -> Start {
        self.marks.get(name)?.forgotten
    }

    /// Notes a leave at which no start was known.
    pub(super) fn note_unnamed(&mut self, name: &name::Endpoint, stamp: u64) {
        if let Some(mark) = self.marks.get_mut(name) {
            self.unnamed.note(Some(mark.unnamed), stamp, name);
            mark.unnamed = stamp;
        }
    }

    /// The stamp of the last of so many ends after a stamp, where there are more.
    pub(super) fn stamp_after(&self, stamp: u64, count: usize) -> Option<u64> {
        self.changes.stamp_after(stamp, count)
    }

    /// The endpoints of which a start ended after a stamp.
    pub(super) fn names_since(&self, span: Span) -> Vec<name::Endpoint> {
        self.changes.since(span).cloned().collect()
    }

    /// The starts that ended after a stamp, of those that told their incarnation.
    pub(super) fn since(&self, span: Span) -> Vec<Ended> {
        let ended = self.changes.since(span).filter_map(|name| {
            Some(Ended {
                name: name.clone(),
                incarnation: self.marks.get(name)?.up_to?,
            })
        });
        ended.collect()
    }

    /// The endpoints that left after a stamp while no start of theirs was known.
    pub(super) fn unnamed_since(&self, span: Span) -> Vec<name::Endpoint> {
        self.unnamed.since(span).cloned().collect()
    }
}
