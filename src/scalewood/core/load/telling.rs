//! What of the loads is worth telling, and how much of it at a time.
//!
//! A hub goes through all endpoints for each box that asks, some hundred times a second; so it
//! walks the sorted maps side by side, once, in place of building what the box would see. At
//! 3,000 endpoints that takes a tenth of the time.

use std::{cmp::Reverse, collections::btree_map};

use super::{Load, Loaded, Loads};
use crate::core::name;

/// The most rows of one message: 8 KB. So what boxes hear grows with the endpoints up to here
/// and no further; those that changed least wait for the next message.
const MOST: usize = 256;
/// What a request that holds a slot counts beside unread tokens, when changes are compared:
/// about what a prompt has to be read of.
const RUN: u64 = 1000;

/// Walks a sorted map beside another one.
struct Cursor<'a>(std::iter::Peekable<btree_map::Iter<'a, name::Endpoint, Load>>);

impl<'a> Cursor<'a> {
    fn new(loads: &'a Loads) -> Self {
        Self(loads.iter().peekable())
    }

    /// The next entry whose name comes before another one.
    fn next_before(&mut self, name: &name::Endpoint) -> Option<(&'a name::Endpoint, Load)> {
        let next = self.0.next_if(|(own, _)| *own < name)?;
        Some((next.0, *next.1))
    }

    /// The load of a name, where no earlier entry is left.
    fn load_of(&mut self, name: &name::Endpoint) -> Load {
        let found = self.0.next_if(|(own, _)| *own == name);
        found.map_or_else(Load::default, |(_, load)| *load)
    }
}

/// What is worth telling to one who knows `told`, so that it knows `total` without the part
/// that is its `own`: what has changed, then what has ended.
pub(super) fn worth_telling(told: &Loads, total: &Loads, own: &Loads) -> Vec<Loaded> {
    let mut news = Vec::new();
    let mut ended = Vec::new();
    let mut told = Cursor::new(told);
    let mut own = Cursor::new(own);
    for (name, total) in total {
        while let Some((gone, known)) = told.next_before(name) {
            note(&mut ended, gone, Load::default(), known);
        }
        // What is its own is a part of the total, so nothing but the total can end it.
        while own.next_before(name).is_some() {}
        let others = total.minus(own.load_of(name));
        note(&mut news, name, others, told.load_of(name));
    }
    for (gone, known) in told.0 {
        note(&mut ended, gone, Load::default(), *known);
    }
    news.append(&mut ended);
    if news.len() > MOST {
        news.sort_unstable_by_key(|(change, _)| Reverse(*change));
        news.truncate(MOST);
    }
    news.into_iter().map(|(_, loaded)| loaded).collect()
}

/// Notes a load, with how much it has changed, if that is worth telling.
fn note(news: &mut Vec<(u64, Loaded)>, endpoint: &name::Endpoint, load: Load, told: Load) {
    if load == told || !load.is_news(told) {
        return;
    }
    let loaded = Loaded {
        endpoint: endpoint.clone(),
        load,
    };
    news.push((change(load, told), loaded));
}

/// How much a load has changed, in tokens.
fn change(load: Load, told: Load) -> u64 {
    let runs = u64::from(load.running.abs_diff(told.running));
    load.unread.abs_diff(told.unread) + runs * RUN
}
