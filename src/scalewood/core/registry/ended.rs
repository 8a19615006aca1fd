//! Which starts of endpoints have ended.
//!
//! A start is one run of an endpoint's process, identified by its incarnation. An endpoint's mark
//! is the latest start that has ended; all earlier ones have ended too. Marks only rise, so they
//! can be merged in any order. Starts without a reported incarnation count as one start, before
//! all others.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::changes::{Changes, StampRange};
use crate::core::{name, unit};

/// A start of an endpoint, or `None` if it reports no incarnation.
pub type Start = Option<unit::Incarnation>;

/// A start that has ended, and with it all earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The endpoint.
    pub name: name::Endpoint,
    /// The incarnation of the start.
    pub incarnation: unit::Incarnation,
}

/// The most endpoints whose marks are kept, at some 200 B each. If a mark is dropped too early,
/// the endpoint reappears through a record that another process still sends.
const MAX_MARKS: usize = 32_768;

#[derive(Clone, Copy, Debug)]
struct Mark {
    /// The latest start that has ended.
    up_to: Start,
    /// The registry's stamp at that change, or 0 if the mark is not sent to other processes.
    stamp: u64,
    /// The registry's stamp when the endpoint left while no start of it was known, or 0.
    without_start: u64,
    /// The start that was known when the endpoint was forgotten for its silence.
    forgotten: Start,
}

/// The marks of all endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct Marks {
    marks: BTreeMap<name::Endpoint, Mark>,
    /// The endpoints by the stamps of those marks that are sent to others.
    changes: Changes,
    /// The endpoints that left while no start of them was known, by the stamp at which they did.
    without_start: Changes,
    /// The endpoints in the order in which their marks were created.
    order: VecDeque<name::Endpoint>,
}

impl Marks {
    /// Returns whether a start has ended.
    pub(super) fn has_ended(&self, name: &name::Endpoint, start: Start) -> bool {
        self.marks.get(name).is_some_and(|mark| start <= mark.up_to)
    }

    /// Returns whether the end of a start was announced, by the endpoint or by another process.
    pub(super) fn is_announced(&self, name: &name::Endpoint) -> bool {
        self.marks.get(name).is_some_and(|mark| mark.stamp > 0)
    }

    /// Raises an endpoint's mark; returns whether it was lower. With stamp 0 the mark is not sent
    /// to others.
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
            without_start: 0,
            forgotten: None,
        };
        self.order.push_back(name.clone());
        self.marks.insert(name.clone(), mark);
        if stamp > 0 {
            self.changes.note(None, stamp, name);
        }
        if self.order.len() > MAX_MARKS {
            self.forget_oldest();
        }
        true
    }

    fn forget_oldest(&mut self) {
        let oldest = self.order.pop_front();
        let mark = oldest.and_then(|oldest| self.marks.remove(&oldest));
        if let Some(mark) = mark {
            self.changes.forget(mark.stamp);
            self.without_start.forget(mark.without_start);
        }
    }

    /// Records that an endpoint was forgotten for its silence. Its start may reappear, but no
    /// earlier one may: a delayed voter may still send those long after.
    pub(super) fn forget(&mut self, name: &name::Endpoint, start: unit::Incarnation) {
        if let Some(before) = start.previous() {
            self.raise(name, Some(before), 0);
        }
        if let Some(mark) = self.marks.get_mut(name) {
            mark.forgotten = Some(start);
        }
    }

    /// Returns the start that was known when the endpoint was forgotten.
    pub(super) fn forgotten(&self, name: &name::Endpoint) -> Start {
        self.marks.get(name)?.forgotten
    }

    /// Records that an endpoint left while no start of it was known.
    pub(super) fn record_without_start(&mut self, name: &name::Endpoint, stamp: u64) {
        if let Some(mark) = self.marks.get_mut(name) {
            self.without_start
                .note(Some(mark.without_start), stamp, name);
            mark.without_start = stamp;
        }
    }

    /// Returns the stamp of the `count`th end after `stamp`, or `None` if no more ends follow it.
    pub(super) fn stamp_after(&self, stamp: u64, count: usize) -> Option<u64> {
        self.changes.stamp_after(stamp, count)
    }

    /// Returns the endpoints of which a start ended within a range of stamps.
    pub(super) fn names_since(&self, span: StampRange) -> Vec<name::Endpoint> {
        self.changes.since(span).cloned().collect()
    }

    /// Returns the starts that ended within a range of stamps, of those with an incarnation.
    pub(super) fn since(&self, span: StampRange) -> Vec<Ended> {
        let ended = self.changes.since(span).filter_map(|name| {
            Some(Ended {
                name: name.clone(),
                incarnation: self.marks.get(name)?.up_to?,
            })
        });
        ended.collect()
    }

    /// Returns the endpoints that left within a range of stamps while no start of them was known.
    pub(super) fn without_start_since(&self, span: StampRange) -> Vec<name::Endpoint> {
        self.without_start.since(span).cloned().collect()
    }
}
