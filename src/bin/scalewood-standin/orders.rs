//! Orders to the endpoint: which model to load. With fencing, an order under an older
//! term or number than one taken before is refused.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// An order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Order {
    /// The giver's term.
    pub(crate) term: u64,
    /// The order's number within the term.
    pub(crate) number: u64,
    /// What to load.
    pub(crate) load: String,
}

/// The orders that were taken.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    taken: Mutex<Vec<Order>>,
}

impl Orders {
    /// Takes an order; false if it is fenced off.
    pub(crate) fn take(&self, order: Order, fencing: bool) -> bool {
        let mut taken = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
        let last = taken.last().map(|last| (last.term, last.number));
        if fencing && last >= Some((order.term, order.number)) {
            return false;
        }
        taken.push(order);
        true
    }

    /// All orders that were taken.
    pub(crate) fn taken(&self) -> Vec<Order> {
        self.taken
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
