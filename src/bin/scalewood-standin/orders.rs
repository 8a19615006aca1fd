//! Orders to the endpoint, which say which model to load. With fencing, an order is refused unless
//! its term and number are higher than those of the last accepted order.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// An order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Order {
    /// The term of the leader that gave the order.
    pub(crate) term: u64,
    /// The order's number within the term.
    pub(crate) number: u64,
    /// The model to load.
    pub(crate) load: String,
}

/// The orders that were accepted.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    accepted: Mutex<Vec<Order>>,
}

impl Orders {
    /// Accepts an order; returns false if fencing refuses it.
    pub(crate) fn take(&self, order: Order, fencing: bool) -> bool {
        let mut accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
        let last = accepted.last().map(|last| (last.term, last.number));
        if fencing && last >= Some((order.term, order.number)) {
            return false;
        }
        accepted.push(order);
        true
    }

    /// Returns all orders that were accepted.
    pub(crate) fn accepted(&self) -> Vec<Order> {
        self.accepted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
