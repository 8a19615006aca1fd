//! Bounds the memory that a box spends on endpoints' answers, from their first byte until the caller has taken the last.
//!
//! All answers share a budget, and an answer may hold no more than what is left of it: one alone up to a half, two a
//! third each, and so on. So answers without end share the budget evenly, however many there are, and a
//! part of it is always left for others.

use std::sync::{
    atomic::{AtomicUsize, Ordering},
    Arc,
};

use bytes::{Buf, Bytes};
use tokio::sync::Notify;

use crate::{core::unit, event};

/// The memory for all answers.
#[derive(Debug)]
pub(super) struct Budget {
    max: usize,
    used: AtomicUsize,
    log: slog::Logger,
}

impl Budget {
    pub(super) fn new(max: unit::Size, log: slog::Logger) -> Arc<Self> {
        Arc::new(Self {
            max: max.0,
            used: AtomicUsize::new(0),
            log,
        })
    }

    /// Takes memory for an answer that holds `held` bytes; returns whether there was enough.
    fn take(&self, held: usize, bytes: usize) -> bool {
        let take = |used: usize| {
            let used = used.checked_add(bytes)?;
            let left = self.max.checked_sub(used)?;
            (held + bytes <= left).then_some(used)
        };
        let (set, get) = (Ordering::Relaxed, Ordering::Relaxed);
        self.used.fetch_update(set, get, take).is_ok()
    }
}

/// The memory that one answer holds.
#[derive(Debug)]
pub(super) struct Account {
    budget: Arc<Budget>,
    held: AtomicUsize,
    freed: Notify,
}

impl Account {
    pub(super) fn new(budget: &Arc<Budget>) -> Arc<Self> {
        Arc::new(Self {
            budget: budget.clone(),
            held: AtomicUsize::new(0),
            freed: Notify::new(),
        })
    }

    /// Returns a permit for no bytes.
    pub(super) fn permit(self: &Arc<Self>) -> Permit {
        Permit {
            account: self.clone(),
            bytes: 0,
        }
    }

    /// Waits until the caller has taken a part of the answer.
    pub(super) async fn freed(&self) {
        self.freed.notified().await;
    }

    /// Holds a part of an answer that is in memory already. Waits for memory while the caller has not taken
    /// earlier parts.
    pub(super) async fn hold(self: &Arc<Self>, part: Bytes) -> Held {
        let mut permit = self.permit();
        while permit.grow(part.len()).is_err() {
            if permit.is_all() {
                break;
            }
            self.freed().await;
        }
        Held::new(part, permit)
    }
}

/// Why a permit can't grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Full;

/// Memory that an answer may use.
#[derive(Debug)]
pub(super) struct Permit {
    account: Arc<Account>,
    bytes: usize,
}

impl Permit {
    /// Extends the permit by a number of bytes.
    pub(super) fn grow(&mut self, bytes: usize) -> Result<(), Full> {
        let Account { budget, held, .. } = &*self.account;
        // Other permits of the same account only shrink meanwhile.
        let now_held = held.load(Ordering::Relaxed);
        if !budget.take(now_held, bytes) {
            return Err(Full);
        }
        held.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        Ok(())
    }

    /// Splits off a permit for a number of bytes, or for all that it has.
    pub(super) fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            account: self.account.clone(),
            bytes,
        }
    }

    /// Adds another permit of the same answer.
    pub(super) fn join(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Returns whether the answer holds nothing beside this permit.
    pub(super) fn is_all(&self) -> bool {
        self.account.held.load(Ordering::Relaxed) == self.bytes
    }

    /// Logs that the answer is given up, since it can't grow by a number of bytes.
    pub(super) fn log_overlong(&self, bytes: usize) {
        let budget = &self.account.budget;
        event!(budget.log, AnswerTooLong, "bytes" => self.bytes + bytes,
            "used" => budget.used.load(Ordering::Relaxed), "of" => budget.max);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let account = &self.account;
        account.held.fetch_sub(self.bytes, Ordering::Relaxed);
        account.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
        account.freed.notify_one();
    }
}

/// Bytes of an answer and the permit for their memory, if they came from an endpoint.
#[derive(Debug, Default)]
pub(super) struct Held {
    bytes: Bytes,
    _permit: Option<Permit>,
}

impl Held {
    pub(super) fn new(bytes: Bytes, permit: Permit) -> Self {
        Self {
            bytes,
            _permit: Some(permit),
        }
    }
}

impl<B: Into<Bytes>> From<B> for Held {
    fn from(bytes: B) -> Self {
        Self {
            bytes: bytes.into(),
            _permit: None,
        }
    }
}

impl std::ops::Deref for Held {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Buf for Held {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}
