//! How long an endpoint's answer is awaited.
//!
//! An endpoint that sends nothing may be dead or may only pause. Leaving it ends the run there, and with it
//! an answer that may still come. So requests of scalewood's own API leave a silent endpoint only once a
//! retry is reserved for another attempt, and else wait until their deadline.

use std::{future::Future, time::Duration};

use crate::{
    core::retry,
    ops::entry::{call::Call, now, Shared},
};

/// How often a request that has no other attempt looks for a retry again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Decides how long something is awaited.
pub(super) trait Patience: Send {
    /// Returns the result of a future, or `None` once it was awaited for long enough.
    fn wait<T>(
        &mut self,
        awaited: impl Future<Output = T> + Send,
    ) -> impl Future<Output = Option<T>> + Send;
}

impl Patience for Duration {
    async fn wait<T>(&mut self, awaited: impl Future<Output = T> + Send) -> Option<T> {
        tokio::time::timeout(*self, awaited).await.ok()
    }
}

impl<P: Patience> Patience for &mut P {
    async fn wait<T>(&mut self, awaited: impl Future<Output = T> + Send) -> Option<T> {
        P::wait(self, awaited).await
    }
}

/// The retries of one request.
#[derive(Debug, Default)]
pub(super) struct Retries {
    /// The number of attempts, the running one included.
    attempts: u32,
    /// Whether the first attempt was recorded in the budget.
    has_earned: bool,
    /// How long to wait before the next attempt, once a retry is reserved for it.
    reserved: Option<Duration>,
}

impl Retries {
    /// Begins an attempt. The retry that was reserved for it is used up.
    pub(super) fn begin(&mut self, attempts: u32) {
        self.attempts = attempts;
        self.reserved = None;
    }

    /// Reserves a retry for the next attempt, unless there is one already. Returns how long to wait before
    /// that attempt, or `None` if the budget or the attempts are used up.
    pub(super) fn reserve(&mut self, board: &Shared, call: &Call) -> Option<Duration> {
        if self.reserved.is_none() {
            self.reserved = self.spend(board, call);
        }
        self.reserved
    }

    fn spend(&mut self, board: &Shared, call: &Call) -> Option<Duration> {
        let mut shard = board.api_budgets.shard(&call.key.service);
        let budget = shard
            .entry(call.key.service.clone())
            .or_insert_with(|| retry::LocalBudget::new(retry::Settings::default()));
        if self.attempts == 1 && !std::mem::replace(&mut self.has_earned, true) {
            budget.earn();
        }
        budget.spend(self.attempts, rand::random())
    }
}

/// The patience of a request of scalewood's own API with the endpoint that it was sent to.
#[derive(Debug)]
pub(super) struct Endpoint<'a> {
    pub(super) board: &'a Shared,
    pub(super) call: &'a Call,
    pub(super) retries: &'a mut Retries,
    /// How long the endpoint may be silent if another attempt may follow.
    pub(super) max_silence: Duration,
    /// Until when it is awaited otherwise.
    pub(super) deadline: Duration,
    /// Whether another attempt could take this one's place.
    pub(super) is_repeatable: bool,
}

impl Patience for Endpoint<'_> {
    async fn wait<T>(&mut self, awaited: impl Future<Output = T> + Send) -> Option<T> {
        let mut awaited = std::pin::pin!(awaited);
        let mut wait = self.max_silence;
        loop {
            if let Ok(got) = tokio::time::timeout(wait, awaited.as_mut()).await {
                return Some(got);
            }
            let left = self.deadline.saturating_sub(now(self.board));
            if left.is_zero() || self.may_leave() {
                return None;
            }
            wait = left.min(RECHECK_INTERVAL);
        }
    }
}

impl Endpoint<'_> {
    /// Returns whether another attempt follows if this one ends, and reserves a retry for it if so.
    fn may_leave(&mut self) -> bool {
        self.is_repeatable && self.retries.reserve(self.board, self.call).is_some()
    }
}
