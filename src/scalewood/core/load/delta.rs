//! Selects which changed loads are sent, and limits how many go into one message.
//!
//! A hub compares all endpoints for each box that asks, some hundred times a second; so it walks
//! the sorted maps side by side, once, instead of building each box's view. At 3,000 endpoints
//! this takes a tenth of the time.

use std::{cmp::Reverse, collections::btree_map};

use super::{EndpointLoad, Load, Loads};
use crate::core::name;

/// The most rows of one message: 8 KB. So the size of a message grows with the number of
/// endpoints only up to here; the loads that changed least wait for the next message.
const MAX_ROWS: usize = 256;
/// The weight of a running request, in tokens pending prefill, when changes are compared: about
/// one prompt.
const RUNNING_WEIGHT_TOKENS: u64 = 1000;

/// Walks a sorted map in step with another one.
struct Cursor<'a>(std::iter::Peekable<btree_map::Iter<'a, name::Endpoint, Load>>);

impl<'a> Cursor<'a> {
    fn new(loads: &'a Loads) -> Self {
        Self(loads.iter().peekable())
    }

    /// Returns the next entry whose name sorts before `name`.
    fn next_before(&mut self, name: &name::Endpoint) -> Option<(&'a name::Endpoint, Load)> {
        let next = self.0.next_if(|(own, _)| *own < name)?;
        Some((next.0, *next.1))
    }

    /// Returns the load of `name`. All entries before it must have been consumed.
    fn load_of(&mut self, name: &name::Endpoint) -> Load {
        let found = self.0.next_if(|(own, _)| *own == name);
        found.map_or_else(Load::default, |(_, load)| *load)
    }
}

/// Returns the loads to send to a receiver that knows `sent`, so that it knows `total` without
/// its `own` part: changed loads first, then those that have dropped to zero. If there are more
/// than `MAX_ROWS`, returns only the largest changes, the largest first.
pub(super) fn significant_changes(sent: &Loads, total: &Loads, own: &Loads) -> Vec<EndpointLoad> {
    let mut updates = Vec::new();
    let mut ended = Vec::new();
    let mut sent = Cursor::new(sent);
    let mut own = Cursor::new(own);
    for (name, total) in total {
        while let Some((gone, known)) = sent.next_before(name) {
            add_if_significant(&mut ended, gone, Load::default(), known);
        }
        // `own` is a part of `total`, so an endpoint that is missing from `total` has no own
        // load.
        while own.next_before(name).is_some() {}
        let others = total.minus(own.load_of(name));
        add_if_significant(&mut updates, name, others, sent.load_of(name));
    }
    for (gone, known) in sent.0 {
        add_if_significant(&mut ended, gone, Load::default(), *known);
    }
    updates.append(&mut ended);
    if updates.len() > MAX_ROWS {
        updates.sort_unstable_by_key(|(change, _)| Reverse(*change));
        updates.truncate(MAX_ROWS);
    }
    updates.into_iter().map(|(_, loaded)| loaded).collect()
}

/// Adds a load, with the size of its change, if the change is large enough to be sent.
fn add_if_significant(
    updates: &mut Vec<(u64, EndpointLoad)>,
    endpoint: &name::Endpoint,
    load: Load,
    sent: Load,
) {
    if load == sent || !load.differs_enough(sent) {
        return;
    }
    let loaded = EndpointLoad {
        endpoint: endpoint.clone(),
        load,
    };
    updates.push((change_tokens(load, sent), loaded));
}

/// Returns the size of a load's change in tokens. Cached tokens and those of less urgent requests
/// do not count.
fn change_tokens(load: Load, sent: Load) -> u64 {
    let running = u64::from(load.running.abs_diff(sent.running));
    load.pending_prefill.abs_diff(sent.pending_prefill) + running * RUNNING_WEIGHT_TOKENS
}
