//! This box's retry budgets, from which requests take their retries.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::{
    core::{name, retry},
    ops::entry::{dispatchers, now, Shared},
    util::metric,
};

/// A retry that was taken from a service's budget and has not been sent yet; it returns to the budget when
/// dropped.
#[derive(Debug)]
pub(super) struct Reserved {
    board: Shared,
    service: name::Service,
    is_spent: bool,
}

impl Reserved {
    /// Records that the retry was sent.
    pub(super) fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        let now = now(&self.board);
        let mut shard = self.board.budgets.shard(&self.service);
        // Budgets are never removed.
        if let Some(budget) = shard.get_mut(&self.service) {
            if self.is_spent {
                budget.spend();
            } else {
                budget.give_back(now);
            }
        }
    }
}

/// The place of a request that waits for a retry of a service's budget; it is given up when dropped.
#[derive(Debug)]
pub(super) struct Waiting {
    board: Shared,
    service: name::Service,
    place: retry::Place,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut shard = self.board.budgets.shard(&self.service);
        if let Some(budget) = shard.get_mut(&self.service) {
            budget.leave(self.place);
        }
    }
}

/// Lets a request wait for a retry of a service's budget.
pub(super) fn wait(board: &Shared, service: &name::Service) -> Waiting {
    let mut shard = board.budgets.shard(service);
    let place = budget(board, &mut shard, service).join();
    Waiting {
        board: board.clone(),
        service: service.clone(),
        place,
    }
}

/// Returns whether the next retry of a service's budget is for the request with this place, or without one.
pub(super) fn is_next(board: &Shared, service: &name::Service, waiting: Option<&Waiting>) -> bool {
    let mut shard = board.budgets.shard(service);
    let budget = budget(board, &mut shard, service);
    budget.is_next(waiting.map(|waiting| waiting.place))
}

/// Adds what a request that arrived from its caller earns to its service's budget.
pub(super) fn earn(board: &Shared, service: &name::Service) {
    let now = now(board);
    let mut shard = board.budgets.shard(service);
    budget(board, &mut shard, service).earn(now);
}

/// Returns whether a service's budget holds a retry.
pub(super) fn has_any(board: &Shared, service: &name::Service) -> bool {
    let now = now(board);
    let mut shard = board.budgets.shard(service);
    shard
        .get_mut(service)
        .is_some_and(|budget| budget.has_any(now))
}

/// Reserves a retry of a service's budget, or returns `None` if none is left.
pub(super) fn reserve(board: &Shared, service: &name::Service) -> Option<Reserved> {
    let now = now(board);
    let mut shard = board.budgets.shard(service);
    let budget = shard.get_mut(service)?;
    let is_paid = budget.reserve(now);
    record(board, service, (budget, now), is_paid);
    drop(shard);
    is_paid.then(|| Reserved {
        board: board.clone(),
        service: service.clone(),
        is_spent: false,
    })
}

/// Returns a budget's level for the log, as the retries left and the most that it holds.
pub(super) fn level(board: &Shared, service: &name::Service) -> Option<String> {
    let now = now(board);
    let mut shard = board.budgets.shard(service);
    let budget = shard.get_mut(service)?;
    Some(format!(
        "{:.1}/{:.1}",
        budget.available(now),
        budget.capacity(now)
    ))
}

/// Returns the capacity that this box asks a voter for now.
pub(super) fn wants(board: &Shared, voter: SocketAddr) -> Vec<retry::Want> {
    let now = now(board);
    let services = dispatchers::services(board);
    let wants = services.into_iter().filter_map(|service| {
        let mut shard = board.budgets.shard(&service);
        let budget = budget(board, &mut shard, &service);
        let is_due = budget.needs_lease(voter, now);
        is_due.then(|| budget.want(&service, voter, now))
    });
    wants.collect()
}

