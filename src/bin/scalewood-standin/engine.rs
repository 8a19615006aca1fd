//! Slots with priorities, as an engine with continuous batching assigns them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// The position of a waiting request: its priority and its arrival number; the lowest is next.
type Position = (i64, u64);

#[derive(Debug, Default)]
struct State {
    free: usize,
    /// The number of requests that have had to wait so far.
    arrivals: u64,
    waiting: BTreeMap<Position, oneshot::Sender<Slot>>,
    running: usize,
}

/// An engine's slots.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    state: Arc<Mutex<State>>,
}

/// A slot, which is freed on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    engine: Engine,
}

impl Engine {
    pub(crate) fn new(slots: usize) -> Self {
        let state = State {
            free: slots,
            ..State::default()
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a slot; lower priority numbers are served first.
    pub(crate) async fn slot(&self, priority: i64) -> Option<Slot> {
        let receiver = {
            let mut state = self.lock();
            if state.free > 0 {
                state.free -= 1;
                state.running += 1;
                return Some(Slot {
                    engine: self.clone(),
                });
            }
            state.arrivals += 1;
            let position = (priority, state.arrivals);
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(position, sender);
            receiver
        };
        receiver.await.ok()
    }

    /// Returns the number of running and waiting requests.
    pub(crate) fn load(&self) -> usize {
        let state = self.lock();
        state.running + state.waiting.len()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = {
            let mut state = self.engine.lock();
            state.running -= 1;
            let next = loop {
                match state.waiting.pop_first() {
                    Some((_, sender)) if sender.is_closed() => {}
                    next => break next,
                }
            };
            match next {
                Some((_, sender)) => {
                    state.running += 1;
                    Some(sender)
                }
                None => {
                    state.free += 1;
                    None
                }
            }
        };
        if let Some(sender) = next {
            // If the receiver was dropped meanwhile, the slot comes back and is freed here.
            let _ = sender.send(Slot {
                engine: self.engine.clone(),
            });
        }
    }
}
