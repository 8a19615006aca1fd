//! Whether another attempt may follow one that came to nothing, and when.

use std::{collections::HashMap, sync::atomic::Ordering, time::Duration};

use crate::{
    core::{dispatch, name, retry, verdict},
    ops::entry::{
        desk,
        dialect::Dialect,
        routed::{attempt::Request, Context},
        upstream::Failure,
    },
};

/// The most tries at one request that reached an endpoint, also if it did not run there.
const MAX_TRIES: u32 = 3;
/// The most that did not: a zone that is cut off, or many endpoints that have gone at once,
/// take a few of them before they are known to be.
const MAX_MISSES: u32 = 7;
/// What is left of the time is too short for another attempt below this.
const MIN_LEFT: Duration = Duration::from_millis(20);
/// The longest wait before the first retry, and before any: requests are due within some
/// hundred milliseconds.
const WAIT: Duration = Duration::from_millis(10);
const LONGEST_WAIT: Duration = Duration::from_millis(50);

/// Notes a request of a service: its budget earns a part of a retry by it.
pub(super) fn earn<D>(context: &Context<D>, service: &name::Service) {
    let board = &context.board;
    let part = context.retries.share(board.sharers.load(Ordering::Relaxed));
    let mut shard = board.budgets.shard(service);
    let budget = budget(&mut shard, service, part);
    budget.set(part);
    budget.earn();
}

impl<D: Dialect> Request<D> {
    /// Whether the request may be sent once more after one that may have run.
    pub(super) fn may_run_again(&self) -> bool {
        let route = &self.routed.route;
        route.kind.is_repeatable() && self.runs + 1 < route.attempts && self.reached() < MAX_TRIES
    }

    /// Tries that reached the endpoint that was meant.
    fn reached(&self) -> u32 {
        self.tries - self.misses
    }

    pub(super) fn has_budget(&self) -> bool {
        let service = &self.routed.call.key.service;
        let shard = self.context.board.budgets.shard(service);
        shard.get(service).is_some_and(retry::Budget::has_any)
    }

    /// Has the service's budget pay for one more arrival, after so many tries of this request;
    /// how long to wait before it.
    fn pay(&self, tries: u32) -> Option<Duration> {
        let service = &self.routed.call.key.service;
        let mut shard = self.context.board.budgets.shard(service);
        shard.get_mut(service)?.spend(tries, rand::random())
    }

    /// How long to wait before the next attempt, if there may be one.
    pub(super) fn next_wait(&self, failure: Failure) -> Option<Duration> {
        let route = &self.routed.route;
        let is_last = if failure.is_miss() {
            self.misses > MAX_MISSES
        } else {
            self.reached() >= MAX_TRIES
        };
        if self.left() < MIN_LEFT || is_last {
            return None;
        }
        let harmless = self.verdict == verdict::Verdict::NotRun;
        if !harmless && (!route.kind.is_repeatable() || self.runs >= route.attempts) {
            return None;
        }
        match failure.end {
            // Nothing has arrived, so nothing is sent a second time.
            dispatch::End::Unreachable => Some(Duration::ZERO),
            // By then the dispatcher here knows what bars it.
            dispatch::End::Unused => Some(desk::TICK),
            // What an endpoint turned away arrived there; it costs this request no try.
            dispatch::End::Mistaken => self.pay(0).map(|_| Duration::ZERO),
            _ => self.pay(self.reached()),
        }
    }
}

/// A service's budget of retries, new ones with what a box may earn and save up.
fn budget<'a>(
    budgets: &'a mut HashMap<name::Service, retry::Budget>,
    service: &name::Service,
    (earned, most): (f64, f64),
) -> &'a mut retry::Budget {
    let settings = retry::Settings {
        earned_per_request: earned,
        capacity: most,
        base: WAIT,
        cap: LONGEST_WAIT,
        attempts: MAX_TRIES,
    };
    budgets
        .entry(service.clone())
        .or_insert_with(|| retry::Budget::new(settings))
}
