//! Bounds the memory of queues and of bodies that arrive: each item holds a share of a budget.

use std::sync::{
    atomic::{AtomicUsize, Ordering},
    Arc,
};

/// The memory of a queue, or of bodies.
#[derive(Debug)]
pub(super) struct Budget {
    max_bytes: usize,
    used: AtomicUsize,
}

/// A part of a budget, returned when it is dropped.
#[derive(Debug)]
pub(super) struct Share {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Budget {
    pub(super) fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            max_bytes,
            used: AtomicUsize::new(0),
        })
    }

    /// Returns a share of no bytes, which can grow.
    pub(super) fn share(self: &Arc<Self>) -> Share {
        Share {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Takes a share of so many bytes; returns `None` if not as many are left. While nothing else is
    /// taken, a share may be larger than the budget.
    pub(super) fn take(self: &Arc<Self>, bytes: usize) -> Option<Share> {
        let fits = |used: usize| {
            let total = used.saturating_add(bytes);
            (used == 0 || total <= self.max_bytes).then_some(total)
        };
        let (set, get) = (Ordering::Relaxed, Ordering::Relaxed);
        self.used.fetch_update(set, get, fits).ok()?;
        Some(Share {
            budget: self.clone(),
            bytes,
        })
    }
}

impl Share {
    /// Extends the share; returns whether there was enough. A share that grows may hold no more than what is left, so
    /// shares that are never returned leave some to others.
    pub(super) fn grow(&mut self, bytes: usize) -> bool {
        let grown = self.bytes + bytes;
        let fits = |used: usize| {
            let total = used.checked_add(bytes)?;
            let left = self.budget.max_bytes.checked_sub(total)?;
            (grown <= left).then_some(total)
        };
        let (set, get) = (Ordering::Relaxed, Ordering::Relaxed);
        let is_taken = self.budget.used.fetch_update(set, get, fits).is_ok();
        if is_taken {
            self.bytes = grown;
        }
        is_taken
    }

    /// Returns the size of the share.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
