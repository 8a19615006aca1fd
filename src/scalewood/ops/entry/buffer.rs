//! Bounds the memory that a box spends on what callers and endpoints send: bodies of requests, and answers from their
//! first byte until the caller has taken the last.
//!
//! All messages of a kind share a budget, and a message may hold no more than what is left of it: one alone up to a
//! half, two a third each, and so on. So messages without end share the budget evenly, however many there are, and a
//! part of it is always left for others. The budgets of all kinds are parts of a common one.

use std::{
    collections::VecDeque,
    io::IoSlice,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
};

use bytes::{Buf, Bytes, BytesMut};
use tokio::sync::{futures::Notified, Notify};

use crate::{core::unit, event};

/// The memory for all messages of a kind.
#[derive(Debug)]
pub(super) struct Budget {
    max: usize,
    used: AtomicUsize,
    parent: Option<Parent>,
    freed: Notify,
    log: slog::Logger,
}

/// The budget that another one is a part of.
#[derive(Debug)]
struct Parent {
    budget: Arc<Budget>,
    /// What has to be left of it for others.
    reserve: usize,
}

impl Budget {
    pub(super) fn new(max: unit::Size, log: slog::Logger) -> Arc<Self> {
        Arc::new(Self {
            max: max.0,
            used: AtomicUsize::new(0),
            parent: None,
            freed: Notify::new(),
            log,
        })
    }

    /// Returns a budget whose memory is also taken from this one, of which `reserve` is left for others.
    pub(super) fn part(self: &Arc<Self>, max: unit::Size, reserve: unit::Size) -> Arc<Self> {
        Arc::new(Self {
            max: max.0,
            used: AtomicUsize::new(0),
            parent: Some(Parent {
                budget: self.clone(),
                reserve: reserve.0,
            }),
            freed: Notify::new(),
            log: self.log.clone(),
        })
    }

    /// Returns the memory that is in use.
    pub(super) fn used(&self) -> unit::Size {
        unit::Size(self.used.load(Ordering::Relaxed))
    }

    /// Returns the most memory that may be in use.
    pub(super) fn max(&self) -> unit::Size {
        unit::Size(self.max)
    }

    /// Completes when some of the memory is returned after the call.
    pub(super) fn freed(&self) -> Notified<'_> {
        self.freed.notified()
    }

    /// Takes memory of which `reserve` bytes have to be left; returns whether there was enough.
    fn take(&self, bytes: usize, reserve: usize) -> bool {
        let take = |used: usize| {
            let used = used.checked_add(bytes)?;
            let left = self.max.checked_sub(used)?;
            (reserve <= left).then_some(used)
        };
        let (set, get) = (Ordering::Relaxed, Ordering::Relaxed);
        if self.used.fetch_update(set, get, take).is_err() {
            return false;
        }
        let Some(Parent { budget, reserve }) = &self.parent else {
            return true;
        };
        let is_taken = budget.take(bytes, *reserve);
        if !is_taken {
            self.used.fetch_sub(bytes, Ordering::Relaxed);
        }
        is_taken
    }

    fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
        if let Some(parent) = &self.parent {
            parent.budget.give_back(bytes);
        }
        self.freed.notify_waiters();
    }
}

/// The memory that one message holds.
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
        Held::new(VecDeque::from([part]), permit)
    }
}

/// Why a permit can't grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Full;

/// Memory that a message may use.
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
        if !budget.take(bytes, now_held + bytes) {
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

    /// Adds another permit of the same message.
    pub(super) fn join(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Returns whether the message holds nothing beside this permit.
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
        account.budget.give_back(self.bytes);
        account.freed.notify_one();
    }
}

/// Bytes of an answer in blocks, and the permit for their memory, if they came from an endpoint.
#[derive(Debug, Default)]
pub(super) struct Held {
    blocks: VecDeque<Bytes>,
    len: usize,
    _permit: Option<Permit>,
}

impl Held {
    pub(super) fn new(blocks: VecDeque<Bytes>, permit: Permit) -> Self {
        Self {
            len: blocks.iter().map(Bytes::len).sum(),
            blocks,
            _permit: Some(permit),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns all bytes as one block; copies them if there are several.
    pub(super) fn joined(&self) -> Bytes {
        match self.blocks.len() {
            0 => Bytes::new(),
            1 => self.blocks[0].clone(),
            _ => {
                let mut joined = BytesMut::with_capacity(self.len);
                self.blocks
                    .iter()
                    .for_each(|block| joined.extend_from_slice(block));
                joined.freeze()
            }
        }
    }
}

impl<B: Into<Bytes>> From<B> for Held {
    fn from(bytes: B) -> Self {
        let bytes = bytes.into();
        Self {
            len: bytes.len(),
            blocks: VecDeque::from([bytes]),
            _permit: None,
        }
    }
}

impl Buf for Held {
    fn remaining(&self) -> usize {
        self.len
    }

    fn chunk(&self) -> &[u8] {
        let mut blocks = self.blocks.iter();
        blocks
            .find(|block| !block.is_empty())
            .map_or(&[], |block| block)
    }

    fn chunks_vectored<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let blocks = self.blocks.iter().filter(|block| !block.is_empty());
        let mut count = 0;
        for (slice, block) in slices.iter_mut().zip(blocks) {
            *slice = IoSlice::new(block);
            count += 1;
        }
        count
    }

    fn advance(&mut self, count: usize) {
        assert!(count <= self.len, "there are {} bytes", self.len);
        self.len -= count;
        let mut left = count;
        while let Some(block) = self.blocks.front_mut() {
            let taken = left.min(block.len());
            block.advance(taken);
            left -= taken;
            if !block.is_empty() {
                return;
            }
            self.blocks.pop_front();
        }
    }
}
