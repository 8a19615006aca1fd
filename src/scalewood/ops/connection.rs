//! The connections that a listener has open, at most a number of them. The one that has been without a request for the
//! longest can be closed to make room for another one.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicU64, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use tokio::sync::Notify;

use crate::util::lock::lock;

/// The open connections of a listener, each with a value of type `T`.
#[derive(Debug)]
pub(super) struct Set<T> {
    max: usize,
    open: Mutex<BTreeMap<u64, Arc<State<T>>>>,
    next: AtomicU64,
}

/// What is known of a connection.
#[derive(Debug)]
struct State<T> {
    value: T,
    /// The requests that are not answered completely.
    requests: AtomicUsize,
    /// Since when there was none, in milliseconds of the process's clock.
    idle_since: AtomicU64,
    close: Notify,
}

/// An open connection, which is removed from its set on drop.
#[derive(Debug)]
pub(super) struct Connection<T> {
    set: Arc<Set<T>>,
    id: u64,
    state: Arc<State<T>>,
}

impl<T> Set<T> {
    pub(super) fn new(max: usize) -> Arc<Self> {
        Arc::new(Self {
            max,
            open: Mutex::default(),
            next: AtomicU64::new(0),
        })
    }

    /// Adds a connection; returns `None` if there are too many.
    pub(super) fn admit(self: &Arc<Self>, value: T, now: Duration) -> Option<Connection<T>> {
        if lock(&self.open).len() >= self.max {
            return None;
        }
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(State {
            value,
            requests: AtomicUsize::new(0),
            idle_since: AtomicU64::new(millis(now)),
            close: Notify::new(),
        });
        lock(&self.open).insert(id, state.clone());
        Some(Connection {
            set: self.clone(),
            id,
            state,
        })
    }

    /// Closes the connection that has been without a request for the longest. Returns whether there is one.
    pub(super) fn close_idlest(&self) -> bool {
        let mut open = lock(&self.open);
        let idle = open.iter().filter(|(_, state)| state.is_idle());
        let idlest = idle.min_by_key(|(_, state)| state.idle_since.load(Ordering::Relaxed));
        let Some(id) = idlest.map(|(id, _)| *id) else {
            return false;
        };
        close(&mut open, id);
        true
    }

    /// Closes the connections with requests for whose values a function returns true. Returns their number.
    pub(super) fn close_busy(&self, is_to_close: impl Fn(&T) -> bool) -> usize {
        let mut open = lock(&self.open);
        let busy = open.iter().filter(|(_, state)| !state.is_idle());
        let busy = busy.filter(|(_, state)| is_to_close(&state.value));
        let ids: Vec<_> = busy.map(|(id, _)| *id).collect();
        for id in &ids {
            close(&mut open, *id);
        }
        ids.len()
    }

    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        lock(&self.open).len()
    }
}

fn close<T>(open: &mut BTreeMap<u64, Arc<State<T>>>, id: u64) {
    if let Some(state) = open.remove(&id) {
        state.close.notify_one();
    }
}

impl<T> State<T> {
    fn is_idle(&self) -> bool {
        self.requests.load(Ordering::Relaxed) == 0
    }
}

impl<T> Connection<T> {
    /// Returns what makes the connection count as not idle.
    pub(super) fn requests(&self) -> Requests<T> {
        Requests(self.state.clone())
    }

    /// Completes when the connection has to be closed.
    pub(super) async fn closed(&self) {
        self.state.close.notified().await;
    }
}

impl<T> Drop for Connection<T> {
    fn drop(&mut self) {
        lock(&self.set.open).remove(&self.id);
    }
}

/// The requests of a connection.
#[derive(Debug)]
pub(super) struct Requests<T>(Arc<State<T>>);

impl<T> Clone for Requests<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> Requests<T> {
    /// Counts a request, until [`Requests::end`].
    pub(super) fn begin(&self) {
        self.0.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends a request.
    pub(super) fn end(&self, now: Duration) {
        self.0.idle_since.store(millis(now), Ordering::Relaxed);
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
