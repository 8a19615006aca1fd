//! Receives the bodies of callers' requests, within the memory for them.
//!
//! Data is copied into blocks, so that the memory that a body takes does not depend on the pieces in which it arrives.
//! If memory is short, bodies that have not got on for a while give way to those that do. A body that finds no memory
//! even so is refused at once, so bodies never wait for each other.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use http_body_util::BodyExt as _;
use hyper::{
    body::{Body as _, Incoming},
    StatusCode,
};
use tokio::sync::Notify;

use crate::{
    event,
    ops::entry::{
        buffer::{Account, Budget, Permit},
        now,
        payload::Payload,
        reply::Refusal,
        rope::Rope,
        Shared,
    },
    util::{lock::lock, metric::ShortageLabel, socket},
};

/// How long a body may take for `MIN_ADVANCE` before it gives way to others.
const MAX_STALL: Duration = Duration::from_secs(1);
/// The bytes by which a body has to get on within `MAX_STALL`.
const MIN_ADVANCE: usize = 16 << 10;
/// How long a body waits for the memory of one that gives way.
const YIELD_TIMEOUT: Duration = Duration::from_millis(100);
/// The wait stated to callers that are refused for lack of memory.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The shortest time between two log lines about a lack of memory.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The bodies that are arriving.
#[derive(Clone, Debug)]
pub(super) struct Arrivals {
    board: Shared,
    budget: Arc<Budget>,
    open: Arc<Mutex<Open>>,
}

#[derive(Debug, Default)]
struct Open {
    arrivals: BTreeMap<u64, Arc<Arrival>>,
    next: u64,
    /// When a lack of memory was last logged.
    logged_at: Option<Duration>,
    /// The refusals since.
    unlogged: u64,
}

/// A body that is arriving.
#[derive(Debug, Default)]
struct Arrival {
    received: AtomicUsize,
    /// When it last got on, in milliseconds of the process's clock.
    advanced_at: AtomicU64,
    has_to_yield: AtomicBool,
    yields: Notify,
}

/// Removes an arrival from those that are open.
struct Registered<'a> {
    arrivals: &'a Arrivals,
    id: u64,
    arrival: Arc<Arrival>,
}

impl Drop for Registered<'_> {
    fn drop(&mut self) {
        lock(&self.arrivals.open).arrivals.remove(&self.id);
    }
}

/// The limits on a body.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    /// The most bytes.
    pub(super) bytes: usize,
    /// How long it may take to arrive.
    pub(super) time: Duration,
}

impl Arrivals {
    pub(super) fn new(board: Shared, budget: Arc<Budget>) -> Self {
        Self {
            board,
            budget,
            open: Arc::default(),
        }
    }

    /// Receives the body of a request.
    pub(super) async fn receive(
        &self,
        body: Incoming,
        bounds: Bounds,
        caller: &socket::Watch,
    ) -> Result<Payload, Refusal> {
        if body.is_end_stream() {
            return Ok(Payload::default());
        }
        if body.size_hint().lower() > bounds.bytes as u64 {
            return Err(too_large(bounds));
        }
        let registered = self.register();
        let received = tokio::select! {
            biased;
            () = registered.arrival.yields.notified() => Err(slow()),
            () = tokio::time::sleep(bounds.time) => Err(slow()),
            received = self.receive_all(body, bounds, &registered.arrival) => received,
        }?;
        caller.set_reading(false);
        Ok(received)
    }

    async fn receive_all(
        &self,
        mut body: Incoming,
        bounds: Bounds,
        arrival: &Arc<Arrival>,
    ) -> Result<Payload, Refusal> {
        let account = Account::new(&self.budget);
        let mut data = Rope::new(&account);
        let mut advanced = 0;
        while let Some(frame) = body.frame().await {
            // Trailers are not passed on.
            let Ok(part) = frame.map_err(|_| broken())?.into_data() else {
                continue;
            };
            if data.len() + part.len() > bounds.bytes {
                return Err(too_large(bounds));
            }
            while data.push(&part).is_err() {
                self.make_room(arrival).await?;
            }
            arrival.received.store(data.len(), Ordering::Relaxed);
            if data.len() >= advanced + MIN_ADVANCE {
                advanced = data.len();
                arrival.advance(now(&self.board));
            }
        }
        Ok(data.into())
    }