/// Adds the capacity that a voter lends since this box asked at `asked_at`.
pub(super) fn apply(board: &Shared, voter: SocketAddr, lent: &[retry::Lent], asked_at: Duration) {
    let now = now(board);
    for lent in lent {
        let mut shard = board.budgets.shard(&lent.service);
        if let Some(budget) = shard.get_mut(&lent.service) {
            budget.lend(voter, lent, asked_at, now);
            show(board, &lent.service, budget, now);
        }
    }
}

/// Returns a service's budget; a new one is empty.
fn budget<'a>(
    board: &Shared,
    budgets: &'a mut HashMap<name::Service, retry::Budget>,
    service: &name::Service,
) -> &'a mut retry::Budget {
    budgets
        .entry(service.clone())
        .or_insert_with(|| retry::Budget::new(board.own.retries))
}

/// Counts a retry that was asked of a budget.
fn record(
    board: &Shared,
    service: &name::Service,
    (budget, now): (&mut retry::Budget, Duration),
    is_paid: bool,
) {
    let label = metric::RetryLabel {
        service: service.to_string(),
        outcome: if is_paid { "paid" } else { "denied" },
    };
    board.metrics.retries.get_or_create(&label).inc();
    show(board, service, budget, now);
}

/// Sets the metrics of a budget.
fn show(board: &Shared, service: &name::Service, budget: &mut retry::Budget, now: Duration) {
    let label = metric::ServiceLabel {
        service: service.to_string(),
    };
    let metrics = &board.metrics;
    let left = metrics.retries_left.get_or_create(&label);
    left.set(budget.available(now));
    let capacity = metrics.retries_capacity.get_or_create(&label);
    capacity.set(budget.capacity(now));
}

/// The retries of one request of scalewood's own API.
#[derive(Debug)]
pub(super) struct Allowance {
    board: Shared,
    service: name::Service,
    /// Whether the first attempt was recorded in the budget.
    has_earned: bool,
    /// How long to wait before the next attempt, once a retry is reserved for it.
    reserved: Option<Duration>,
}

impl Allowance {
    pub(super) fn new(board: &Shared, service: &name::Service) -> Self {
        Self {
            board: board.clone(),
            service: service.clone(),
            has_earned: false,
            reserved: None,
        }
    }

    /// Begins an attempt. The retry that was reserved for it is used up.
    pub(super) fn begin(&mut self) {
        self.reserved = None;
    }

    /// Reserves a retry for the next attempt after `attempts` attempts, unless there is one already. Returns how
    /// long to wait before that attempt, or `None` if the budget or the attempts are used up.
    pub(super) fn reserve(&mut self, attempts: u32) -> Option<Duration> {
        if self.reserved.is_none() {
            let has_earned = std::mem::replace(&mut self.has_earned, true);
            self.reserved = self.with_budget(|budget| {
                if !has_earned {
                    budget.earn();
                }
                budget.spend(attempts, rand::random())
            });
        }
        self.reserved
    }

    /// Returns the retry that is reserved, if there is one.
    pub(super) fn give_back(&mut self) {
        if self.reserved.take().is_some() {
            self.with_budget(retry::LocalBudget::give_back);
        }
    }

    /// Returns why no further attempt follows after `attempts` attempts, if none does.
    pub(super) fn denial(&self, attempts: u32) -> Option<&'static str> {
        if self.reserved.is_some() {
            return None;
        }
        self.with_budget(|budget| budget.denial(attempts))
    }

    /// Calls a function with the service's budget.
    fn with_budget<T>(&self, act: impl FnOnce(&mut retry::LocalBudget) -> T) -> T {
        let mut shard = self.board.api_budgets.shard(&self.service);
        let budget = shard
            .entry(self.service.clone())
            .or_insert_with(|| retry::LocalBudget::new(retry::Settings::default()));
        act(budget)
    }
}

impl Drop for Allowance {
    fn drop(&mut self) {
        self.give_back();
    }
}