    /// Takes memory for copies of a body.
    pub(super) fn reserve(&self, bytes: usize) -> Result<Permit, Refusal> {
        let mut permit = Account::new(&self.budget).permit();
        if permit.grow(bytes).is_err() {
            self.record_refused("refused");
            return Err(no_memory());
        }
        Ok(permit)
    }

    fn register(&self) -> Registered<'_> {
        let arrival = Arc::<Arrival>::default();
        arrival.advance(now(&self.board));
        let mut open = lock(&self.open);
        let id = open.next;
        open.next += 1;
        open.arrivals.insert(id, arrival.clone());
        Registered {
            arrivals: self,
            id,
            arrival,
        }
    }

    /// Makes another body give way and waits until memory is free; refuses the own one if none gives way.
    async fn make_room(&self, own: &Arc<Arrival>) -> Result<(), Refusal> {
        let mut freed = std::pin::pin!(self.budget.freed());
        freed.as_mut().enable();
        if !self.make_largest_yield(|arrival| !Arc::ptr_eq(arrival, own)) {
            self.record_refused("refused");
            return Err(no_memory());
        }
        // Without a notification it tries again, and makes the next one give way.
        let _ = tokio::time::timeout(YIELD_TIMEOUT, freed).await;
        Ok(())
    }

    /// Makes a body that does not get on give way. Returns whether there is one.
    pub(super) fn make_one_yield(&self) -> bool {
        self.make_largest_yield(|_| true)
    }

    /// Makes the largest body that does not get on give way, of those for which a function returns true. Returns whether
    /// there is one.
    fn make_largest_yield(&self, may_yield: impl Fn(&Arc<Arrival>) -> bool) -> bool {
        let now = now(&self.board);
        let largest = {
            let open = lock(&self.open);
            let stalled = open.arrivals.values();
            let stalled = stalled.filter(|arrival| may_yield(arrival) && arrival.is_stalled(now));
            let largest = stalled.max_by_key(|arrival| arrival.received.load(Ordering::Relaxed));
            largest.cloned()
        };
        let Some(largest) = largest else {
            return false;
        };
        largest.has_to_yield.store(true, Ordering::Relaxed);
        largest.yields.notify_one();
        self.record_refused("stalled");
        true
    }

    /// Counts a body that was refused for lack of memory, and logs it from time to time.
    fn record_refused(&self, why: &'static str) {
        let metrics = &self.board.metrics;
        metrics
            .bodies_refused
            .get_or_create(&ShortageLabel { why })
            .inc();
        let now = now(&self.board);
        let mut open = lock(&self.open);
        let is_due = open.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
        if !is_due {
            open.unlogged += 1;
            return;
        }
        open.logged_at = Some(now);
        let unlogged = std::mem::take(&mut open.unlogged);
        event!(self.board.log, BodiesOutOfMemory, "why" => why,
            "used" => %self.budget.used(), "of" => %self.budget.max(),
            "arriving" => open.arrivals.len(), "untold" => unlogged);
    }
}

impl Arrival {
    fn advance(&self, now: Duration) {
        let now = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.advanced_at.store(now, Ordering::Relaxed);
    }

    /// Returns whether the body has not got on for a while and was not told to give way before.
    fn is_stalled(&self, now: Duration) -> bool {
        let advanced_at = Duration::from_millis(self.advanced_at.load(Ordering::Relaxed));
        now >= advanced_at + MAX_STALL && !self.has_to_yield.load(Ordering::Relaxed)
    }
}

fn too_large(bounds: Bounds) -> Refusal {
    let why = format!("the body is over {} bytes; send less", bounds.bytes);
    Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "large-body", why)
}

fn slow() -> Refusal {
    let why = "the body did not arrive in time; send it faster";
    Refusal::not_run(StatusCode::REQUEST_TIMEOUT, "slow-body", why)
}

fn broken() -> Refusal {
    let why = "the body was incomplete; send all of it";
    Refusal::not_run(StatusCode::BAD_REQUEST, "broken-body", why)
}

/// Returns the refusal of a request for which there is no memory.
fn no_memory() -> Refusal {
    let why = "there is no memory for the body now; retry later";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "memory-full", why)
        .with_retry_after(RETRY_AFTER)
}
